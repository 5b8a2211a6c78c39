#include "Dispatch/LeaderFinder.h"

#include <algorithm>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Interval of the questions to a leader that answers, and to all instances
 * while none is known. */
constexpr milliseconds kAskLeader{ 150 };
constexpr milliseconds kAskAll{ 60 };

/** Time after its last answer for which a leader is believed in: two questions
 * and a round trip. */
constexpr milliseconds kBelief{ 450 };

constexpr milliseconds kAnswerTimeout{ 300 };

/** Instances that are asked at most. */
constexpr std::size_t kMaxInstances = 64;

}

LeaderFinder::LeaderFinder(const Clock& aClock,
                           PeerRpc& aRpc,
                           EventLog& aLog,
                           const std::vector<InstanceName>& aSeeds)
  : mClock(aClock)
  , mRpc(aRpc)
  , mLog(aLog)
  , mInstances(aSeeds.begin(), aSeeds.end())
{
}

std::optional<InstanceName>
LeaderFinder::Leader() const
{
  const bool believed =
    mLeader && mClock.MonotonicNow() - mHeard < kBelief && !mInDoubt;
  return believed ? mLeader : std::nullopt;
}

void
LeaderFinder::Doubt(const InstanceName& aLeader)
{
  if (mLeader == aLeader && !mInDoubt) {
    mInDoubt = true;
    mNextAsk = {};
  }
}

void
LeaderFinder::AddSeeds(const std::vector<InstanceName>& aSeeds)
{
  mInstances.insert(aSeeds.begin(), aSeeds.end());
}

void
LeaderFinder::Tick()
{
  const TimePoint now = mClock.MonotonicNow();
  if (now < mNextAsk) {
    return;
  }
  if (Leader() && now - mHeard < kAskLeader * 2) {
    mNextAsk = now + kAskLeader;
    Ask(*mLeader);
    return;
  }
  mNextAsk = now + kAskAll;
  const std::set<InstanceName> instances = mInstances;
  for (const InstanceName& instance : instances) {
    Ask(instance);
  }
}

void
LeaderFinder::Ask(const InstanceName& aInstance)
{
  if (!mAsked.insert(aInstance).second) {
    return;
  }
  mRpc.Call(aInstance,
            kLeaderMethod,
            {},
            kAnswerTimeout,
            [this, aInstance](const Result<std::string>& aAnswer) {
              OnAnswer(aInstance, aAnswer);
            });
}

void
LeaderFinder::OnAnswer(const InstanceName& aFrom,
                       const Result<std::string>& aAnswer)
{
  mAsked.erase(aFrom);
  if (!aAnswer) {
    return;
  }
  const Result<LeaderStatus> status =
    UnpackMessage<LeaderStatus>(aAnswer.value());
  if (!status) {
    EventLine(mLog, "leader-status-malformed")
      .With("from", aFrom)
      .With("reason", status.error().Message());
    return;
  }
  TakeStatus(aFrom, status.value());
}

void
LeaderFinder::TakeStatus(const InstanceName& aFrom, const LeaderStatus& aStatus)
{
  for (const InstanceName& member : aStatus.mMembers) {
    if (mInstances.size() < kMaxInstances) {
      mInstances.insert(member);
    }
  }
  if (!aStatus.mLeads) {
    if (mLeader == aFrom) {
      Doubt(aFrom);
    }
    return;
  }
  if (aStatus.mTerm < mTerm) {
    return;
  }
  if (mLeader != aFrom || mTerm != aStatus.mTerm) {
    EventLine(mLog, "leader-found")
      .With("leader", aFrom)
      .With("term", aStatus.mTerm)
      .With("before", mLeader.value_or("none"))
      .With("term_before", mTerm);
  }
  mLeader = aFrom;
  mTerm = aStatus.mTerm;
  mHeard = mClock.MonotonicNow();
  mInDoubt = false;
}

}

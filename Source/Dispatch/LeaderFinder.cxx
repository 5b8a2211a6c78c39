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

/** Time without a leader after which the data centre asks to be led alone. The
 * coordinators wait on their own for an election to end. */
constexpr milliseconds kWantsLocalAfter{ 300 };

constexpr milliseconds kAnswerTimeout{ 300 };

/** Instances that are asked at most. */
constexpr std::size_t kMaxInstances = 64;

}

LeaderFinder::LeaderFinder(const Clock& aClock,
                           PeerRpc& aRpc,
                           EventLog& aLog,
                           std::string aDataCentre,
                           const std::vector<InstanceName>& aSeeds)
  : mClock(aClock)
  , mRpc(aRpc)
  , mLog(aLog)
  , mDataCentre(std::move(aDataCentre))
  , mInstances(aSeeds.begin(), aSeeds.end())
  , mLastKnown(aClock.MonotonicNow())
{
}

std::optional<InstanceName>
LeaderFinder::Leader() const
{
  const bool believed =
    mLeader && mClock.MonotonicNow() - mHeard < kBelief && !mInDoubt;
  return believed ? mLeader : std::nullopt;
}

std::optional<InstanceName>
LeaderFinder::LocalLeader() const
{
  const bool believed =
    mLocalLeader && !Leader() && mClock.MonotonicNow() - mLocalHeard < kBelief;
  return believed ? mLocalLeader : std::nullopt;
}

std::optional<InstanceName>
LeaderFinder::AnyLeader() const
{
  const std::optional<InstanceName> leader = Leader();
  return leader ? leader : LocalLeader();
}

bool
LeaderFinder::WantsLocalLeader() const
{
  return mClock.MonotonicNow() - mLastKnown >= kWantsLocalAfter;
}

std::optional<InstanceName>
LeaderFinder::LocalCandidate() const
{
  const TimePoint now = mClock.MonotonicNow();
  if (mLocalLeader && now - mLocalHeard < kBelief) {
    return mLocalLeader;
  }
  for (const auto& [instance, answered] : mNear) {
    if (now - answered < kBelief) {
      return instance;
    }
  }
  return std::nullopt;
}

void
LeaderFinder::SetUnresolved(std::vector<std::string> aKeys)
{
  mUnresolved = std::move(aKeys);
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
  if (Leader()) {
    mLastKnown = now;
  }
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
  LeaderQuestion question;
  question.mDataCentre = mDataCentre;
  question.mWantsLocal = WantsLocalLeader() && LocalCandidate() == aInstance;
  if (question.mWantsLocal) {
    question.mUnresolved = mUnresolved;
  }
  mRpc.Call(aInstance,
            kLeaderMethod,
            PackMessage(question),
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
  TakeLocalStatus(aFrom, aStatus);
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

// Of several that lead alone, the one that was found first is kept.
void
LeaderFinder::TakeLocalStatus(const InstanceName& aFrom,
                              const LeaderStatus& aStatus)
{
  if (aStatus.mDataCentre != mDataCentre) {
    return;
  }
  mNear[aFrom] = mClock.MonotonicNow();
  if (!aStatus.mLeadsLocally) {
    if (mLocalLeader == aFrom) {
      EventLine(mLog, "local-leader-lost").With("leader", aFrom);
      mLocalLeader.reset();
    }
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  const bool other =
    mLocalLeader && mLocalLeader != aFrom && now - mLocalHeard < kBelief;
  if (other) {
    return;
  }
  if (mLocalLeader != aFrom) {
    EventLine(mLog, "local-leader-found")
      .With("leader", aFrom)
      .With("data_centre", mDataCentre)
      .With("unresolved", std::uint64_t{ mUnresolved.size() });
  }
  mLocalLeader = aFrom;
  mLocalHeard = now;
}

}

#include "Controllers/PeerVersionPoll.h"

#include <algorithm>
#include <string>
#include <utility>

#include <glog/logging.h>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

constexpr const char* kKnownVersionMethod = "configuration.known-version";

struct KnownVersion
{
  bool mHasConfirmedVersion = false;
  RulesVersion mHighestKnown = 0;

  MSGPACK_DEFINE(mHasConfirmedVersion, mHighestKnown)
};

}

PeerVersionPoll::PeerVersionPoll(PeerRpc& aRpc,
                                 RulesPublisher& aPublisher,
                                 const Clock& aClock,
                                 InstanceIdentity aSelf)
  : mRpc(aRpc)
  , mPublisher(aPublisher)
  , mClock(aClock)
  , mSelf(std::move(aSelf))
{
  mRpc.Register(
    kKnownVersionMethod,
    [&publisher = mPublisher](
      const InstanceName&, const std::string&, const PeerRpc::Done& aDone) {
      aDone(PackMessage(KnownVersion{ publisher.IsVersionConfirmed(),
                                      publisher.HighestKnownVersion() }));
    });
}

void
PeerVersionPoll::Tick(const std::vector<InstanceStatus>& aInstances)
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  const bool hasLivePeer = std::any_of(
    aInstances.begin(), aInstances.end(), [this](const InstanceStatus& aOne) {
      return aOne.mIdentity.mName != mSelf.mName && IsLive(aOne.mHealth);
    });
  if (!hasLivePeer) {
    mFirstContact.reset();
    return;
  }
  mFirstContact = mFirstContact.value_or(now);
  if (now - *mFirstContact < kGroupTimeout) {
    return;
  }
  if (mRound) {
    const std::lock_guard<std::mutex> lock(mRound->mMutex);
    if (mRound->mOpenCalls > 0) {
      return;
    }
  }
  if (mRound) {
    Evaluate(aInstances, now);
    mRound.reset();
  }
  if (!mPublisher.IsVersionConfirmed() && now - mRoundStart >= kRoundInterval) {
    mRoundStart = now;
    Start(aInstances);
  }
}

void
PeerVersionPoll::Start(const std::vector<InstanceStatus>& aInstances)
{
  // Peers considered dead are polled too, because they may have restarted.
  mRound = std::make_shared<Round>();
  mRound->mOpenCalls = aInstances.size();
  for (const InstanceStatus& instance : aInstances) {
    Ask(instance.mIdentity.mName);
  }
}

void
PeerVersionPoll::Ask(const InstanceName& aPeer)
{
  const auto done = [round = mRound,
                     aPeer](const Result<std::string>& aResponse) {
    const std::lock_guard<std::mutex> lock(round->mMutex);
    --round->mOpenCalls;
    if (!aResponse) {
      return;
    }
    const Result<KnownVersion> known =
      UnpackMessage<KnownVersion>(aResponse.value());
    if (!known) {
      LOG(WARNING) << "cannot decode the known rules version of " << aPeer
                   << ": " << known.error().Message();
      return;
    }
    round->mAnswers[aPeer] = { known.value().mHasConfirmedVersion,
                               known.value().mHighestKnown };
  };
  if (aPeer == mSelf.mName) {
    done(PackMessage(KnownVersion{ false, mPublisher.HighestKnownVersion() }));
    return;
  }
  mRpc.Call(aPeer, kKnownVersionMethod, "", kCallTimeout, done);
}

bool
PeerVersionPoll::IsAnswerMissing(const InstanceStatus& aPeer,
                                 Clock::Monotonic aNow) const
{
  if (!IsLive(aPeer.mHealth) ||
      mRound->mAnswers.count(aPeer.mIdentity.mName) > 0) {
    return false;
  }
  const bool isInSameDataCentre =
    aPeer.mIdentity.mDataCentre == mSelf.mDataCentre;
  return isInSameDataCentre || aNow - *mFirstContact < kRemotePeerTimeout;
}

void
PeerVersionPoll::Evaluate(const std::vector<InstanceStatus>& aInstances,
                          Clock::Monotonic aNow)
{
  const std::lock_guard<std::mutex> lock(mRound->mMutex);
  bool hasConfirmedPeer = false;
  for (const auto& [peer, answer] : mRound->mAnswers) {
    mPublisher.RecordKnownVersion(answer.mHighestKnown);
    hasConfirmedPeer = hasConfirmedPeer || answer.mHasConfirmedVersion;
  }
  const auto missed = std::find_if(
    aInstances.begin(), aInstances.end(), [&](const InstanceStatus& aPeer) {
      return IsAnswerMissing(aPeer, aNow);
    });
  if (missed != aInstances.end()) {
    LOG(INFO)
      << "rules version not confirmed: no answer from the live instance "
      << missed->mIdentity.mName;
    return;
  }
  if (!hasConfirmedPeer) {
    return;
  }
  LOG(INFO) << "the group was not reached; the highest rules version known to "
               "the live instances is "
            << mPublisher.HighestKnownVersion();
  mPublisher.ConfirmHighestKnownVersion();
}

}

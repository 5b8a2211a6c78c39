#pragma once

#include <utility>
#include <vector>

#include "Consensus/StateMachine.h"
#include "Jobs/ExecutorLeaseGranter.h"
#include "Jobs/SubmissionGroup.h"
#include "Jobs/SubmissionStateMachine.h"
#include "Support/FakeReplicator.h"

namespace almondspoke::testing {

/** \brief A submission group of one replica whose network can be made to
 * fail. */
class FakeSubmissionGroup : public SubmissionGroup
{
public:
  enum class Network
  {
    Works,
    /** Nothing is sent, and the caller gets an error that says so. */
    Refuses,
    /** Commands are applied, but their answers are lost. */
    LosesAnswers,
    /** Commands are lost, and the caller gets the same kind of error as for
     * a lost answer. */
    LosesCommands,
    /** Commands and the answers to lease renewals are delayed until
     * ReleaseHeld(). */
    Holds
  };

  FakeSubmissionGroup(const Clock& aClock,
                      const ExecutorLeaseSettings& aSettings = {})
    : mReplicator(mState)
    , mGranter(mReplicator, mState, aClock, aSettings)
  {
  }

  void Propose(std::string aCommand, Replicator::Done aDone) override
  {
    switch (mNetwork) {
      case Network::Works:
        mReplicator.Propose(std::move(aCommand), std::move(aDone));
        return;
      case Network::Refuses:
        aDone(Error(ErrorKind::HomeUnreachable, "network cut off"));
        return;
      case Network::LosesAnswers:
        mReplicator.Propose(std::move(aCommand),
                            [](const Result<std::string>&) {});
        aDone(Error(ErrorKind::OutcomeUnknown, "answer lost"));
        return;
      case Network::LosesCommands:
        aDone(Error(ErrorKind::OutcomeUnknown, "command lost"));
        return;
      case Network::Holds:
        mHeld.emplace_back(std::move(aCommand), std::move(aDone));
        return;
    }
  }

  void Lookup(const KeyHash& aKey,
              std::uint32_t aKeyEpoch,
              LookupDone aDone) override
  {
    if (mNetwork != Network::Works) {
      aDone(Error(ErrorKind::HomeUnreachable, "network cut off"));
      return;
    }
    aDone(mState.Lookup(aKey, aKeyEpoch));
  }

  void RenewLease(const InstanceName& /*aInstance*/,
                  ExecutorEpoch aEpoch,
                  RenewDone aDone) override
  {
    ++mRenewals;
    if (mNetwork == Network::Holds) {
      mHeldRenewals.emplace_back(mGranter.Renew(aEpoch), std::move(aDone));
      return;
    }
    if (mNetwork != Network::Works) {
      aDone(Error(ErrorKind::HomeUnreachable, "network cut off"));
      return;
    }
    aDone(mGranter.Renew(aEpoch));
  }

  void ReleaseHeld()
  {
    auto held = std::move(mHeld);
    mHeld.clear();
    auto renewals = std::move(mHeldRenewals);
    mHeldRenewals.clear();
    for (auto& [result, done] : renewals) {
      done(result);
    }
    for (auto& [command, done] : held) {
      mReplicator.Propose(std::move(command), std::move(done));
    }
  }

  Network mNetwork = Network::Works;
  /** Number of calls of RenewLease(). */
  int mRenewals = 0;
  SubmissionStateMachine mState;
  FakeReplicator mReplicator;
  ExecutorLeaseGranter mGranter;

private:
  std::vector<std::pair<std::string, Replicator::Done>> mHeld;
  /** Granted renewals whose answers are delayed. */
  std::vector<std::pair<Result<LeaseGrant>, RenewDone>> mHeldRenewals;
};

}

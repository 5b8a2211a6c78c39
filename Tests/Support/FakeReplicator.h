#pragma once

#include <string>
#include <utility>

#include "Consensus/Replicator.h"
#include "Consensus/StateMachine.h"

namespace almondspoke::testing {

/** \brief A Replicator with a single replica that commits synchronously, or
 * fails with mFailure if that is set. */
class FakeReplicator : public Replicator
{
public:
  explicit FakeReplicator(StateMachine& aMachine)
    : mMachine(aMachine)
  {
  }

  void Propose(std::string aCommand, Done aDone) override
  {
    if (mFailure) {
      aDone(*mFailure);
      return;
    }
    aDone(mMachine.Apply(++mIndex, aCommand));
  }

  void Barrier(std::function<void(Result<void>)> aDone) override
  {
    if (mFailure) {
      aDone(*mFailure);
      return;
    }
    aDone(Success());
  }

  bool IsLeader() const override { return mLeader; }
  std::optional<InstanceName> Leader() const override { return mLeaderName; }
  Term CurrentTerm() const override { return mTerm; }

  std::optional<Error> mFailure;
  bool mLeader = true;
  std::optional<InstanceName> mLeaderName;
  Term mTerm = 1;

private:
  StateMachine& mMachine;
  LogIndex mIndex = 0;
};

}

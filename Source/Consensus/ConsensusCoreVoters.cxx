// ConsensusCore: keeps the target number of voters.
#include "Consensus/ConsensusCore.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

const ReplicaId*
ConsensusCore::FindCaughtUpLearner() const
{
  for (const auto& [replica, progress] : mPeers) {
    const bool eligible = !IsVoter(replica) && progress.mDurable &&
                          !progress.mSuperseded && IsCaughtUp(progress);
    if (eligible && mLog.Configuration().FindVoter(replica.mName) == nullptr) {
      return &replica;
    }
  }
  return nullptr;
}

const ReplicaId*
ConsensusCore::FindUnresponsiveVoter() const
{
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    const auto peer = mPeers.find(voter);
    if (voter == Self() || peer == mPeers.end()) {
      continue;
    }
    const auto silence = mNow - peer->second.mLastHeard;
    if (silence > mOptions.mTimings.mVoterReplacementTimeout) {
      return &voter;
    }
  }
  return nullptr;
}

void
ConsensusCore::MaintainVoterCount()
{
  if (mOptions.mTargetVoterCount == 0) {
    return;
  }
  const ReplicaId* learner = FindCaughtUpLearner();
  if (learner == nullptr) {
    return;
  }
  GroupConfiguration next = mLog.Configuration();
  if (next.mVoters.size() < mOptions.mTargetVoterCount) {
    next.mVoters.push_back(*learner);
    ProposeConfiguration(std::move(next));
    return;
  }
  const ReplicaId* unresponsive = FindUnresponsiveVoter();
  if (unresponsive == nullptr || next.mVoters.size() <= 2) {
    return;
  }
  // Removes the unresponsive voter first, since the remaining voters still form
  // a majority. The next call adds the learner.
  next.mVoters.erase(
    std::find(next.mVoters.begin(), next.mVoters.end(), *unresponsive));
  ProposeConfiguration(std::move(next));
}

}

// The number of voters that a group keeps by itself, in ConsensusCore.
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
  if (mOptions.mTargetVoters == 0) {
    return;
  }
  const ReplicaId* learner = FindCaughtUpLearner();
  if (learner == nullptr) {
    return;
  }
  GroupConfiguration next = mLog.Configuration();
  if (next.mVoters.size() < mOptions.mTargetVoters) {
    next.mVoters.push_back(*learner);
    ProposeConfiguration(std::move(next));
    return;
  }
  const ReplicaId* silent = FindUnresponsiveVoter();
  if (silent == nullptr || next.mVoters.size() <= 2) {
    return;
  }
  // Removed first: the smaller group has its majority among those that answer,
  // and the next step adds the learner.
  next.mVoters.erase(
    std::find(next.mVoters.begin(), next.mVoters.end(), *silent));
  ProposeConfiguration(std::move(next));
}

}

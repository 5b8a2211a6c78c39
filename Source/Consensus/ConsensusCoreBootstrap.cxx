// ConsensusCore: which replicas may take part in the bootstrap of a group.
#include "Consensus/ConsensusCore.h"

namespace almondspoke {

namespace {

/** A Join of a replica without state is valid for this many join
 * intervals. */
constexpr int kFreshReplicaValidityIntervals = 4;

}

bool
ConsensusCore::IsFresh() const
{
  return !IsAdmitted() && !mIdentity.mEverAdmitted && mOptions.mDurable;
}

void
ConsensusCore::UpdateUnadmittedIdentity()
{
  if (mOptions.mMayBootstrap && IsFresh() && !mIdentity.mCreatedForBootstrap) {
    mIdentity.mCreatedForBootstrap = true;
    mPendingWrite.mNewIdentity = mIdentity;
  }
  if (!mOptions.mMayBootstrap && !mIdentity.mCreatedForBootstrap) {
    mIdentity.mEverAdmitted = true;
  }
}

std::vector<ReplicaId>
ConsensusCore::BootstrapVoters() const
{
  const std::set<InstanceName> initial(mOptions.mInitialVoters.begin(),
                                       mOptions.mInitialVoters.end());
  // Only the first voter by name bootstraps, so that there is a single group.
  if (!IsFresh() || initial.empty() || *initial.begin() != mOptions.mSelf) {
    return {};
  }
  const auto validity =
    mOptions.mTimings.mJoinInterval * kFreshReplicaValidityIntervals;
  std::vector<ReplicaId> voters{ Self() };
  for (const InstanceName& name : initial) {
    const auto known = mUnadmittedReplicas.find(name);
    if (name == mOptions.mSelf) {
      continue;
    }
    if (known == mUnadmittedReplicas.end() ||
        mNow - known->second.mSeen > validity) {
      return {};
    }
    if (known->second.mIsFresh) {
      voters.push_back({ name, known->second.mIncarnation });
    }
  }
  // This replica is the only one that bootstraps and has not done so. A replica
  // that may have lost its storage can therefore not have been in a group. It
  // joins as a learner.
  const bool isMajority = voters.size() > initial.size() / 2;
  return isMajority ? voters : std::vector<ReplicaId>{};
}

}

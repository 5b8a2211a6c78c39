#include "Daemon/SubmissionReplica.h"

#include "Jobs/SubmissionKey.h"
#include "Jobs/SubmissionPeerMessages.h"

namespace almondspoke {

namespace {

// Shorter than the timeout of a peer's request, so that a member without a
// leader reports that nothing was appended before the requesting peer times
// out.
constexpr std::chrono::milliseconds kProposalTimeout =
  kSubmissionPeerTimeout * 3 / 4;

// Derived from the name, so that a group keeps its id when other groups are
// added.
GroupId
GroupIdOf(const DataCentreName& aHome)
{
  return static_cast<GroupId>(HashBody("submissions-" + aHome));
}

ConsensusGroupOptions
GroupOptionsOf(const SubmissionReplicaOptions& aOptions)
{
  ConsensusGroupOptions options;
  options.mSelf = aOptions.mSelf;
  options.mGroup = GroupIdOf(aOptions.mHome);
  options.mInitialVoters = aOptions.mVoters;
  options.mAdmitLearners = false;
  options.mProposalTimeout = kProposalTimeout;
  return options;
}

}

SubmissionReplica::SubmissionReplica(const SubmissionReplicaOptions& aOptions,
                                     asio::io_context& aContext,
                                     const Clock& aClock,
                                     ConsensusChannel& aChannel,
                                     PeerRpc& aRpc)
  : mStorage(FileJournalStorage::Open(aOptions.mFolder))
  , mConsensus(GroupOptionsOf(aOptions),
               aChannel,
               mState,
               aClock,
               mStorage ? mStorage.value().get() : nullptr)
  , mGranter(mConsensus, mState, aClock, ExecutorLeaseSettings())
  , mSubmissionClock(mConsensus, aClock, aOptions.mLimits)
  , mLocal(aOptions.mHome, mConsensus, mState, mGranter, aRpc)
  , mPosted(aContext, mLocal)
{
}

Result<void>
SubmissionReplica::Start()
{
  if (!mStorage) {
    return mStorage.error();
  }
  return mConsensus.Start();
}

void
SubmissionReplica::Stop()
{
  mConsensus.Stop();
}

bool
SubmissionReplica::IsVoting() const
{
  switch (mConsensus.Status().mRole) {
    case ReplicaRole::Follower:
    case ReplicaRole::PreCandidate:
    case ReplicaRole::Candidate:
    case ReplicaRole::Leader:
      return true;
    default:
      return false;
  }
}

void
SubmissionReplica::TransferLeadership()
{
  if (mConsensus.IsLeader()) {
    mConsensus.TransferLeadership([](const Result<void>&) {});
  }
}

void
SubmissionReplica::Tick()
{
  mGranter.Tick();
  mSubmissionClock.Tick();
}

}

#pragma once

#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "Base/Clock.h"
#include "Consensus/ConsensusGroup.h"
#include "Consensus/FileJournalStorage.h"
#include "Jobs/CallbackPostingSubmissionGroup.h"
#include "Jobs/ExecutorLeaseGranter.h"
#include "Jobs/LocalSubmissionGroup.h"
#include "Jobs/SubmissionClockAdvancer.h"
#include "Jobs/SubmissionStateMachine.h"

namespace almondspoke {

class PeerRpc;

/** \brief Options of a submission group's replica. */
struct SubmissionReplicaOptions
{
  InstanceName mSelf;
  /** Data centre whose keys the group stores. */
  DataCentreName mHome;
  std::vector<InstanceName> mVoters;
  /** Folder of the replica's journal. */
  std::string mFolder;
  SubmissionLimits mLimits;
};

/** \brief This instance's replica of one submission group, including the
 * leader's periodic work. */
class SubmissionReplica
{
public:
  SubmissionReplica(const SubmissionReplicaOptions& aOptions,
                    asio::io_context& aContext,
                    const Clock& aClock,
                    ConsensusChannel& aChannel,
                    PeerRpc& aRpc);
  SubmissionReplica(const SubmissionReplica&) = delete;
  SubmissionReplica& operator=(const SubmissionReplica&) = delete;

  /** Reads the journal and joins the group. Errors: StorageFailed. */
  Result<void> Start();
  void Stop();

  /** Transfers leadership to another voter if this replica is the leader. */
  void TransferLeadership();

  /** Performs the leader's periodic work. Must be called about every 20 ms. */
  void Tick();

  SubmissionGroup& Group() { return mPosted; }
  /** Returns true if this replica is a voter now. A readmitted replica is a
   * learner until it has the complete state. */
  bool IsVoting() const;
  bool HasFailed() const { return mConsensus.HasFailed(); }
  bool IsLeader() const { return mConsensus.IsLeader(); }
  const Replicator& Consensus() const { return mConsensus; }
  VoterGroup& Voters() { return mConsensus; }
  SubmissionCounts Counts() const { return mState.Counts(); }

private:
  SubmissionStateMachine mState;
  Result<std::unique_ptr<FileJournalStorage>> mStorage;
  ConsensusGroup mConsensus;
  ExecutorLeaseGranter mGranter;
  SubmissionClockAdvancer mSubmissionClock;
  LocalSubmissionGroup mLocal;
  CallbackPostingSubmissionGroup mPosted;
};

}

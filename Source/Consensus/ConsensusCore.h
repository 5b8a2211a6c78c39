#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Consensus/ConsensusMessage.h"
#include "Consensus/ConsensusTypes.h"
#include "Consensus/ReplicatedLog.h"
#include "Consensus/ReplicationProgress.h"

namespace almondspoke {

/** \brief Timeouts and intervals of a group; must be the same on all its
 * instances. */
struct ConsensusTimings
{
  std::chrono::milliseconds mHeartbeatInterval{ 200 };
  std::chrono::milliseconds mLearnerHeartbeatInterval{ 600 };
  /** A follower starts an election after a random time between these two
   * without a message from a leader. The leader's lease is a fraction of the
   * minimum. */
  std::chrono::milliseconds mElectionTimeoutMin{ 500 };
  std::chrono::milliseconds mElectionTimeoutMax{ 900 };
  /** A candidate without a majority starts another election after a random
   * time between these two. They must be longer than a round trip plus a synced
   * write. */
  std::chrono::milliseconds mElectionRetryTimeoutMin{ 150 };
  std::chrono::milliseconds mElectionRetryTimeoutMax{ 400 };
  /** Time after which unacknowledged entries are sent again. */
  std::chrono::milliseconds mRetransmitTimeout{ 300 };
  /** Interval between the Join messages of a replica without a leader. */
  std::chrono::milliseconds mJoinInterval{ 500 };
  /** Interval between the Verify messages of a restarted voter. */
  std::chrono::milliseconds mVerifyInterval{ 150 };
  /** Time after which a restarted voter trusts its own storage even if too few
   * peers have confirmed it. */
  std::chrono::milliseconds mVerifyTimeout{ 5000 };
  /** Time after which the leader stops replicating to an unresponsive
   * learner. */
  std::chrono::milliseconds mLearnerTimeout{ 5000 };
  /** Time after which an unresponsive voter is replaced by a durable learner,
   * if the group has a target number of voters. */
  std::chrono::milliseconds mVoterReplacementTimeout{ 3000 };
};

constexpr std::size_t kKibibyte = 1024;

/** \brief Limits on memory use and message sizes. */
struct ConsensusLimits
{
  /** Entries in one Append message. */
  std::size_t mMaxBatchEntries = 1024;
  std::size_t mMaxBatchBytes = 256 * kKibibyte;
  /** Append messages sent to one peer and not yet acknowledged. */
  std::size_t mMaxInflightMessages = 16;
  std::size_t mMaxSnapshotChunkBytes = 128 * kKibibyte;
  /** Entries that have been proposed and not yet committed. */
  std::size_t mMaxUncommittedEntries = 20000;
  std::size_t mMaxUncommittedBytes = 8 * kKibibyte * kKibibyte;
  /** Size of the log in memory at which a snapshot is taken. */
  std::size_t mCompactionEntries = 100000;
  std::size_t mCompactionBytes = 8 * kKibibyte * kKibibyte;
  /** Entries covered by the snapshot that stay in memory for slow
   * followers. */
  std::size_t mMaxRetainedEntries = 2000;
};

/** \brief Configuration of a ConsensusCore. */
struct CoreOptions
{
  InstanceName mSelf;
  /** Voters of a new group; used only until the group is bootstrapped. */
  std::vector<InstanceName> mInitialVoters;
  /** False for a learner that keeps all its state in memory. */
  bool mDurable = true;
  /** Whether any instance that sends a Join becomes a learner. */
  bool mAdmitLearners = true;
  /** False if this instance has run before, so that empty storage means that
   * its disk was lost; such a replica must not bootstrap a group. */
  bool mMayBootstrap = true;
  /** Number of voters that the leader maintains by promoting durable learners
   * and replacing unresponsive voters; zero if operators manage the voters. */
  std::size_t mTargetVoterCount = 0;
  /** Last log index that the state machine has applied before; entries up to it
   * are not delivered again. Zero for a state machine in its initial state. */
  LogIndex mAppliedIndex = 0;
  ConsensusTimings mTimings;
  ConsensusLimits mLimits;
  /** Seed of the random election timeouts and identifiers. */
  std::uint64_t mSeed = 0;
};

/** \brief Role of a replica in its group. */
enum class ReplicaRole : std::uint8_t
{
  /** Not yet a member of a group. */
  Unadmitted,
  /** Restarted, and waiting for peers to confirm that its storage is up to
   * date. */
  Verifying,
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  /** The disk has failed; the replica neither sends nor handles messages. */
  Failed
};

/** Returns the name of a role for logs, metrics and listings. */
std::string_view
NameOf(ReplicaRole aRole);

/** \brief Index and term of the log entry of a proposal. */
struct ProposalPosition
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
};

/** \brief Result of one read request (Raft's ReadIndex). */
struct ReadOutcome
{
  std::uint64_t mId = 0;
  /** False if no leader is known, or if the leader lost its quorum. */
  bool mConfirmed = false;
  /** Read index: all entries committed before the request are at or below
   * it. */
  LogIndex mIndex = 0;
};

/** \brief Actions for the driver, to be carried out in the order of the
 * members. */
struct CoreEffects
{
  /** Reset the state machine to its initial state. */
  bool mResetStateMachine = false;
  std::vector<JournalWrite> mWrites;
  std::vector<OutgoingMessage> mMessages;
  /** Snapshot to restore the state machine from. */
  std::optional<Snapshot> mSnapshotToRestore;
  /** Committed entries to apply. */
  std::vector<LogEntry> mCommitted;
  std::vector<ReadOutcome> mReads;
  /** Take a snapshot of the state machine and call SnapshotTaken(). */
  bool mTakeSnapshot = false;
};

/** \brief Replication state of one replica, as recorded by the leader. */
struct PeerStatus
{
  ReplicaId mReplica;
  bool mVoter = false;
  /** Last log index that the replica has acknowledged as durable. */
  LogIndex mMatch = 0;
  /** Whether the replica was heard from within the election timeout. */
  bool mActive = false;
};

/** \brief State of a replica, for metrics and listings. */
struct CoreStatus
{
  ReplicaId mSelf;
  ReplicaRole mRole = ReplicaRole::Unadmitted;
  Term mTerm = 0;
  std::optional<InstanceName> mLeader;
  bool mLeaseHeld = false;
  /** Index of the last log entry. */
  LogIndex mLast = 0;
  /** Index of the last log entry that is durable here. */
  LogIndex mSynced = 0;
  /** Commit index. */
  LogIndex mCommitIndex = 0;
  /** Last index covered by the latest snapshot; zero without a snapshot. */
  LogIndex mSnapshot = 0;
  /** Committed membership. */
  GroupConfiguration mConfiguration;
  /** Filled on the leader only. */
  std::vector<PeerStatus> mPeers;
};

/** \brief One replica of a Raft group, without threads and I/O.
 *
 * Implements Raft with pre-vote, check-quorum, leader lease, read index,
 * learners, leadership transfer and single-server membership changes. The
 * driver passes in time, messages and completed writes, and carries out the
 * actions that TakeEffects() returns. The same inputs and seed give the same
 * actions. Not thread-safe. */
class ConsensusCore
{
public:
  using TimePoint = Clock::Monotonic;

  ConsensusCore(CoreOptions aOptions, StoredState aStored, TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(TimePoint aNow,
               const InstanceName& aFrom,
               ConsensusMessage&& aMessage);
  /** To be called when all writes up to a sequence number are durable. */
  void DiskCompleted(TimePoint aNow, std::uint64_t aSequence);
  /** To be called when a write has failed. The replica is inactive from then
   * on; once the storage can be opened again, another core takes its place as
   * after a restart. */
  void DiskFailed(TimePoint aNow);

  /** Appends a command to the leader's log. Errors: NotLeader, QueueFull. */
  Result<ProposalPosition> Propose(TimePoint aNow, std::string aCommand);
  /** Requests a read index; CoreEffects::mReads returns the result. */
  void RequestRead(TimePoint aNow, std::uint64_t aId);
  /** Adds a voter, which is promoted once its replica has caught up, or demotes
   * a voter to learner. A repeated request id has no further effect. Returns
   * the membership version that results from the change.
   *
   * Errors: NotLeader; NoQuorum while another change is in progress;
   * InvalidArgument if the instance to add is already a voter, or the instance
   * to remove is not a voter or is the last one; VersionConflict; KeyConflict
   * if the request id belongs to another change. */
  Result<std::uint64_t> ChangeVoters(TimePoint aNow,
                                     const VoterChange& aChange);
  /** Transfers leadership to the most up-to-date voter. Errors: NotLeader,
   * NoQuorum if the group has no other voter. */
  Result<void> TransferLeadership(TimePoint aNow);
  /** Passes in the snapshot that CoreEffects::mTakeSnapshot requested.
   *
   * \param aIndex index of the last applied entry. */
  void SnapshotTaken(LogIndex aIndex, std::string aData);

  CoreEffects TakeEffects(TimePoint aNow);

  CoreStatus Status(TimePoint aNow) const;
  /** Time at which Tick() must be called to start an election on time; empty
   * if this replica cannot start one. */
  std::optional<TimePoint> ElectionDeadline() const;
  /** Time until which no other replica can become leader; empty without a
   * lease. */
  std::optional<TimePoint> LeaseExpiry() const;
  const std::optional<InstanceName>& Leader() const { return mLeader; }
  Term CurrentTerm() const { return mHardState.mTerm; }
  bool IsLeading() const { return mRole == ReplicaRole::Leader; }

private:
  /** A message to send once a write is durable. */
  struct DeferredMessage
  {
    std::uint64_t mSequence;
    OutgoingMessage mOutgoing;
  };
  /** A write that is not yet durable, and the last log index at its time. */
  struct UnsyncedWrite
  {
    std::uint64_t mSequence;
    LogIndex mLast;
  };
  struct PendingRead
  {
    std::uint64_t mId;
    /** Instance that sent the request; empty for this replica. */
    InstanceName mFrom;
    LogIndex mIndex;
    std::uint64_t mHeartbeatRound;
  };
  /** A replica without any state, from its latest Join message. */
  /** \brief A replica that belongs to no group. */
  struct UnadmittedReplica
  {
    StorageIncarnation mIncarnation;
    TimePoint mSeen;
    /** False if the replica may have lost its storage. */
    bool mIsFresh;
  };
  struct VerifyAnswer
  {
    Term mTerm;
    LogPosition mLast;
  };

  // Dispatch of messages.
  using MessageHandler = void (ConsensusCore::*)(const InstanceName&,
                                                 ConsensusMessage&);
  static MessageHandler HandlerOf(MessageKind aKind);
  void Ignore(const InstanceName& aFrom, ConsensusMessage& aMessage);

  // Identity and membership.
  ReplicaId Self() const;
  bool IsVoter(const ReplicaId& aReplica) const;
  bool IsSelfVoter() const { return IsVoter(Self()); }
  bool IsAdmitted() const { return mHardState.mBootstrapId != 0; }
  bool CanVote() const;
  std::set<InstanceName> KnownPeers() const;

  // Persistence.
  void SaveHardState() { mPendingWrite.mHardState = mHardState; }
  /** Number of the write that makes the present state durable. */
  std::uint64_t SequenceToAwait() const;
  void Send(const InstanceName& aTo, ConsensusMessage aMessage);
  void SendAfterSync(const InstanceName& aTo, ConsensusMessage aMessage);
  ConsensusMessage MakeMessage(MessageKind aKind) const;
  void AppendToLog(LogEntry aEntry);
  void TruncateLog(LogIndex aFrom);
  LogIndex CompactionPoint(LogIndex aSnapshotIndex) const;

  // Elections.
  void ResetElectionTimer();
  void ResetElectionTimer(std::chrono::milliseconds aMin,
                          std::chrono::milliseconds aMax);
  bool CanStartElection() const;
  void BecomeFollower(Term aTerm);
  void ObserveLeader(const InstanceName& aLeader,
                     const ConsensusMessage& aFrom);
  bool HeardLeaderRecently() const;
  void StartPreVote();
  void StartElection(bool aTransfer);
  void RequestVotes(MessageKind aKind, bool aTransfer);
  void CountVotes();
  void BecomeLeader();
  /** Lowest last log position that a candidate needs to get this vote. */
  LogPosition MinimumVotePosition() const;
  bool IsUpToDate(const ConsensusMessage& aRequest) const;
  void OnPreVote(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnPreVoteReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnVote(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnVoteReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnTimeoutNow(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void CheckQuorum();
  void ExpireTransfer();
  void ContinueTransfer(bool aRegardlessOfLog);

  // Replication on the leader.
  void SendHeartbeats();
  void SendVoterHeartbeats();
  void ExpireLearners();
  void SendHeartbeat(const ReplicaId& aTo, ReplicationProgress& aProgress);
  void Replicate();
  void SendEntries(const ReplicaId& aTo, ReplicationProgress& aProgress);
  void SendSnapshotChunk(const ReplicaId& aTo, ReplicationProgress& aProgress);
  void AdvanceCommit();
  void StartPendingReads();
  void AnswerReads();
  void FailReads();
  void AnswerRead(const PendingRead& aRead, bool aConfirmed);
  /** Latest heartbeat round that a majority of the voters has answered. */
  std::uint64_t QuorumRound() const;
  /** Brings the next heartbeats forward to announce a new commit index. */
  void ScheduleEarlyHeartbeats();
  std::vector<Acknowledgement> CurrentAcknowledgements() const;
  ReplicationProgress* ProgressOf(const InstanceName& aFrom,
                                  const ConsensusMessage& aMessage);
  void OnAppendReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnHeartbeatReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnSnapshotReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnReadIndex(const InstanceName& aFrom, ConsensusMessage& aMessage);

  // Replication on a follower.
  bool AcceptLeader(const InstanceName& aFrom,
                    const ConsensusMessage& aMessage);
  void OnAppend(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnHeartbeat(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnSnapshotChunk(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnReadIndexReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  /** Index from which the leader should retry after a rejected Append. */
  LogIndex ConflictHint(LogIndex aRejected) const;
  void InstallSnapshot(const InstanceName& aFrom, Snapshot aSnapshot);
  void RejectAppend(const InstanceName& aFrom,
                    const ConsensusMessage& aMessage);
  void AdvanceFollowerCommit(LogIndex aCommit);
  void CollectCommittedEntries(CoreEffects& aEffects);
  /** Delivers the received snapshot unless the state machine is ahead of it. */
  void DeliverSnapshot(CoreEffects& aEffects);

  // Admission, restart verification and membership changes.
  void SendJoins();
  void OnJoin(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void AdmitLearner(const InstanceName& aFrom,
                    const ConsensusMessage& aMessage);
  /** Marks all other incarnations of the replica's instance as superseded. */
  void SupersedeOtherIncarnations(const ReplicaId& aReplica);
  /** Answers a voter that has no state: sends the bootstrap entry again, or
   * tells the voter that its storage was lost. */
  void ReplyToFreshVoter(const ReplicaId& aVoter);
  /** Whether this replica has a disk and has never belonged to a group. */
  bool IsFresh() const;
  /** Decides whether this replica may take part in the bootstrap of the group.
   * A replica that is restarted before the bootstrap may; one whose storage was
   * lost may not. */
  void UpdateUnadmittedIdentity();
  void OnJoinHint(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnBootstrap(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void TryBootstrap();
  /** Returns the voters to bootstrap the group with, or nothing if it must not
   * be bootstrapped yet. */
  std::vector<ReplicaId> BootstrapVoters() const;
  void AdoptBootstrap(const LogEntry& aEntry, std::uint64_t aBootstrapId);
  void StartVerifying();
  void ContinueVerifying();
  void FinishVerifying();
  void OnVerify(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void SendVerifyReply(const ReplicaId& aReplica, std::uint64_t aNonce);
  /** Whether this replica once acknowledged a position that its storage no
   * longer holds. */
  bool HasLostState(const Acknowledgement& aSeen) const;
  void OnVerifyReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void RecordAcknowledgement(const Acknowledgement& aAcknowledgement);
  void RecordMatch(const ReplicaId& aReplica,
                   const ReplicationProgress& aProgress);
  /** Discards all state; the replica rejoins under a new incarnation. */
  void DiscardState();
  /** Starts tracking the progress of voters that are not tracked yet. */
  void AddMissingPeers();
  /** Replaces or promotes at most one voter whose replica has caught up. */
  void AdvanceMembership();
  /** Promotes a learner or removes an unresponsive voter, if the group has a
   * target number of voters. */
  void MaintainVoterCount();
  const ReplicaId* FindCaughtUpLearner() const;
  const ReplicaId* FindUnresponsiveVoter() const;
  bool IsCaughtUp(const ReplicationProgress& aProgress) const;
  Result<void> CheckVoterChangeAllowed() const;
  Result<void> CheckBaseVersion(const VoterChange& aChange) const;
  Result<GroupConfiguration> WithVoter(const InstanceName& aName) const;
  Result<GroupConfiguration> WithoutVoter(const InstanceName& aName) const;
  void ProposeConfiguration(GroupConfiguration aConfiguration);
  void StepDownIfRemoved();

  CoreOptions mOptions;
  StorageIdentity mIdentity;
  HardState mHardState;
  ReplicatedLog mLog;
  std::optional<Snapshot> mSnapshot;
  std::mt19937_64 mRandom;
  TimePoint mNow;
  TimePoint mVerifyStarted;

  ReplicaRole mRole = ReplicaRole::Follower;
  std::optional<InstanceName> mLeader;
  /** Leader named by a JoinHint, to send the next Join to. */
  std::optional<InstanceName> mLeaderHint;
  TimePoint mLastLeaderContact;
  TimePoint mElectionDeadline;
  TimePoint mNextJoin;
  std::map<ReplicaId, bool> mVotes;
  bool mOwnVoteDurable = false;
  std::uint64_t mOwnVoteWriteSequence = 0;

  LogIndex mSynced = 0;
  LogIndex mCommitIndex = 0;
  /** Last index handed to the driver to apply. */
  LogIndex mDeliveredIndex = 0;

  // Leader only.
  std::map<ReplicaId, ReplicationProgress> mPeers;
  std::uint64_t mHeartbeatRound = 0;
  /** Recent heartbeat rounds and when they were sent. */
  std::deque<std::pair<std::uint64_t, TimePoint>> mRoundSendTimes;
  TimePoint mNextHeartbeat;
  /** Index of the Noop entry of the leader's term. */
  LogIndex mTermStartIndex = 0;
  std::deque<PendingRead> mPendingReads;
  /** Reads without a heartbeat round that confirms them. */
  std::vector<PendingRead> mUnstartedReads;
  std::optional<TimePoint> mTransferDeadline;
  std::uint64_t mHeartbeatCount = 0;

  // Restart verification.
  std::uint64_t mVerifyNonce = 0;
  TimePoint mNextVerify;
  std::map<ReplicaId, VerifyAnswer> mVerifyAnswers;
  /** Highest last log position that a verifying peer reported. */
  std::optional<LogPosition> mMinimumVotePosition;
  /** Highest position that each replica is known to have acknowledged, to
   * detect a replica that lost state. */
  std::map<ReplicaId, LogPosition> mAcknowledgedPositions;
  std::map<InstanceName, UnadmittedReplica> mUnadmittedReplicas;

  // Snapshot being received.
  Snapshot mIncomingSnapshot;
  std::string mIncomingSnapshotData;
  std::optional<Snapshot> mSnapshotToRestore;
  std::uint64_t mRestoreSequence = 0;

  // Writes, messages and effects not yet taken or completed.
  std::uint64_t mWriteSequence = 0;
  std::uint64_t mSyncedSequence = 0;
  std::deque<UnsyncedWrite> mUnsyncedWrites;
  JournalWrite mPendingWrite;
  std::deque<DeferredMessage> mDeferred;
  CoreEffects mEffects;
  bool mSnapshotRequested = false;
};

}

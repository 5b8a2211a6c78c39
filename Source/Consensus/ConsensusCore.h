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

/** \brief Timings of a group, the same on all its instances. */
struct ConsensusTimings
{
  std::chrono::milliseconds mHeartbeat{ 200 };
  std::chrono::milliseconds mLearnerHeartbeat{ 600 };
  /** A follower waits for a random time between these two before it asks for
   * an election; the shorter is also the base of the leader's lease. */
  std::chrono::milliseconds mElectionMin{ 500 };
  std::chrono::milliseconds mElectionMax{ 900 };
  /** A candidate without a majority waits for a random time between these two
   * before it asks again; longer than a round trip and a synced write. */
  std::chrono::milliseconds mElectionRetryTimeoutMin{ 150 };
  std::chrono::milliseconds mElectionRetryTimeoutMax{ 400 };
  /** Time until entries without an acknowledgement are sent again. */
  std::chrono::milliseconds mRetransmit{ 300 };
  /** Interval of the questions of a replica that looks for its group. */
  std::chrono::milliseconds mJoinInterval{ 500 };
  std::chrono::milliseconds mVerifyInterval{ 150 };
  /** Time after which a restarted voter trusts its own storage even though
   * too few peers have confirmed it. */
  std::chrono::milliseconds mVerifyTimeout{ 5000 };
  /** Time after which a silent learner is forgotten. */
  std::chrono::milliseconds mLearnerTimeout{ 5000 };
  /** Time after which a silent voter gives its place to a learner with a disk,
   * where the group keeps its own number of voters. */
  std::chrono::milliseconds mVoterReplacementTimeout{ 3000 };
};

constexpr std::size_t kKibibyte = 1024;

/** \brief Bounds on memory and on messages. */
struct ConsensusLimits
{
  std::size_t mMaxBatchEntries = 1024;
  std::size_t mMaxBatchBytes = 256 * kKibibyte;
  /** Messages with entries sent to one peer ahead of its acknowledgements. */
  std::size_t mMaxInflightMessages = 16;
  std::size_t mMaxSnapshotChunkBytes = 128 * kKibibyte;
  /** Entries proposed and not yet committed. */
  std::size_t mMaxUncommittedEntries = 20000;
  std::size_t mUncommittedBytes = 8 * kKibibyte * kKibibyte;
  /** Log in memory at which a snapshot is asked for. */
  std::size_t mCompactEntries = 100000;
  std::size_t mCompactBytes = 8 * kKibibyte * kKibibyte;
  /** Compacted entries kept in memory for slow followers. */
  std::size_t mRetainedEntries = 2000;
};

/** \brief What a replica's core is made with. */
struct CoreOptions
{
  InstanceName mSelf;
  /** Voters of a new group; used only while no group exists. */
  std::vector<InstanceName> mInitialVoters;
  /** False for a learner that keeps everything in memory only. */
  bool mDurable = true;
  /** Whether any instance that asks is taken in as a learner. */
  bool mAdmitLearners = true;
  /** False for a replica that must not found a group: its installation has run
   * before, and an empty storage means that its disk was lost. */
  bool mMayFound = true;
  /** Number of voters that the leader keeps by promoting learners with disks
   * and replacing silent voters; zero leaves the voters to operators. */
  std::size_t mTargetVoters = 0;
  ConsensusTimings mTimings;
  ConsensusLimits mLimits;
  std::uint64_t mSeed = 0;
};

/** \brief What a replica is at present. */
enum class ReplicaRole : std::uint8_t
{
  /** Belongs to no group yet. */
  Unadmitted,
  /** Restarted, and not yet sure that its storage is current. */
  Verifying,
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  /** Its disk has failed; it takes part in nothing. */
  Failed
};

/** Name of a role for logs, metrics and listings. */
std::string_view
NameOf(ReplicaRole aRole);

/** \brief Position of a proposal in the log of the leader's term. */
struct ProposalPosition
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
};

/** \brief Answer to one read request. */
struct ReadOutcome
{
  std::uint64_t mId = 0;
  /** False if this replica does not lead with a quorum, or knows no leader. */
  bool mConfirmed = false;
  /** Everything committed before the request is at or below this index. */
  LogIndex mIndex = 0;
};

/** \brief What the driver has to do, in the order of the members. */
struct CoreEffects
{
  /** The state machine goes back to its initial state. */
  bool mResetStateMachine = false;
  std::vector<JournalWrite> mWrites;
  std::vector<OutgoingMessage> mMessages;
  /** The state machine is replaced by this snapshot. */
  std::optional<Snapshot> mSnapshotToRestore;
  std::vector<LogEntry> mCommitted;
  std::vector<ReadOutcome> mReads;
  /** The driver shall take a snapshot and call SnapshotTaken(). */
  bool mTakeSnapshot = false;
};

/** \brief Replication state of one replica, as its leader sees it. */
struct PeerStatus
{
  ReplicaId mReplica;
  bool mVoter = false;
  LogIndex mMatch = 0;
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
  LogIndex mLast = 0;
  LogIndex mSynced = 0;
  LogIndex mCommit = 0;
  LogIndex mSnapshot = 0;
  /** Membership as committed. */
  GroupConfiguration mConfiguration;
  /** Empty on replicas other than the leader. */
  std::vector<PeerStatus> mPeers;
};

/** \brief One replica of a consensus group as a deterministic state machine.
 *
 * Implements Raft with pre-vote, check-quorum, leader lease, read index,
 * learners, leadership transfer and membership changes of one voter at a time.
 * Time, messages and completed writes come in by calls; TakeEffects() returns
 * what is to be done. Not thread-safe. */
class ConsensusCore
{
public:
  using TimePoint = Clock::Monotonic;

  ConsensusCore(CoreOptions aOptions, StoredState aStored, TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(TimePoint aNow,
               const InstanceName& aFrom,
               ConsensusMessage&& aMessage);
  /** All writes up to that sequence number are durable. */
  void DiskCompleted(TimePoint aNow, std::uint64_t aSequence);
  /** A write has failed; the replica takes part in nothing from here on. */
  void DiskFailed(TimePoint aNow);

  /** Appends a command on the leader. Errors: NotLeader, QueueFull. */
  Result<ProposalPosition> Propose(TimePoint aNow, std::string aCommand);
  /** Starts a read barrier; its outcome comes with the effects. */
  void RequestRead(TimePoint aNow, std::uint64_t aId);
  /** Has an instance promoted to voter once its replica has caught up, or makes
   * a voter a learner, once for each request id; returns the version of the
   * membership that the change makes. Errors: NotLeader; NoQuorum while another
   * change is under way; InvalidArgument if the instance is a voter already, or
   * none or the last; VersionConflict; KeyConflict if the request id is that of
   * another change. */
  Result<std::uint64_t> ChangeVoters(TimePoint aNow,
                                     const VoterChange& aChange);
  /** Hands leadership to the most up-to-date voter. Errors: NotLeader,
   * NoQuorum if no other voter has caught up. */
  Result<void> TransferLeadership(TimePoint aNow);
  /** The state machine's state as of aIndex, the last entry handed out. */
  void SnapshotTaken(LogIndex aIndex, std::string aData);

  CoreEffects TakeEffects(TimePoint aNow);

  CoreStatus Status(TimePoint aNow) const;
  /** Time at which Tick() is due for an election, however far apart the ticks
   * are; nothing for a replica that would not stand. */
  std::optional<TimePoint> ElectionDeadline() const;
  /** Time until which no other replica can lead; nothing without a lease. */
  std::optional<TimePoint> LeaseExpiry() const;
  const std::optional<InstanceName>& Leader() const { return mLeader; }
  Term CurrentTerm() const { return mHardState.mTerm; }
  bool IsLeading() const { return mRole == ReplicaRole::Leader; }

private:
  struct DeferredMessage
  {
    std::uint64_t mSequence;
    OutgoingMessage mOutgoing;
  };
  struct UnsyncedWrite
  {
    std::uint64_t mSequence;
    LogIndex mLast;
  };
  struct PendingRead
  {
    std::uint64_t mId;
    /** Empty for a request of this replica. */
    InstanceName mFrom;
    LogIndex mIndex;
    std::uint64_t mHeartbeatRound;
  };
  struct FreshReplica
  {
    StorageIncarnation mIncarnation;
    TimePoint mSeen;
  };
  struct VerifyAnswer
  {
    Term mTerm;
    LogPosition mLast;
  };

  // Dispatch.
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

  // Replication, leader's side.
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
  std::uint64_t QuorumRound() const;
  void ScheduleEarlyHeartbeats();
  std::vector<Acknowledgement> CurrentAcknowledgements() const;
  ReplicationProgress* ProgressOf(const InstanceName& aFrom,
                                  const ConsensusMessage& aMessage);
  void OnAppendReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnHeartbeatReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnSnapshotReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnReadIndex(const InstanceName& aFrom, ConsensusMessage& aMessage);

  // Replication, follower's side.
  bool AcceptLeader(const InstanceName& aFrom,
                    const ConsensusMessage& aMessage);
  void OnAppend(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnHeartbeat(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnSnapshotChunk(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnReadIndexReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  LogIndex ConflictHint(LogIndex aRejected) const;
  void InstallSnapshot(const InstanceName& aFrom, Snapshot aSnapshot);
  void RejectAppend(const InstanceName& aFrom,
                    const ConsensusMessage& aMessage);
  void AdvanceFollowerCommit(LogIndex aCommit);
  void CollectCommittedEntries(CoreEffects& aEffects);

  // Admission, verification and changes of membership.
  void SendJoins();
  void OnJoin(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void AdmitLearner(const InstanceName& aFrom,
                    const ConsensusMessage& aMessage);
  /** Sends to this replica only, of all that its instance has had. */
  void SupersedeOtherIncarnations(const ReplicaId& aReplica);
  void ReplyToFreshVoter(const ReplicaId& aVoter);
  bool IsFresh() const;
  void OnJoinHint(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void OnBootstrap(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void TryBootstrap();
  void AdoptBootstrap(const LogEntry& aEntry, std::uint64_t aBootstrapId);
  void StartVerifying();
  void ContinueVerifying();
  void FinishVerifying();
  void OnVerify(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void SendVerifyReply(const ReplicaId& aReplica, std::uint64_t aNonce);
  bool HasLostState(const Acknowledgement& aSeen) const;
  void OnVerifyReply(const InstanceName& aFrom, ConsensusMessage& aMessage);
  void RecordAcknowledgement(const Acknowledgement& aAcknowledgement);
  void RecordMatch(const ReplicaId& aReplica,
                   const ReplicationProgress& aProgress);
  void DiscardState();
  void AddMissingPeers();
  void AdvanceMembership();
  /** Promotes or replaces one voter, where the group keeps their number. */
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
  std::optional<InstanceName> mLeaderHint;
  TimePoint mLastLeaderContact;
  TimePoint mElectionDeadline;
  TimePoint mNextJoin;
  std::map<ReplicaId, bool> mVotes;
  bool mOwnVoteDurable = false;
  std::uint64_t mOwnVoteWriteSequence = 0;

  LogIndex mSynced = 0;
  LogIndex mCommit = 0;
  LogIndex mDeliveredIndex = 0;

  // Leader only.
  std::map<ReplicaId, ReplicationProgress> mPeers;
  std::uint64_t mHeartbeatRound = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> mRoundSendTimes;
  TimePoint mNextHeartbeat;
  LogIndex mTermStartIndex = 0;
  std::deque<PendingRead> mPendingReads;
  std::vector<PendingRead> mUnstartedReads;
  std::optional<TimePoint> mTransferDeadline;
  std::uint64_t mHeartbeatCount = 0;

  // Restart verification.
  std::uint64_t mVerifyNonce = 0;
  TimePoint mNextVerify;
  std::map<ReplicaId, VerifyAnswer> mVerifyAnswers;
  std::optional<LogPosition> mMinimumVotePosition;
  std::map<ReplicaId, LogPosition> mAcknowledgedPositions;
  std::map<InstanceName, FreshReplica> mFreshReplicas;

  // Snapshot being received.
  Snapshot mIncomingSnapshot;
  std::string mIncomingSnapshotData;
  std::optional<Snapshot> mSnapshotToRestore;
  std::uint64_t mRestoreSequence = 0;

  // Effects under way.
  std::uint64_t mWriteSequence = 0;
  std::uint64_t mSyncedSequence = 0;
  std::deque<UnsyncedWrite> mUnsyncedWrites;
  JournalWrite mPendingWrite;
  std::deque<DeferredMessage> mDeferred;
  CoreEffects mEffects;
  bool mSnapshotRequested = false;
};

}

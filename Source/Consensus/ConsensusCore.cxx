#include "Consensus/ConsensusCore.h"

#include <array>
#include <utility>

#include "Base/EnumNames.h"

namespace almondspoke {

namespace {

constexpr std::array<EnumName<ReplicaRole>, 8> kRoleNames = { {
  { ReplicaRole::Unadmitted, "unadmitted" },
  { ReplicaRole::Verifying, "verifying" },
  { ReplicaRole::Learner, "learner" },
  { ReplicaRole::Follower, "follower" },
  { ReplicaRole::PreCandidate, "pre-candidate" },
  { ReplicaRole::Candidate, "candidate" },
  { ReplicaRole::Leader, "leader" },
  { ReplicaRole::Failed, "failed" },
} };

}

std::string_view
NameOf(ReplicaRole aRole)
{
  return NameOf(kRoleNames, aRole);
}

ConsensusCore::ConsensusCore(CoreOptions aOptions,
                             StoredState aStored,
                             TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mIdentity(aStored.mIdentity)
  , mHardState(std::move(aStored.mHardState))
  , mSnapshot(std::move(aStored.mSnapshot))
  , mRandom(mOptions.mSeed)
  , mNow(aNow)
  , mVerifyStarted(aNow)
  // A restarted voter may have acknowledged a leader just before it stopped,
  // so it grants no vote before the leader's lease has expired.
  , mLastLeaderContact(aNow)
  , mNextJoin(aNow)
  , mDeliveredIndex(mOptions.mAppliedIndex)
  , mNextHeartbeat(aNow)
  , mNextVerify(aNow)
{
  if (mSnapshot) {
    mLog.Reset({ mSnapshot->mTerm, mSnapshot->mIndex },
               mSnapshot->mConfiguration);
    mCommitIndex = mSnapshot->mIndex;
    mSnapshotToRestore = mSnapshot;
  }
  // Entries without a bootstrap id come from a write that a crash
  // interrupted.
  if (IsAdmitted()) {
    for (LogEntry& entry : aStored.mEntries) {
      mLog.Append(std::move(entry));
    }
  }
  if (!IsAdmitted()) {
    UpdateUnadmittedIdentity();
  }
  if (mLog.Last().mTerm > mHardState.mTerm) {
    mHardState.mTerm = mLog.Last().mTerm;
    mHardState.mVotedFor = {};
    SaveHardState();
  }
  mSynced = mLog.LastIndex();
  ResetElectionTimer();
  if (IsAdmitted()) {
    StartVerifying();
  }
}

ConsensusCore::MessageHandler
ConsensusCore::HandlerOf(MessageKind aKind)
{
  static constexpr std::array<MessageHandler, kMessageKindCount> kHandlers = {
    &ConsensusCore::OnPreVote,       &ConsensusCore::OnPreVoteReply,
    &ConsensusCore::OnVote,          &ConsensusCore::OnVoteReply,
    &ConsensusCore::OnAppend,        &ConsensusCore::OnAppendReply,
    &ConsensusCore::OnHeartbeat,     &ConsensusCore::OnHeartbeatReply,
    &ConsensusCore::OnSnapshotChunk, &ConsensusCore::OnSnapshotReply,
    &ConsensusCore::OnJoin,          &ConsensusCore::OnJoinHint,
    &ConsensusCore::OnBootstrap,     &ConsensusCore::OnVerify,
    &ConsensusCore::OnVerifyReply,   &ConsensusCore::OnTimeoutNow,
    &ConsensusCore::OnReadIndex,     &ConsensusCore::OnReadIndexReply,
    &ConsensusCore::Ignore,          &ConsensusCore::Ignore,
  };
  return kHandlers[static_cast<std::size_t>(aKind)];
}

void
ConsensusCore::Ignore(const InstanceName&, ConsensusMessage&)
{
}

void
ConsensusCore::Receive(TimePoint aNow,
                       const InstanceName& aFrom,
                       ConsensusMessage&& aMessage)
{
  mNow = aNow;
  if (mRole == ReplicaRole::Failed || aFrom == mOptions.mSelf) {
    return;
  }
  const bool otherGroup = aMessage.mBootstrapId != 0 && IsAdmitted() &&
                          aMessage.mBootstrapId != mHardState.mBootstrapId;
  if (otherGroup) {
    return;
  }
  (this->*HandlerOf(aMessage.mKind))(aFrom, aMessage);
}

void
ConsensusCore::Tick(TimePoint aNow)
{
  mNow = aNow;
  if (mRole == ReplicaRole::Failed) {
    return;
  }
  if (mRole == ReplicaRole::Leader) {
    CheckQuorum();
    ExpireTransfer();
  }
  if (mRole == ReplicaRole::Leader) {
    SendHeartbeats();
    AdvanceMembership();
    return;
  }
  if (mRole == ReplicaRole::Verifying) {
    ContinueVerifying();
    return;
  }
  SendJoins();
  if (mLeader && !IsSelfVoter()) {
    const auto silence =
      std::max(mOptions.mTimings.mElectionTimeoutMax,
               mOptions.mTimings.mLearnerHeartbeatInterval * 3);
    if (mNow - mLastLeaderContact > silence) {
      mLeader.reset();
    }
    return;
  }
  if (mNow >= mElectionDeadline && CanStartElection()) {
    StartPreVote();
  }
}

void
ConsensusCore::DiskCompleted(TimePoint aNow, std::uint64_t aSequence)
{
  mNow = aNow;
  if (mRole == ReplicaRole::Failed) {
    return;
  }
  mSyncedSequence = std::max(mSyncedSequence, aSequence);
  while (!mUnsyncedWrites.empty() &&
         mUnsyncedWrites.front().mSequence <= mSyncedSequence) {
    mSynced = mUnsyncedWrites.front().mLast;
    mUnsyncedWrites.pop_front();
  }
  while (!mDeferred.empty() && mDeferred.front().mSequence <= mSyncedSequence) {
    mEffects.mMessages.push_back(std::move(mDeferred.front().mOutgoing));
    mDeferred.pop_front();
  }
  const bool campaigning = mRole == ReplicaRole::Candidate && !mOwnVoteDurable;
  if (campaigning && mOwnVoteWriteSequence <= mSyncedSequence) {
    mOwnVoteDurable = true;
    CountVotes();
  }
  if (mRole == ReplicaRole::Leader) {
    AdvanceCommit();
  }
}

void
ConsensusCore::DiskFailed(TimePoint aNow)
{
  mNow = aNow;
  if (mRole == ReplicaRole::Failed) {
    return;
  }
  if (mRole == ReplicaRole::Leader) {
    // Lets another voter take over without waiting for the election timeout.
    ContinueTransfer(true);
  }
  FailReads();
  mDeferred.clear();
  mUnsyncedWrites.clear();
  mPendingWrite = {};
  mPeers.clear();
  mLeader.reset();
  mRole = ReplicaRole::Failed;
}

ReplicaId
ConsensusCore::Self() const
{
  return { mOptions.mSelf, mIdentity.mIncarnation };
}

bool
ConsensusCore::IsVoter(const ReplicaId& aReplica) const
{
  return mLog.Configuration().IsVoter(aReplica);
}

bool
ConsensusCore::CanVote() const
{
  return mOptions.mDurable && IsAdmitted() && mRole != ReplicaRole::Verifying &&
         mRole != ReplicaRole::Failed;
}

std::set<InstanceName>
ConsensusCore::KnownPeers() const
{
  std::set<InstanceName> names(mOptions.mInitialVoters.begin(),
                               mOptions.mInitialVoters.end());
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    names.insert(voter.mName);
  }
  if (mLeaderHint) {
    names.insert(*mLeaderHint);
  }
  names.erase(mOptions.mSelf);
  return names;
}

std::uint64_t
ConsensusCore::SequenceToAwait() const
{
  return mPendingWrite.IsEmpty() ? mWriteSequence : mWriteSequence + 1;
}

ConsensusMessage
ConsensusCore::MakeMessage(MessageKind aKind) const
{
  ConsensusMessage message;
  message.mKind = aKind;
  message.mIncarnation = mIdentity.mIncarnation;
  message.mBootstrapId = mHardState.mBootstrapId;
  message.mTerm = mHardState.mTerm;
  return message;
}

void
ConsensusCore::Send(const InstanceName& aTo, ConsensusMessage aMessage)
{
  mEffects.mMessages.push_back({ aTo, std::move(aMessage) });
}

void
ConsensusCore::SendAfterSync(const InstanceName& aTo, ConsensusMessage aMessage)
{
  const std::uint64_t sequence = SequenceToAwait();
  if (sequence <= mSyncedSequence) {
    Send(aTo, std::move(aMessage));
    return;
  }
  mDeferred.push_back({ sequence, { aTo, std::move(aMessage) } });
}

void
ConsensusCore::AppendToLog(LogEntry aEntry)
{
  mPendingWrite.mEntries.push_back(aEntry);
  mLog.Append(std::move(aEntry));
}

void
ConsensusCore::TruncateLog(LogIndex aFrom)
{
  mLog.TruncateFrom(aFrom);
  mSynced = std::min(mSynced, aFrom - 1);
  for (UnsyncedWrite& mark : mUnsyncedWrites) {
    mark.mLast = std::min(mark.mLast, aFrom - 1);
  }
  auto& entries = mPendingWrite.mEntries;
  while (!entries.empty() && entries.back().mIndex >= aFrom) {
    entries.pop_back();
  }
}

Result<ProposalPosition>
ConsensusCore::Propose(TimePoint aNow, std::string aCommand)
{
  mNow = aNow;
  if (mRole != ReplicaRole::Leader) {
    return Error(ErrorKind::NotLeader,
                 "this replica is not the leader of the group");
  }
  if (mTransferDeadline) {
    return Error(ErrorKind::NotLeader, "leadership is being transferred");
  }
  const ConsensusLimits& limits = mOptions.mLimits;
  const LogIndex uncommitted = mLog.LastIndex() - mCommitIndex;
  if (uncommitted >= limits.mMaxUncommittedEntries ||
      mLog.Bytes() >= limits.mCompactionBytes + limits.mMaxUncommittedBytes) {
    return Error(ErrorKind::QueueFull, "too many uncommitted commands");
  }
  const LogIndex index = mLog.LastIndex() + 1;
  AppendToLog(
    { index, mHardState.mTerm, EntryKind::Command, std::move(aCommand) });
  return ProposalPosition{ index, mHardState.mTerm };
}

void
ConsensusCore::SnapshotTaken(LogIndex aIndex, std::string aData)
{
  mSnapshotRequested = false;
  const LogIndex former = mSnapshot ? mSnapshot->mIndex : 0;
  const bool usable = mRole != ReplicaRole::Failed && aIndex > former &&
                      aIndex > mLog.Base() && aIndex <= mDeliveredIndex;
  if (!usable) {
    return;
  }
  Snapshot snapshot;
  snapshot.mIndex = aIndex;
  snapshot.mTerm = mLog.TermAt(aIndex).value_or(0);
  snapshot.mConfiguration = mLog.ConfigurationAt(aIndex);
  snapshot.mData = std::make_shared<const std::string>(std::move(aData));
  mSnapshot = snapshot;
  mPendingWrite.mSnapshot = std::move(snapshot);
  mLog.CompactTo(CompactionPoint(aIndex));
}

LogIndex
ConsensusCore::CompactionPoint(LogIndex aSnapshotIndex) const
{
  if (mLog.Bytes() >= mOptions.mLimits.mCompactionBytes) {
    return aSnapshotIndex;
  }
  const std::size_t retained = mOptions.mLimits.mMaxRetainedEntries;
  LogIndex point = aSnapshotIndex > retained ? aSnapshotIndex - retained : 0;
  for (const auto& [replica, progress] : mPeers) {
    const bool active = mNow - progress.mLastHeard <=
                        mOptions.mTimings.mLearnerHeartbeatInterval * 2;
    if (!active || progress.mSuperseded) {
      continue;
    }
    // Keeps the entries after a snapshot that is being sent. Without them the
    // receiver would need another snapshot immediately.
    const LogIndex needed =
      progress.mSnapshot ? progress.mSnapshot->mIndex : progress.mMatch;
    point = std::min(point, needed);
  }
  return point;
}

void
ConsensusCore::CollectCommittedEntries(CoreEffects& aEffects)
{
  if (mSnapshotToRestore) {
    if (mRestoreSequence > mSyncedSequence) {
      return;
    }
    DeliverSnapshot(aEffects);
  }
  // Entries that are not durable here are not applied: a crash could lose
  // them.
  const LogIndex limit = std::min(mCommitIndex, mSynced);
  while (mDeliveredIndex < limit) {
    ++mDeliveredIndex;
    aEffects.mCommitted.push_back(mLog.At(mDeliveredIndex));
  }
  const LogIndex snapshotIndex = mSnapshot ? mSnapshot->mIndex : 0;
  const bool large =
    mDeliveredIndex - snapshotIndex >= mOptions.mLimits.mCompactionEntries ||
    mLog.Bytes() >= mOptions.mLimits.mCompactionBytes;
  // After a disk failure the state machine may be ahead of the log.
  const bool covered = mDeliveredIndex <= limit;
  if (large && covered && mDeliveredIndex > snapshotIndex &&
      !mSnapshotRequested && mRole != ReplicaRole::Failed) {
    mSnapshotRequested = true;
    aEffects.mTakeSnapshot = true;
  }
}

void
ConsensusCore::DeliverSnapshot(CoreEffects& aEffects)
{
  const Snapshot snapshot = std::move(*mSnapshotToRestore);
  mSnapshotToRestore.reset();
  if (snapshot.mIndex <= mDeliveredIndex) {
    return;
  }
  mDeliveredIndex = snapshot.mIndex;
  aEffects.mSnapshotToRestore = snapshot;
}

CoreEffects
ConsensusCore::TakeEffects(TimePoint aNow)
{
  mNow = aNow;
  if (mRole == ReplicaRole::Leader) {
    StartPendingReads();
    Replicate();
  }
  if (!mPendingWrite.IsEmpty()) {
    mPendingWrite.mSequence = ++mWriteSequence;
    mUnsyncedWrites.push_back({ mWriteSequence, mLog.LastIndex() });
    mEffects.mWrites.push_back(std::move(mPendingWrite));
    mPendingWrite = {};
  }
  CoreEffects effects = std::move(mEffects);
  mEffects = {};
  CollectCommittedEntries(effects);
  return effects;
}

CoreStatus
ConsensusCore::Status(TimePoint aNow) const
{
  CoreStatus status;
  status.mSelf = Self();
  status.mRole = mRole;
  if (mRole == ReplicaRole::Follower && !IsSelfVoter()) {
    status.mRole =
      IsAdmitted() ? ReplicaRole::Learner : ReplicaRole::Unadmitted;
  }
  status.mTerm = mHardState.mTerm;
  status.mLeader = mLeader;
  const std::optional<TimePoint> lease = LeaseExpiry();
  status.mLeaseHeld = lease && aNow < *lease;
  status.mLast = mLog.LastIndex();
  status.mSynced = mSynced;
  status.mCommitIndex = mCommitIndex;
  status.mSnapshot = mSnapshot ? mSnapshot->mIndex : 0;
  status.mConfiguration = mLog.ConfigurationAt(mCommitIndex);
  for (const auto& [replica, progress] : mPeers) {
    const bool active =
      aNow - progress.mLastHeard < mOptions.mTimings.mElectionTimeoutMax;
    status.mPeers.push_back(
      { replica, IsVoter(replica), progress.mMatch, active });
  }
  return status;
}

}

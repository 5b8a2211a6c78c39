// ConsensusCore: replication on a follower.
#include "Consensus/ConsensusCore.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

/** Largest snapshot that a follower accepts. */
constexpr std::uint64_t kMaxSnapshotBytes = 1ULL << 30U;

}

bool
ConsensusCore::AcceptLeader(const InstanceName& aFrom,
                            const ConsensusMessage& aMessage)
{
  if (mRole == ReplicaRole::Verifying || aMessage.mBootstrapId == 0) {
    return false;
  }
  if (aMessage.mTerm < mHardState.mTerm) {
    RejectAppend(aFrom, aMessage);
    return false;
  }
  if (mRole == ReplicaRole::Leader && aMessage.mTerm == mHardState.mTerm) {
    return false;
  }
  if (aMessage.mTerm > mHardState.mTerm || mRole != ReplicaRole::Follower) {
    BecomeFollower(aMessage.mTerm);
  }
  ObserveLeader(aFrom, aMessage);
  return true;
}

void
ConsensusCore::ObserveLeader(const InstanceName& aLeader,
                             const ConsensusMessage& aFrom)
{
  mLeader = aLeader;
  mLeaderHint.reset();
  mLastLeaderContact = mNow;
  ResetElectionTimer();
  if (!IsAdmitted()) {
    mHardState.mBootstrapId = aFrom.mBootstrapId;
    SaveHardState();
  }
}

void
ConsensusCore::RejectAppend(const InstanceName& aFrom,
                            const ConsensusMessage& aMessage)
{
  ConsensusMessage reply = MakeMessage(MessageKind::AppendReply);
  reply.mFlag = true;
  reply.mSecondFlag = mOptions.mDurable;
  reply.mIndex = mLog.LastIndex();
  reply.mContext = aMessage.mIndex;
  SendAfterSync(aFrom, std::move(reply));
}

LogIndex
ConsensusCore::ConflictHint(LogIndex aRejected) const
{
  if (aRejected > mLog.LastIndex()) {
    return mLog.LastIndex();
  }
  // Skips all entries of the conflicting term. Entries up to the commit index
  // cannot conflict with any leader.
  const std::optional<Term> differing = mLog.TermAt(aRejected);
  LogIndex hint = aRejected;
  while (hint > mCommitIndex && mLog.TermAt(hint) == differing) {
    --hint;
  }
  return hint;
}

void
ConsensusCore::OnAppend(const InstanceName& aFrom, ConsensusMessage& aMessage)
{
  if (!AcceptLeader(aFrom, aMessage)) {
    return;
  }
  const LogIndex previous = aMessage.mIndex;
  const bool compacted = previous < mLog.Base();
  if (!compacted && mLog.TermAt(previous) != aMessage.mLogTerm) {
    ConsensusMessage reply = MakeMessage(MessageKind::AppendReply);
    reply.mFlag = true;
    reply.mSecondFlag = mOptions.mDurable;
    reply.mContext = previous;
    reply.mIndex = ConflictHint(previous);
    SendAfterSync(aFrom, std::move(reply));
    return;
  }
  LogIndex expected = previous;
  for (LogEntry& entry : aMessage.mEntries) {
    if (entry.mIndex != ++expected) {
      return;
    }
    if (entry.mIndex <= mLog.Base() ||
        mLog.TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= mCommitIndex) {
      return;
    }
    if (entry.mIndex <= mLog.LastIndex()) {
      TruncateLog(entry.mIndex);
    }
    AppendToLog(std::move(entry));
  }
  ConsensusMessage reply = MakeMessage(MessageKind::AppendReply);
  reply.mSecondFlag = mOptions.mDurable;
  reply.mIndex = expected;
  SendAfterSync(aFrom, std::move(reply));
  AdvanceFollowerCommit(std::min(aMessage.mCommitIndex, expected));
}

void
ConsensusCore::AdvanceFollowerCommit(LogIndex aCommit)
{
  mCommitIndex = std::max(mCommitIndex, std::min(aCommit, mLog.LastIndex()));
}

void
ConsensusCore::OnHeartbeat(const InstanceName& aFrom,
                           ConsensusMessage& aMessage)
{
  if (!AcceptLeader(aFrom, aMessage)) {
    return;
  }
  for (const Acknowledgement& acknowledgement : aMessage.mAcknowledgements) {
    RecordAcknowledgement(acknowledgement);
  }
  // The leader may refer to a log that this replica no longer has.
  if (mLog.TermAt(aMessage.mCommitIndex) == aMessage.mLogTerm) {
    AdvanceFollowerCommit(aMessage.mCommitIndex);
  }
  ConsensusMessage reply = MakeMessage(MessageKind::HeartbeatReply);
  reply.mSecondFlag = mOptions.mDurable;
  reply.mContext = aMessage.mContext;
  Send(aFrom, std::move(reply));
}

void
ConsensusCore::OnSnapshotChunk(const InstanceName& aFrom,
                               ConsensusMessage& aMessage)
{
  if (!AcceptLeader(aFrom, aMessage) || aMessage.mTotal > kMaxSnapshotBytes) {
    return;
  }
  const bool other = mIncomingSnapshot.mIndex != aMessage.mIndex ||
                     mIncomingSnapshot.mTerm != aMessage.mLogTerm;
  if (other) {
    mIncomingSnapshot = {};
    mIncomingSnapshot.mIndex = aMessage.mIndex;
    mIncomingSnapshot.mTerm = aMessage.mLogTerm;
    mIncomingSnapshotData.clear();
  }
  if (aMessage.mContext == mIncomingSnapshotData.size()) {
    mIncomingSnapshotData += aMessage.mData;
  }
  if (mIncomingSnapshotData.size() >= aMessage.mTotal) {
    Snapshot snapshot = mIncomingSnapshot;
    snapshot.mConfiguration = std::move(aMessage.mConfiguration);
    snapshot.mData =
      std::make_shared<const std::string>(std::move(mIncomingSnapshotData));
    mIncomingSnapshot = {};
    mIncomingSnapshotData.clear();
    InstallSnapshot(aFrom, std::move(snapshot));
    return;
  }
  ConsensusMessage reply = MakeMessage(MessageKind::SnapshotReply);
  reply.mSecondFlag = mOptions.mDurable;
  reply.mIndex = aMessage.mIndex;
  reply.mContext = mIncomingSnapshotData.size();
  Send(aFrom, std::move(reply));
}

void
ConsensusCore::InstallSnapshot(const InstanceName& aFrom, Snapshot aSnapshot)
{
  ConsensusMessage reply = MakeMessage(MessageKind::AppendReply);
  reply.mSecondFlag = mOptions.mDurable;
  reply.mIndex = std::max(mCommitIndex, aSnapshot.mIndex);
  const bool known = aSnapshot.mIndex <= mCommitIndex;
  if (!known && mLog.TermAt(aSnapshot.mIndex) == aSnapshot.mTerm) {
    // The log already holds all that the snapshot covers.
    AdvanceFollowerCommit(aSnapshot.mIndex);
  } else if (!known) {
    mLog.Reset({ aSnapshot.mTerm, aSnapshot.mIndex }, aSnapshot.mConfiguration);
    mSynced = 0;
    for (UnsyncedWrite& mark : mUnsyncedWrites) {
      mark.mLast = 0;
    }
    mCommitIndex = aSnapshot.mIndex;
    mPendingWrite.mEntries.clear();
    mPendingWrite.mSnapshot = aSnapshot;
    mSnapshot = aSnapshot;
    mSnapshotToRestore = std::move(aSnapshot);
    mRestoreSequence = SequenceToAwait();
  }
  SendAfterSync(aFrom, std::move(reply));
}

void
ConsensusCore::OnReadIndexReply(const InstanceName&, ConsensusMessage& aMessage)
{
  mEffects.mReads.push_back(
    { aMessage.mContext, !aMessage.mFlag, aMessage.mIndex });
}

}

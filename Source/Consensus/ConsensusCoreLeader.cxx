// ConsensusCore: replication on the leader.
#include "Consensus/ConsensusCore.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace almondspoke {

namespace {

/** Every n-th heartbeat to voters reports what each replica has
 * acknowledged. */
constexpr std::uint64_t kHeartbeatsPerAcknowledgementReport = 8;

/** Number of heartbeat rounds whose send time is recorded. */
constexpr std::size_t kMaxTrackedRounds = 256;

/** A new commit index is announced within the heartbeat interval divided by
 * this. */
constexpr int kEarlyHeartbeatDivisor = 4;

}

void
ConsensusCore::SendHeartbeats()
{
  if (mNow >= mNextHeartbeat) {
    SendVoterHeartbeats();
  }
  for (auto& [replica, progress] : mPeers) {
    const bool stalled =
      progress.mInflight > 0 &&
      mNow - progress.mLastProgress > mOptions.mTimings.mRetransmitTimeout;
    if (stalled && progress.mSnapshot) {
      progress.mInflight = 0;
      progress.mLastProgress = mNow;
    } else if (stalled) {
      progress.Rewind();
      progress.mLastProgress = mNow;
    }
    if (!IsVoter(replica) && mNow >= progress.mNextHeartbeat) {
      progress.mNextHeartbeat =
        mNow + mOptions.mTimings.mLearnerHeartbeatInterval;
      SendHeartbeat(replica, progress);
    }
  }
  ExpireLearners();
}

void
ConsensusCore::SendVoterHeartbeats()
{
  mNextHeartbeat = mNow + mOptions.mTimings.mHeartbeatInterval;
  ++mHeartbeatCount;
  ++mHeartbeatRound;
  mRoundSendTimes.emplace_back(mHeartbeatRound, mNow);
  if (mRoundSendTimes.size() > kMaxTrackedRounds) {
    mRoundSendTimes.pop_front();
  }
  for (auto& [replica, progress] : mPeers) {
    if (IsVoter(replica)) {
      SendHeartbeat(replica, progress);
    }
  }
}

void
ConsensusCore::SendHeartbeat(const ReplicaId& aTo,
                             ReplicationProgress& aProgress)
{
  if (aProgress.mSuperseded) {
    return;
  }
  ConsensusMessage heartbeat = MakeMessage(MessageKind::Heartbeat);
  heartbeat.mCommitIndex = std::min(mCommitIndex, aProgress.mMatch);
  heartbeat.mLogTerm = mLog.TermAt(heartbeat.mCommitIndex).value_or(0);
  heartbeat.mContext = mHeartbeatRound;
  if (IsVoter(aTo) &&
      mHeartbeatCount % kHeartbeatsPerAcknowledgementReport == 1) {
    heartbeat.mAcknowledgements = CurrentAcknowledgements();
  }
  Send(aTo.mName, std::move(heartbeat));
}

std::vector<Acknowledgement>
ConsensusCore::CurrentAcknowledgements() const
{
  std::vector<Acknowledgement> acknowledgements;
  acknowledgements.push_back({ Self(), mHardState.mTerm, mSynced });
  for (const auto& [replica, progress] : mPeers) {
    if (progress.mMatch > 0) {
      acknowledgements.push_back(
        { replica, mHardState.mTerm, progress.mMatch });
    }
  }
  return acknowledgements;
}

void
ConsensusCore::ScheduleEarlyHeartbeats()
{
  const TimePoint soon =
    mNow + mOptions.mTimings.mHeartbeatInterval / kEarlyHeartbeatDivisor;
  mNextHeartbeat = std::min(mNextHeartbeat, soon);
  for (auto& [replica, progress] : mPeers) {
    progress.mNextHeartbeat = std::min(progress.mNextHeartbeat, soon);
  }
}

void
ConsensusCore::ExpireLearners()
{
  for (auto peer = mPeers.begin(); peer != mPeers.end();) {
    const bool silent =
      mNow - peer->second.mLastHeard > mOptions.mTimings.mLearnerTimeout;
    if (silent && !IsVoter(peer->first)) {
      peer = mPeers.erase(peer);
      continue;
    }
    ++peer;
  }
}

void
ConsensusCore::Replicate()
{
  for (auto& [replica, progress] : mPeers) {
    SendEntries(replica, progress);
  }
}

void
ConsensusCore::SendEntries(const ReplicaId& aTo, ReplicationProgress& aProgress)
{
  if (aProgress.mSuperseded) {
    return;
  }
  if (aProgress.mSnapshot || aProgress.mNext <= mLog.Base()) {
    SendSnapshotChunk(aTo, aProgress);
    return;
  }
  const ConsensusLimits& limits = mOptions.mLimits;
  const std::size_t window =
    aProgress.mProbing ? 1 : limits.mMaxInflightMessages;
  while (aProgress.mInflight < window) {
    const bool nothingNew = aProgress.mNext > mLog.LastIndex();
    if (nothingNew && !aProgress.mProbing) {
      return;
    }
    ConsensusMessage append = MakeMessage(MessageKind::Append);
    append.mIndex = aProgress.mNext - 1;
    append.mLogTerm = mLog.TermAt(append.mIndex).value_or(0);
    append.mCommitIndex = mCommitIndex;
    append.mEntries = mLog.Slice(
      aProgress.mNext, limits.mMaxBatchEntries, limits.mMaxBatchBytes);
    if (aProgress.mInflight == 0) {
      aProgress.mLastProgress = mNow;
    }
    ++aProgress.mInflight;
    if (!aProgress.mProbing) {
      aProgress.mNext += append.mEntries.size();
    }
    Send(aTo.mName, std::move(append));
  }
}

void
ConsensusCore::SendSnapshotChunk(const ReplicaId& aTo,
                                 ReplicationProgress& aProgress)
{
  if (!aProgress.mSnapshot) {
    aProgress.mSnapshot = mSnapshot;
    aProgress.mSnapshotOffset = 0;
    aProgress.mInflight = 0;
  }
  if (aProgress.mInflight > 0 || !aProgress.mSnapshot) {
    return;
  }
  const Snapshot& snapshot = *aProgress.mSnapshot;
  ConsensusMessage chunk = MakeMessage(MessageKind::SnapshotChunk);
  chunk.mIndex = snapshot.mIndex;
  chunk.mLogTerm = snapshot.mTerm;
  chunk.mContext = aProgress.mSnapshotOffset;
  chunk.mTotal = snapshot.mData->size();
  chunk.mData = snapshot.mData->substr(
    std::min<std::size_t>(aProgress.mSnapshotOffset, chunk.mTotal),
    mOptions.mLimits.mMaxSnapshotChunkBytes);
  chunk.mConfiguration = snapshot.mConfiguration;
  aProgress.mInflight = 1;
  aProgress.mLastProgress = mNow;
  Send(aTo.mName, std::move(chunk));
}

ReplicationProgress*
ConsensusCore::ProgressOf(const InstanceName& aFrom,
                          const ConsensusMessage& aMessage)
{
  const ReplicaId replica{ aFrom, aMessage.mIncarnation };
  if (mRole == ReplicaRole::Verifying) {
    return nullptr;
  }
  if (aMessage.mTerm > mHardState.mTerm) {
    if (IsVoter(replica)) {
      BecomeFollower(aMessage.mTerm);
    }
    return nullptr;
  }
  if (mRole != ReplicaRole::Leader || aMessage.mTerm < mHardState.mTerm) {
    return nullptr;
  }
  // An instance that has lost its disk still receives the heartbeats for its
  // previous incarnation; its reply is the first message from the new one.
  AdmitLearner(aFrom, aMessage);
  const auto peer = mPeers.find(replica);
  if (peer == mPeers.end()) {
    return nullptr;
  }
  peer->second.mLastHeard = mNow;
  peer->second.mDurable = aMessage.mSecondFlag;
  return &peer->second;
}

void
ConsensusCore::OnAppendReply(const InstanceName& aFrom,
                             ConsensusMessage& aMessage)
{
  ReplicationProgress* progress = ProgressOf(aFrom, aMessage);
  if (progress == nullptr) {
    return;
  }
  if (aMessage.mFlag) {
    const LogIndex rejected = aMessage.mContext;
    if (rejected <= progress->mMatch) {
      // Either the message is old, or the replica has lost entries that it
      // acknowledged. The replica decides which from the reply.
      SendVerifyReply({ aFrom, aMessage.mIncarnation }, 0);
      return;
    }
    if (rejected >= progress->mNext) {
      return;
    }
    progress->mNext =
      std::max(progress->mMatch + 1, std::min(rejected, aMessage.mIndex + 1));
    progress->mProbing = true;
    progress->mInflight = 0;
    return;
  }
  if (aMessage.mIndex > mLog.LastIndex()) {
    return;
  }
  if (aMessage.mIndex > progress->mMatch) {
    progress->mMatch = aMessage.mIndex;
    progress->mLastProgress = mNow;
  }
  progress->mNext = std::max(progress->mNext, progress->mMatch + 1);
  if (progress->mSnapshot && progress->mMatch >= progress->mSnapshot->mIndex) {
    progress->mSnapshot.reset();
    progress->mInflight = 0;
  }
  progress->mInflight -= progress->mInflight > 0 ? 1 : 0;
  progress->mProbing = false;
  AdvanceCommit();
  if (mTransferDeadline) {
    ContinueTransfer(false);
  }
}

void
ConsensusCore::OnHeartbeatReply(const InstanceName& aFrom,
                                ConsensusMessage& aMessage)
{
  ReplicationProgress* progress = ProgressOf(aFrom, aMessage);
  if (progress == nullptr || aMessage.mContext > mHeartbeatRound) {
    return;
  }
  progress->mAckedRound = std::max(progress->mAckedRound, aMessage.mContext);
  AnswerReads();
}

void
ConsensusCore::OnSnapshotReply(const InstanceName& aFrom,
                               ConsensusMessage& aMessage)
{
  ReplicationProgress* progress = ProgressOf(aFrom, aMessage);
  if (progress == nullptr || !progress->mSnapshot ||
      progress->mSnapshot->mIndex != aMessage.mIndex) {
    return;
  }
  progress->mSnapshotOffset = std::min<std::uint64_t>(
    aMessage.mContext, progress->mSnapshot->mData->size());
  progress->mInflight = 0;
}

void
ConsensusCore::AdvanceCommit()
{
  std::vector<LogIndex> matches;
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    const auto peer = mPeers.find(voter);
    const LogIndex match = peer == mPeers.end() ? 0 : peer->second.mMatch;
    matches.push_back(voter == Self() ? mSynced : match);
  }
  const std::size_t majority = mLog.Configuration().Majority();
  if (matches.size() < majority) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex agreed = matches[majority - 1];
  // Raft commits entries of earlier terms only together with an entry of the
  // current term.
  if (agreed <= mCommitIndex || mLog.TermAt(agreed) != mHardState.mTerm) {
    return;
  }
  mCommitIndex = agreed;
  ScheduleEarlyHeartbeats();
  StepDownIfRemoved();
}

std::uint64_t
ConsensusCore::QuorumRound() const
{
  std::vector<std::uint64_t> rounds;
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    const auto peer = mPeers.find(voter);
    const std::uint64_t acked =
      peer == mPeers.end() ? 0 : peer->second.mAckedRound;
    rounds.push_back(voter == Self() ? mHeartbeatRound : acked);
  }
  const std::size_t majority = mLog.Configuration().Majority();
  if (rounds.size() < majority) {
    return 0;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  return rounds[majority - 1];
}

void
ConsensusCore::RequestRead(TimePoint aNow, std::uint64_t aId)
{
  mNow = aNow;
  if (mRole == ReplicaRole::Leader) {
    mUnstartedReads.push_back({ aId, {}, 0, 0 });
    return;
  }
  if (!mLeader || mRole == ReplicaRole::Verifying) {
    mEffects.mReads.push_back({ aId, false, 0 });
    return;
  }
  ConsensusMessage request = MakeMessage(MessageKind::ReadIndex);
  request.mContext = aId;
  Send(*mLeader, std::move(request));
}

void
ConsensusCore::OnReadIndex(const InstanceName& aFrom,
                           ConsensusMessage& aMessage)
{
  const PendingRead read{ aMessage.mContext, aFrom, 0, 0 };
  if (mRole != ReplicaRole::Leader) {
    AnswerRead(read, false);
    return;
  }
  mUnstartedReads.push_back(read);
}

void
ConsensusCore::StartPendingReads()
{
  if (mUnstartedReads.empty() || mCommitIndex < mTermStartIndex) {
    return;
  }
  SendVoterHeartbeats();
  for (PendingRead& read : mUnstartedReads) {
    read.mIndex = mCommitIndex;
    read.mHeartbeatRound = mHeartbeatRound;
    mPendingReads.push_back(std::move(read));
  }
  mUnstartedReads.clear();
  AnswerReads();
}

void
ConsensusCore::AnswerReads()
{
  const std::uint64_t confirmed = QuorumRound();
  while (!mPendingReads.empty() &&
         mPendingReads.front().mHeartbeatRound <= confirmed) {
    AnswerRead(mPendingReads.front(), true);
    mPendingReads.pop_front();
  }
}

void
ConsensusCore::FailReads()
{
  for (const PendingRead& read : mPendingReads) {
    AnswerRead(read, false);
  }
  for (const PendingRead& read : mUnstartedReads) {
    AnswerRead(read, false);
  }
  mPendingReads.clear();
  mUnstartedReads.clear();
}

void
ConsensusCore::AnswerRead(const PendingRead& aRead, bool aConfirmed)
{
  if (aRead.mFrom.empty()) {
    mEffects.mReads.push_back({ aRead.mId, aConfirmed, aRead.mIndex });
    return;
  }
  ConsensusMessage reply = MakeMessage(MessageKind::ReadIndexReply);
  reply.mContext = aRead.mId;
  reply.mIndex = aRead.mIndex;
  reply.mFlag = !aConfirmed;
  Send(aRead.mFrom, std::move(reply));
}

}

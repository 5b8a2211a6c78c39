// ConsensusCore: elections, leader lease and leadership transfer.
#include "Consensus/ConsensusCore.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

/** Length of the leader's lease, in percent of the minimum election timeout.
 * The margin allows for clocks that run at different rates. */
constexpr int kLeasePercentOfElectionTimeout = 80;

/** Recorded as the vote of a term in which this replica may have voted before
 * it lost state. No candidate matches it, so the vote is not granted again. */
const ReplicaId kUnknownVote = { "", 1 };

}

void
ConsensusCore::ResetElectionTimer()
{
  ResetElectionTimer(mOptions.mTimings.mElectionTimeoutMin,
                     mOptions.mTimings.mElectionTimeoutMax);
}

void
ConsensusCore::ResetElectionTimer(std::chrono::milliseconds aMin,
                                  std::chrono::milliseconds aMax)
{
  // Microseconds make it unlikely that two voters get the same timeout.
  using std::chrono::microseconds;
  std::uniform_int_distribution<std::int64_t> wait(microseconds(aMin).count(),
                                                   microseconds(aMax).count());
  mElectionDeadline = mNow + microseconds(wait(mRandom));
}

bool
ConsensusCore::CanStartElection() const
{
  const bool waiting = mRole == ReplicaRole::Follower ||
                       mRole == ReplicaRole::PreCandidate ||
                       mRole == ReplicaRole::Candidate;
  return waiting && CanVote() && IsSelfVoter();
}

std::optional<ConsensusCore::TimePoint>
ConsensusCore::ElectionDeadline() const
{
  return CanStartElection() ? std::optional(mElectionDeadline) : std::nullopt;
}

void
ConsensusCore::BecomeFollower(Term aTerm)
{
  if (mRole == ReplicaRole::Leader) {
    for (const auto& [replica, progress] : mPeers) {
      RecordMatch(replica, progress);
    }
    FailReads();
    mPeers.clear();
    mTransferDeadline.reset();
    mLeader.reset();
  }
  if (aTerm > mHardState.mTerm) {
    mHardState.mTerm = aTerm;
    mHardState.mVotedFor = {};
    mLeader.reset();
    SaveHardState();
  }
  mRole = ReplicaRole::Follower;
  mVotes.clear();
  ResetElectionTimer();
}

bool
ConsensusCore::HeardLeaderRecently() const
{
  if (mRole == ReplicaRole::Leader) {
    return true;
  }
  return mNow - mLastLeaderContact < mOptions.mTimings.mElectionTimeoutMin;
}

LogPosition
ConsensusCore::MinimumVotePosition() const
{
  const bool expired =
    mNow - mVerifyStarted >= mOptions.mTimings.mVerifyTimeout;
  if (!mMinimumVotePosition || expired) {
    return mLog.Last();
  }
  return std::max(mLog.Last(), *mMinimumVotePosition);
}

bool
ConsensusCore::IsUpToDate(const ConsensusMessage& aRequest) const
{
  const LogPosition candidate{ aRequest.mLogTerm, aRequest.mIndex };
  return !(candidate < MinimumVotePosition());
}

void
ConsensusCore::StartPreVote()
{
  ResetElectionTimer();
  mLeader.reset();
  if (mLog.Last() < MinimumVotePosition()) {
    return;
  }
  mRole = ReplicaRole::PreCandidate;
  mVotes.clear();
  mVotes[Self()] = true;
  RequestVotes(MessageKind::PreVote, false);
  CountVotes();
}

void
ConsensusCore::StartElection(bool aTransfer)
{
  if (!CanVote() || !IsSelfVoter() || mLog.Last() < MinimumVotePosition()) {
    return;
  }
  mRole = ReplicaRole::Candidate;
  mLeader.reset();
  ++mHardState.mTerm;
  mHardState.mVotedFor = Self();
  SaveHardState();
  mOwnVoteDurable = false;
  mOwnVoteWriteSequence = SequenceToAwait();
  mVotes.clear();
  mVotes[Self()] = true;
  ResetElectionTimer(mOptions.mTimings.mElectionRetryTimeoutMin,
                     mOptions.mTimings.mElectionRetryTimeoutMax);
  RequestVotes(MessageKind::Vote, aTransfer);
}

void
ConsensusCore::RequestVotes(MessageKind aKind, bool aTransfer)
{
  ConsensusMessage request = MakeMessage(aKind);
  if (aKind == MessageKind::PreVote) {
    request.mTerm = mHardState.mTerm + 1;
  }
  request.mLogTerm = mLog.Last().mTerm;
  request.mIndex = mLog.Last().mIndex;
  request.mSecondFlag = aTransfer;
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    if (voter.mName == mOptions.mSelf) {
      continue;
    }
    request.mTargetIncarnation = voter.mIncarnation;
    SendAfterSync(voter.mName, request);
  }
}

void
ConsensusCore::CountVotes()
{
  std::size_t granted = 0;
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    const auto vote = mVotes.find(voter);
    granted += vote != mVotes.end() && vote->second ? 1 : 0;
  }
  if (granted < mLog.Configuration().Majority()) {
    return;
  }
  if (mRole == ReplicaRole::PreCandidate) {
    StartElection(false);
    return;
  }
  if (mRole == ReplicaRole::Candidate && mOwnVoteDurable) {
    BecomeLeader();
  }
}

void
ConsensusCore::BecomeLeader()
{
  mRole = ReplicaRole::Leader;
  mLeader = mOptions.mSelf;
  mPeers.clear();
  mUnstartedReads.clear();
  mTransferDeadline.reset();
  AddMissingPeers();
  // Learners that the previous leader reported need not send another Join.
  for (const auto& [replica, position] : mAcknowledgedPositions) {
    if (replica.mName != mOptions.mSelf && !IsVoter(replica) &&
        position.mTerm + 1 >= mHardState.mTerm) {
      ReplicationProgress& progress = mPeers[replica];
      progress.mNext = mLog.LastIndex() + 1;
      progress.mLastHeard = mNow;
      progress.mLastProgress = mNow;
      progress.mDurable = false;
    }
  }
  mTermStartIndex = mLog.LastIndex() + 1;
  AppendToLog({ mTermStartIndex, mHardState.mTerm, EntryKind::Noop, {} });
  mNextHeartbeat = mNow;
  SendHeartbeats();
}

void
ConsensusCore::OnPreVote(const InstanceName& aFrom, ConsensusMessage& aMessage)
{
  const bool addressed = aMessage.mTargetIncarnation == mIdentity.mIncarnation;
  if (!addressed || !CanVote()) {
    return;
  }
  ConsensusMessage reply = MakeMessage(MessageKind::PreVoteReply);
  const bool granted = aMessage.mTerm > mHardState.mTerm &&
                       !HeardLeaderRecently() && IsUpToDate(aMessage);
  reply.mFlag = !granted;
  if (granted) {
    reply.mTerm = aMessage.mTerm;
  }
  SendAfterSync(aFrom, std::move(reply));
}

void
ConsensusCore::OnPreVoteReply(const InstanceName& aFrom,
                              ConsensusMessage& aMessage)
{
  const ReplicaId voter{ aFrom, aMessage.mIncarnation };
  if (mRole != ReplicaRole::PreCandidate || !IsVoter(voter)) {
    return;
  }
  if (aMessage.mFlag) {
    if (aMessage.mTerm > mHardState.mTerm) {
      BecomeFollower(aMessage.mTerm);
    }
    return;
  }
  if (aMessage.mTerm != mHardState.mTerm + 1) {
    return;
  }
  mVotes[voter] = true;
  CountVotes();
}

void
ConsensusCore::OnVote(const InstanceName& aFrom, ConsensusMessage& aMessage)
{
  const bool addressed = aMessage.mTargetIncarnation == mIdentity.mIncarnation;
  if (!addressed || !CanVote()) {
    return;
  }
  const bool transfer = aMessage.mSecondFlag;
  if (!transfer && HeardLeaderRecently()) {
    return;
  }
  if (aMessage.mTerm > mHardState.mTerm) {
    BecomeFollower(aMessage.mTerm);
  }
  const ReplicaId candidate{ aFrom, aMessage.mIncarnation };
  const bool free =
    mHardState.mVotedFor == ReplicaId{} || mHardState.mVotedFor == candidate;
  const bool granted =
    aMessage.mTerm == mHardState.mTerm && free && IsUpToDate(aMessage);
  if (granted && mHardState.mVotedFor != candidate) {
    mHardState.mVotedFor = candidate;
    SaveHardState();
    ResetElectionTimer();
  }
  ConsensusMessage reply = MakeMessage(MessageKind::VoteReply);
  reply.mFlag = !granted;
  SendAfterSync(aFrom, std::move(reply));
}

void
ConsensusCore::OnVoteReply(const InstanceName& aFrom,
                           ConsensusMessage& aMessage)
{
  const ReplicaId voter{ aFrom, aMessage.mIncarnation };
  if (!IsVoter(voter) || mRole == ReplicaRole::Verifying) {
    return;
  }
  if (aMessage.mTerm > mHardState.mTerm) {
    BecomeFollower(aMessage.mTerm);
    return;
  }
  if (mRole != ReplicaRole::Candidate || aMessage.mTerm != mHardState.mTerm ||
      aMessage.mFlag) {
    return;
  }
  RecordAcknowledgement({ voter, aMessage.mTerm, 0 });
  mVotes[voter] = true;
  CountVotes();
}

void
ConsensusCore::OnTimeoutNow(const InstanceName& aFrom,
                            ConsensusMessage& aMessage)
{
  const bool fromLeader = mLeader && *mLeader == aFrom;
  if (fromLeader && aMessage.mTerm == mHardState.mTerm &&
      mRole == ReplicaRole::Follower) {
    StartElection(true);
  }
}

void
ConsensusCore::CheckQuorum()
{
  std::size_t heard = 0;
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    if (voter == Self()) {
      ++heard;
      continue;
    }
    const auto peer = mPeers.find(voter);
    const bool active =
      peer != mPeers.end() &&
      mNow - peer->second.mLastHeard <= mOptions.mTimings.mElectionTimeoutMax;
    heard += active ? 1 : 0;
  }
  if (heard < mLog.Configuration().Majority()) {
    BecomeFollower(mHardState.mTerm);
  }
}

std::optional<ConsensusCore::TimePoint>
ConsensusCore::LeaseExpiry() const
{
  if (mRole != ReplicaRole::Leader || mTransferDeadline ||
      mCommitIndex < mTermStartIndex) {
    return std::nullopt;
  }
  const std::size_t voters = mLog.Configuration().mVoters.size();
  if (voters == 1 && IsSelfVoter()) {
    return TimePoint::max();
  }
  const std::uint64_t round = QuorumRound();
  const auto sent =
    std::find_if(mRoundSendTimes.begin(),
                 mRoundSendTimes.end(),
                 [&](const auto& aRound) { return aRound.first == round; });
  if (sent == mRoundSendTimes.end()) {
    return std::nullopt;
  }
  return sent->second + mOptions.mTimings.mElectionTimeoutMin *
                          kLeasePercentOfElectionTimeout / 100;
}

Result<void>
ConsensusCore::TransferLeadership(TimePoint aNow)
{
  mNow = aNow;
  if (mRole != ReplicaRole::Leader) {
    return Error(ErrorKind::NotLeader,
                 "this replica is not the leader of the group");
  }
  if (mLog.Configuration().mVoters.size() < 2) {
    return Error(ErrorKind::NoQuorum, "the group has no other voter");
  }
  if (!mTransferDeadline) {
    mTransferDeadline = mNow + mOptions.mTimings.mElectionTimeoutMax;
    ContinueTransfer(false);
  }
  return Success();
}

void
ConsensusCore::ContinueTransfer(bool aRegardlessOfLog)
{
  const ReplicationProgress* best = nullptr;
  InstanceName target;
  for (const auto& [replica, progress] : mPeers) {
    const bool active =
      mNow - progress.mLastHeard <= mOptions.mTimings.mElectionTimeoutMin;
    if (!IsVoter(replica) || progress.mSuperseded || !active) {
      continue;
    }
    if (best == nullptr || progress.mMatch > best->mMatch) {
      best = &progress;
      target = replica.mName;
    }
  }
  if (best == nullptr) {
    return;
  }
  if (aRegardlessOfLog || best->mMatch == mLog.LastIndex()) {
    Send(target, MakeMessage(MessageKind::TimeoutNow));
  }
}

void
ConsensusCore::ExpireTransfer()
{
  if (!mTransferDeadline) {
    return;
  }
  if (mNow >= *mTransferDeadline) {
    // A delayed TimeoutNow may still start an election that ignores the lease.
    // A leader that stayed in office could then serve stale reads.
    BecomeFollower(mHardState.mTerm);
    return;
  }
  ContinueTransfer(false);
}

void
ConsensusCore::FinishVerifying()
{
  Term highest = 0;
  LogPosition floor;
  for (const auto& [replica, answer] : mVerifyAnswers) {
    highest = std::max(highest, answer.mTerm);
    floor = std::max(floor, answer.mLast);
  }
  // If this replica lost a vote, one of the answering peers knows the term of
  // that vote. If it lost an entry, the entry is in the log of one of them.
  const bool uncertain =
    highest > mHardState.mTerm || mHardState.mVotedFor == ReplicaId{};
  if (!mVerifyAnswers.empty() && uncertain) {
    mHardState.mTerm = std::max(mHardState.mTerm, highest);
    mHardState.mVotedFor = kUnknownVote;
    SaveHardState();
  }
  mMinimumVotePosition = floor;
  mVerifyAnswers.clear();
  mRole = ReplicaRole::Follower;
  ResetElectionTimer();
}

}

// ConsensusCore: admission, restart verification and membership changes.
#include "Consensus/ConsensusCore.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

/** Number of voter changes recorded to recognize repeated requests. */
constexpr std::size_t kMaxRecordedChanges = 16;

constexpr std::size_t kMaxLearners = 128;
constexpr std::size_t kMaxRecordedAcknowledgements = 256;
constexpr std::size_t kMaxNameBytes = 256;

/** A voter without a leader sends Join messages after this many maximum
 * election timeouts, because it may have been removed from the group. */
constexpr int kVoterJoinElectionTimeouts = 3;

/** Term of the first entry of a group. */
constexpr Term kBootstrapTerm = 1;

/** Returns a random number that is not zero. It has 32 bits to be short on the
 * wire. */
std::uint64_t
RandomNonZero(std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<std::uint32_t>(1)(aRandom);
}

}

void
ConsensusCore::SendJoins()
{
  if (mNow < mNextJoin) {
    return;
  }
  const auto silence = mNow - mLastLeaderContact;
  const bool waitsForElection =
    IsSelfVoter() && silence < mOptions.mTimings.mElectionTimeoutMax *
                                 kVoterJoinElectionTimeouts;
  if (mLeader || waitsForElection) {
    return;
  }
  mNextJoin = mNow + mOptions.mTimings.mJoinInterval;
  ConsensusMessage join = MakeMessage(MessageKind::Join);
  join.mFlag = IsFresh();
  join.mSecondFlag = mOptions.mDurable;
  join.mIndex = mLog.LastIndex();
  for (const InstanceName& peer : KnownPeers()) {
    SendAfterSync(peer, join);
  }
  TryBootstrap();
}

void
ConsensusCore::OnJoin(const InstanceName& aFrom, ConsensusMessage& aMessage)
{
  if (!IsAdmitted()) {
    mUnadmittedReplicas.erase(aFrom);
    const auto& initial = mOptions.mInitialVoters;
    const bool expected =
      std::find(initial.begin(), initial.end(), aFrom) != initial.end();
    if (aMessage.mBootstrapId == 0 && expected) {
      mUnadmittedReplicas[aFrom] = { aMessage.mIncarnation,
                                     mNow,
                                     aMessage.mFlag };
      TryBootstrap();
    }
    return;
  }
  const ReplicaId replica{ aFrom, aMessage.mIncarnation };
  if (aMessage.mFlag && IsVoter(replica)) {
    ReplyToFreshVoter(replica);
    return;
  }
  if (mRole == ReplicaRole::Leader) {
    AdmitLearner(aFrom, aMessage);
    return;
  }
  if (mLeader) {
    ConsensusMessage hint = MakeMessage(MessageKind::JoinHint);
    hint.mData = *mLeader;
    Send(aFrom, std::move(hint));
  }
}

void
ConsensusCore::ReplyToFreshVoter(const ReplicaId& aVoter)
{
  const auto remembered = mAcknowledgedPositions.find(aVoter);
  const LogPosition bootstrap{ kBootstrapTerm, 1 };
  LogPosition acknowledged;
  if (remembered != mAcknowledgedPositions.end()) {
    acknowledged = remembered->second;
  }
  const auto peer = mPeers.find(aVoter);
  if (peer != mPeers.end()) {
    acknowledged =
      std::max(acknowledged, { mHardState.mTerm, peer->second.mMatch });
  }
  const bool hasLostState =
    peer != mPeers.end() ? peer->second.mMatch > 1 : bootstrap < acknowledged;
  if (hasLostState || mLog.Base() > 0) {
    // The voter lost entries that it acknowledged and needs a new
    // incarnation.
    ConsensusMessage hint = MakeMessage(MessageKind::JoinHint);
    hint.mFlag = true;
    hint.mTargetIncarnation = aVoter.mIncarnation;
    Send(aVoter.mName, std::move(hint));
    return;
  }
  ConsensusMessage bootstrapMessage = MakeMessage(MessageKind::Bootstrap);
  bootstrapMessage.mEntries = mLog.Slice(1, 1, 0);
  SendAfterSync(aVoter.mName, std::move(bootstrapMessage));
}

void
ConsensusCore::AdmitLearner(const InstanceName& aFrom,
                            const ConsensusMessage& aMessage)
{
  const ReplicaId replica{ aFrom, aMessage.mIncarnation };
  const GroupConfiguration& configuration = mLog.Configuration();
  if (mPeers.count(replica) != 0) {
    SupersedeOtherIncarnations(replica);
    return;
  }
  const ReplicaId* former = configuration.FindVoter(aFrom);
  const bool expected =
    former != nullptr || configuration.IsPendingVoter(aFrom);
  if (!expected && !mOptions.mAdmitLearners) {
    return;
  }
  if (mPeers.size() >= kMaxLearners) {
    return;
  }
  ReplicationProgress& progress = mPeers[replica];
  SupersedeOtherIncarnations(replica);
  progress.mNext = std::min(mLog.LastIndex(), aMessage.mIndex) + 1;
  progress.mDurable = aMessage.mSecondFlag;
  progress.mLastHeard = mNow;
  progress.mLastProgress = mNow;
  progress.mNextHeartbeat = mNow;
}

void
ConsensusCore::SupersedeOtherIncarnations(const ReplicaId& aReplica)
{
  const auto first = mPeers.lower_bound({ aReplica.mName, 0 });
  for (auto peer = first;
       peer != mPeers.end() && peer->first.mName == aReplica.mName;
       ++peer) {
    peer->second.mSuperseded = peer->first != aReplica;
  }
}

void
ConsensusCore::OnJoinHint(const InstanceName&, ConsensusMessage& aMessage)
{
  if (aMessage.mFlag) {
    const bool addressed =
      IsFresh() && aMessage.mTargetIncarnation == mIdentity.mIncarnation;
    if (addressed) {
      DiscardState();
    }
    return;
  }
  if (!mLeader && aMessage.mData.size() <= kMaxNameBytes) {
    mLeaderHint = std::move(aMessage.mData);
  }
}

void
ConsensusCore::TryBootstrap()
{
  GroupConfiguration configuration;
  configuration.mVoters = BootstrapVoters();
  if (configuration.mVoters.empty()) {
    return;
  }
  AdoptBootstrap({ 1,
                   kBootstrapTerm,
                   EntryKind::Configuration,
                   EncodeConfiguration(configuration) },
                 RandomNonZero(mRandom));
  for (const ReplicaId& voter : configuration.mVoters) {
    if (voter != Self()) {
      ReplyToFreshVoter(voter);
    }
  }
}

void
ConsensusCore::AdoptBootstrap(const LogEntry& aEntry,
                              std::uint64_t aBootstrapId)
{
  mHardState.mTerm = kBootstrapTerm;
  mHardState.mBootstrapId = aBootstrapId;
  SaveHardState();
  AppendToLog(aEntry);
  mCommitIndex = 1;
  mUnadmittedReplicas.clear();
  ResetElectionTimer();
}

void
ConsensusCore::OnBootstrap(const InstanceName&, ConsensusMessage& aMessage)
{
  if (!IsFresh() || aMessage.mEntries.size() != 1) {
    return;
  }
  const LogEntry& entry = aMessage.mEntries.front();
  const bool valid = entry.mIndex == 1 && entry.mTerm == kBootstrapTerm &&
                     entry.mKind == EntryKind::Configuration;
  if (!valid || !DecodeConfiguration(entry.mPayload).IsVoter(Self())) {
    return;
  }
  AdoptBootstrap(entry, aMessage.mBootstrapId);
  // The storage may have been restored from a copy made before the replica
  // joined this group.
  StartVerifying();
}

void
ConsensusCore::StartVerifying()
{
  mRole = ReplicaRole::Verifying;
  mVerifyStarted = mNow;
  mVerifyNonce = RandomNonZero(mRandom);
  mVerifyAnswers.clear();
  mNextVerify = mNow;
  if (!mOptions.mDurable) {
    FinishVerifying();
  }
}

void
ConsensusCore::ContinueVerifying()
{
  const GroupConfiguration& configuration = mLog.Configuration();
  std::size_t others = 0;
  std::size_t answered = 0;
  for (const ReplicaId& voter : configuration.mVoters) {
    others += voter != Self() ? 1 : 0;
    answered += mVerifyAnswers.count(voter);
  }
  // Enough answers to include, besides this replica, a member of every
  // majority.
  const std::size_t required =
    configuration.mVoters.size() - configuration.Majority() + 1;
  const bool confirmed = answered >= std::min(required, others);
  const bool expired =
    mNow - mVerifyStarted >= mOptions.mTimings.mVerifyTimeout;
  if (confirmed || expired) {
    FinishVerifying();
    return;
  }
  if (mNow < mNextVerify) {
    return;
  }
  mNextVerify = mNow + mOptions.mTimings.mVerifyInterval;
  ConsensusMessage request = MakeMessage(MessageKind::Verify);
  request.mContext = mVerifyNonce;
  for (const InstanceName& peer : KnownPeers()) {
    SendAfterSync(peer, request);
  }
}

void
ConsensusCore::OnVerify(const InstanceName& aFrom, ConsensusMessage& aMessage)
{
  if (!IsAdmitted()) {
    return;
  }
  SendVerifyReply({ aFrom, aMessage.mIncarnation }, aMessage.mContext);
}

void
ConsensusCore::SendVerifyReply(const ReplicaId& aReplica, std::uint64_t aNonce)
{
  ConsensusMessage reply = MakeMessage(MessageKind::VerifyReply);
  reply.mContext = aNonce;
  reply.mLogTerm = mLog.Last().mTerm;
  reply.mIndex = mLog.Last().mIndex;
  const auto peer = mPeers.find(aReplica);
  if (peer != mPeers.end()) {
    RecordMatch(aReplica, peer->second);
  }
  const auto remembered = mAcknowledgedPositions.find(aReplica);
  if (remembered != mAcknowledgedPositions.end()) {
    reply.mAcknowledgements.push_back(
      { aReplica, remembered->second.mTerm, remembered->second.mIndex });
  }
  Send(aReplica.mName, std::move(reply));
}

bool
ConsensusCore::HasLostState(const Acknowledgement& aSeen) const
{
  const bool olderTerm = aSeen.mTerm > mHardState.mTerm;
  const bool shorterLog =
    aSeen.mTerm == mHardState.mTerm && aSeen.mIndex > mLog.LastIndex();
  return aSeen.mReplica == Self() && (olderTerm || shorterLog);
}

void
ConsensusCore::OnVerifyReply(const InstanceName& aFrom,
                             ConsensusMessage& aMessage)
{
  for (const Acknowledgement& seen : aMessage.mAcknowledgements) {
    if (HasLostState(seen)) {
      DiscardState();
      return;
    }
  }
  if (mRole != ReplicaRole::Verifying || aMessage.mContext != mVerifyNonce) {
    return;
  }
  const ReplicaId peer{ aFrom, aMessage.mIncarnation };
  mVerifyAnswers[peer] = { aMessage.mTerm,
                           { aMessage.mLogTerm, aMessage.mIndex } };
  ContinueVerifying();
}

void
ConsensusCore::RecordAcknowledgement(const Acknowledgement& aAcknowledgement)
{
  const LogPosition seen{ aAcknowledgement.mTerm, aAcknowledgement.mIndex };
  LogPosition& remembered = mAcknowledgedPositions[aAcknowledgement.mReplica];
  remembered = std::max(remembered, seen);
  if (mAcknowledgedPositions.size() <= kMaxRecordedAcknowledgements) {
    return;
  }
  for (auto entry = mAcknowledgedPositions.begin();
       entry != mAcknowledgedPositions.end();) {
    entry = IsVoter(entry->first) ? std::next(entry)
                                  : mAcknowledgedPositions.erase(entry);
  }
}

void
ConsensusCore::RecordMatch(const ReplicaId& aReplica,
                           const ReplicationProgress& aProgress)
{
  // Zero means that the replica has not acknowledged anything in this term.
  if (aProgress.mMatch > 0) {
    RecordAcknowledgement({ aReplica, mHardState.mTerm, aProgress.mMatch });
  }
}

void
ConsensusCore::DiscardState()
{
  mIdentity = { RandomNonZero(mRandom), true };
  mHardState = {};
  mLog.Reset({}, {});
  mSnapshot.reset();
  mSnapshotToRestore.reset();
  mCommitIndex = 0;
  mDeliveredIndex = 0;
  mSynced = 0;
  for (UnsyncedWrite& mark : mUnsyncedWrites) {
    mark.mLast = 0;
  }
  mDeferred.clear();
  mPendingWrite = {};
  mPendingWrite.mNewIdentity = mIdentity;
  mEffects.mResetStateMachine = true;
  mEffects.mMessages.clear();
  mMinimumVotePosition.reset();
  mVerifyAnswers.clear();
  mIncomingSnapshot = {};
  mIncomingSnapshotData.clear();
  mLeader.reset();
  mSnapshotRequested = false;
  mRole = ReplicaRole::Follower;
  mNextJoin = mNow;
}

void
ConsensusCore::AddMissingPeers()
{
  for (const ReplicaId& voter : mLog.Configuration().mVoters) {
    if (voter == Self() || mPeers.count(voter) != 0) {
      continue;
    }
    ReplicationProgress& progress = mPeers[voter];
    progress.mNext = mLog.LastIndex() + 1;
    progress.mLastHeard = mNow;
    progress.mLastProgress = mNow;
  }
}

bool
ConsensusCore::IsCaughtUp(const ReplicationProgress& aProgress) const
{
  const bool heard = mNow - aProgress.mLastHeard <=
                     mOptions.mTimings.mLearnerHeartbeatInterval * 2;
  return heard && !aProgress.mProbing && aProgress.mMatch >= mCommitIndex;
}

Result<void>
ConsensusCore::CheckVoterChangeAllowed() const
{
  if (mRole != ReplicaRole::Leader || mTransferDeadline) {
    return Error(ErrorKind::NotLeader,
                 "this replica is not the leader of the group");
  }
  if (mCommitIndex < mTermStartIndex ||
      mLog.ConfigurationIndex() > mCommitIndex) {
    return Error(ErrorKind::NoQuorum,
                 "another membership change is in progress",
                 mOptions.mTimings.mHeartbeatInterval);
  }
  return Success();
}

void
ConsensusCore::AdvanceMembership()
{
  if (!CheckVoterChangeAllowed()) {
    return;
  }
  for (const auto& [replica, progress] : mPeers) {
    const bool eligible = !IsVoter(replica) && progress.mDurable &&
                          !progress.mSuperseded && IsCaughtUp(progress);
    if (!eligible) {
      continue;
    }
    GroupConfiguration next = mLog.Configuration();
    const ReplicaId* former = next.FindVoter(replica.mName);
    if (former != nullptr) {
      // Removes the old incarnation before adding the new one: consecutive
      // majorities overlap only if one voter changes at a time.
      next.mVoters.erase(
        std::find(next.mVoters.begin(), next.mVoters.end(), *former));
      next.mPendingVoters.push_back(replica.mName);
      ProposeConfiguration(next);
      return;
    }
    if (next.IsPendingVoter(replica.mName)) {
      next.mPendingVoters.erase(std::find(
        next.mPendingVoters.begin(), next.mPendingVoters.end(), replica.mName));
      next.mVoters.push_back(replica);
      ProposeConfiguration(next);
      return;
    }
  }
  MaintainVoterCount();
}

void
ConsensusCore::ProposeConfiguration(GroupConfiguration aConfiguration)
{
  ++aConfiguration.mVersion;
  AppendToLog({ mLog.LastIndex() + 1,
                mHardState.mTerm,
                EntryKind::Configuration,
                EncodeConfiguration(aConfiguration) });
  AddMissingPeers();
  AdvanceCommit();
}

Result<GroupConfiguration>
ConsensusCore::WithVoter(const InstanceName& aName) const
{
  GroupConfiguration next = mLog.Configuration();
  if (next.FindVoter(aName) != nullptr || next.IsPendingVoter(aName)) {
    return Error(ErrorKind::InvalidArgument,
                 "'" + aName + "' is already a voter or is being added as one");
  }
  next.mPendingVoters.push_back(aName);
  return next;
}

Result<GroupConfiguration>
ConsensusCore::WithoutVoter(const InstanceName& aName) const
{
  GroupConfiguration next = mLog.Configuration();
  const ReplicaId* voter = next.FindVoter(aName);
  const bool last = voter != nullptr && next.mVoters.size() == 1;
  if (last || (voter == nullptr && !next.IsPendingVoter(aName))) {
    return Error(ErrorKind::InvalidArgument,
                 last ? "'" + aName + "' is the last voter"
                      : "'" + aName + "' is not a voter");
  }
  if (voter != nullptr) {
    next.mVoters.erase(
      std::find(next.mVoters.begin(), next.mVoters.end(), *voter));
  }
  const auto& awaiting = next.mPendingVoters;
  const auto found = std::find(awaiting.begin(), awaiting.end(), aName);
  if (found != awaiting.end()) {
    next.mPendingVoters.erase(found);
  }
  return next;
}

Result<void>
ConsensusCore::CheckBaseVersion(const VoterChange& aChange) const
{
  const GroupConfiguration& current = mLog.Configuration();
  if (aChange.mBaseVersion == current.mVersion) {
    return Success();
  }
  std::string message = "base version " + std::to_string(aChange.mBaseVersion) +
                        " does not match the current membership version " +
                        std::to_string(current.mVersion);
  if (!current.mChanges.empty()) {
    const VoterChange& latest = current.mChanges.back();
    message += "; version " + std::to_string(latest.Version()) +
               " was made by '" + latest.mAuthor + "' (request id '" +
               latest.mRequestId + "')";
  }
  return Error(ErrorKind::VersionConflict, std::move(message));
}

Result<std::uint64_t>
ConsensusCore::ChangeVoters(TimePoint aNow, const VoterChange& aChange)
{
  mNow = aNow;
  if (mRole != ReplicaRole::Leader) {
    return Error(ErrorKind::NotLeader,
                 "this replica is not the leader of the group");
  }
  const VoterChange* known = mLog.Configuration().ChangeOf(aChange.mRequestId);
  if (known != nullptr && !(*known == aChange)) {
    return Error(ErrorKind::KeyConflict,
                 "request id '" + aChange.mRequestId +
                   "' was used for another change");
  }
  if (known != nullptr) {
    return known->Version();
  }
  BOOST_OUTCOME_TRY(CheckVoterChangeAllowed());
  BOOST_OUTCOME_TRY(CheckBaseVersion(aChange));
  BOOST_OUTCOME_TRY(next,
                    aChange.mIsRemoval ? WithoutVoter(aChange.mName)
                                       : WithVoter(aChange.mName));
  next.mChanges.push_back(aChange);
  if (next.mChanges.size() > kMaxRecordedChanges) {
    next.mChanges.erase(next.mChanges.begin());
  }
  ProposeConfiguration(std::move(next));
  return aChange.Version();
}

void
ConsensusCore::StepDownIfRemoved()
{
  if (mLog.ConfigurationIndex() > mCommitIndex || IsSelfVoter()) {
    return;
  }
  ContinueTransfer(true);
  BecomeFollower(mHardState.mTerm);
}

}

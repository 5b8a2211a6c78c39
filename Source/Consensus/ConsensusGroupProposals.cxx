// ConsensusGroup: appending, forwarding and failing proposals.
#include "Consensus/ConsensusGroup.h"

#include <utility>

#include <glog/logging.h>

#include "Consensus/ConsensusChannel.h"
#include "Consensus/JournalWriter.h"

namespace almondspoke {

namespace {

Error
NoQuorumError()
{
  return { ErrorKind::NoQuorum,
           "the group has no reachable leader; nothing was appended" };
}

Error
DiskFailedError()
{
  return { ErrorKind::NoQuorum,
           "this replica is inactive because its disk failed; nothing was "
           "appended" };
}

Error
OutcomeUnknownError(const std::string& aWhy)
{
  return { ErrorKind::OutcomeUnknown, aWhy };
}

/** Converts the error kind in a ForwardReply, which comes from another process.
 * An unknown number becomes OutcomeUnknown. */
ErrorKind
ErrorKindFromMessage(std::uint64_t aNumber)
{
  const auto& traits = AllErrorTraits();
  return aNumber < traits.size()
           ? traits[static_cast<std::size_t>(aNumber)].mKind
           : ErrorKind::OutcomeUnknown;
}

}

std::size_t
ConsensusGroup::PendingCount() const
{
  return mWaitingForLeader.size() + mAppendedProposals.size() +
         mForwardedProposals.size() + mBarriers.size();
}

void
ConsensusGroup::AppendOrForward(Proposal aProposal)
{
  if (mCore->IsLeading()) {
    const Result<ProposalPosition> position =
      mCore->Propose(mClock.MonotonicNow(), aProposal.mCommand);
    if (position) {
      aProposal.mCommand.clear();
      const ProposalPosition& at = position.value();
      const auto former = mAppendedProposals.find(at.mIndex);
      if (former != mAppendedProposals.end()) {
        former->second.mProposal.mDone(OutcomeUnknownError(
          "the leader changed before the command was committed"));
        mAppendedProposals.erase(former);
      }
      mAppendedProposals[at.mIndex] = { at.mTerm, std::move(aProposal) };
      return;
    }
    if (position.error().Kind() != ErrorKind::NotLeader) {
      aProposal.mDone(position.error());
      return;
    }
  }
  if (mHasFailed && !aProposal.mIsForwarded) {
    aProposal.mDone(DiskFailedError());
    return;
  }
  if (aProposal.mIsForwarded) {
    aProposal.mDone(
      Error(ErrorKind::NotLeader, "this replica is not the leader"));
    return;
  }
  const std::optional<InstanceName>& leader = mCore->Leader();
  if (leader && *leader != mOptions.mSelf) {
    Forward(*leader, std::move(aProposal));
    return;
  }
  mWaitingForLeader.push_back(std::move(aProposal));
}

void
ConsensusGroup::Forward(const InstanceName& aLeader, Proposal aProposal)
{
  ConsensusMessage message;
  message.mKind = MessageKind::Forward;
  message.mContext = mNextId++;
  message.mData = aProposal.mCommand;
  mForwardedProposals.emplace(
    message.mContext, ForwardedProposal{ aLeader, std::move(aProposal) });
  mChannel.Send(mOptions.mGroup, aLeader, EncodeMessage(message));
}

void
ConsensusGroup::OnForward(const InstanceName& aFrom, ConsensusMessage aMessage)
{
  Proposal proposal;
  proposal.mIsForwarded = true;
  proposal.mCommand = std::move(aMessage.mData);
  proposal.mDeadline = mClock.MonotonicNow() + mOptions.mProposalTimeout;
  const std::uint64_t id = aMessage.mContext;
  proposal.mDone = [this, aFrom, id](Result<std::string> aResult) {
    ConsensusMessage reply;
    reply.mKind = MessageKind::ForwardReply;
    reply.mContext = id;
    reply.mFlag = !aResult;
    if (aResult) {
      reply.mData = std::move(aResult.value());
    } else {
      reply.mTotal = static_cast<std::uint64_t>(aResult.error().Kind());
      reply.mData = aResult.error().Message();
    }
    mChannel.Send(mOptions.mGroup, aFrom, EncodeMessage(reply));
  };
  if (PendingCount() >= mOptions.mMaxPending) {
    proposal.mDone(
      Error(ErrorKind::QueueFull, "too many pending proposals and barriers"));
    return;
  }
  AppendOrForward(std::move(proposal));
}

void
ConsensusGroup::OnForwardReply(ConsensusMessage aMessage)
{
  const auto forwarded = mForwardedProposals.find(aMessage.mContext);
  if (forwarded == mForwardedProposals.end()) {
    return;
  }
  Proposal proposal = std::move(forwarded->second.mProposal);
  mForwardedProposals.erase(forwarded);
  if (!aMessage.mFlag) {
    proposal.mDone(std::move(aMessage.mData));
    return;
  }
  const ErrorKind kind = ErrorKindFromMessage(aMessage.mTotal);
  if (kind == ErrorKind::NotLeader) {
    // The receiver did not append it; the next tick sends it to the current
    // leader.
    mWaitingForLeader.push_back(std::move(proposal));
    return;
  }
  proposal.mDone(Error(kind, std::move(aMessage.mData)));
}

void
ConsensusGroup::RetryWaitingForLeader(TimePoint aNow)
{
  std::deque<Proposal> parked;
  parked.swap(mWaitingForLeader);
  for (Proposal& proposal : parked) {
    if (aNow >= proposal.mDeadline) {
      proposal.mDone(NoQuorumError());
      continue;
    }
    AppendOrForward(std::move(proposal));
  }
}

void
ConsensusGroup::ExpireForwarded(TimePoint aNow)
{
  const std::optional<InstanceName> leader = mCore->Leader();
  std::vector<Proposal> expired;
  for (auto entry = mForwardedProposals.begin();
       entry != mForwardedProposals.end();) {
    const bool replaced = leader && *leader != entry->second.mLeader;
    if (replaced || aNow >= entry->second.mProposal.mDeadline) {
      expired.push_back(std::move(entry->second.mProposal));
      entry = mForwardedProposals.erase(entry);
      continue;
    }
    ++entry;
  }
  for (const Proposal& proposal : expired) {
    proposal.mDone(OutcomeUnknownError(
      "the leader was replaced or did not respond in time"));
  }
}

void
ConsensusGroup::ExpireAppended(TimePoint aNow)
{
  std::vector<Proposal> expired;
  for (auto entry = mAppendedProposals.begin();
       entry != mAppendedProposals.end();) {
    if (aNow >= entry->second.mProposal.mDeadline) {
      expired.push_back(std::move(entry->second.mProposal));
      entry = mAppendedProposals.erase(entry);
      continue;
    }
    ++entry;
  }
  for (const Proposal& proposal : expired) {
    proposal.mDone(
      OutcomeUnknownError("a majority did not confirm the command in time"));
  }
}

void
ConsensusGroup::FailAppended(LogIndex aUpTo)
{
  while (!mAppendedProposals.empty() &&
         mAppendedProposals.begin()->first <= aUpTo) {
    const Proposal proposal =
      std::move(mAppendedProposals.begin()->second.mProposal);
    mAppendedProposals.erase(mAppendedProposals.begin());
    proposal.mDone(
      OutcomeUnknownError("this replica stopped tracking the command"));
  }
}

void
ConsensusGroup::FailAllPending()
{
  std::vector<Task> tasks;
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    tasks.swap(mTasks);
  }
  for (const Task& task : tasks) {
    task();
  }
  FailUnsent();
  for (const auto& [id, forwarded] : mForwardedProposals) {
    forwarded.mProposal.mDone(
      OutcomeUnknownError("this instance is shutting down"));
  }
  mForwardedProposals.clear();
  FailAppended(~LogIndex{ 0 });
}

void
ConsensusGroup::FailUnsent()
{
  for (const Proposal& proposal : mWaitingForLeader) {
    proposal.mDone(NoQuorumError());
  }
  mWaitingForLeader.clear();
  for (const auto& [id, barrier] : mBarriers) {
    barrier.mDone(NoQuorumError());
  }
  mBarriers.clear();
  for (const PendingVoterChange& change : mVoterChanges) {
    change.mDone(OutcomeUnknownError("this instance is shutting down"));
  }
  mVoterChanges.clear();
}

void
ConsensusGroup::OnDiskFailed(const Error& aError)
{
  LOG(ERROR) << "group=" << mOptions.mGroup
             << " takes no further part until its storage can be opened again: "
             << aError.Message();
  mCore->DiskFailed(mClock.MonotonicNow());
  {
    const std::lock_guard<std::mutex> lock(mPublishedMutex);
    mPublishedFailure = aError.Message();
  }
  mHasFailed = true;
  ++mFailureCount;
  FailAppended(~LogIndex{ 0 });
  FailUnsent();
  // Another leader takes over before the storage is tried again.
  ExecuteEffects();
  mJournalWriter->Reopen();
}

void
ConsensusGroup::OnReopened(StoredState aStored)
{
  mCore = MakeCore(std::move(aStored));
  mHasFailed = false;
  LOG(WARNING) << "group=" << mOptions.mGroup
               << " has opened its storage again and rejoins; applied up to "
               << mApplied;
}

}

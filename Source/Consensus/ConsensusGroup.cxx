#include "Consensus/ConsensusGroup.h"

#include <algorithm>
#include <random>
#include <utility>

#include <glog/logging.h>

#include "Consensus/ConsensusChannel.h"
#include "Consensus/Journal.h"
#include "Consensus/JournalWriter.h"

namespace almondspoke {

namespace {

std::uint64_t
ChooseSeed(std::uint64_t aConfigured)
{
  if (aConfigured != 0) {
    return aConfigured;
  }
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

StorageIncarnation
DrawIncarnation(std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<std::uint32_t>(1)(aRandom);
}

Error
StoppedError()
{
  return { ErrorKind::NotReady, "the group has been stopped" };
}

Error
OutcomeUnknownError(const std::string& aWhy)
{
  return { ErrorKind::OutcomeUnknown, aWhy };
}

}

ConsensusGroup::ConsensusGroup(ConsensusGroupOptions aOptions,
                               ConsensusChannel& aChannel,
                               StateMachine& aMachine,
                               const Clock& aClock,
                               JournalStorage* aStorage)
  : mOptions(std::move(aOptions))
  , mChannel(aChannel)
  , mMachine(aMachine)
  , mClock(aClock)
  , mRandom(ChooseSeed(mOptions.mSeed))
{
  if (aStorage != nullptr) {
    mJournal = std::make_unique<Journal>(*aStorage);
  }
}

ConsensusGroup::~ConsensusGroup()
{
  Stop();
}

Result<void>
ConsensusGroup::Start()
{
  StoredState empty;
  empty.mIdentity.mIncarnation = DrawIncarnation(mRandom);
  const Result<StoredState> stored = mJournal ? OpenStorage() : empty;
  mInitialState = mMachine.TakeSnapshot();
  mCore = MakeCore(stored ? stored.value() : empty);
  mNextTick = mClock.MonotonicNow();
  PublishStatus();
  mRunning = true;
  mChannel.Attach(
    mOptions.mGroup,
    [this](const InstanceName& aFrom, const std::string& aPayload) {
      Post([this, aFrom, aPayload] { OnMessage(aFrom, aPayload); });
    });
  if (mJournal) {
    StartJournalWriter();
  }
  if (!stored) {
    OnDiskFailed(stored.error());
  }
  mCoreThread = std::thread([this] { RunCore(); });
  return Success();
}

Result<StoredState>
ConsensusGroup::OpenStorage()
{
  const StorageIncarnation incarnation = DrawIncarnation(mRandom);
  Result<StoredState> opened = mJournal->Open(incarnation);
  if (opened || opened.error().Kind() != ErrorKind::StorageCorrupt) {
    return opened;
  }
  LOG(ERROR) << "group=" << mOptions.mGroup
             << " storage is corrupt and is discarded: "
             << opened.error().Message();
  return mJournal->Discard(incarnation);
}

CoreOptions
ConsensusGroup::OptionsOfCore() const
{
  CoreOptions core;
  core.mSelf = mOptions.mSelf;
  core.mInitialVoters = mOptions.mInitialVoters;
  core.mDurable = mJournal != nullptr;
  core.mAdmitLearners = mOptions.mAdmitLearners;
  core.mMayBootstrap = mOptions.mMayBootstrap;
  core.mTargetVoterCount = mOptions.mTargetVoterCount;
  core.mAppliedIndex = mApplied;
  core.mTimings = mOptions.mTimings;
  core.mLimits = mOptions.mLimits;
  core.mSeed = ChooseSeed(mOptions.mSeed) + 1 + mFailureCount;
  return core;
}

std::unique_ptr<ConsensusCore>
ConsensusGroup::MakeCore(StoredState aStored) const
{
  return std::make_unique<ConsensusCore>(
    OptionsOfCore(), std::move(aStored), mClock.MonotonicNow());
}

void
ConsensusGroup::StartJournalWriter()
{
  JournalWriter::Callbacks callbacks;
  callbacks.mOnWritten = [this](std::uint64_t aSequence) {
    Post([this, aSequence] {
      mCore->DiskCompleted(mClock.MonotonicNow(), aSequence);
    });
  };
  callbacks.mOnFailed = [this](const Error& aError) {
    Post([this, aError] { OnDiskFailed(aError); });
  };
  callbacks.mOpen = [this] { return OpenStorage(); };
  callbacks.mOnReopened = [this](StoredState aStored) {
    Post([this, stored = std::move(aStored)]() mutable {
      OnReopened(std::move(stored));
    });
  };
  mJournalWriter = std::make_unique<JournalWriter>(
    *mJournal, mOptions.mReopenInterval, std::move(callbacks));
  mJournalWriter->Start();
}

void
ConsensusGroup::Stop()
{
  if (!mRunning) {
    return;
  }
  mRunning = false;
  mChannel.Detach(mOptions.mGroup);
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    mStopping = true;
  }
  mTaskReady.notify_all();
  mCoreThread.join();
  if (mJournalWriter) {
    mJournalWriter->Stop();
  }
  FailAllPending();
}

bool
ConsensusGroup::Post(Task aTask)
{
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    if (mStopping) {
      return false;
    }
    mTasks.push_back(std::move(aTask));
  }
  mTaskReady.notify_one();
  return true;
}

void
ConsensusGroup::RunCore()
{
  while (true) {
    std::vector<Task> tasks;
    {
      std::unique_lock<std::mutex> lock(mTaskMutex);
      mTaskReady.wait_for(
        lock, TimeUntilTick(), [&] { return mStopping || !mTasks.empty(); });
      if (mStopping) {
        return;
      }
      tasks.swap(mTasks);
    }
    for (const Task& task : tasks) {
      task();
    }
    const TimePoint now = mClock.MonotonicNow();
    if (now >= NextTick()) {
      mNextTick = now + mOptions.mTickInterval;
      OnTick(now);
    }
    while (ExecuteEffects()) {
    }
    Publish();
  }
}

// Elections start at their exact deadline, not at the next tick. Voters that
// hear the same leader tick at nearly the same time, so starting elections on
// ticks would cause split votes.
ConsensusGroup::TimePoint
ConsensusGroup::NextTick() const
{
  return std::min(mNextTick, mCore->ElectionDeadline().value_or(mNextTick));
}

std::chrono::nanoseconds
ConsensusGroup::TimeUntilTick() const
{
  return std::max(Clock::Monotonic::duration::zero(),
                  NextTick() - mClock.MonotonicNow());
}

void
ConsensusGroup::OnTick(TimePoint aNow)
{
  mCore->Tick(aNow);
  RetryWaitingForLeader(aNow);
  ExpireForwarded(aNow);
  ExpireAppended(aNow);
  AdvanceBarriers(aNow);
  PublishStatus();
  AdvanceVoterChanges(aNow);
}

bool
ConsensusGroup::ExecuteEffects()
{
  CoreEffects effects = mCore->TakeEffects(mClock.MonotonicNow());
  if (effects.mResetStateMachine) {
    ResetMachine();
  }
  SendAll(effects.mMessages);
  bool again = false;
  if (!effects.mWrites.empty() && mJournal) {
    mJournalWriter->Write(std::move(effects.mWrites));
  } else if (!effects.mWrites.empty()) {
    mCore->DiskCompleted(mClock.MonotonicNow(),
                         effects.mWrites.back().mSequence);
    again = true;
  }
  if (effects.mSnapshotToRestore) {
    RestoreMachine(*effects.mSnapshotToRestore);
  }
  ApplyAll(effects.mCommitted);
  ResolveReads(effects.mReads);
  if (effects.mTakeSnapshot) {
    mCore->SnapshotTaken(mApplied, mMachine.TakeSnapshot());
    again = true;
  }
  return again;
}

void
ConsensusGroup::SendAll(const std::vector<OutgoingMessage>& aMessages)
{
  for (const OutgoingMessage& outgoing : aMessages) {
    // Replies to heartbeats may be reordered: the leader uses only the one for
    // the latest round.
    const bool isAnswer =
      outgoing.mMessage.mKind == MessageKind::HeartbeatReply;
    mChannel.Send(mOptions.mGroup,
                  outgoing.mTo,
                  EncodeMessage(outgoing.mMessage),
                  isAnswer);
  }
}

void
ConsensusGroup::RestoreMachine(const Snapshot& aSnapshot)
{
  const Result<void> restored = mMachine.RestoreSnapshot(*aSnapshot.mData);
  CHECK(restored) << "group=" << mOptions.mGroup
                  << " cannot restore the snapshot at " << aSnapshot.mIndex
                  << ": " << restored.error().Message();
  mApplied = aSnapshot.mIndex;
  FailAppended(aSnapshot.mIndex);
}

void
ConsensusGroup::ResetMachine()
{
  LOG(WARNING) << "group=" << mOptions.mGroup
               << " storage lacks entries that this replica acknowledged; "
                  "rejoining under a new incarnation";
  Snapshot initial;
  initial.mData = std::make_shared<const std::string>(mInitialState);
  RestoreMachine(initial);
  FailAppended(~LogIndex{ 0 });
}

void
ConsensusGroup::ApplyAll(const std::vector<LogEntry>& aEntries)
{
  if (aEntries.empty()) {
    return;
  }
  std::vector<std::string> responses;
  responses.reserve(aEntries.size());
  mMachine.BeginBatch();
  for (const LogEntry& entry : aEntries) {
    responses.push_back(ApplyEntry(entry));
  }
  mMachine.EndBatch();
  for (std::size_t index = 0; index < aEntries.size(); ++index) {
    Answer(aEntries[index], std::move(responses[index]));
  }
}

std::string
ConsensusGroup::ApplyEntry(const LogEntry& aEntry)
{
  mApplied = aEntry.mIndex;
  if (aEntry.mKind != EntryKind::Command) {
    return {};
  }
  return mMachine.Apply(aEntry.mIndex, aEntry.mPayload);
}

void
ConsensusGroup::Answer(const LogEntry& aEntry, std::string aResponse)
{
  const auto appended = mAppendedProposals.find(aEntry.mIndex);
  if (appended == mAppendedProposals.end()) {
    return;
  }
  const AppendedProposal proposal = std::move(appended->second);
  mAppendedProposals.erase(appended);
  if (proposal.mTerm == aEntry.mTerm) {
    proposal.mProposal.mDone(std::move(aResponse));
    return;
  }
  proposal.mProposal.mDone(
    OutcomeUnknownError("the leader changed before the command was committed"));
}

void
ConsensusGroup::ResolveReads(const std::vector<ReadOutcome>& aReads)
{
  for (const ReadOutcome& read : aReads) {
    const auto barrier = mBarriers.find(read.mId);
    if (barrier == mBarriers.end()) {
      continue;
    }
    barrier->second.mAsked = read.mConfirmed;
    if (read.mConfirmed) {
      barrier->second.mIndex = read.mIndex;
    }
  }
  if (!mBarriers.empty()) {
    AdvanceBarriers(mClock.MonotonicNow());
  }
}

void
ConsensusGroup::AdvanceBarriers(TimePoint aNow)
{
  std::vector<PendingBarrier> passed;
  for (auto barrier = mBarriers.begin(); barrier != mBarriers.end();) {
    PendingBarrier& pending = barrier->second;
    const bool reached = pending.mIndex && *pending.mIndex <= mApplied;
    if (reached || aNow >= pending.mDeadline) {
      passed.push_back(std::move(pending));
      barrier = mBarriers.erase(barrier);
      continue;
    }
    ++barrier;
  }
  for (const PendingBarrier& barrier : passed) {
    if (barrier.mIndex && *barrier.mIndex <= mApplied) {
      barrier.mDone(Success());
      continue;
    }
    barrier.mDone(
      Error(ErrorKind::NoQuorum,
            "a majority of the group's voters did not respond in time"));
  }
}

void
ConsensusGroup::OnMessage(const InstanceName& aFrom,
                          const std::string& aPayload)
{
  Result<ConsensusMessage> message = DecodeMessage(aPayload);
  if (!message) {
    LOG_EVERY_N(WARNING, 1000)
      << "group=" << mOptions.mGroup << " from=" << aFrom << " "
      << message.error().Message();
    return;
  }
  if (message.value().mKind == MessageKind::Forward) {
    OnForward(aFrom, std::move(message.value()));
    return;
  }
  if (message.value().mKind == MessageKind::ForwardReply) {
    OnForwardReply(std::move(message.value()));
    return;
  }
  mCore->Receive(mClock.MonotonicNow(), aFrom, std::move(message.value()));
}

void
ConsensusGroup::Propose(std::string aCommand, Done aDone)
{
  Proposal proposal;
  proposal.mCommand = std::move(aCommand);
  proposal.mDone = std::move(aDone);
  proposal.mDeadline = mClock.MonotonicNow() + mOptions.mProposalTimeout;
  const Done done = proposal.mDone;
  const bool posted = Post([this, proposal = std::move(proposal)]() mutable {
    if (PendingCount() >= mOptions.mMaxPending) {
      proposal.mDone(
        Error(ErrorKind::QueueFull, "too many pending proposals and barriers"));
      return;
    }
    AppendOrForward(std::move(proposal));
  });
  if (!posted) {
    done(StoppedError());
  }
}

void
ConsensusGroup::Barrier(std::function<void(Result<void>)> aDone)
{
  PendingBarrier barrier;
  barrier.mDone = std::move(aDone);
  barrier.mDeadline = mClock.MonotonicNow() + mOptions.mProposalTimeout;
  const DoneVoid done = barrier.mDone;
  const bool posted = Post([this, barrier = std::move(barrier)]() mutable {
    if (PendingCount() >= mOptions.mMaxPending) {
      barrier.mDone(
        Error(ErrorKind::QueueFull, "too many pending proposals and barriers"));
      return;
    }
    if (mHasFailed) {
      barrier.mDone(Error(ErrorKind::NoQuorum,
                          "this replica is inactive because its disk failed"));
      return;
    }
    const std::uint64_t id = mNextId++;
    barrier.mAsked = true;
    mBarriers.emplace(id, std::move(barrier));
    mCore->RequestRead(mClock.MonotonicNow(), id);
  });
  if (!posted) {
    done(StoppedError());
  }
}

bool
ConsensusGroup::IsLeader() const
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  return mPublishedLeaseExpiry &&
         mClock.MonotonicNow() < *mPublishedLeaseExpiry;
}

std::optional<InstanceName>
ConsensusGroup::Leader() const
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  return mPublishedLeader;
}

Term
ConsensusGroup::CurrentTerm() const
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  return mPublishedTerm;
}

CoreStatus
ConsensusGroup::Status() const
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  return mPublishedStatus;
}

LogIndex
ConsensusGroup::Applied() const
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  return mPublishedApplied;
}

std::string
ConsensusGroup::FailureReason() const
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  return mPublishedFailure;
}

void
ConsensusGroup::TransferLeadership(const DoneVoid& aDone)
{
  const bool posted = Post([this, done = aDone] {
    done(mCore->TransferLeadership(mClock.MonotonicNow()));
  });
  if (!posted) {
    aDone(StoppedError());
  }
}

void
ConsensusGroup::ChangeVoters(const VoterChange& aChange,
                             const VersionDone& aDone)
{
  const bool posted =
    Post([this, aChange, done = aDone] { StartVoterChange(aChange, done); });
  if (!posted) {
    aDone(StoppedError());
  }
}

void
ConsensusGroup::StartVoterChange(const VoterChange& aChange,
                                 const VersionDone& aDone)
{
  const TimePoint now = mClock.MonotonicNow();
  const Result<std::uint64_t> version = mCore->ChangeVoters(now, aChange);
  if (!version) {
    aDone(version.error());
    return;
  }
  mVoterChanges.push_back({ aChange, aDone, now + mOptions.mProposalTimeout });
}

void
ConsensusGroup::AdvanceVoterChanges(TimePoint aNow)
{
  std::vector<PendingVoterChange> pending;
  pending.swap(mVoterChanges);
  for (PendingVoterChange& change : pending) {
    const VoterChange* committed =
      mPublishedStatus.mConfiguration.ChangeOf(change.mChange.mRequestId);
    if (committed != nullptr) {
      change.mDone(committed->Version());
      continue;
    }
    if (aNow >= change.mDeadline) {
      change.mDone(
        OutcomeUnknownError("a majority did not confirm the change in time"));
      continue;
    }
    mVoterChanges.push_back(std::move(change));
  }
}

void
ConsensusGroup::Publish()
{
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  mPublishedLeader = mCore->Leader();
  mPublishedTerm = mCore->CurrentTerm();
  mPublishedLeaseExpiry = mCore->LeaseExpiry();
  mPublishedApplied = mApplied;
}

void
ConsensusGroup::PublishStatus()
{
  CoreStatus status = mCore->Status(mClock.MonotonicNow());
  const std::lock_guard<std::mutex> lock(mPublishedMutex);
  mPublishedStatus = std::move(status);
}

}

#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Consensus/ConsensusCore.h"
#include "Consensus/Replicator.h"
#include "Consensus/StateMachine.h"
#include "Consensus/VoterGroup.h"

namespace almondspoke {

class ConsensusChannel;
class Journal;
class JournalStorage;
class JournalWriter;

/** \brief Configuration of a ConsensusGroup. */
struct ConsensusGroupOptions
{
  InstanceName mSelf;
  GroupId mGroup = 0;
  /** Voters of a new group. The group is bootstrapped once all of them have
   * started with empty storage; after that its log determines the voters. */
  std::vector<InstanceName> mInitialVoters;
  /** Whether any instance that sends a Join becomes a learner. */
  bool mAdmitLearners = true;
  /** False if empty storage means that the disk was lost; see CoreOptions. */
  bool mMayBootstrap = true;
  /** Number of voters that the group maintains; zero if operators manage the
   * voters. */
  std::size_t mTargetVoterCount = 0;
  ConsensusTimings mTimings;
  ConsensusLimits mLimits;
  /** Time after which a pending proposal or barrier fails. */
  std::chrono::milliseconds mProposalTimeout{ 3000 };
  /** Interval between calls of ConsensusCore::Tick(). */
  std::chrono::milliseconds mTickInterval{ 25 };
  /** Time between the attempts to use storage again that has failed. */
  std::chrono::milliseconds mReopenInterval{ 250 };
  /** Maximum number of pending proposals and barriers. */
  std::size_t mMaxPending = 20000;
  /** Seed of the random numbers; zero for one from the system. */
  std::uint64_t mSeed = 0;
};

/** \brief Runs one replica of a consensus group.
 *
 * The ConsensusCore runs on one thread and the Journal on another. Messages go
 * over a ConsensusChannel, and committed commands are applied to a
 * StateMachine. The state machine and the Done callbacks are called on the
 * core's thread; callbacks must not block. */
class ConsensusGroup
  : public Replicator
  , public VoterGroup
{
public:
  /** \param aStorage null for a learner that keeps its state in memory and
   * receives it again after a restart. All references must outlive the
   * group. */
  ConsensusGroup(ConsensusGroupOptions aOptions,
                 ConsensusChannel& aChannel,
                 StateMachine& aMachine,
                 const Clock& aClock,
                 JournalStorage* aStorage);
  ~ConsensusGroup() override;
  ConsensusGroup(const ConsensusGroup&) = delete;
  ConsensusGroup& operator=(const ConsensusGroup&) = delete;

  /** Reads the storage and starts the threads. Storage with a wrong checksum
   * is discarded, and the replica rejoins like one whose disk was lost. A
   * replica whose storage cannot be opened is inactive until it can be; see
   * HasFailed(). */
  Result<void> Start();

  /** Stops the threads. Pending requests fail with NoQuorum or
   * OutcomeUnknown. */
  void Stop();

  /** Errors in addition to those of Replicator: QueueFull, and NotReady after
   * Stop(). */
  void Propose(std::string aCommand, Done aDone) override;
  void Barrier(std::function<void(Result<void>)> aDone) override;
  bool IsLeader() const override;
  std::optional<InstanceName> Leader() const override;
  Term CurrentTerm() const override;

  using DoneVoid = std::function<void(Result<void>)>;

  /** Starts a transfer of leadership to the most up-to-date voter. The callback
   * reports whether the transfer has started; Status() shows the new leader.
   * Errors: NotLeader, NoQuorum. */
  void TransferLeadership(const DoneVoid& aDone);

  void ChangeVoters(const VoterChange& aChange,
                    const VersionDone& aDone) override;

  /** Whether the storage has failed. Until it can be opened again, the replica
   * is inactive and rejects all proposals and barriers immediately; then it
   * rejoins the group as after a restart, without its state machine going
   * back. */
  bool HasFailed() const { return mHasFailed; }

  /** Number of times that the storage has failed. */
  std::uint64_t FailureCount() const { return mFailureCount; }

  /** Error of the latest failed write; empty if none has failed. */
  std::string FailureReason() const;

  /** State of this replica, at most one tick interval old. */
  CoreStatus Status() const override;

  /** Index of the last command applied to the state machine. */
  LogIndex Applied() const;

private:
  using TimePoint = Clock::Monotonic;
  using Task = std::function<void()>;

  struct Proposal
  {
    std::string mCommand;
    Done mDone;
    TimePoint mDeadline;
    /** Whether another instance forwarded the proposal. */
    bool mIsForwarded = false;
  };
  /** A proposal in the local log, not yet applied. */
  struct AppendedProposal
  {
    Term mTerm;
    Proposal mProposal;
  };
  /** A proposal sent to the leader on another instance. */
  struct ForwardedProposal
  {
    InstanceName mLeader;
    Proposal mProposal;
  };
  struct PendingVoterChange
  {
    VoterChange mChange;
    VersionDone mDone;
    TimePoint mDeadline;
  };
  struct PendingBarrier
  {
    DoneVoid mDone;
    TimePoint mDeadline;
    bool mAsked = false;
    /** Index to apply before the barrier is reached; empty until the leader has
     * confirmed it. */
    std::optional<LogIndex> mIndex;
  };

  /** Queues a task for the core thread; returns false and drops the task if
   * the group has been stopped. */
  bool Post(Task aTask);
  void RunCore();
  /** Reads the storage; storage that is corrupt is discarded. */
  Result<StoredState> OpenStorage();
  CoreOptions OptionsOfCore() const;
  std::unique_ptr<ConsensusCore> MakeCore(StoredState aStored) const;
  void StartJournalWriter();
  TimePoint NextTick() const;
  std::chrono::nanoseconds TimeUntilTick() const;
  void OnTick(TimePoint aNow);
  /** Carries out the pending effects; returns true if they caused new ones. */
  bool ExecuteEffects();
  void SendAll(const std::vector<OutgoingMessage>& aMessages);
  void RestoreMachine(const Snapshot& aSnapshot);
  void ResetMachine();
  void ApplyAll(const std::vector<LogEntry>& aEntries);
  std::string ApplyEntry(const LogEntry& aEntry);
  void Answer(const LogEntry& aEntry, std::string aResponse);
  void ResolveReads(const std::vector<ReadOutcome>& aReads);
  void OnMessage(const InstanceName& aFrom, const std::string& aPayload);
  void OnForward(const InstanceName& aFrom, ConsensusMessage aMessage);
  void OnForwardReply(ConsensusMessage aMessage);
  void AppendOrForward(Proposal aProposal);
  void Forward(const InstanceName& aLeader, Proposal aProposal);
  void RetryWaitingForLeader(TimePoint aNow);
  void ExpireForwarded(TimePoint aNow);
  void ExpireAppended(TimePoint aNow);
  void AdvanceBarriers(TimePoint aNow);
  void StartVoterChange(const VoterChange& aChange, const VersionDone& aDone);
  void AdvanceVoterChanges(TimePoint aNow);
  void OnDiskFailed(const Error& aError);
  void OnReopened(StoredState aStored);
  void FailAppended(LogIndex aUpTo);
  void FailUnsent();
  void FailAllPending();
  std::size_t PendingCount() const;
  void Publish();
  void PublishStatus();

  ConsensusGroupOptions mOptions;
  ConsensusChannel& mChannel;
  StateMachine& mMachine;
  const Clock& mClock;
  std::unique_ptr<Journal> mJournal;
  std::unique_ptr<JournalWriter> mJournalWriter;

  /** Draws incarnations; used by Start(), and then on the journal thread. */
  std::mt19937_64 mRandom;

  // Used on the core thread only.
  std::unique_ptr<ConsensusCore> mCore;
  std::string mInitialState;
  LogIndex mApplied = 0;
  std::uint64_t mNextId = 1;
  /** Proposals to send once a leader is known. */
  std::deque<Proposal> mWaitingForLeader;
  std::map<LogIndex, AppendedProposal> mAppendedProposals;
  std::map<std::uint64_t, ForwardedProposal> mForwardedProposals;
  std::map<std::uint64_t, PendingBarrier> mBarriers;
  std::vector<PendingVoterChange> mVoterChanges;
  TimePoint mNextTick;

  std::atomic<bool> mHasFailed{ false };
  std::atomic<std::uint64_t> mFailureCount{ 0 };

  mutable std::mutex mTaskMutex;
  std::condition_variable mTaskReady;
  std::vector<Task> mTasks;
  bool mStopping = false;
  bool mRunning = false;

  mutable std::mutex mPublishedMutex;
  std::optional<InstanceName> mPublishedLeader;
  Term mPublishedTerm = 0;
  std::optional<TimePoint> mPublishedLeaseExpiry;
  LogIndex mPublishedApplied = 0;
  CoreStatus mPublishedStatus;
  std::string mPublishedFailure;

  std::thread mCoreThread;
};

}

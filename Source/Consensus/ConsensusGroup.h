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

/** \brief What a ConsensusGroup is made with. */
struct ConsensusGroupOptions
{
  InstanceName mSelf;
  GroupId mGroup = 0;
  /** Voters of a new group. They found it once all of them have started with
   * empty storage; from then on the group's log says who votes. */
  std::vector<InstanceName> mInitialVoters;
  /** Whether any instance that asks is taken in as a learner. */
  bool mAdmitLearners = true;
  /** False where an empty storage means that the disk was lost. */
  bool mMayFound = true;
  /** Number of voters that the group keeps by itself; zero leaves the voters
   * to operators. */
  std::size_t mTargetVoters = 0;
  ConsensusTimings mTimings;
  ConsensusLimits mLimits;
  /** Time after which a proposal or a barrier is given up. */
  std::chrono::milliseconds mProposalTimeout{ 3000 };
  std::chrono::milliseconds mTickInterval{ 25 };
  /** Proposals and barriers that may wait at once. */
  std::size_t mMaxPending = 20000;
  /** Seed of the random numbers; zero takes one from the system. */
  std::uint64_t mSeed = 0;
};

/** \brief Runs one replica of a consensus group: its core on one thread, its
 * journal on another, messages over a ConsensusChannel, committed commands
 * into a StateMachine.
 *
 * The state machine is called on the core's thread only. The Done callbacks
 * run on that thread too and do not block. */
class ConsensusGroup
  : public Replicator
  , public VoterGroup
{
public:
  /** \param aStorage null for a learner that keeps its state in memory only;
   * it learns everything again after a restart. All references outlive the
   * group. */
  ConsensusGroup(ConsensusGroupOptions aOptions,
                 ConsensusChannel& aChannel,
                 StateMachine& aMachine,
                 const Clock& aClock,
                 JournalStorage* aStorage);
  ~ConsensusGroup() override;
  ConsensusGroup(const ConsensusGroup&) = delete;
  ConsensusGroup& operator=(const ConsensusGroup&) = delete;

  /** Reads the storage and starts the threads. A storage that fails its
   * checksums is given up; the replica is then readmitted like one whose disk
   * was lost. Errors: StorageFailed. */
  Result<void> Start();

  /** Stops the threads; what still waits is answered by NoQuorum or
   * OutcomeUnknown. */
  void Stop();

  /** Errors besides those of Replicator: QueueFull; NotReady after Stop(). */
  void Propose(std::string aCommand, Done aDone) override;
  void Barrier(std::function<void(Result<void>)> aDone) override;
  bool IsLeader() const override;
  std::optional<InstanceName> Leader() const override;
  Term CurrentTerm() const override;

  using DoneVoid = std::function<void(Result<void>)>;

  /** Hands leadership to the voter that has caught up best. The callback says
   * whether the handover has begun; Status() shows its end.
   * Errors: NotLeader, NoQuorum. */
  void TransferLeadership(const DoneVoid& aDone);

  void ChangeVoters(const VoterChange& aChange,
                    const VersionDone& aDone) override;

  /** Whether the storage has failed: the replica takes no further part and
   * refuses all proposals and barriers at once. */
  bool HasFailed() const { return mHasFailed; }

  /** State of this replica, at most one tick old. */
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
    /** True for one that another instance has forwarded. */
    bool mIsForwarded = false;
  };
  struct AppendedProposal
  {
    Term mTerm;
    Proposal mProposal;
  };
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
    std::optional<LogIndex> mIndex;
  };

  /** False, and the task is not run, once the group has been stopped. */
  bool Post(Task aTask);
  void RunCore();
  void RunJournal();
  TimePoint NextTick() const;
  std::chrono::nanoseconds TimeUntilTick() const;
  void OnTick(TimePoint aNow);
  bool ExecuteEffects();
  void QueueWrites(std::vector<JournalWrite> aWrites);
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
  void OnDiskFailed();
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

  // Core thread only.
  std::unique_ptr<ConsensusCore> mCore;
  std::string mInitialState;
  LogIndex mApplied = 0;
  std::uint64_t mNextId = 1;
  std::deque<Proposal> mWaitingForLeader;
  std::map<LogIndex, AppendedProposal> mAppendedProposals;
  std::map<std::uint64_t, ForwardedProposal> mForwardedProposals;
  std::map<std::uint64_t, PendingBarrier> mBarriers;
  std::vector<PendingVoterChange> mVoterChanges;
  TimePoint mNextTick;

  std::atomic<bool> mHasFailed{ false };

  mutable std::mutex mTaskMutex;
  std::condition_variable mTaskReady;
  std::vector<Task> mTasks;
  bool mStopping = false;
  bool mRunning = false;

  std::mutex mJournalMutex;
  std::condition_variable mJournalReady;
  std::vector<JournalWrite> mJournalQueue;
  bool mJournalStopping = false;

  mutable std::mutex mPublishedMutex;
  std::optional<InstanceName> mPublishedLeader;
  Term mPublishedTerm = 0;
  std::optional<TimePoint> mPublishedLeaseExpiry;
  LogIndex mPublishedApplied = 0;
  CoreStatus mPublishedStatus;

  std::thread mCoreThread;
  std::thread mJournalThread;
};

}

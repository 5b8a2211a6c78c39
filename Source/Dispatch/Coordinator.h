#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Dispatch/AdmissionStrategy.h"
#include "Dispatch/CoordinatorCounters.h"
#include "Dispatch/DispatchJob.h"
#include "Dispatch/DispatchState.h"
#include "Dispatch/NodeSettings.h"
#include "Dispatch/OrderFlow.h"
#include "Dispatch/OrderTimeoutEstimator.h"
#include "Dispatch/OverloadDetector.h"
#include "Dispatch/PlacementWaits.h"
#include "Dispatch/ReadyQueue.h"
#include "Dispatch/RoomEstimator.h"
#include "Dispatch/RunLedger.h"
#include "Dispatch/RunTimeModel.h"
#include "Dispatch/StartWindow.h"
#include "Dispatch/StragglerRule.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerIndex.h"
#include "Dispatch/WorkerSession.h"
#include "Dispatch/WorkerTimers.h"

namespace almondspoke::dispatch {

/** \brief Receives the replies of the coordinator to its callers. */
class ReplySink
{
public:
  virtual ~ReplySink() = default;
  /** Replies to a call; called at most once per call. */
  virtual void Reply(CallId aCall, const JobReply& aReply) = 0;
};

/** \brief Stores the records that later leaders need. */
class RecordSink
{
public:
  using Done = std::function<void(bool aApplied)>;

  virtual ~RecordSink() = default;

  /** Stores a batch. Batches are applied in the order of the calls.
   * \param aDone called exactly once, after Store() has returned; false if it
   *        is unknown whether the batch will be applied */
  virtual void Store(const RecordBatch& aBatch, Done aDone) = 0;
};

/** \brief Timeouts and limits of a Coordinator. */
struct CoordinatorOptions
{
  /** Maximum duration of a worker lease. */
  std::chrono::milliseconds mMaxLease{ 1000 };
  /** Time that a hold order waits at the worker for the next run to end (long
   * polling). Less than a third of the lease, so that the lease survives one
   * lost answer. */
  std::chrono::milliseconds mHoldWait{ 300 };
  /** Timeout of a hold order in addition to its wait time: covers several round
   * trips and one retransmission. */
  std::chrono::milliseconds mHoldTimeoutMargin{ 300 };
  /** Upper bound of the timeout for start and stop orders. */
  std::chrono::milliseconds mMaxOrderTimeout{ 250 };
  /** Time for which the result of a best-effort job is kept for callers that
   * repeat their request. */
  std::chrono::milliseconds mBestEffortResultRetention{ 15'000 };
  /** Time for which a cancellation that no stored job stands for is kept.
   * Longer than any disruption may hold up the submission of the job, and than
   * a caller may wait for the answer to it. */
  std::chrono::milliseconds mCancellationRetention{ 75'000 };
  /** Time for which the result of a stored job is kept. */
  std::chrono::milliseconds mStoredResultRetention{ 130'000 };
  /** A worker without runs is removed if it has not reported for this long. */
  std::chrono::milliseconds mWorkerExpiry{ 12'000 };
  /** Whether the run times of queues and workers are learned and decide where
   * tasks are placed. */
  bool mLearnRunTimes = false;
  /** Run time of a task off the rack that it prefers, relative to that on it;
   * 1 means that racks make no difference. */
  double mSpreadFactor = 1.0;
  /** How it is decided whether a job is accepted, and how long it may wait. */
  AdmissionPolicy mAdmission = AdmissionPolicy::Fixed;
  std::uint64_t mSeed = 1;
};

/** \brief The workers that a leader controls. */
struct LeadershipScope
{
  /** Empty for an elected leader, which controls all workers. Otherwise the
   * data centre that this instance leads as a local leader while no elected
   * leader is known. */
  std::string mDataCentre;
  /** Distinguishes local leaders from each other (see WorkerFence.h). */
  std::uint32_t mLeaderId = 0;

  bool IsLocal() const { return !mDataCentre.empty(); }
};

/** \brief Runs on the leader and decides which job runs on which worker.
 *
 * Driven by requests from callers and by answers of workers. It reads the time
 * from a Clock and sends orders through WorkerCalls, so that tests can drive it
 * without a network.
 *
 * A new leader first recovers: it reads the run lists of all workers under its
 * own fence, and starts no run until it knows which runs of earlier leaders may
 * still exist. A worker is used only after its registration has been stored.
 * The end of a stored job's task is stored before it is reported to callers or
 * acknowledged to the worker.
 *
 * A coordinator can also be the local leader of one data centre. A local leader
 * recovers in the same way, stores nothing and accepts best-effort jobs only.
 * It stops the runs of other leaders on a worker before it uses the worker, and
 * starts no job that an elected leader may have started. It runs a job only
 * while a caller waits for it: a caller that waits no longer may hand the job
 * in elsewhere, where this leader cannot be asked. Not thread-safe. */
class Coordinator
{
public:
  using TimePoint = Clock::Monotonic;

  Coordinator(CoordinatorOptions aOptions,
              const Clock& aClock,
              WorkerCalls& aCalls,
              ReplySink& aReplies,
              RecordSink& aRecords,
              EventLog& aLog);

  /** Takes over leadership.
   * \param aState state stored by earlier leaders
   * \param aReports latest reports of the workers
   * \param aScope workers that are controlled; a local leader stores nothing */
  void BeginLeading(Fence aFence,
                    const DispatchState& aState,
                    const std::vector<WorkerReport>& aReports,
                    const LeadershipScope& aScope = {});
  /** Gives up leadership and discards all jobs and workers. Waiting calls get
   * no reply. */
  void Resign();
  bool IsLeading() const { return mLeading; }
  /** True once it is known which runs of earlier leaders may still exist. */
  bool IsRecoveryComplete() const { return mRecoveryComplete; }
  /** True while this instance is the local leader of a data centre. */
  bool IsLocal() const { return mLeading && mScope.IsLocal(); }
  /** True if a worker of this local leader has accepted the fence of another
   * leader. */
  bool IsFencedOut() const { return mFencedOut; }
  /** Limits on callers by the current manifest. */
  CallerLimits CurrentCallerLimits() const
  {
    return mManifest ? mManifest->mLimits : CallerLimits();
  }

  /** Returns whether the manifest names a pool; true if there is none. */
  bool IsPoolNamed(const PoolName& aPool) const
  {
    return !mManifest || FindPool(*mManifest, aPool) != nullptr;
  }

  /** Version of the current manifest, or zero if there is none. */
  std::uint64_t CurrentManifestVersion() const
  {
    return mManifest ? mManifest->mVersion : 0;
  }

  /** Excludes calls (see CallKeyOf) from local leadership because an elected
   * leader may have acted on them. */
  void ExcludeCalls(const std::vector<std::string>& aKeys);

  void SetManifest(std::shared_ptr<const Manifest> aManifest);

  /** Sets the data centres in which nothing is started. Runs there continue. */
  void SetEvacuated(const DataCentreNames& aNames);
  const DataCentreNames& Evacuated() const { return mEvacuated; }

  void Call(CallId aCall, const JobCall& aRequest);
  void OnCallerLeft(const CallerLeft& aLeft);
  /** Processes that the reply to a call would not arrive any more. */
  void OnCallLost(CallId aCall, const CallerLeft& aCaller);
  void OnReport(const WorkerReport& aReport);
  /** Processes timeouts; must be called every few milliseconds while this
   * instance leads. */
  void Tick();

  /** Records how late a periodic event was handled, behind the messages that
   * arrived before it. */
  void ObserveDelay(std::chrono::milliseconds aDelay);
  const OverloadDetector& Load() const { return mLoad; }

  const CoordinatorCounters& Counters() const { return mCounters; }
  const RunLedgerCounters& LedgerCounters() const { return mLedger.Counters(); }
  const CoordinatorLatencies& Latencies() const { return mLatencies; }
  const WorkerSessions& Workers() const { return mWorkers; }
  const RunTimeModel& RunTimes() const { return mRunTimes; }
  const PlacementWaitCounters& PlacementWaitsTaken() const
  {
    return mPlacementWaits.Counters();
  }
  std::size_t OpenJobs() const;
  std::size_t AssignedRuns() const;

private:
  using JobPtr = std::unique_ptr<DispatchJob>;
  using CallHandler = void (Coordinator::*)(CallId,
                                            const JobCall&,
                                            const QueueMatch&);
  /** \brief End of a run that an earlier leader started, received before the
   * job is known to this leader. */
  struct UnmatchedEnd
  {
    RunEnd mEnd;
    TimePoint mAt;
  };

  /** Pool and required label of a task; the texts are those of its job. */
  using WorkerKind = std::pair<std::string_view, std::string_view>;
  /** Resources of a task for which no worker was found in a pass. */
  using UnplacedNeeds = std::map<WorkerKind, Resources>;

  // Requests from callers (Coordinator.cxx).
  void Submit(CallId aCall, const JobCall& aRequest, const QueueMatch& aMatch);
  void Query(CallId aCall, const JobCall& aRequest, const QueueMatch& aMatch);
  void Cancel(CallId aCall, const JobCall& aRequest, const QueueMatch& aMatch);
  void ReplyPendingCount(CallId aCall, const QueueMatch& aMatch);
  void UpdatePendingCounts();
  /** Lets a call wait for the end, or the acceptance, of a known job. */
  void Attach(DispatchJob& aJob, CallId aCall, const JobCall& aRequest);
  void AddWaiter(DispatchJob& aJob, CallId aCall, const JobCall& aRequest);
  JobPtr MakeJob(const JobSubmission& aSubmission, const Queue& aQueue) const;
  void Accept(JobPtr aJob, CallId aCall, const JobCall& aRequest);
  void OnAcceptStored(const JobId& aId);
  // Cancellations (CoordinatorCancel.cxx).
  /** Remembers the cancellation of an unknown job, whose submission may still
   * come. */
  void CancelAhead(CallId aCall, const JobCall& aRequest, const JobId& aId);
  /** Returns a best-effort job of which nothing but its id is known. */
  JobPtr MakeUnseenJob(const JobId& aId) const;
  /** Stores the cancellation of a job and then replies. */
  void StoreCancel(DispatchJob& aJob, CallId aCall);
  void ReplyCancelled(CallId aCall, const DispatchJob& aJob);
  bool IsRefusedForOverload(const DispatchJob& aJob) const;
  /** Refuses a job that was not accepted. */
  void RefuseNew(CallId aCall,
                 const DispatchJob& aJob,
                 const AdmissionDecision& aDecision,
                 const char* aReason,
                 const char* aMessage);
  /** Decides on a new job; if it is refused, the call is answered. */
  bool IsAdmitted(CallId aCall, DispatchJob& aJob);
  /** Returns what is known of the capacity for a job now. */
  AdmissionInputs InputsFor(const DispatchJob& aJob);
  /** Decides on a job by what is known of the capacity now. */
  AdmissionDecision Decide(const DispatchJob& aJob, AdmissionInputs aInputs);
  /** Records for each pool whether work that can be in time waits. */
  void ObserveRoom();
  /** Whether a job that cannot be in time may be started. */
  bool MayStartLate(const DispatchJob& aJob) const;
  /** Serves a job after all that can be in time. */
  void Defer(DispatchJob& aJob);
  Backlog BacklogBefore(const DispatchJob& aJob) const;
  /** Counts the cores of a worker as usable or not, according to its state. */
  void CountUsableCores(WorkerSession& aWorker, TimePoint aNow);
  void CountUsableCores(WorkerSession& aWorker, std::uint32_t aMilliCores);
  /** Answers a call that is not acted on, with the reason. */
  void Reject(CallId aCall,
              const JobCall& aRequest,
              JobReplyKind aKind,
              const std::string& aMessage);
  /** Returns whether an earlier leader may have run the job that a call hands
   * in: it was sent there, or traces of the job were found. */
  bool MayHaveRun(const JobCall& aRequest) const;
  /** Returns a rejection, which says that a job did not run and will not, or
   * that the outcome is unknown if this may not be true. */
  static JobReply RejectionOf(bool aMayHaveRun,
                              JobReplyKind aKind,
                              const std::string& aMessage,
                              std::uint32_t aRetryAfterMs);
  void ReplyAll(DispatchJob& aJob, const JobReply& aReply);
  void Refuse(DispatchJob& aJob, const char* aReason);
  double RandomJitter();

  // Queues (CoordinatorQueues.cxx).
  /** Finds the queue of a path. A known job keeps the path by which it was
   * handed in, also if that leads to no queue any more. */
  QueueMatch MatchOf(const std::string& aHost, const std::string& aPath);
  /** Returns whether the manifest in force has a queue for a job's path. */
  bool LeadsToQueue(const JobCall& aRequest, const JobId& aId) const;
  /** Returns the settings by which a job of an earlier version's queue is
   * served now. */
  Queue QueueInForce(const Queue& aEarlier);
  /** Returns what FindQueueInForce() finds, which is kept until the manifest
   * changes. */
  const Queue* FindInForce(const Queue& aEarlier);
  /** Lets an open job follow its queue to the pool and the priority that the
   * manifest in force states. Returns whether anything has changed. */
  bool FollowQueue(DispatchJob& aJob);

  // Local leadership (CoordinatorLocal.cxx).
  /** Returns whether only an elected leader may serve a call. If so, the call
   * has been answered with the reason. */
  bool DefersToElectedLeader(CallId aCall, const JobCall& aRequest);
  /** Removes a job of which nothing was started, since an elected leader may be
   * running it. Its callers learn that the outcome is unknown. */
  void LeaveToElectedLeader(DispatchJob& aJob);
  /** Stops the runs of a job that nobody waits for any more. Its caller may
   * hand it in again where this local leader is not known. */
  void EndUnawaited(DispatchJob& aJob);
  void EndUnawaitedJobs(TimePoint aNow);
  /** Lets the leases of a job's runs expire. */
  void DisownRunsOf(const DispatchJob& aJob);

  // Evacuated data centres (CoordinatorEvacuation.cxx).
  std::vector<WorkerSession*> WorkersIn(const DataCentreNames& aNames);
  void LogEvacuation(const std::string& aDataCentre);

  // Jobs and tasks (CoordinatorJobs.cxx).
  DispatchJob* FindJob(const JobId& aId);
  void MarkStepReady(DispatchJob& aJob, std::uint32_t aStep);
  void RequeueTask(DispatchJob& aJob, const TaskId& aTask);
  void ReleaseTask(DispatchJob& aJob, DispatchTask& aTask, TaskPhase aNext);
  void FinishTask(DispatchJob& aJob, const TaskId& aTask);
  /** Counts a failed run against the limit of the job's queue. */
  void CountFailedRun(DispatchJob& aJob, const TaskId& aTask);
  /** Returns whether a job that is not stored will end as cancelled. The order
   * in which a stored job's records are applied decides how it ends. */
  static bool IsCancelDecided(const DispatchJob& aJob);
  void EndJob(DispatchJob& aJob, JobState aState);
  void AbandonWaitingTasks(DispatchJob& aJob);
  void StopRunsOf(const DispatchJob& aJob);
  /** Applies what is known of a new job's tasks from earlier leaders: their
   * runs and their ends. */
  void AdoptRuns(DispatchJob& aJob);
  /** Makes a run of another leader the current one of a task that is ready.
   * Until such a run is over, the task must not be started again. */
  void ClaimFoundRun(DispatchJob& aJob, const TaskId& aTask);
  /** Returns a run of another leader, or null if it is not tracked. */
  TrackedRun* FoundRun(const TaskId& aTask, const WorkerId& aWorker);
  void StopFoundRun(const TaskId& aTask, const WorkerId& aWorker);
  void StopFoundRunsOf(const JobId& aJob);
  /** Records that a run of a job is known to have begun. */
  static void MarkBegun(DispatchJob& aJob);
  /** Returns whether a step of a job needs more than any worker has. */
  bool IsTooLarge(const DispatchJob& aJob) const;
  /** Classifies the jobs again if the largest workers have changed. */
  void ClassifyJobsAgain();
  bool MaySchedule() const;
  /** Starts what waits and finds a worker, in the order of urgency. */
  void Schedule();
  /** Tries some jobs regardless of those before them, so that each job is tried
   * now and then however many others wait. */
  void ScheduleInTurn();
  /** Returns whether a task of the job has found a worker. */
  bool ScheduleJob(DispatchJob& aJob, UnplacedNeeds& aUnplaced);
  void EnforceQueueTimeLimits(TimePoint aNow);
  void ExpireAt(const DispatchJob& aJob, TimePoint aAt);
  void RemoveExpired(TimePoint aNow);
  void RemoveExpiredJobs(TimePoint aNow);
  std::chrono::milliseconds RetentionOf(const DispatchJob& aJob) const;

  // Start and stop orders (CoordinatorRuns.cxx).
  OrderTarget TargetOf(const WorkerSession& aWorker) const;
  RunNumber NextRun(DispatchTask& aTask) const;
  void StartRun(DispatchJob& aJob, const TaskId& aTask, WorkerSession& aWorker);
  /** Records that an order to start a run has ended, whatever its outcome.
   * \return true if orders that have waited for that can be given */
  bool OnStartEnded(const std::string& aDataCentre,
                    OrderOutcome aOutcome,
                    TimePoint aOrderedAt);
  void OnStarted(const WorkerBoot& aBoot,
                 const RunId& aRun,
                 const OrderResult& aResult);
  void OnStartFailed(WorkerSession& aWorker,
                     const RunId& aRun,
                     OrderOutcome aOutcome);
  void StopRun(WorkerSession& aWorker, const TaskId& aTask, TrackedRun& aRun);
  void OnStopped(const WorkerBoot& aBoot,
                 const RunId& aRun,
                 const OrderResult& aResult);
  /** Repeats the task of a run if evidence shows that the run is over. */
  void MarkRunLost(WorkerSession& aWorker,
                   const RunId& aRun,
                   const RunEvidence& aEvidence,
                   const char* aReason);
  void OnFenced(WorkerSession& aWorker);
  void RetryStops(WorkerSession& aWorker);
  void StopStragglers(WorkerSession& aWorker, TimePoint aNow);
  /** Judges a run by the RunTimeModel. */
  bool IsStragglerByModel(const WorkerSession& aWorker,
                          const DispatchJob& aJob,
                          const TaskId& aTask,
                          TrackedRun& aRun,
                          TimePoint aNow);
  /** Learns from a run that has taken so long that its end would add nothing.
   */
  void LearnOverrun(WorkerSession& aWorker,
                    const DispatchJob& aJob,
                    const TaskId& aTask,
                    TrackedRun& aRun);
  bool IsStraggler(const DispatchJob& aJob,
                   const TaskId& aTask,
                   const TrackedRun& aRun,
                   TimePoint aNow) const;

  // Stored records (CoordinatorRecords.cxx).
  /** Returns the batch that FlushRecords() sends next.
   * \param aDone called once the batch is stored */
  RecordBatch& PendingBatch(RecordSink::Done aDone);
  void FlushRecords();
  void SendBatch(const std::shared_ptr<RecordBatch>& aBatch,
                 const std::shared_ptr<std::vector<RecordSink::Done>>& aDone);
  void LoadStoredWorker(const WorkerReport& aReport);
  /** Stores the registration of a worker, unless that has been done. */
  void RegisterWorker(WorkerSession& aWorker);
  /** Stores the registration of a later boot of a registered worker. */
  void RegisterLaterBoot(WorkerSession& aWorker);
  void StoreEnd(WorkerSession& aWorker,
                DispatchJob& aJob,
                const EndedRun& aEnd);
  /** Lets a task wait for a record of an end, if it has no other run. */
  void AwaitEndRecord(DispatchJob& aJob, const TaskId& aTask, bool aIsDone);
  /** \param aIsNew false if the end was processed before */
  void OnEndStored(const WorkerBoot& aBoot, const EndedRun& aEnd, bool aIsNew);
  void LoadStoredJob(const StoredJob& aStored);
  /** Loads a best-effort job that was cancelled under an earlier leader. */
  void LoadCancelledJob(const JobId& aId, std::int64_t aCancelledMs);
  void RecordRemoval(const DispatchJob& aJob);

  // Leases and run lists (CoordinatorHolds.cxx).
  /** Returns the session of a boot, or null. The worker is looked at in the
   * next tick, since its state is about to change. */
  WorkerSession* SessionOf(const WorkerBoot& aBoot);
  /** Processes the timeouts of a worker. */
  void Attend(WorkerSession& aWorker, TimePoint aNow);
  /** Returns the time of the next timeout of a worker, if there is one. */
  std::optional<TimePoint> NextTimeout(const WorkerSession& aWorker,
                                       TimePoint aNow) const;
  void UpdateReport(WorkerSession& aWorker, const WorkerReport& aReport);
  WorkerSession& AddSession(const WorkerReport& aReport);
  void AddWorker(const WorkerReport& aReport);
  std::size_t UnprovenWorkers() const;
  void RemoveSilentWorkers(TimePoint aNow);
  void EndSession(const WorkerId& aId, const char* aReason);
  /** Replaces the session of a worker by that of a later boot at the same
   * address. Runs that are not located are passed on to it.
   * \param aHasReported false if the boot was found before it has reported */
  void BeginSessionOfLaterBoot(WorkerSession& aFormer,
                               const WorkerReport& aReport,
                               bool aHasReported);
  void MarkRunsLost(WorkerSession& aWorker,
                    const RunEvidence& aEvidence,
                    const std::vector<ActiveRun>& aListed,
                    const char* aReason);
  void RemoveSession(WorkerSession& aWorker);
  /** Processes a report of a later boot than the one of the session. */
  void OnRestarted(WorkerSession& aWorker, const WorkerReport& aReport);
  /** Processes the answer of a boot that has not reported yet. */
  void OnOtherBootAnswered(WorkerSession& aWorker, std::uint64_t aStartTimeMs);
  /** Sends a hold order, which extends the lease and reads the run lists.
   * \param aUrgent sends the order even if another one is in flight, and
   * without a wait time */
  void Hold(WorkerSession& aWorker, bool aUrgent);
  static bool NeedsHold(const WorkerSession& aWorker, TimePoint aNow);
  void HoldIfDue(WorkerSession& aWorker, TimePoint aNow);
  void OnHoldAnswered(const WorkerBoot& aBoot,
                      std::uint64_t aHold,
                      bool aUrgent,
                      const HoldResult& aResult);
  /** Asks for the lists again if there can be more in them. */
  void ReadOn(WorkerSession& aWorker);
  void OnUnanswered(WorkerSession& aWorker);
  void ProcessEnds(WorkerSession& aWorker, const std::vector<EndedRun>& aEnds);
  void ProcessEnd(WorkerSession& aWorker, const EndedRun& aEnd);
  /** Passes the run time of a run to the RunTimeModel. */
  void LearnRunTime(WorkerSession& aWorker,
                    const DispatchJob& aJob,
                    const TaskId& aTask,
                    std::chrono::milliseconds aRunTime);
  void ProcessRunning(WorkerSession& aWorker,
                      std::uint64_t aHold,
                      const HoldResult& aLists);
  void OnRunFound(WorkerSession& aWorker, const ActiveRun& aRun);
  void RemoveRunsIfLeaseExpired(WorkerSession& aWorker, TimePoint aNow);
  void StopUnclaimedOrphans(TimePoint aNow);
  /** Returns whether the run lists of all registered workers, and of at least
   * one worker, have been read. */
  bool AreAllListsRead();
  /** Returns whether the leases that this leader has granted to unread workers
   * have expired. */
  bool HaveUnreadLeasesExpired(TimePoint aNow) const;
  /** Returns the longest time for which leases of earlier leaders last after
   * this one has begun to lead. */
  std::chrono::milliseconds RecoveryTime() const;
  void TryFinishRecovery(TimePoint aNow);

  const CoordinatorOptions mOptions;
  const Clock& mClock;
  WorkerCalls& mCalls;
  ReplySink& mReplies;
  RecordSink& mRecords;
  EventLog& mLog;
  std::mt19937_64 mRandom;
  OrderTimeoutEstimator mOrderTimeouts;
  OrderFlow mFlow;

  bool mLeading = false;
  bool mRecoveryComplete = false;
  /** Number of workers that have answered an order of a leader. */
  std::size_t mProvenWorkers = 0;
  /** True if runs may exist on workers that this leader does not know. */
  bool mMustAwaitLeases = false;
  /** The workers before this one were read when they were last checked. */
  WorkerId mFirstUnread;
  Fence mFence = 0;
  LeadershipScope mScope;
  bool mFencedOut = false;
  /** Calls that a local leader must not serve, with the end of the exclusion.
   */
  std::map<std::string, TimePoint> mExcludedCalls;
  /** Jobs of a local leader, each by the times up to which callers wait. */
  std::set<std::pair<TimePoint, JobId>> mAwaitedUntil;
  TimePoint mLeadingSince{};
  std::shared_ptr<const Manifest> mManifest;
  /** Queues of the manifest in force by the name, host and prefix that they had
   * in earlier versions; null where a queue was dropped. */
  std::map<std::tuple<QueueName, std::string, std::string>, const Queue*>
    mQueuesInForce;
  DataCentreNames mEvacuated;
  WorkerSessions mWorkers;
  RunLedger mLedger;
  RunTimeModel mRunTimes;
  PlacementWaits mPlacementWaits;
  WorkerIndex mIndex;
  StartWindows mWindows;
  WorkerTimers mTimers;
  std::uint64_t mNextSessionNumber = 1;
  std::unordered_map<JobId, JobPtr> mJobs;
  /** Hosts and prefixes at which the known jobs were handed in. */
  std::set<std::pair<std::string, std::string>> mJobPlaces;
  /** Number of the jobs that are not handed in. */
  std::size_t mUnseenJobs = 0;
  const std::unique_ptr<AdmissionStrategy> mAdmission;
  RoomEstimator mRoom;
  ReadyQueue mReady;
  /** Version of the workers' capacity by which the jobs are classified. */
  std::uint64_t mClassifiedCapacity = 0;
  /** The job that ScheduleInTurn() has tried last. */
  SchedulingKey mLastTriedInTurn;
  /** Jobs that may be removed, by the earliest time. */
  std::set<std::pair<TimePoint, JobId>> mJobExpiries;
  std::map<TaskId, UnmatchedEnd> mUnmatchedEnds;
  std::shared_ptr<RecordBatch> mPendingBatch;
  std::shared_ptr<std::vector<RecordSink::Done>> mPendingCallbacks;
  /** Batches that may not have been stored, in the order in which they must be
   * sent again. */
  std::deque<std::pair<std::shared_ptr<RecordBatch>,
                       std::shared_ptr<std::vector<RecordSink::Done>>>>
    mBatchesToResend;
  TimePoint mNextResendAt{};
  std::uint64_t mNextArrivalNumber = 0;
  TimePoint mNextCleanupAt{};
  /** Thousandths of cores of the usable workers by pool. */
  std::map<PoolName, std::uint64_t> mUsableMilliCores;
  /** Number of jobs by queue that have not started, as of the last count. */
  std::map<QueueName, std::uint32_t> mPendingCounts;
  TimePoint mNextCountAt{};
  /** Workers with runs whose jobs are unknown to this leader. */
  std::set<WorkerId> mWorkersWithOrphans;
  OverloadDetector mLoad;
  CoordinatorCounters mCounters;
  CoordinatorLatencies mLatencies;
};

}

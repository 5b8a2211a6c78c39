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
#include <unordered_map>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Dispatch/Admission.h"
#include "Dispatch/DispatchJob.h"
#include "Dispatch/DispatchState.h"
#include "Dispatch/LatencyHistogram.h"
#include "Dispatch/OrderTimeoutEstimator.h"
#include "Dispatch/Placement.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerSession.h"

namespace almondspoke::dispatch {

/** \brief Where the coordinator answers calls. */
class CallReplies
{
public:
  virtual ~CallReplies() = default;
  /** Answers a call; each call is answered at most once. */
  virtual void Reply(CallId aCall, const JobReply& aReply) = 0;
};

/** \brief Where the coordinator stores what later leaders must know. */
class RecordSink
{
public:
  using Done = std::function<void(bool aApplied)>;

  virtual ~RecordSink() = default;

  /** Stores a batch; batches take effect in the order of the calls.
   * \param aDone called once, and not from within the call; false if it is
   *        not known whether the batch takes effect */
  virtual void Store(const RecordBatch& aBatch, Done aDone) = 0;
};

/** \brief Times and bounds of a Coordinator. */
struct CoordinatorOptions
{
  /** Longest lease that workers grant. */
  std::chrono::milliseconds mMaxHold{ 1000 };
  /** Time that a hold order waits at the worker for the next end. Less than a
   * third of the lease, so that one lost answer does not end it. */
  std::chrono::milliseconds mHoldWait{ 300 };
  /** Time for the answer to a hold order beyond its wait: several round trips
   * and one retransmission. */
  std::chrono::milliseconds mHoldTimeoutMargin{ 300 };
  /** Longest time for the answer to a start or a stop. */
  std::chrono::milliseconds mMaxOrderTimeout{ 250 };
  /** Time for which the end of a job is remembered, for callers that ask
   * again. */
  std::chrono::milliseconds mBestEffortResultRetention{ 15'000 };
  /** The same for a job that is stored. */
  std::chrono::milliseconds mStoredResultRetention{ 130'000 };
  /** A worker that has not reported for so long is given up. */
  std::chrono::milliseconds mWorkerExpiry{ 12'000 };
  std::uint64_t mSeed = 1;
};

/** \brief Counts of what a Coordinator has done since it was made. */
struct CoordinatorCounters
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mGivenUp = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mStops = 0;
  std::uint64_t mHolds = 0;
  std::uint64_t mUnansweredOrders = 0;
  std::uint64_t mRunsDone = 0;
  std::uint64_t mRunsFailed = 0;
  std::uint64_t mRunsLost = 0;
  std::uint64_t mStragglers = 0;
};

/** \brief How long what took, since a Coordinator was made. */
struct CoordinatorLatencies
{
  LatencyHistogram mJobs;
  LatencyHistogram mFirstStarts;
  LatencyHistogram mStartAnswers;
};

/** \brief What a leader commands. */
struct LeadershipScope
{
  /** Empty for an elected leader, which commands all workers; else the data
   * centre whose workers are led alone while no elected leader is known. */
  std::string mDataCentre;
  /** Tells instances that lead alone apart (see WorkerFence.h). */
  std::uint32_t mLeaderId = 0;

  bool IsLocal() const { return !mDataCentre.empty(); }
};

/** \brief Decides, on the leader, which job runs where.
 *
 * Driven by calls from outside and by the answers of workers; reads the time
 * from its clock and sends orders through WorkerCalls, so that tests drive it
 * without a network. A leader that takes over first reads the lists of all
 * workers under its own fence, and starts nothing before it knows what earlier
 * leaders may have running: a worker is used only once it is stored that it
 * may be. Ends of the tasks of stored jobs are stored before they are shown or
 * acknowledged.
 *
 * A coordinator may also lead the workers of one data centre alone. Then it
 * stores nothing, takes best-effort jobs only, stops what others have started
 * before it uses a worker, and starts nothing that an elected leader may have
 * started. Not thread-safe. */
class Coordinator
{
public:
  using TimePoint = Clock::Monotonic;

  Coordinator(CoordinatorOptions aOptions,
              const Clock& aClock,
              WorkerCalls& aCalls,
              CallReplies& aReplies,
              RecordSink& aRecords,
              EventLog& aLog);

  /** Begins to lead.
   * \param aState everything that earlier leaders have stored
   * \param aReports what workers have said of late
   * \param aScope what is led; a local lead stores nothing */
  void Lead(Fence aFence,
            const DispatchState& aState,
            const std::vector<WorkerReport>& aReports,
            const LeadershipScope& aScope = {});
  /** Stops leading and forgets all jobs and workers. Waiting calls are not
   * answered. */
  void Resign();
  bool IsLeading() const { return mLeading; }
  /** True once it is known what earlier leaders may have running. */
  bool IsSettled() const { return mRecoveryComplete; }
  /** True while this instance leads one data centre alone. */
  bool IsLocal() const { return mLeading && mScope.IsLocal(); }
  /** True once another leader was found to command a worker of a local lead.
   */
  bool IsFencedOut() const { return mFencedOut; }
  /** Version of the manifest in force; zero before the first. */
  std::uint64_t ManifestInForce() const
  {
    return mManifest ? mManifest->mVersion : 0;
  }

  /** An elected leader may act on these calls (CallKeyOf): a local lead never
   * does. */
  void BarCalls(const std::vector<std::string>& aKeys);

  void SetManifest(std::shared_ptr<const Manifest> aManifest);

  void Call(CallId aCall, const JobCall& aRequest);
  void OnCallerLeft(const CallerLeft& aLeft);
  void OnReport(const WorkerReport& aReport);
  /** Advances timers; to be called every few milliseconds while there is
   * work. */
  void Tick();

  const CoordinatorCounters& Counters() const { return mCounters; }
  const CoordinatorLatencies& Latencies() const { return mLatencies; }
  const WorkerSessions& Workers() const { return mWorkers; }
  std::size_t OpenJobs() const;
  std::size_t AssignedRuns() const;

private:
  using JobPtr = std::unique_ptr<DispatchJob>;
  using CallHandler = void (Coordinator::*)(CallId,
                                            const JobCall&,
                                            const QueueMatch&);
  /** What became of an earlier leader's run before its job was known here. */
  struct UnmatchedEnd
  {
    RunEnd mEnd;
    TimePoint mAt;
  };

  // Callers (Coordinator.cxx).
  void Submit(CallId aCall, const JobCall& aRequest, const QueueMatch& aMatch);
  void Query(CallId aCall, const JobCall& aRequest, const QueueMatch& aMatch);
  void Cancel(CallId aCall, const JobCall& aRequest, const QueueMatch& aMatch);
  void ReplyPendingCount(CallId aCall, const QueueMatch& aMatch);
  void UpdatePendingCounts();
  void Attach(DispatchJob& aJob, CallId aCall);
  JobPtr MakeJob(const JobSubmission& aSubmission, const Queue& aQueue) const;
  void Accept(JobPtr aJob, CallId aCall);
  void OnAcceptStored(const JobId& aId);
  void CancelStored(DispatchJob& aJob, CallId aCall);
  Backlog BacklogBefore(const DispatchJob& aJob) const;
  void UpdateUsableCores();
  void Reply(CallId aCall, JobReplyKind aKind, std::string aMessage = {});
  void ReplyAll(DispatchJob& aJob, const JobReply& aReply);
  void Refuse(DispatchJob& aJob, const char* aReason);
  double RandomJitter();

  // Leading one data centre alone (CoordinatorLocal.cxx).
  /** Whether a local lead leaves a call to an elected leader; it is answered
   * then. */
  bool DefersToElectedLeader(CallId aCall, const JobCall& aRequest);
  bool HasOrphansOf(const JobId& aJob) const;

  // Jobs and tasks (CoordinatorJobs.cxx).
  DispatchJob* FindJob(const JobId& aId);
  void MarkStepReady(DispatchJob& aJob, std::uint32_t aStep);
  void RequeueTask(DispatchJob& aJob, DispatchTask& aTask);
  void ReleaseTask(DispatchJob& aJob, DispatchTask& aTask, TaskPhase aNext);
  void FinishTask(DispatchJob& aJob, const TaskId& aTask);
  void FailTask(DispatchJob& aJob, const TaskId& aTask);
  void EndJob(DispatchJob& aJob, JobState aState);
  void AbandonWaitingTasks(DispatchJob& aJob);
  void StopRunsOf(const DispatchJob& aJob);
  void ClaimOrphans(DispatchJob& aJob);
  void Schedule();
  void ScheduleJob(DispatchJob& aJob, std::map<PoolName, Resources>& aFull);
  void EnforceQueueTimeLimits(TimePoint aNow);
  void RemoveExpired(TimePoint aNow);

  // Orders and their answers (CoordinatorRuns.cxx).
  OrderTarget TargetOf(const WorkerSession& aWorker) const;
  RunNumber NextRun(DispatchTask& aTask) const;
  void StartRun(DispatchJob& aJob, const TaskId& aTask, WorkerSession& aWorker);
  void OnStarted(const WorkerBoot& aBoot,
                 const RunId& aRun,
                 const OrderResult& aResult);
  void OnStartRefused(WorkerSession& aWorker,
                      const RunId& aRun,
                      OrderOutcome aOutcome);
  void StopRun(WorkerSession& aWorker, const TaskId& aTask, TrackedRun& aRun);
  void OnStopped(const WorkerBoot& aBoot,
                 const RunId& aRun,
                 const OrderResult& aResult);
  /** By value: the name often is that of the entry which this removes. */
  void MarkRunLost(WorkerSession& aWorker, TaskId aTask, const char* aWhy);
  void OnFenced(WorkerSession& aWorker);
  void RetryStops(WorkerSession& aWorker);
  void StopStragglers(WorkerSession& aWorker, TimePoint aNow);
  bool IsStraggler(const DispatchJob& aJob,
                   const TaskId& aTask,
                   const TrackedRun& aRun,
                   TimePoint aNow) const;

  // What is stored (CoordinatorRecords.cxx).
  RecordBatch& PendingBatch(RecordSink::Done aDone);
  void FlushRecords();
  void SendBatch(const std::shared_ptr<RecordBatch>& aBatch,
                 const std::shared_ptr<std::vector<RecordSink::Done>>& aDone);
  void RegisterWorker(const WorkerReport& aReport);
  void StoreEnd(WorkerSession& aWorker,
                DispatchJob& aJob,
                const ListedEnd& aEnd);
  void OnEndStored(const WorkerBoot& aBoot, const ListedEnd& aEnd);
  void LoadStoredJob(const StoredJob& aStored);
  void RecordRemoval(const DispatchJob& aJob);

  // Leases and lists (CoordinatorHolds.cxx).
  WorkerSession* SessionOf(const WorkerBoot& aBoot);
  WorkerSession& AddSession(const WorkerReport& aReport);
  void AddWorker(const WorkerReport& aReport);
  void RemoveSilentWorkers(TimePoint aNow);
  void EndSession(const WorkerId& aId, const char* aWhy);
  void Hold(WorkerSession& aWorker, bool aUrgent);
  void HoldIfDue(WorkerSession& aWorker, TimePoint aNow);
  void OnHoldAnswered(const WorkerBoot& aBoot,
                      std::uint64_t aHold,
                      bool aUrgent,
                      const HoldResult& aResult);
  void OnUnanswered(WorkerSession& aWorker);
  void ProcessEnds(WorkerSession& aWorker, const std::vector<ListedEnd>& aEnds);
  void ProcessEnd(WorkerSession& aWorker, const ListedEnd& aEnd);
  void ProcessRunning(WorkerSession& aWorker,
                      const std::vector<ListedRun>& aRunning);
  void AddOrphan(WorkerSession& aWorker, const ListedRun& aRun);
  void RemoveUnlistedRuns(WorkerSession& aWorker,
                          std::uint64_t aHold,
                          const std::vector<ListedRun>& aRunning);
  void RemoveRunsIfLeaseExpired(WorkerSession& aWorker, TimePoint aNow);
  void StopUnclaimedOrphans(TimePoint aNow);
  void TryFinishRecovery(TimePoint aNow);

  const CoordinatorOptions mOptions;
  const Clock& mClock;
  WorkerCalls& mCalls;
  CallReplies& mReplies;
  RecordSink& mRecords;
  EventLog& mLog;
  std::mt19937_64 mRandom;
  OrderTimeoutEstimator mOrderTimeouts;

  bool mLeading = false;
  bool mRecoveryComplete = false;
  Fence mFence = 0;
  LeadershipScope mScope;
  bool mFencedOut = false;
  /** Calls that a local lead leaves alone, and until when. */
  std::map<std::string, TimePoint> mExcludedCalls;
  TimePoint mLeadingSince{};
  std::shared_ptr<const Manifest> mManifest;
  WorkerSessions mWorkers;
  std::unordered_map<JobId, JobPtr> mJobs;
  /** Jobs with tasks that wait for room. */
  std::set<std::pair<SchedulingKey, JobId>> mReadyJobs;
  std::map<TaskId, UnmatchedEnd> mUnmatchedEnds;
  std::shared_ptr<RecordBatch> mPendingBatch;
  std::shared_ptr<std::vector<RecordSink::Done>> mPendingCallbacks;
  /** Batches that were not stored, to be sent again in their order. */
  std::deque<std::pair<std::shared_ptr<RecordBatch>,
                       std::shared_ptr<std::vector<RecordSink::Done>>>>
    mBatchesToResend;
  TimePoint mNextResendAt{};
  std::uint64_t mNextArrivalNumber = 0;
  TimePoint mNextCleanup{};
  TimePoint mNextProgressCheck{};
  /** Cores of the workers of each pool that can take work. */
  std::map<PoolName, double> mUsableCores;
  /** Jobs of each queue that have not started, as counted last. */
  std::map<QueueName, std::uint32_t> mPendingCounts;
  TimePoint mNextCountAt{};
  /** Workers with runs whose jobs are not known here. */
  std::set<WorkerId> mWorkersWithOrphans;
  CoordinatorCounters mCounters;
  CoordinatorLatencies mLatencies;
};

}

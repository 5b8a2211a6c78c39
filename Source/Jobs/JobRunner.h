#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Decision.h"
#include "Jobs/Job.h"
#include "Jobs/JobQueue.h"
#include "Jobs/JobShares.h"
#include "Jobs/OvercommitPolicy.h"
#include "Jobs/SizeEstimator.h"
#include "Jobs/TaskSender.h"
#include "Jobs/WorkerPool.h"

namespace almondspoke {

/** \brief Limits and time settings for the jobs of one instance. */
struct JobSettings
{
  /** Maximum number of jobs in progress. */
  std::size_t mMaxJobs = 20'000;
  /** Maximum total size of the task bodies of all jobs in progress. */
  std::size_t mMaxBodyBytes = 64U << 20U;
  /** Maximum total size of the task results of one job. */
  std::size_t mMaxResultBytes = 64U << 20U;
  /** Time in the queue after which a worker is reserved for the job that was
   * submitted first. */
  std::chrono::milliseconds mReservationDelay{ 2000 };
  /** Largest allowed value of the query parameter `wait`. */
  std::chrono::milliseconds mMaxWait{ 60'000 };
  /** Interval between polls of a job that another instance executes. */
  std::chrono::milliseconds mPollInterval{ 100 };
};

/** \brief Dependencies of a JobRunner. The referenced objects must outlive
 * it. */
struct JobRunnerDependencies
{
  /** Returns the urgency rank of a job; lower is more urgent. */
  using UrgencySource = std::function<int(const JobRequest&)>;
  /** Returns the number of live instances of this data centre. */
  using InstanceCountSource = std::function<std::size_t()>;

  const Clock& mClock;
  ClaimService& mClaims;
  TaskSender& mSender;
  EndpointView& mEndpoints;
  DecisionSink& mDecisions;
  SlotHolder& mSlots;
  UrgencySource mUrgencyOf;
  InstanceCountSource mInstanceCount;
};

/** \brief Counts of the messages sent to workers since the process started. */
struct TaskCounts
{
  /** Task attempts, including refused ones. */
  std::uint64_t mSent = 0;
  /** Attempts that did not start the task: refused by the worker or not sent.
   */
  std::uint64_t mRefused = 0;
  /** Actions against overcommitment, indexed by OvercommitAction. */
  std::array<std::uint64_t, 3> mOvercommitActions{};
};

/** \brief Executes the jobs whose keys this instance has claimed.
 *
 * Places tasks on workers and sends them, collects the results in memory,
 * records the answer once and passes it to every waiting caller. A task is sent
 * again only if the previous attempt provably did not start it. Thread-safe. */
class JobRunner
{
public:
  using Done = detail::JobDone;

  /** \param aSeed must differ between instances, so that they do not all choose
   *   the same workers */
  JobRunner(JobRunnerDependencies aDependencies,
            const JobSettings& aSettings,
            std::uint64_t aSeed);

  /** Checks whether a new job can be accepted. Errors: QueueFull, NoEndpoint;
   * ResourcesUnsatisfiable, whose message names the missing resource. */
  Result<void> CheckAdmission(const JobRequest& aRequest);

  /** Runs a job. The waiter gets the job's answer, or its state if the waiter's
   * deadline passes first. */
  void Run(const ClaimTicket& aTicket,
           std::uint64_t aBodyHash,
           JobRequest aRequest,
           detail::JobWaiter aWaiter);

  /** Returns the body hash of a job in progress here, if there is one. */
  std::optional<std::uint64_t> BodyHashOf(const KeyHash& aKey) const;

  /** Adds a waiter to a job in progress here; returns false if there is none.
   */
  bool AddWaiter(const KeyHash& aKey, detail::JobWaiter aWaiter);

  /** Cancels a job in progress here and passes its answer to aDone; returns
   * false if there is none. Takes constant time for each running task. */
  bool Cancel(const KeyHash& aKey, const Done& aDone);

  /** Applies the reserves and ceilings of kinds and the quotas of teams. */
  void ApplyRules(const RoutingRules& aRules);

  /** Places tasks, expires deadlines and checks the usage of workers. To be
   * called every 10 to 100 ms. */
  void Tick();

  /** Number of jobs in progress, including those whose answer is being
   * recorded. */
  std::size_t JobCount() const;
  std::size_t QueuedJobCount() const;
  /** Number of queued jobs that a limit of their kind or team holds back. */
  std::size_t ParkedJobCount() const;
  /** Number of worker slots allocated by this instance. */
  std::uint32_t AllocatedSlots() const;
  TaskCounts Counts() const;

private:
  using Job = detail::Job;
  using JobPointer = detail::JobPointer;
  using Action = std::function<void()>;

  /** Delay before a task is sent again to workers that refused it, or tried
   * again after the executor lease did not permit its start. */
  static constexpr std::chrono::milliseconds kRefusalRetryDelay{ 100 };

  /** \brief A requirement that no worker could meet in this placement round. */
  struct UnmetRequirement
  {
    ServiceName mService;
    Resources mRequired;
  };

  void PlaceAll(std::size_t aMaxBlocked);
  void PlaceAfterOutcome();
  void PlacePeriodically();
  void PlaceTasksOf(const JobPointer& aJob);
  detail::PlaceResult PlaceNext(Job& aJob,
                                std::vector<UnmetRequirement>& aUnmet);
  detail::PlaceResult HoldBack(Job& aJob, const ShareLimitScope& aScope);
  void Place(Job& aJob,
             std::uint32_t aIndex,
             const Worker& aWorker,
             const Resources& aRequired);
  static ShareDemand DemandOf(const JobRequest& aRequest,
                              const Resources& aRequired);
  /** Chooses a worker. If the task fits on none, adds its requirement to
   * aUnmet. */
  const Worker* FindWorker(const Job& aJob,
                           PlacementQuery& aQuery,
                           std::vector<UnmetRequirement>& aUnmet) const;
  void UnparkScopesOf(const ShareDemand& aDemand);
  void ReconsiderExclusions(Job& aJob,
                            std::uint32_t aIndex,
                            PlacementQuery aQuery);
  /** Counts a refusal without a send if the workers make no progress. */
  void CountAssumedRefusal(const JobPointer& aJob, std::uint32_t aIndex);
  void UpdateReservation();
  Resources EstimateRequired(const JobRequest& aRequest,
                             const TaskSpec& aTask) const;
  void RefreshWorkers();
  void CheckUsage(const std::vector<Endpoint>& aEndpoints);

  void Send(const JobPointer& aJob, std::uint32_t aIndex);
  void ReleasePlacement(Job& aJob, std::uint32_t aIndex);
  void Requeue(const JobPointer& aJob, std::uint32_t aIndex);
  void OnOutcome(const JobPointer& aJob,
                 std::uint32_t aIndex,
                 TaskOutcome aOutcome);
  void OnAnswered(const JobPointer& aJob,
                  std::uint32_t aIndex,
                  TaskOutcome aOutcome);
  void OnNotStarted(const JobPointer& aJob, std::uint32_t aIndex);
  void FailRefused(const JobPointer& aJob, std::uint32_t aIndex);

  void Complete(const JobPointer& aJob);
  /** Ends a job with an error and records it, so that a resubmission does not
   * run the job. */
  void Fail(const JobPointer& aJob, const Error& aError);
  /** Ends a job that has not started with an error and releases its claim, so
   * that it can be submitted again. */
  void FailBeforeStart(const JobPointer& aJob, const Error& aError);
  /** Calls FailBeforeStart() if no task of the job can have started, otherwise
   * Fail(). */
  void FailUnfinished(const JobPointer& aJob,
                      const Error& aBeforeStart,
                      const Error& aAfterStart);
  /** Removes a job with its waiting tasks from the queue. */
  void Dequeue(const JobPointer& aJob);
  void Finish(const JobPointer& aJob, JobAnswer aAnswer);
  void RecordAnswer(const JobPointer& aJob);
  void OnRecorded(const JobPointer& aJob);
  void ExpireDeadlines();
  void RecordDecision(const std::string& aId,
                      const char* aStage,
                      std::string aChoice,
                      std::string aReason);

  /** Runs the actions that must not run under mMutex, such as callbacks. */
  void RunDeferredActions();

  const Clock& mClock;
  ClaimService& mClaims;
  TaskSender& mSender;
  EndpointView& mEndpoints;
  DecisionSink& mDecisions;
  const JobRunnerDependencies::UrgencySource mUrgencyOf;
  const JobRunnerDependencies::InstanceCountSource mInstanceCount;
  const JobSettings mSettings;
  const std::uint64_t mSeed;

  std::shared_ptr<std::atomic<bool>> mEndpointsChanged;
  mutable std::mutex mMutex;
  WorkerPool mWorkers;
  JobShares mShares;
  SizeEstimator mSizes;
  OvercommitPolicy mOvercommit;
  std::unordered_map<KeyHash, JobPointer, KeyHashHasher> mJobs;
  detail::JobQueue mQueue;
  std::uint64_t mNextSequence = 0;
  std::size_t mBodyBytes = 0;
  /** Deadlines of the jobs and of their waiters. */
  std::multimap<Clock::Monotonic, std::weak_ptr<Job>> mDeadlines;
  /** Sent tasks by worker and attempt ID. */
  std::unordered_map<EndpointName, std::map<std::string, RunningTask>>
    mRunningTasks;
  TaskCounts mCounts;
  /** Job that mReservedWorker is kept free for, if any. */
  std::weak_ptr<Job> mReservedFor;
  EndpointName mReservedWorker;
  std::deque<Action> mDeferredActions;
  /** True while a thread runs the deferred actions; other threads only add to
   * them, so that they run one at a time. */
  bool mIsRunningActions = false;
};

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Routing/AdmissionControl.h"
#include "Routing/DeferredCalls.h"
#include "Routing/EndpointFleet.h"
#include "Routing/KindCounters.h"
#include "Routing/QuotaWaitList.h"
#include "Routing/RequestQueue.h"
#include "Routing/RetryBudget.h"
#include "Routing/RunTimeEstimator.h"
#include "Routing/Scheduler.h"
#include "Routing/ServiceStatus.h"
#include "Routing/StallDetector.h"
#include "Routing/TeamQuota.h"

namespace almondspoke {

/** \brief Schedules the work of one service on behalf of a Scheduler. Protected
 * by a lock of its own. */
class ServiceScheduler
{
public:
  /** \param aIndex service index to put into the WorkIds. */
  ServiceScheduler(ServiceName aName,
                   std::size_t aIndex,
                   const Clock& aClock,
                   SlotHolder& aSlots,
                   DecisionSink& aDecisions,
                   const SchedulerSettings& aSettings);

  /** Returns the service index that a WorkId contains. */
  static std::size_t IndexOf(WorkId aId);

  Result<WorkId> Submit(WorkItem aItem,
                        DispatchHandler aOnDispatch,
                        RefuseHandler aOnRefuse);
  Cancellation Cancel(WorkId aId);
  CompletionResult Complete(WorkId aId,
                            AttemptOutcome aOutcome,
                            std::chrono::microseconds aElapsed);
  void UpdateEndpoint(const EndpointAnnouncement& aAnnouncement);
  /** Stops sending work to an endpoint; its attempts in progress continue. */
  void RemoveEndpoint(const EndpointName& aName);
  void ApplyRules(const RoutingRules& aRules);
  void Tick();
  std::size_t Outstanding() const;
  ServiceStatus Status() const;
  /** Returns true if the service has a live endpoint. */
  bool HasEndpoint() const;
  /** Returns the number of slots in which work of other data centres may start
   * now. */
  std::uint32_t SpillRoom() const;

private:
  enum class Phase
  {
    Queued,
    /** Waiting for the end of its retry backoff. */
    BackingOff,
    /** Waiting for a slot of the quota of its team. */
    WaitingForQuota,
    Running
  };

  struct Work
  {
    WorkItem mItem;
    QueueKey mKey;
    Clock::Monotonic mSubmittedAt;
    Phase mPhase = Phase::Queued;
    DispatchHandler mOnDispatch;
    RefuseHandler mOnRefuse;
    std::uint32_t mAttempt = 0;
    /** True if an earlier attempt may have run. */
    bool mMayHaveRun = false;
    ErrorKind mLastError = ErrorKind::Internal;
    Clock::Monotonic mRetryAt;
    /** Time at which the attempt in progress counts as stalled; not set if it
     * is not watched. */
    StallDetector::StallTime mStalledAt;
    /** True once an attempt was stopped; further attempts are never stopped. */
    bool mWasStopped = false;
    /** True if the retry budget has already been charged for the next retry. */
    bool mHasToken = false;
    EndpointFleet::EndpointPtr mEndpoint;
    std::shared_ptr<SlotPool> mTeamPool;
    /** Endpoints of all attempts so far. */
    std::vector<EndpointName> mTried;
  };

  bool IsRepeatable(const Work& aWork) const;
  /** Returns the maximum number of attempts of the work, including the first.
   */
  std::uint32_t MaxAttempts(const Work& aWork) const;

  StartInput StartInputOf(const Work& aWork) const
  {
    const KindIndex kind = aWork.mKey.mKind;
    const bool isLearned = mRunTimes.IsLearned(kind);
    return { aWork.mSubmittedAt,
             aWork.mKey.mDeadline,
             isLearned ? mRunTimes.High(kind) : std::chrono::microseconds(0) };
  }
  /** Refuses work of another data centre that did not start immediately. */
  std::optional<Error> RefuseSpilledWork(WorkId aId, DeferredCalls& aCalls);
  /** Starts queued work while slots and endpoints are available. */
  void StartQueued(Clock::Monotonic aNow, DeferredCalls& aCalls);
  /** Result of an attempt to start the first work of a kind. */
  enum class StartResult
  {
    Started,
    NoTeamSlot,
    NoEndpoint
  };
  StartResult TryStart(Work& aWork,
                       Clock::Monotonic aNow,
                       DeferredCalls& aCalls);
  /** Handles work for which no endpoint is eligible: skips its kind, or delays
   * the work if it is a retry. */
  void SkipKindOrDelayRetry(Work& aWork, Clock::Monotonic aNow);
  void BackOff(Work& aWork, Clock::Monotonic aUntil);
  void StartAttempt(Work& aWork,
                    PickResult aPick,
                    Clock::Monotonic aNow,
                    DeferredCalls& aCalls);
  void MoveToQuotaWaitList(Work& aWork);
  void RequeueFirstOfTeam(const TeamName& aTeam);

  void EndAttempt(Work& aWork,
                  AttemptOutcome aOutcome,
                  std::chrono::microseconds aElapsed,
                  Clock::Monotonic aNow);
  /** Starts to watch an attempt for a stall, if it could be retried. */
  void WatchForStall(Work& aWork, Clock::Monotonic aNow);
  /** Stops stalled attempts, as far as the retry budget allows. */
  void StopStalled(Clock::Monotonic aNow, DeferredCalls& aCalls);
  bool TryTakeRetryToken(Work& aWork, Clock::Monotonic aNow);
  bool TryRetry(Work& aWork,
                AttemptOutcome aOutcome,
                Clock::Monotonic aNow,
                DeferredCalls& aCalls);
  /** Returns the error of work that leaves the queue without another attempt.
   * If an earlier attempt may have run, that takes precedence over aKind. */
  Error QueueError(const Work& aWork, ErrorKind aKind, std::string aMessage);

  /** Removes waiting work from the queue or list that it waits in. */
  void RemoveFromWaiting(Work& aWork);
  void EraseWork(WorkId aId);
  void Expire(Work& aWork, DeferredCalls& aCalls);
  /** Evicts queued work in favour of new work of the kind. */
  void EvictFor(KindIndex aKind, DeferredCalls& aCalls);
  void RefuseQueued(Work& aWork, Error aError, DeferredCalls& aCalls);
  void ExpireWork(Clock::Monotonic aNow, DeferredCalls& aCalls);
  void ResumeRetries(Clock::Monotonic aNow);
  void RequeueWithinQuota(Clock::Monotonic aNow);
  void ReportDemand();

  const ServiceName mName;
  const Clock& mClock;
  DecisionSink& mDecisions;
  const SchedulerSettings& mSettings;
  const StrategyTraits& mStrategy;

  mutable std::mutex mMutex;
  RoutingRules mRules;
  RequestQueue mQueue;
  EndpointFleet mFleet;
  RunTimeEstimator mRunTimes;
  TeamQuota mTeams;
  AdmissionControl mAdmission;
  RetryBudget mRetries;
  std::mt19937_64 mRandom;
  std::unordered_map<WorkId, Work> mWork;
  WorkId mNextId;
  /** Retries, ordered by the time at which they are due. */
  std::set<std::pair<Clock::Monotonic, WorkId>> mBackingOff;
  StallDetector mStallDetector;
  /** Work whose team has no free slot in its quota. */
  QuotaWaitList mQuotaWaiters;
  std::uint64_t mRetryCount = 0;
  std::uint64_t mRetriesDenied = 0;
  std::uint64_t mStopCount = 0;
  KindCounters mCounters;
  /** Kinds to skip; buffer of StartQueued(), kept to avoid allocations. */
  std::vector<bool> mSkipped;
};

}

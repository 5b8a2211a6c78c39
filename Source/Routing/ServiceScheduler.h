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

/** \brief The part of a Scheduler that serves one service, under one lock. */
class ServiceScheduler
{
public:
  /** \param aIndex position that the WorkIds of this service carry. */
  ServiceScheduler(ServiceName aName,
                   std::size_t aIndex,
                   const Clock& aClock,
                   SlotHolder& aSlots,
                   DecisionSink& aDecisions,
                   const SchedulerSettings& aSettings);

  /** Index of the service that a WorkId belongs to. */
  static std::size_t IndexOf(WorkId aId);

  Result<WorkId> Submit(WorkItem aItem,
                        DispatchHandler aOnDispatch,
                        RefuseHandler aOnRefuse);
  Cancellation Cancel(WorkId aId);
  CompletionResult Complete(WorkId aId,
                            AttemptOutcome aOutcome,
                            std::chrono::microseconds aElapsed);
  void UpdateEndpoint(const EndpointAnnouncement& aAnnouncement);
  /** Sends the endpoint nothing more; attempts in progress go on. */
  void RemoveEndpoint(const EndpointName& aName);
  void ApplyRules(const RoutingRules& aRules);
  void Tick();
  std::size_t Outstanding() const;
  ServiceStatus Status() const;
  /** True if a live endpoint is known. */
  bool HasEndpoint() const;
  /** Slots that work of other data centres may start in now. */
  std::uint32_t SpillRoom() const;

private:
  enum class Phase
  {
    Queued,
    /** Waits for its backoff to end. */
    BackingOff,
    /** Waits for a slot of its team's quota. */
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
    /** When the attempt in progress counts as lost; nothing if never. */
    StallDetector::StallTime mStalledAt;
    /** True once an attempt was stopped; no other one is. */
    bool mWasStopped = false;
    /** True if the next retry is taken out of the budget already. */
    bool mHasRetryToken = false;
    EndpointFleet::EndpointPtr mEndpoint;
    std::shared_ptr<SlotPool> mTeamPool;
    /** Endpoints that an attempt was sent to. */
    std::vector<EndpointName> mTried;
  };

  bool IsRepeatable(const Work& aWork) const;
  /** Attempts of the work, the first included. */
  std::uint32_t MaxAttempts(const Work& aWork) const;

  StartInput StartInputOf(const Work& aWork) const
  {
    const KindIndex kind = aWork.mKey.mKind;
    const bool isLearned = mRunTimes.IsLearned(kind);
    return { aWork.mSubmittedAt,
             aWork.mKey.mDeadline,
             isLearned ? mRunTimes.High(kind) : std::chrono::microseconds(0) };
  }
  /** Refuses work of another data centre that did not start at once. */
  std::optional<Error> RefuseSpilledIfNotStarted(WorkId aId,
                                                 DeferredCalls& aDeferred);
  void StartQueuedWork(Clock::Monotonic aNow, DeferredCalls& aDeferred);
  /** Why work at the head of its kind did not start. */
  enum class StartResult
  {
    Started,
    NoTeamSlot,
    NoEndpoint
  };
  StartResult TryStart(Work& aWork,
                       Clock::Monotonic aNow,
                       DeferredCalls& aDeferred);
  void SkipKindOrDelayRetry(Work& aWork, Clock::Monotonic aNow);
  void BackOff(Work& aWork, Clock::Monotonic aUntil);
  void StartAttempt(Work& aWork,
                    PickResult aPick,
                    Clock::Monotonic aNow,
                    DeferredCalls& aDeferred);
  void MoveToQuotaWaitList(Work& aWork);
  void RequeueFirstOfTeam(const TeamName& aTeam);

  void EndAttempt(Work& aWork,
                  AttemptOutcome aOutcome,
                  std::chrono::microseconds aElapsed,
                  Clock::Monotonic aNow);
  /** Notes when an attempt that has just started counts as lost. */
  void WatchForStall(Work& aWork, Clock::Monotonic aNow);
  /** Stops attempts that count as lost, inside the retry budget. */
  void StopStalledAttempts(Clock::Monotonic aNow, DeferredCalls& aDeferred);
  bool TryTakeRetryToken(Work& aWork, Clock::Monotonic aNow);
  bool TryRetry(Work& aWork,
                AttemptOutcome aOutcome,
                Clock::Monotonic aNow,
                DeferredCalls& aDeferred);
  Error WaitingWorkError(const Work& aWork,
                         ErrorKind aKind,
                         std::string aMessage);

  /** Takes work that waits out of whichever place it waits in. */
  void RemoveFromWaiting(Work& aWork);
  void EraseWork(WorkId aId);
  void Expire(Work& aWork, DeferredCalls& aDeferred);
  /** Makes room in a full queue for one more of the kind. */
  void EvictFor(KindIndex aKind, DeferredCalls& aDeferred);
  void RefuseWaiting(Work& aWork, Error aError, DeferredCalls& aDeferred);
  void ExpireWork(Clock::Monotonic aNow, DeferredCalls& aDeferred);
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
  /** Retries by the time at which they are due. */
  std::set<std::pair<Clock::Monotonic, WorkId>> mBackingOff;
  StallDetector mStallDetector;
  /** Work whose team has used up its quota. */
  QuotaWaitList mQuotaWaitList;
  std::uint64_t mRetryCount = 0;
  std::uint64_t mRetriesDenied = 0;
  std::uint64_t mStopped = 0;
  KindCounters mCounters;
  /** Scratch space of Match(). */
  std::vector<bool> mSkipped;
};

}

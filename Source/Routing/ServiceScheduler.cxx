#include "Routing/ServiceScheduler.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

// The bits of a WorkId from this one up contain the service index.
constexpr unsigned kServiceIndexShift = 48;

// Limits expired work per tick, so that a burst cannot hold the lock for long.
constexpr std::size_t kMaxExpiredPerTick = 1000;

// Delay of a retry while no untried endpoint has a free slot.
constexpr std::chrono::milliseconds kUntriedEndpointRetryDelay(5);

}

ServiceScheduler::ServiceScheduler(ServiceName aName,
                                   std::size_t aIndex,
                                   const Clock& aClock,
                                   SlotHolder& aSlots,
                                   DecisionSink& aDecisions,
                                   const SchedulerSettings& aSettings)
  : mName(std::move(aName))
  , mClock(aClock)
  , mDecisions(aDecisions)
  , mSettings(aSettings)
  , mStrategy(StrategyTraitsOf(aSettings.mStrategy))
  , mQueue(mStrategy.mOrder, aSettings.mQueue)
  , mFleet(aSlots, aSettings.mEjection, mStrategy, aSettings.mSeed + aIndex)
  , mTeams(aSlots, aSettings.mTeamQueueFactor)
  , mAdmission(mName,
               mStrategy.mRespectsSlots,
               { mQueue, mFleet, mRunTimes, mTeams })
  , mRetries(aSettings.mRetries, aClock.MonotonicNow())
  , mRandom(aSettings.mSeed + aIndex)
  , mNextId((WorkId{ aIndex } << kServiceIndexShift) + 1)
{
}

std::size_t
ServiceScheduler::IndexOf(WorkId aId)
{
  return static_cast<std::size_t>(aId >> kServiceIndexShift);
}

Result<WorkId>
ServiceScheduler::Submit(WorkItem aItem,
                         DispatchHandler aOnDispatch,
                         RefuseHandler aOnRefuse)
{
  aItem.mUrgency = std::min<UrgencyLevel>(
    aItem.mUrgency, static_cast<UrgencyLevel>(kUrgencyLevels - 1));
  DeferredCalls calls;
  std::unique_lock<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  const KindIndex kind = aItem.mIsSpilled ? RequestQueue::kSpilledKindIndex
                                          : mQueue.IndexOf(aItem.mKind);
  std::optional<Error> refusal = mAdmission.Check(aItem, kind, now);
  if (refusal) {
    ++mCounters.Of(kind).mRefused;
    lock.unlock();
    mDecisions.Record(RefusalDecision(aItem.mRequestId, "admit", *refusal));
    return *std::move(refusal);
  }
  if (mQueue.CheckCapacity(kind) == ErrorKind::QueueFull) {
    EvictFor(kind, calls);
  }
  const WorkId id = mNextId++;
  Work& work = mWork[id];
  work.mKey = { kind, aItem.mUrgency, aItem.mDeadline, id };
  work.mSubmittedAt = now;
  work.mItem = std::move(aItem);
  work.mOnDispatch = std::move(aOnDispatch);
  work.mOnRefuse = std::move(aOnRefuse);
  mRetries.Deposit();
  mQueue.Push(work.mKey);
  StartQueued(now, calls);
  refusal = RefuseSpilledWork(id, calls);
  lock.unlock();
  calls.Flush(mDecisions);
  if (refusal) {
    return *std::move(refusal);
  }
  return id;
}

std::optional<Error>
ServiceScheduler::RefuseSpilledWork(WorkId aId, DeferredCalls& aCalls)
{
  const auto found = mWork.find(aId);
  if (found == mWork.end() || !found->second.mItem.mIsSpilled ||
      found->second.mPhase == Phase::Running) {
    return std::nullopt;
  }
  Work& work = found->second;
  Error refusal = NoSpillRoomError(mName);
  ++mCounters.Of(work.mKey.mKind).mRefused;
  aCalls.AddDecision(RefusalDecision(work.mItem.mRequestId, "queue", refusal));
  RemoveFromWaiting(work);
  EraseWork(aId);
  return refusal;
}

void
ServiceScheduler::StartQueued(Clock::Monotonic aNow, DeferredCalls& aCalls)
{
  mSkipped.assign(mQueue.KindCount(), false);
  for (;;) {
    SlotSupply supply = mFleet.Supply();
    if (!mStrategy.mRespectsSlots) {
      supply.mFree = 1;
    }
    const std::optional<QueueKey> next = mQueue.Next(supply, mSkipped);
    if (!next) {
      return;
    }
    Work& work = mWork.at(next->mId);
    if (IsTooLateToStart(StartInputOf(work), aNow)) {
      Expire(work, aCalls);
      continue;
    }
    switch (TryStart(work, aNow, aCalls)) {
      case StartResult::Started:
        break;
      case StartResult::NoTeamSlot:
        MoveToQuotaWaitList(work);
        break;
      case StartResult::NoEndpoint:
        SkipKindOrDelayRetry(work, aNow);
        break;
    }
  }
}

void
ServiceScheduler::SkipKindOrDelayRetry(Work& aWork, Clock::Monotonic aNow)
{
  if (aWork.mTried.empty()) {
    mSkipped[aWork.mKey.mKind] = true;
    return;
  }
  // Only endpoints that this work has already tried have a free slot. The retry
  // is delayed so that other work of its kind can use them.
  mQueue.Remove(aWork.mKey);
  BackOff(aWork, aNow + kUntriedEndpointRetryDelay);
}

void
ServiceScheduler::BackOff(Work& aWork, Clock::Monotonic aUntil)
{
  aWork.mPhase = Phase::BackingOff;
  aWork.mRetryAt = std::min(aUntil, aWork.mItem.mDeadline);
  mBackingOff.emplace(aWork.mRetryAt, aWork.mKey.mId);
}

bool
ServiceScheduler::IsRepeatable(const Work& aWork) const
{
  return aWork.mItem.mIdempotent &&
         !mRules.Of(aWork.mItem.mKind).mIsNeverRepeated;
}

std::uint32_t
ServiceScheduler::MaxAttempts(const Work& aWork) const
{
  if (aWork.mItem.mIsSpilled) {
    return 1;
  }
  const auto& retries = mRules.Of(aWork.mItem.mKind).mRetries;
  return retries ? std::min(mSettings.mMaxAttempts, 1 + *retries)
                 : mSettings.mMaxAttempts;
}

ServiceScheduler::StartResult
ServiceScheduler::TryStart(Work& aWork,
                           Clock::Monotonic aNow,
                           DeferredCalls& aCalls)
{
  aWork.mTeamPool = mTeams.PoolOf(aWork.mItem.mTeam);
  if (aWork.mTeamPool && !aWork.mTeamPool->TryAcquire(aNow)) {
    aWork.mTeamPool = nullptr;
    return StartResult::NoTeamSlot;
  }
  PickRequest request;
  request.mKind = aWork.mKey.mKind;
  request.mIsIdempotent = IsRepeatable(aWork);
  request.mTried = &aWork.mTried;
  request.mRunTime =
    mRunTimes.Expected(aWork.mKey.mKind, aWork.mItem.mDeclaredRunTime);
  request.mExpectedWait = mAdmission.ExpectedWait(aWork.mKey);
  std::optional<PickResult> pick = mFleet.Acquire(request, aNow);
  if (!pick) {
    if (aWork.mTeamPool) {
      mTeams.Release(aWork.mItem.mTeam, *aWork.mTeamPool);
      aWork.mTeamPool = nullptr;
    }
    return StartResult::NoEndpoint;
  }
  StartAttempt(aWork, *std::move(pick), aNow, aCalls);
  return StartResult::Started;
}

void
ServiceScheduler::StartAttempt(Work& aWork,
                               PickResult aPick,
                               Clock::Monotonic aNow,
                               DeferredCalls& aCalls)
{
  const KindIndex kind = aWork.mKey.mKind;
  const std::chrono::duration<double> expected = mRunTimes.Median(kind);
  mQueue.Start(aWork.mKey, expected.count());
  mAdmission.RecordStart(kind, aNow);
  ++mCounters.Of(kind).mDispatched;
  aWork.mPhase = Phase::Running;
  aWork.mEndpoint = std::move(aPick.mEndpoint);
  ++aWork.mAttempt;
  aWork.mTried.push_back(aWork.mEndpoint->mName);

  Dispatch dispatch;
  dispatch.mId = aWork.mKey.mId;
  dispatch.mEndpoint = aWork.mEndpoint->mName;
  dispatch.mAddress = aWork.mEndpoint->mAddress;
  dispatch.mAttempt = aWork.mAttempt;
  dispatch.mMaxConnections = aWork.mEndpoint->mConnections;
  dispatch.mDeadline = aWork.mItem.mDeadline;
  if (const auto& timeout = mRules.Of(aWork.mItem.mKind).mTimeout) {
    dispatch.mDeadline = std::min(dispatch.mDeadline, aNow + *timeout);
  }
  WatchForStall(aWork, aNow);
  aCalls.AddDecision({ aWork.mItem.mRequestId,
                       "pick",
                       std::move(aPick.mCandidates),
                       dispatch.mEndpoint,
                       std::move(aPick.mReason),
                       0 });
  aCalls.AddDispatch(aWork.mOnDispatch, std::move(dispatch));
}

void
ServiceScheduler::MoveToQuotaWaitList(Work& aWork)
{
  mQueue.Remove(aWork.mKey);
  aWork.mPhase = Phase::WaitingForQuota;
  mQuotaWaiters.Add(aWork.mItem.mTeam, aWork.mKey);
}

void
ServiceScheduler::RequeueFirstOfTeam(const TeamName& aTeam)
{
  const std::optional<WorkId> first = mQuotaWaiters.First(aTeam);
  if (!first) {
    return;
  }
  Work& work = mWork.at(*first);
  RemoveFromWaiting(work);
  work.mPhase = Phase::Queued;
  mQueue.Push(work.mKey);
}

void
ServiceScheduler::EndAttempt(Work& aWork,
                             AttemptOutcome aOutcome,
                             std::chrono::microseconds aElapsed,
                             Clock::Monotonic aNow)
{
  const KindIndex kind = aWork.mKey.mKind;
  EndpointReport report;
  report.mKind = kind;
  report.mIsFault = OutcomeTraitsOf(aOutcome).mIsFault;
  report.mCountsForHealth = aOutcome != AttemptOutcome::Abandoned;
  report.mElapsed = aElapsed;
  if (mRunTimes.IsLearned(kind)) {
    report.mMedian = mRunTimes.Median(kind);
    report.mHigh = mRunTimes.High(kind);
  }
  mStallDetector.Unwatch(aWork.mKey.mId, aWork.mStalledAt);
  mFleet.Release(*aWork.mEndpoint, report, aNow);
  mQueue.Finish(kind);
  if (aOutcome == AttemptOutcome::Succeeded) {
    mRunTimes.Add(kind, aElapsed, aWork.mItem.mDeclaredRunTime);
  }
  if (aWork.mTeamPool) {
    mTeams.Release(aWork.mItem.mTeam, *aWork.mTeamPool);
    aWork.mTeamPool = nullptr;
    RequeueFirstOfTeam(aWork.mItem.mTeam);
  }
  aWork.mEndpoint = nullptr;
}

Error
ServiceScheduler::QueueError(const Work& aWork,
                             ErrorKind aKind,
                             std::string aMessage)
{
  // "Nothing has run" may only be reported if no attempt may have run.
  if (aWork.mMayHaveRun) {
    return AttemptError(aWork.mLastError, aWork.mAttempt, aWork.mTried.back());
  }
  return { aKind, std::move(aMessage) };
}

void
ServiceScheduler::WatchForStall(Work& aWork, Clock::Monotonic aNow)
{
  const KindIndex kind = aWork.mKey.mKind;
  if (!aWork.mItem.mOnStop || aWork.mWasStopped || !IsRepeatable(aWork) ||
      aWork.mAttempt >= MaxAttempts(aWork) || !mRunTimes.IsLearned(kind)) {
    return;
  }
  const std::chrono::microseconds longest =
    std::max(mRunTimes.High(kind),
             mRunTimes.Expected(kind, aWork.mItem.mDeclaredRunTime));
  aWork.mStalledAt =
    mStallDetector.Watch(aWork.mKey.mId, longest, aWork.mItem.mDeadline, aNow);
}

void
ServiceScheduler::StopStalled(Clock::Monotonic aNow, DeferredCalls& aCalls)
{
  while (const std::optional<WorkId> id = mStallDetector.FirstStalled(aNow)) {
    Work& work = mWork.at(*id);
    mStallDetector.Unwatch(*id, work.mStalledAt);
    if (!mFleet.HasUntried(work.mTried) || !TryTakeRetryToken(work, aNow)) {
      continue;
    }
    work.mHasToken = true;
    work.mWasStopped = true;
    ++mStopCount;
    aCalls.AddDecision({ work.mItem.mRequestId,
                         "stop",
                         { work.mEndpoint->mName },
                         "stop attempt " + std::to_string(work.mAttempt),
                         "no answer within a multiple of the usual run time",
                         0 });
    aCalls.AddStop(work.mItem.mOnStop, work.mAttempt);
  }
}

bool
ServiceScheduler::TryTakeRetryToken(Work& aWork, Clock::Monotonic aNow)
{
  if (std::exchange(aWork.mHasToken, false) || mRetries.TryWithdraw(aNow)) {
    return true;
  }
  ++mRetriesDenied;
  return false;
}

bool
ServiceScheduler::TryRetry(Work& aWork,
                           AttemptOutcome aOutcome,
                           Clock::Monotonic aNow,
                           DeferredCalls& aCalls)
{
  const OutcomeTraits& traits = OutcomeTraitsOf(aOutcome);
  const bool isSafe = !traits.mMayHaveRun || IsRepeatable(aWork);
  if (!traits.mIsFault || traits.mIsAnswer || !isSafe ||
      aWork.mAttempt >= MaxAttempts(aWork) ||
      !mFleet.HasUntried(aWork.mTried)) {
    return false;
  }
  const auto backoff = mRetries.Backoff(aWork.mAttempt + 1, mRandom);
  if (aNow + backoff >= aWork.mItem.mDeadline) {
    return false;
  }
  if (!TryTakeRetryToken(aWork, aNow)) {
    return false;
  }
  ++mRetryCount;
  BackOff(aWork, aNow + backoff);
  aCalls.AddDecision({ aWork.mItem.mRequestId,
                       "retry",
                       {},
                       "another endpoint",
                       "attempt " + std::to_string(aWork.mAttempt) +
                         " ended as " + std::string(traits.mName),
                       0 });
  return true;
}

CompletionResult
ServiceScheduler::Complete(WorkId aId,
                           AttemptOutcome aOutcome,
                           std::chrono::microseconds aElapsed)
{
  DeferredCalls calls;
  CompletionResult result;
  std::unique_lock<std::mutex> lock(mMutex);
  const auto found = mWork.find(aId);
  if (found == mWork.end() || found->second.mPhase != Phase::Running) {
    return result;
  }
  const Clock::Monotonic now = mClock.MonotonicNow();
  Work& work = found->second;
  const OutcomeTraits& traits = OutcomeTraitsOf(aOutcome);
  // Errors of attempts that may have run take precedence over other errors.
  if (traits.mMayHaveRun || !work.mMayHaveRun) {
    work.mLastError = traits.mErrorKind;
  }
  work.mMayHaveRun = work.mMayHaveRun || traits.mMayHaveRun;
  EndAttempt(work, aOutcome, aElapsed, now);
  if (TryRetry(work, aOutcome, now, calls)) {
    result.mNext = Completion::Retrying;
  } else {
    result.mNext = Completion::Final;
    if (!traits.mIsAnswer) {
      result.mError =
        AttemptError(work.mLastError, work.mAttempt, work.mTried.back());
    }
    EraseWork(aId);
  }
  StartQueued(now, calls);
  lock.unlock();
  calls.Flush(mDecisions);
  return result;
}

void
ServiceScheduler::RemoveFromWaiting(Work& aWork)
{
  switch (aWork.mPhase) {
    case Phase::Queued:
      mQueue.Remove(aWork.mKey);
      break;
    case Phase::BackingOff:
      mBackingOff.erase({ aWork.mRetryAt, aWork.mKey.mId });
      break;
    case Phase::WaitingForQuota:
      mQuotaWaiters.Remove(aWork.mItem.mTeam, aWork.mKey);
      break;
    case Phase::Running:
      break;
  }
}

void
ServiceScheduler::EraseWork(WorkId aId)
{
  const auto found = mWork.find(aId);
  mTeams.RemoveOutstanding(found->second.mItem.mTeam);
  mWork.erase(found);
}

Cancellation
ServiceScheduler::Cancel(WorkId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mWork.find(aId);
  if (found == mWork.end()) {
    return Cancellation::Unknown;
  }
  Work& work = found->second;
  if (work.mPhase == Phase::Running) {
    return Cancellation::Running;
  }
  ++mCounters.Of(work.mKey.mKind).mCancelled;
  const bool mayHaveRun = work.mMayHaveRun;
  RemoveFromWaiting(work);
  EraseWork(aId);
  return mayHaveRun ? Cancellation::MayHaveRun : Cancellation::NotStarted;
}

void
ServiceScheduler::ExpireWork(Clock::Monotonic aNow, DeferredCalls& aCalls)
{
  std::vector<WorkId> expired = mQuotaWaiters.Expired(aNow, kMaxExpiredPerTick);
  for (const QueueKey& key : mQueue.Expired(aNow, kMaxExpiredPerTick)) {
    expired.push_back(key.mId);
  }
  for (const WorkId id : expired) {
    Expire(mWork.at(id), aCalls);
  }
}

void
ServiceScheduler::Expire(Work& aWork, DeferredCalls& aCalls)
{
  ++mCounters.Of(aWork.mKey.mKind).mExpired;
  RefuseQueued(aWork,
               QueueError(aWork,
                          ErrorKind::DeadlineExpiredInQueue,
                          "no slot became free in time for the deadline"),
               aCalls);
}

void
ServiceScheduler::EvictFor(KindIndex aKind, DeferredCalls& aCalls)
{
  const std::optional<QueueKey> last = mQueue.FindEvictionCandidate(aKind);
  if (!last) {
    return;
  }
  Work& work = mWork.at(last->mId);
  ++mCounters.Of(last->mKind).mRefused;
  RefuseQueued(work,
               QueueError(work,
                          ErrorKind::QueueFull,
                          "the queue is full and kind '" + work.mItem.mKind +
                            "' has more than its share of it"),
               aCalls);
}

void
ServiceScheduler::RefuseQueued(Work& aWork, Error aError, DeferredCalls& aCalls)
{
  RemoveFromWaiting(aWork);
  aCalls.AddDecision(RefusalDecision(aWork.mItem.mRequestId, "queue", aError));
  aCalls.AddRefusal(std::move(aWork.mOnRefuse), std::move(aError));
  EraseWork(aWork.mKey.mId);
}

void
ServiceScheduler::ResumeRetries(Clock::Monotonic aNow)
{
  while (!mBackingOff.empty() && mBackingOff.begin()->first <= aNow) {
    Work& work = mWork.at(mBackingOff.begin()->second);
    mBackingOff.erase(mBackingOff.begin());
    work.mPhase = Phase::Queued;
    mQueue.Push(work.mKey);
  }
}

void
ServiceScheduler::RequeueWithinQuota(Clock::Monotonic aNow)
{
  for (const TeamName& team : mQuotaWaiters.Teams()) {
    const std::shared_ptr<SlotPool> pool = mTeams.PoolOf(team);
    const std::size_t waiting = mQuotaWaiters.Count(team);
    const std::size_t free = pool ? pool->Free(aNow) : waiting;
    for (std::size_t i = 0; i < std::min(free, waiting); ++i) {
      RequeueFirstOfTeam(team);
    }
  }
}

void
ServiceScheduler::ReportDemand()
{
  mFleet.ReportDemand(mQueue.Length());
  std::vector<TeamName> teams = mTeams.TeamsWithReportedDemand();
  const std::vector<TeamName> waiting = mQuotaWaiters.Teams();
  teams.insert(teams.end(), waiting.begin(), waiting.end());
  for (const TeamName& team : teams) {
    mTeams.ReportWaiting(team, mQuotaWaiters.Count(team));
  }
}

void
ServiceScheduler::Tick()
{
  DeferredCalls calls;
  std::unique_lock<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  ExpireWork(now, calls);
  StopStalled(now, calls);
  mFleet.Tick(now);
  ResumeRetries(now);
  RequeueWithinQuota(now);
  StartQueued(now, calls);
  ReportDemand();
  lock.unlock();
  calls.Flush(mDecisions);
}

void
ServiceScheduler::UpdateEndpoint(const EndpointAnnouncement& aAnnouncement)
{
  DeferredCalls calls;
  std::unique_lock<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  mFleet.Update(aAnnouncement);
  mFleet.Tick(now);
  StartQueued(now, calls);
  lock.unlock();
  calls.Flush(mDecisions);
}

void
ServiceScheduler::RemoveEndpoint(const EndpointName& aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFleet.Remove(aName);
  mFleet.Tick(mClock.MonotonicNow());
}

void
ServiceScheduler::ApplyRules(const RoutingRules& aRules)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRules = aRules;
  mQueue.ApplyRules(aRules);
  mTeams.ApplyRules(aRules);
}

}

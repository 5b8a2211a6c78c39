#include "Jobs/JobRunner.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondspoke {

namespace {

// Number of jobs that find no worker with room after which a placement round
// ends. The round after each finished task has a low limit, so that its cost
// does not grow with the queue.
constexpr std::size_t kMaxBlockedJobsAfterTask = 16;
constexpr std::size_t kMaxBlockedJobsPerTick = 4096;

// Unmet requirements remembered during one placement round.
constexpr std::size_t kMaxUnmetRequirements = 16;

std::string
ReasonOf(ShareLimit aLimit)
{
  switch (aLimit) {
    case ShareLimit::Ceiling:
      return "the kind of the job has reached its ceiling";
    case ShareLimit::Reserve:
      return "the remaining processors are reserved for other kinds";
    case ShareLimit::Quota:
      return "the team of the job has used all slots of its quota";
  }
  return "";
}

}

void
JobRunner::RefreshWorkers()
{
  if (!mEndpointsChanged->exchange(false)) {
    return;
  }
  const std::vector<Endpoint> endpoints = mEndpoints.AllEndpoints();
  mWorkers.Update(endpoints);
  CheckUsage(endpoints);
}

void
JobRunner::CheckUsage(const std::vector<Endpoint>& aEndpoints)
{
  for (const Endpoint& endpoint : aEndpoints) {
    const EndpointName& name = endpoint.mAnnouncement.mName;
    const auto running = mRunningTasks.find(name);
    if (!endpoint.mUsage || running == mRunningTasks.end()) {
      continue;
    }
    std::vector<RunningTask> tasks;
    for (const auto& [attempt, task] : running->second) {
      tasks.push_back(task);
    }
    const auto worker = mWorkers.Workers().find(name);
    if (worker == mWorkers.Workers().end()) {
      continue;
    }
    const auto step = mOvercommit.Decide(
      name, worker->second.mCapacity, *endpoint.mUsage, tasks);
    if (!step) {
      continue;
    }
    using Request =
      void (TaskSender::*)(const EndpointName&, const std::string&);
    struct Row
    {
      Request mRequest;
      const char* mName;
    };
    // In the order of OvercommitAction.
    static constexpr std::array<Row, 3> kRequests = { {
      { &TaskSender::Throttle, "throttle" },
      { &TaskSender::Checkpoint, "checkpoint" },
      { &TaskSender::Stop, "stop" },
    } };
    const auto action = static_cast<std::size_t>(step->mAction);
    const Row& row = kRequests[action];
    ++mCounts.mOvercommitActions[action];
    RecordDecision(
      step->mAttemptId, row.mName, name, "the worker is overcommitted");
    mDeferredActions.push_back(
      [this, request = row.mRequest, name, attempt = step->mAttemptId] {
        (mSender.*request)(name, attempt);
      });
  }
}

Resources
JobRunner::EstimateRequired(const JobRequest& aRequest,
                            const TaskSpec& aTask) const
{
  const Resources estimate = mSizes.Estimate(aRequest.mKind, aTask.mRequired);
  // A task whose estimate fits on no worker would never be placed, so the
  // declared resources apply then.
  return mWorkers.MissingResource(aRequest.mService, estimate).empty()
           ? estimate
           : aTask.mRequired;
}

void
JobRunner::PlaceAll(std::size_t aMaxBlocked)
{
  if (mQueue.Size() == 0) {
    return;
  }
  UpdateReservation();
  std::vector<UnmetRequirement> unmet;
  mQueue.PlaceRound(
    aMaxBlocked, [this, &unmet](Job& aJob) { return PlaceNext(aJob, unmet); });
}

void
JobRunner::PlaceAfterOutcome()
{
  PlaceAll(kMaxBlockedJobsAfterTask);
}

void
JobRunner::PlacePeriodically()
{
  PlaceAll(kMaxBlockedJobsPerTick);
}

void
JobRunner::PlaceTasksOf(const JobPointer& aJob)
{
  std::vector<UnmetRequirement> unmet;
  mQueue.PlaceTasksOf(
    aJob, [this, &unmet](Job& aNext) { return PlaceNext(aNext, unmet); });
}

ShareDemand
JobRunner::DemandOf(const JobRequest& aRequest, const Resources& aRequired)
{
  return {
    aRequest.mService, aRequest.mKind, aRequest.mTeam, aRequired.mCores
  };
}

detail::PlaceResult
JobRunner::HoldBack(Job& aJob, const ShareLimitScope& aScope)
{
  if (aJob.mLoggedLimit != aScope.mLimit) {
    aJob.mLoggedLimit = aScope.mLimit;
    RecordDecision(aJob.Key(), "hold", aScope.mName, ReasonOf(aScope.mLimit));
  }
  return { false, aScope };
}

detail::PlaceResult
JobRunner::PlaceNext(Job& aJob, std::vector<UnmetRequirement>& aUnmet)
{
  const std::uint32_t index = aJob.mWaitingTasks.back();
  detail::JobTask& task = aJob.mTasks[index];
  if (task.mNotBefore > mClock.MonotonicNow()) {
    return {};
  }
  PlacementQuery query;
  query.mService = aJob.mRequest.mService;
  query.mRequired =
    EstimateRequired(aJob.mRequest, aJob.mRequest.mTasks[index]);
  query.mRackCounts = &aJob.mRackCounts;
  query.mExcludedWorkers = &task.mRefusedBy;
  query.mSeed = mSeed + aJob.mSequence * kMaxTasksPerJob + index;
  const ShareDemand demand = DemandOf(aJob.mRequest, query.mRequired);
  const auto scope = mShares.Check(demand, mWorkers.CoresOf(query.mService));
  if (scope) {
    return HoldBack(aJob, *scope);
  }
  const Worker* worker = FindWorker(aJob, query, aUnmet);
  if (worker == nullptr) {
    if (!task.mRefusedBy.empty()) {
      ReconsiderExclusions(aJob, index, query);
    }
    return {};
  }
  const auto quotaScope =
    mShares.AcquireTeamSlot(demand, mClock.MonotonicNow(), task.mTeamPool);
  if (quotaScope) {
    return HoldBack(aJob, *quotaScope);
  }
  Place(aJob, index, *worker, query.mRequired);
  return { true, std::nullopt };
}

const Worker*
JobRunner::FindWorker(const Job& aJob,
                      PlacementQuery& aQuery,
                      std::vector<UnmetRequirement>& aUnmet) const
{
  const JobPointer reservedFor = mReservedFor.lock();
  const bool ownsReservation = reservedFor.get() == &aJob;
  if (reservedFor && !ownsReservation) {
    aQuery.mReservedWorker = mReservedWorker;
  }
  const bool isKnownUnmet =
    !ownsReservation &&
    std::any_of(
      aUnmet.begin(), aUnmet.end(), [&aQuery](const UnmetRequirement& aKnown) {
        return aKnown.mService == aQuery.mService &&
               Fits(aKnown.mRequired, aQuery.mRequired);
      });
  if (isKnownUnmet) {
    return nullptr;
  }
  const Worker* worker = mWorkers.Choose(aQuery);
  const bool hasExclusions = !aQuery.mExcludedWorkers->empty();
  if (worker == nullptr && !hasExclusions &&
      aUnmet.size() < kMaxUnmetRequirements) {
    aUnmet.push_back({ aQuery.mService, aQuery.mRequired });
  }
  return worker;
}

// Lets one parked job for each limit try again. Called when a task ends, which
// frees capacity under its limits, and when a task is placed, which shows that
// the limits still have capacity.
void
JobRunner::UnparkScopesOf(const ShareDemand& aDemand)
{
  if (mQueue.ParkedCount() == 0) {
    return;
  }
  for (const ShareLimitScope& scope : JobShares::LimitScopesOf(aDemand)) {
    mQueue.UnparkFirst(scope);
  }
}

void
JobRunner::ReconsiderExclusions(Job& aJob,
                                std::uint32_t aIndex,
                                PlacementQuery aQuery)
{
  detail::JobTask& task = aJob.mTasks[aIndex];
  aQuery.mExcludedWorkers = nullptr;
  if (mWorkers.Choose(aQuery) != nullptr) {
    // Only workers that refused the task have room, so try them again after a
    // delay.
    task.mRefusedBy.clear();
    task.mNotBefore = task.mLastRefusedAt + kRefusalRetryDelay;
    return;
  }
  aQuery.mIgnoreRefusals = true;
  if (mWorkers.Choose(aQuery) == nullptr) {
    return;
  }
  task.mNotBefore = mClock.MonotonicNow() + kRefusalRetryDelay;
  const JobPointer job = mJobs.at(aJob.mTicket.mKey.Hash());
  mDeferredActions.push_back(
    [this, job, aIndex] { CountAssumedRefusal(job, aIndex); });
}

void
JobRunner::Place(Job& aJob,
                 std::uint32_t aIndex,
                 const Worker& aWorker,
                 const Resources& aRequired)
{
  detail::JobTask& task = aJob.mTasks[aIndex];
  aJob.mWaitingTasks.pop_back();
  task.mState = detail::JobTask::State::Sent;
  task.mWorker = aWorker.mName;
  task.mAllocated = aRequired;
  ++aJob.mSentCount;
  ++aJob.mRackCounts[aWorker.mRack];
  mWorkers.Allocate(task.mWorker, task.mAllocated);
  const ShareDemand demand = DemandOf(aJob.mRequest, task.mAllocated);
  mShares.Allocate(demand);
  mShares.AddWaitingTasks(demand.mTeam, -1);
  UnparkScopesOf(demand);
  const JobPointer job = mJobs.at(aJob.mTicket.mKey.Hash());
  if (mReservedFor.lock() == job) {
    mReservedFor.reset();
  }
  RecordDecision(aJob.AttemptId(aIndex),
                 "place",
                 task.mWorker,
                 "rack " + aWorker.mRack + " holds " +
                   std::to_string(aJob.mRackCounts[aWorker.mRack]) +
                   " tasks of the job");
  mDeferredActions.push_back([this, job, aIndex] { Send(job, aIndex); });
}

void
JobRunner::UpdateReservation()
{
  const JobPointer first = mQueue.FirstSubmitted();
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (!first || now - first->mSubmittedAt < mSettings.mReservationDelay) {
    mReservedFor.reset();
    return;
  }
  const JobPointer current = mReservedFor.lock();
  if (current && !current->mFinished &&
      mWorkers.Workers().count(mReservedWorker) != 0) {
    return;
  }
  PlacementQuery query;
  query.mService = first->mRequest.mService;
  query.mRequired = EstimateRequired(
    first->mRequest, first->mRequest.mTasks[first->mWaitingTasks.back()]);
  const Worker* worker = mWorkers.ChooseReservation(query);
  if (worker == nullptr) {
    return;
  }
  mReservedFor = first;
  mReservedWorker = worker->mName;
  RecordDecision(first->Key(),
                 "reserve",
                 mReservedWorker,
                 "the first submitted job waits too long in the queue");
}

}

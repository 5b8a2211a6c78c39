#include "Dispatch/ReadyQueue.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Length of the ranges of due times whose work is summed up. */
constexpr milliseconds kDueTimeRange{ 32 };

constexpr double kMilliCoresOfCore = 1000.0;

Clock::Monotonic
RangeStart(Clock::Monotonic aDueAt)
{
  return Clock::Monotonic(aDueAt.time_since_epoch() / kDueTimeRange *
                          kDueTimeRange);
}

double
CoreMilliseconds(std::uint64_t aWork)
{
  return static_cast<double>(aWork) / kMilliCoresOfCore;
}

}

void
ReadyQueue::Update(DispatchJob& aJob)
{
  const bool isWaiting =
    aJob.mReadyTaskCount > 0 && !aJob.HasEnded() && !aJob.mAbandoned;
  if (!isWaiting) {
    Remove(aJob);
    return;
  }
  const bool isNew = mJobs.emplace(SchedulingKeyOf(aJob), &aJob).second;
  Count(aJob, aJob.WaitingWork());
  if (isNew) {
    ArmLimit(aJob);
  }
}

void
ReadyQueue::Remove(DispatchJob& aJob)
{
  if (mJobs.erase(SchedulingKeyOf(aJob)) == 0) {
    return;
  }
  Count(aJob, 0);
  DisarmLimit(aJob);
}

void
ReadyQueue::Clear()
{
  mJobs.clear();
  mWork.clear();
  mTotalWork = 0;
  mByLimit.clear();
}

void
ReadyQueue::Count(DispatchJob& aJob, std::uint64_t aWork)
{
  PriorityWork& priority = mWork[aJob.mQueue.mPriority];
  const auto range =
    priority.mByDueTime.try_emplace(RangeStart(aJob.mDueAt)).first;
  const std::uint64_t counted = aJob.mCountedWork;
  range->second = range->second - counted + aWork;
  priority.mTotal = priority.mTotal - counted + aWork;
  mTotalWork = mTotalWork - counted + aWork;
  aJob.mCountedWork = aWork;
  if (range->second == 0) {
    priority.mByDueTime.erase(range);
  }
}

std::uint64_t
ReadyQueue::WorkBefore(const SchedulingKey& aKey) const
{
  std::uint64_t before = 0;
  for (const auto& [priority, work] : mWork) {
    if (priority >= aKey.mPriority) {
      break;
    }
    before += work.mTotal;
  }
  const auto same = mWork.find(aKey.mPriority);
  if (same == mWork.end()) {
    return before;
  }
  const TimePoint range = RangeStart(aKey.mDueAt);
  for (const auto& [start, work] : same->second.mByDueTime) {
    if (start >= range) {
      break;
    }
    before += work;
  }
  // Only the jobs in the range of the job itself are counted one by one.
  auto job = mJobs.lower_bound({ aKey.mPriority, range, 0 });
  for (; job != mJobs.end() && job->first < aKey; ++job) {
    before += job->second->mCountedWork;
  }
  return before;
}

Backlog
ReadyQueue::BacklogBefore(const DispatchJob& aJob) const
{
  Backlog backlog;
  backlog.mCoreMsWaiting = CoreMilliseconds(mTotalWork);
  backlog.mCoreMsAhead = CoreMilliseconds(WorkBefore(SchedulingKeyOf(aJob)));
  return backlog;
}

void
ReadyQueue::ArmLimit(DispatchJob& aJob)
{
  if (aJob.mIsStored) {
    return;
  }
  DisarmLimit(aJob);
  aJob.mWaitLimit = aJob.MayBeRefused()
                      ? aJob.mArrivedAt + Admission::MaxQueueTime(aJob)
                      : Admission::GiveUpTime(aJob);
  mByLimit.emplace(std::make_pair(*aJob.mWaitLimit, aJob.mArrivalNumber),
                   &aJob);
}

void
ReadyQueue::DisarmLimit(DispatchJob& aJob)
{
  if (aJob.mWaitLimit) {
    mByLimit.erase({ *aJob.mWaitLimit, aJob.mArrivalNumber });
    aJob.mWaitLimit.reset();
  }
}

std::vector<DispatchJob*>
ReadyQueue::TakeOverdue(TimePoint aNow)
{
  std::vector<DispatchJob*> overdue;
  while (!mByLimit.empty() && mByLimit.begin()->first.first < aNow) {
    DispatchJob& job = *mByLimit.begin()->second;
    const TimePoint limit = *job.mWaitLimit;
    DisarmLimit(job);
    // A job that has started since has the later of the two limits.
    const bool isLimitOfState =
      job.MayBeRefused() || limit >= Admission::GiveUpTime(job);
    if (isLimitOfState) {
      overdue.push_back(&job);
    } else {
      ArmLimit(job);
    }
  }
  return overdue;
}

}

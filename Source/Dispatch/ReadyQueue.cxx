#include "Dispatch/ReadyQueue.h"

#include <algorithm>
#include <iterator>

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
  if (isNew) {
    List(aJob);
    ArmLimit(aJob);
  }
  Count(mClasses[aJob.mClass], aJob, aJob.WaitingWork());
}

void
ReadyQueue::Remove(DispatchJob& aJob)
{
  if (mJobs.erase(SchedulingKeyOf(aJob)) == 0) {
    return;
  }
  Count(mClasses[aJob.mClass], aJob, 0);
  Unlist(aJob);
  DisarmLimit(aJob);
}

void
ReadyQueue::Defer(DispatchJob& aJob)
{
  Remove(aJob);
  aJob.mIsLate = true;
  Update(aJob);
}

void
ReadyQueue::Clear()
{
  mJobs.clear();
  mClasses.clear();
  mClassesInOrder.clear();
  mByLimit.clear();
}

void
ReadyQueue::List(DispatchJob& aJob)
{
  Jobs& jobs = mClasses[aJob.mClass].mJobs;
  const SchedulingKey key = SchedulingKeyOf(aJob);
  const auto added = jobs.emplace(key, &aJob).first;
  if (added != jobs.begin()) {
    return;
  }
  if (const auto second = std::next(added); second != jobs.end()) {
    mClassesInOrder.erase(second->first);
  }
  mClassesInOrder.emplace(key, &jobs);
}

void
ReadyQueue::Unlist(const DispatchJob& aJob)
{
  const auto entry = mClasses.find(aJob.mClass);
  Jobs& jobs = entry->second.mJobs;
  const SchedulingKey key = SchedulingKeyOf(aJob);
  jobs.erase(key);
  const bool wasFirst = mClassesInOrder.erase(key) != 0;
  if (jobs.empty()) {
    mClasses.erase(entry);
  } else if (wasFirst) {
    mClassesInOrder.emplace(jobs.begin()->first, &jobs);
  }
}

void
ReadyQueue::Count(ClassQueue& aQueue, DispatchJob& aJob, std::uint64_t aWork)
{
  PriorityWork& priority =
    aQueue.mWork[{ aJob.mIsLate, aJob.mQueue.mPriority }];
  const auto range =
    priority.mByDueTime.try_emplace(RangeStart(aJob.mDueAt)).first;
  const std::uint64_t counted = aJob.mCountedWork;
  range->second = range->second - counted + aWork;
  priority.mTotal = priority.mTotal - counted + aWork;
  aQueue.mTotalWork = aQueue.mTotalWork - counted + aWork;
  aJob.mCountedWork = aWork;
  if (range->second == 0) {
    priority.mByDueTime.erase(range);
  }
}

std::uint64_t
ReadyQueue::WorkBefore(const ClassQueue& aQueue, const SchedulingKey& aKey)
{
  std::uint64_t before = 0;
  const std::pair<bool, std::uint32_t> own{ aKey.mIsLate, aKey.mPriority };
  for (const auto& [priority, work] : aQueue.mWork) {
    if (priority >= own) {
      break;
    }
    before += work.mTotal;
  }
  const auto same = aQueue.mWork.find(own);
  if (same == aQueue.mWork.end()) {
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
  auto job =
    aQueue.mJobs.lower_bound({ aKey.mIsLate, aKey.mPriority, range, 0 });
  for (; job != aQueue.mJobs.end() && job->first < aKey; ++job) {
    before += job->second->mCountedWork;
  }
  return before;
}

void
ReadyQueue::AddBacklog(const PlacementClass& aClass,
                       const SchedulingKey& aKey,
                       Backlog& aBacklog) const
{
  PlacementClass smallest = aClass;
  smallest.mSizeStep = 0;
  for (auto entry = mClasses.lower_bound(smallest);
       entry != mClasses.end() && entry->first.IsOfOtherSize(aClass);
       ++entry) {
    aBacklog.mCoreMsWaiting += CoreMilliseconds(entry->second.mTotalWork);
    aBacklog.mCoreMsAhead += CoreMilliseconds(WorkBefore(entry->second, aKey));
  }
}

// Work that requires other labels waits for other workers. Work without a label
// may use the workers that a job with a label waits for.
Backlog
ReadyQueue::BacklogBefore(const DispatchJob& aJob) const
{
  Backlog backlog;
  const SchedulingKey key = SchedulingKeyOf(aJob);
  AddBacklog(aJob.mClass, key, backlog);
  if (!aJob.mClass.mLabels.empty()) {
    AddBacklog({ aJob.mClass.mPool, {} }, key, backlog);
  }
  return backlog;
}

void
ReadyQueue::ArmLimit(DispatchJob& aJob)
{
  if (aJob.mIsStored) {
    return;
  }
  DisarmLimit(aJob);
  aJob.mWaitLimit = mAdmission.WaitLimit(aJob);
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
    // A job that has started since has another limit.
    if (limit >= mAdmission.WaitLimit(job)) {
      overdue.push_back(&job);
    } else {
      ArmLimit(job);
    }
  }
  return overdue;
}

}

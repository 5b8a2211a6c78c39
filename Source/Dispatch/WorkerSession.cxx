#include "Dispatch/WorkerSession.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

/** Maximum slowdown of a worker's clock relative to this instance's clock
 * (worker protocol). */
constexpr std::int64_t kMaxClockSlowdownPercent = 2;
constexpr std::int64_t kHundredPercent = 100;

/** Added to the end of a lease before its runs are presumed gone. Covers the
 * resolution of clocks and timers. */
constexpr std::chrono::milliseconds kLeaseExpiryMargin{ 30 };

constexpr std::chrono::milliseconds kMaxAcknowledgeDelay{ 1500 };

std::chrono::milliseconds
ElapsedMs(Clock::Monotonic aThen, Clock::Monotonic aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen);
}

}

WorkerSession::WorkerSession(std::uint64_t aNumber,
                             WorkerReport aReport,
                             TimePoint aNow,
                             std::chrono::milliseconds aMaxLease)
  : mPosition{ 0, false, 0, aNumber }
  , mLastReport(aNow)
  , mReport(std::move(aReport))
  , mMaxLease(aMaxLease)
{
}

void
WorkerSession::ObserveClock(WorkerTime aClock, TimePoint aAt)
{
  if (mClockKnown && MinClockAt(aAt) >= aClock) {
    return;
  }
  mClockKnown = true;
  mClock = aClock;
  mClockAt = aAt;
}

WorkerTime
WorkerSession::MinClockAt(TimePoint aNow) const
{
  return mClock + ElapsedMs(mClockAt, aNow).count() *
                    (kHundredPercent - kMaxClockSlowdownPercent) /
                    kHundredPercent;
}

// The lease is measured on the worker's clock, which may be slow.
std::chrono::milliseconds
WorkerSession::MaxLeaseOnLocalClock() const
{
  return mMaxLease * kHundredPercent /
           (kHundredPercent - kMaxClockSlowdownPercent) +
         kLeaseExpiryMargin;
}

WorkerTime
WorkerSession::GrantLease(TimePoint aNow)
{
  AssumeLeaseGranted(aNow);
  return MinClockAt(aNow) + mMaxLease.count();
}

void
WorkerSession::AssumeLeaseGranted(TimePoint aNow)
{
  mLeaseBound = std::max(mLeaseBound, aNow + MaxLeaseOnLocalClock());
}

TrackedRun&
WorkerSession::Add(const TaskId& aTask, TrackedRun aRun)
{
  mUsed += aRun.mNeeds;
  mOrphanCount += aRun.mIsOrphan ? 1 : 0;
  if (mHealth.IsOnProbation() && !aRun.mIsOrphan) {
    mHealth.BeginTrial(aTask);
  }
  TrackedRun& added = mRuns[aTask] = aRun;
  NotifyRoomChanged();
  return added;
}

void
WorkerSession::NotifyRoomChanged()
{
  if (mRoomListener != nullptr) {
    mRoomListener->OnRoomChanged(*this);
  }
}

TrackedRun*
WorkerSession::Find(const TaskId& aTask)
{
  const auto run = mRuns.find(aTask);
  return run == mRuns.end() ? nullptr : &run->second;
}

const TrackedRun*
WorkerSession::Find(const TaskId& aTask) const
{
  const auto run = mRuns.find(aTask);
  return run == mRuns.end() ? nullptr : &run->second;
}

void
WorkerSession::Remove(const TaskId& aTask)
{
  const auto run = mRuns.find(aTask);
  if (run == mRuns.end()) {
    return;
  }
  mUsed -= run->second.mNeeds;
  mOrphanCount -= run->second.mIsOrphan ? 1 : 0;
  mRuns.erase(run);
  NotifyRoomChanged();
}

void
WorkerSession::SetNeeds(TrackedRun& aRun, const Resources& aNeeds)
{
  mUsed -= aRun.mNeeds;
  mUsed += aNeeds;
  mOrphanCount -= aRun.mIsOrphan ? 1 : 0;
  aRun.mNeeds = aNeeds;
  aRun.mIsOrphan = false;
  NotifyRoomChanged();
}

void
WorkerSession::Disown(TrackedRun& aRun)
{
  mOrphanCount += aRun.mIsOrphan ? 0 : 1;
  aRun.mIsOrphan = true;
  NotifyRoomChanged();
}

bool
WorkerSession::HasUnlocatedRuns() const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [](const auto& aEntry) {
    return !aEntry.second.mIsLocated;
  });
}

std::map<TaskId, TrackedRun>
WorkerSession::TakeUnlocatedRuns()
{
  std::map<TaskId, TrackedRun> taken;
  for (const auto& [task, run] : mRuns) {
    if (!run.mIsLocated) {
      taken.emplace(task, run);
    }
  }
  for (auto& [task, run] : taken) {
    Remove(task);
    run.mIsInherited = true;
    run.mStopConfirmed = false;
    run.mStopInFlight = false;
    run.mIgnoreHoldsUpTo = 0;
  }
  return taken;
}

WorkerSession::TimePoint
WorkerSession::AcknowledgeBy() const
{
  return mUnacknowledgedSince + kMaxAcknowledgeDelay;
}

std::uint64_t
WorkerSession::LastAcknowledgeableEnd() const
{
  return mUnstoredEnds.empty() ? mLastProcessedEnd : *mUnstoredEnds.begin() - 1;
}

}

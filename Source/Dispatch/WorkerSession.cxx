#include "Dispatch/WorkerSession.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

/** A worker's clock may run so much slower than this instance's, in percent
 * (protocol of the workers). */
constexpr std::int64_t kSlowClockPercent = 2;
constexpr std::int64_t kWhole = 100;

/** Added to the end of a lease before its runs count as gone, for the
 * resolution of clocks and timers. */
constexpr std::chrono::milliseconds kLapseMargin{ 30 };

std::chrono::milliseconds
SinceAt(Clock::Monotonic aThen, Clock::Monotonic aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen);
}

}

WorkerSession::WorkerSession(WorkerReport aReport,
                             TimePoint aNow,
                             std::chrono::milliseconds aMaxHold)
  : mLastReport(aNow)
  , mReport(std::move(aReport))
  , mMaxHold(aMaxHold)
{
}

void
WorkerSession::ObserveClock(WorkerTime aClock, TimePoint aAt)
{
  if (mClockKnown && ClockAt(aAt) >= aClock) {
    return;
  }
  mClockKnown = true;
  mClock = aClock;
  mClockAt = aAt;
}

WorkerTime
WorkerSession::ClockAt(TimePoint aNow) const
{
  return mClock + SinceAt(mClockAt, aNow).count() *
                    (kWhole - kSlowClockPercent) / kWhole;
}

// The lease ends on the worker's clock, which may be slow.
std::chrono::milliseconds
WorkerSession::LongestLease() const
{
  return mMaxHold * kWhole / (kWhole - kSlowClockPercent) + kLapseMargin;
}

WorkerTime
WorkerSession::GrantLease(TimePoint aNow)
{
  AssumeLease(aNow);
  return ClockAt(aNow) + mMaxHold.count();
}

void
WorkerSession::AssumeLease(TimePoint aNow)
{
  mLeaseBound = std::max(mLeaseBound, aNow + LongestLease());
}

LedgerRun&
WorkerSession::Add(const TaskId& aTask, LedgerRun aRun)
{
  mUsed += aRun.mNeeds;
  mOrphans += aRun.mOrphan ? 1 : 0;
  return mRuns[aTask] = aRun;
}

LedgerRun*
WorkerSession::Find(const TaskId& aTask)
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
  mOrphans -= run->second.mOrphan ? 1 : 0;
  mRuns.erase(run);
}

void
WorkerSession::SetNeeds(LedgerRun& aRun, const Resources& aNeeds)
{
  mUsed -= aRun.mNeeds;
  mUsed += aNeeds;
  mOrphans -= aRun.mOrphan ? 1 : 0;
  aRun.mNeeds = aNeeds;
  aRun.mOrphan = false;
}

std::uint64_t
WorkerSession::AcknowledgeableEnds() const
{
  return mUnstoredEnds.empty() ? mProcessedEnds : *mUnstoredEnds.begin() - 1;
}

}

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "Base/Clock.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerHealth.h"

namespace almondspoke::dispatch {

/** \brief How far a run on a worker has got, as far as the leader knows. */
enum class RunPhase : std::uint8_t
{
  /** The order to start it is on its way. */
  Starting,
  Running,
  /** The order to start it got no answer: it may run, or may yet begin. */
  Unconfirmed,
  /** A stop has been ordered. */
  Stopping
};

/** \brief One run that is, or may be, on a worker. It keeps its room until it
 * is certain that it is not there and cannot begin any more. */
struct TrackedRun
{
  RunNumber mNumber = 0;
  RunPhase mPhase = RunPhase::Starting;
  Resources mNeeds;
  /** True for a run that an earlier leader started, until its job is known. */
  bool mIsOrphan = false;
  /** The worker will not begin it any more: it has confirmed the stop. */
  bool mStopConfirmed = false;
  bool mStopInFlight = false;
  /** Hold orders up to this number cannot show that the run is gone. */
  std::uint64_t mIgnoreHoldsUpTo = 0;
  Clock::Monotonic mLastOrderAt{};
  std::uint32_t mPercent = 0;
  Clock::Monotonic mProgressReportedAt{};
};

/** \brief The leader's dealings with one boot of one worker: its lease, its
 * list of runs and the room that they take. */
class WorkerSession
{
public:
  using TimePoint = Clock::Monotonic;

  /** \param aMaxLease longest lease that workers grant */
  WorkerSession(WorkerReport aReport,
                TimePoint aNow,
                std::chrono::milliseconds aMaxLease);

  const WorkerReport& Report() const { return mReport; }
  /** Takes a newer report of the same boot. */
  void Update(WorkerReport aReport) { mReport = std::move(aReport); }

  /** The worker's clock was at least this at that time. */
  void ObserveClock(WorkerTime aClock, TimePoint aAt);
  bool IsClockKnown() const { return mClockKnown; }
  /** Lowest time that the worker's clock can show. */
  WorkerTime MinClockAt(TimePoint aNow) const;
  /** End of a lease granted now; remembers it as granted. */
  WorkerTime GrantLease(TimePoint aNow);
  /** After this time nothing that was started here runs any more, unless a
   * further lease is granted. */
  TimePoint LeaseBound() const { return mLeaseBound; }
  bool HasLeaseExpired(TimePoint aNow) const { return aNow > mLeaseBound; }
  /** Somebody else may have granted a lease until now. */
  void AssumeLeaseGranted(TimePoint aNow);

  /** Adds a run, which takes room from now on. */
  TrackedRun& Add(const TaskId& aTask, TrackedRun aRun);
  TrackedRun* Find(const TaskId& aTask);
  void Remove(const TaskId& aTask);
  void SetNeeds(TrackedRun& aRun, const Resources& aNeeds);
  std::map<TaskId, TrackedRun>& Runs() { return mRuns; }
  const std::map<TaskId, TrackedRun>& Runs() const { return mRuns; }

  /** Whether the needs fit beside everything that may be on the worker. Runs
   * of unknown size fill it. */
  bool HasRoomFor(const Resources& aNeeds) const
  {
    return mOrphanCount == 0 && aNeeds.FitsInto(Free());
  }
  Resources Free() const
  {
    const auto left = [](std::uint32_t aWhole, std::uint32_t aUsed) {
      return aWhole > aUsed ? aWhole - aUsed : 0;
    };
    const Resources& room = mReport.mCapacity;
    return { left(room.mMilliCores, mUsed.mMilliCores),
             left(room.mMemoryMegabytes, mUsed.mMemoryMegabytes),
             left(room.mAccelerators, mUsed.mAccelerators) };
  }
  /** Whether new runs may start here, apart from room. */
  bool IsUsable() const
  {
    return mRegistered && mFenceAccepted && mUnansweredHolds == 0 &&
           !mReport.mDraining && !mReport.mLeft;
  }

  /** Ends up to this number may be forgotten by the worker. */
  std::uint64_t LastAcknowledgeableEnd() const;

  /** True once it is stored that something may be started here, so that each
   * later leader knows where to look. */
  bool mRegistered = false;
  /** Ends that have been processed and are not stored yet. */
  std::set<std::uint64_t> mUnstoredEnds;
  /** True once the worker has answered under this leader's fence, so that no
   * earlier leader's order can have an effect any more. */
  bool mFenceAccepted = false;
  /** Raised whenever another leader of the same term is found to command the
   * worker (see WorkerFence.h). */
  std::uint32_t mFenceRound = 0;
  /** Consecutive hold orders without an answer. */
  unsigned mUnansweredHolds = 0;
  bool mHoldInFlight = false;
  std::uint64_t mHoldsSent = 0;
  TimePoint mNextHoldAt{};
  /** Ends up to this number have been processed. */
  std::uint64_t mLastProcessedEnd = 0;
  /** Ends up to this number have been told to the worker as processed. */
  std::uint64_t mLastAcknowledgedEnd = 0;
  /** When the oldest end that is not acknowledged was processed. */
  TimePoint mUnacknowledgedSince{};
  std::size_t mOrphanCount = 0;
  /** When the first of the present orphans was found. */
  TimePoint mFirstOrphanAt{};
  WorkerHealth mHealth;
  TimePoint mLastReport{};

private:
  std::chrono::milliseconds MaxLeaseOnOurClock() const;

  WorkerReport mReport;
  const std::chrono::milliseconds mMaxLease;
  std::map<TaskId, TrackedRun> mRuns;
  Resources mUsed;
  bool mClockKnown = false;
  WorkerTime mClock = 0;
  TimePoint mClockAt{};
  TimePoint mLeaseBound{};
};

}

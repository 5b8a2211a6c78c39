#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "Base/Clock.h"
#include "Dispatch/ListOrders.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerHealth.h"
#include "Dispatch/WorkerSpeed.h"

namespace almondspoke::dispatch {

/** \brief State of a run as known to the leader. */
enum class RunPhase : std::uint8_t
{
  /** A start order was sent and not yet answered. */
  Starting,
  Running,
  /** A start order was not answered: the run may exist or may still begin. */
  Unconfirmed,
  /** A stop order was sent. */
  Stopping
};

/** \brief A run that exists, or may exist, on a worker. Its resources stay
 * reserved until it is certain that the run does not exist and cannot begin. */
struct TrackedRun
{
  RunNumber mNumber = 0;
  RunPhase mPhase = RunPhase::Starting;
  Resources mNeeds;
  /** True for a run of another leader until its job is known, and for a run
   * that was disowned. */
  bool mIsOrphan = false;
  /** True once it is shown that the boot of the session took the start order.
   * An order names the worker's id only, so that a later boot may take it. */
  bool mIsLocated = false;
  /** The start order was given to an earlier boot, and this boot may have taken
   * it. It takes no such order any more once it has answered a hold order. */
  bool mIsInherited = false;
  /** The boot's clock showed at least this when the start order was sent. */
  WorkerTime mMinClockAtStart = 0;
  /** The worker has confirmed the stop, so that the run cannot begin any
   * more. */
  bool mStopConfirmed = false;
  bool mStopInFlight = false;
  /** Hold orders up to this number were sent before the start order or before
   * its latest confirmation. Their run lists cannot prove that the run is gone.
   */
  std::uint64_t mIgnoreHoldsUpTo = 0;
  /** Time of the latest start or stop order, or of the answer to the latest
   * stop order. */
  Clock::Monotonic mLastOrderAt{};
  /** What the worker's clock showed when the worker first confirmed the run;
   * zero before that. */
  WorkerTime mConfirmedClock = 0;
  std::uint32_t mPercent = 0;
  /** What the worker's clock showed when it listed this percentage, and when
   * the list arrived. */
  WorkerTime mProgressClock = 0;
  Clock::Monotonic mProgressReportedAt{};

  /** Returns for how long the worker has worked on the run, as far as it has
   * been shown. The time that orders and lists take on their way is not in it.
   */
  std::chrono::milliseconds ObservedTime() const
  {
    return std::chrono::milliseconds(
      mConfirmedClock > 0 ? mProgressClock - mConfirmedClock : 0);
  }
  /** Run time that a RunTimeModel expected at the start; zero if there was
   * none. */
  std::chrono::milliseconds mExpected{ 0 };
  /** True once a RunTimeModel has learned from the run. */
  bool mIsLearned = false;
  /** True once the run was found slow and left, since a new start would gain
   * nothing. */
  bool mIsLeft = false;

  /** Returns how long the run has taken when the worker's clock showed a time;
   * zero if its start is not known, as for a run that this leader has found. */
  std::chrono::milliseconds RunTimeAt(WorkerTime aClock) const
  {
    return std::chrono::milliseconds(mMinClockAtStart > 0 &&
                                         mConfirmedClock > 0 && !mIsInherited
                                       ? aClock - mConfirmedClock
                                       : 0);
  }
  /** Records that the worker had the run when its clock showed a time. */
  void Confirm(WorkerTime aClock)
  {
    mConfirmedClock = mConfirmedClock > 0 ? mConfirmedClock : aClock;
  }
};

class WorkerSession;

/** \brief Is told when the free resources of a worker change. */
class RoomListener
{
public:
  virtual ~RoomListener() = default;
  virtual void OnRoomChanged(WorkerSession& aWorker) = 0;
};

/** \brief The leader's view of one boot of a worker: its lease, its runs, and
 * the resources reserved for them. */
class WorkerSession
{
public:
  using TimePoint = Clock::Monotonic;

  /** \brief A worker's place in the lists of the WorkerIndex, which sets it. */
  struct IndexPosition
  {
    SpeedTier mTier = 0;
    bool mIsCold = false;
    std::uint32_t mFreeMilliCores = 0;
    /** Number of the session; different for each session of a leader. */
    std::uint64_t mNumber = 0;
  };

  /** \param aNumber different for each session of a leader
   * \param aMaxLease maximum duration of a lease */
  WorkerSession(std::uint64_t aNumber,
                WorkerReport aReport,
                TimePoint aNow,
                std::chrono::milliseconds aMaxLease);

  /** Sets who is told of changes of the free resources; null for nobody. */
  void SetRoomListener(RoomListener* aListener) { mRoomListener = aListener; }

  const WorkerReport& Report() const { return mReport; }
  /** Replaces the report by a newer one of the same boot. */
  void Update(WorkerReport aReport) { mReport = std::move(aReport); }

  /** Records a reading of the worker's clock. The clock showed at least this
   * value at the given time. */
  void ObserveClock(WorkerTime aClock, TimePoint aAt);
  bool IsClockKnown() const { return mClockKnown; }
  /** Returns the lowest value that the worker's clock can show. */
  WorkerTime MinClockAt(TimePoint aNow) const;
  /** Grants a lease and returns its end on the worker's clock. */
  WorkerTime GrantLease(TimePoint aNow);
  /** Time by which all runs have ended unless a further lease is granted. */
  TimePoint LeaseBound() const { return mLeaseBound; }
  bool HasLeaseExpired(TimePoint aNow) const { return aNow > mLeaseBound; }
  /** Records that another leader may have granted a lease until now. */
  void AssumeLeaseGranted(TimePoint aNow);

  /** Adds a run and reserves its resources. */
  TrackedRun& Add(const TaskId& aTask, TrackedRun aRun);
  TrackedRun* Find(const TaskId& aTask);
  const TrackedRun* Find(const TaskId& aTask) const;
  void Remove(const TaskId& aTask);
  /** Sets the resources of a run once its job is known, so that it is no longer
   * an orphan. */
  void SetNeeds(TrackedRun& aRun, const Resources& aNeeds);
  /** Treats a run like one of another leader. */
  void Disown(TrackedRun& aRun);
  std::map<TaskId, TrackedRun>& Runs() { return mRuns; }
  const std::map<TaskId, TrackedRun>& Runs() const { return mRuns; }

  /** Returns whether the resources are available beside all runs that may
   * exist. Orphans, whose size is unknown, count as filling the worker. */
  bool HasRoomFor(const Resources& aNeeds) const
  {
    return mOrphanCount == 0 && aNeeds.FitsInto(Free());
  }
  Resources Free() const
  {
    const auto remaining = [](std::uint32_t aTotal, std::uint32_t aUsed) {
      return aTotal > aUsed ? aTotal - aUsed : 0;
    };
    const Resources& total = mReport.mCapacity;
    return { remaining(total.mMilliCores, mUsed.mMilliCores),
             remaining(total.mMemoryMegabytes, mUsed.mMemoryMegabytes),
             remaining(total.mAccelerators, mUsed.mAccelerators) };
  }
  /** Returns whether new runs may be started here if there is room. */
  bool IsUsable() const
  {
    return mRegistered && mHasReported && mFenceAccepted &&
           mUnansweredHolds == 0 && !mReport.mDraining && !mReport.mHasLeft;
  }

  /** Returns whether the worker has a run that was started on probation. */
  bool HasTrialRun() const
  {
    return mHealth.Trial() && mRuns.count(*mHealth.Trial()) != 0;
  }

  /** Records that another leader may control the worker, or that its clock or
   * run list is not known: its lists must be read again under the current
   * fence before it is used. */
  void RequireRead()
  {
    mFenceAccepted = false;
    mAreListsRead = false;
    mDoubtedUpToHold = mHoldsSent;
  }

  /** Returns whether a later boot may have taken the order to start a run. Such
   * a boot counts its ends anew, and must get no acknowledgement meant for this
   * one. */
  bool HasUnlocatedRuns() const;
  /** Ends the tracking of the runs that a later boot may have taken, and
   * returns them as that boot's runs. */
  std::map<TaskId, TrackedRun> TakeUnlocatedRuns();

  /** Returns the time by which the processed ends must be acknowledged, even if
   * the worker has no further runs. */
  TimePoint AcknowledgeBy() const;
  bool HasUnacknowledgedEnds() const
  {
    return LastAcknowledgeableEnd() > mLastAcknowledgedEnd;
  }

  /** Returns the highest end number that the worker may discard. */
  std::uint64_t LastAcknowledgeableEnd() const;

  IndexPosition mPosition;
  /** Time at which the WorkerTimers list the worker; unset if they do not. */
  std::optional<TimePoint> mDueAt;
  /** Cores that the leader counts as usable for this worker, in thousandths. */
  std::uint32_t mCountedMilliCores = 0;
  /** True once the registration is being stored. */
  bool mIsRegistering = false;
  /** True once the registration is stored, so that every later leader knows
   * that the worker may have runs. */
  bool mRegistered = false;
  /** Boot whose registration is stored, or being stored. */
  WorkerBoot mStoredBoot;
  /** False until the boot has reported. The report is then that of the boot
   * before, whose size and labels may differ. */
  bool mHasReported = true;
  /** Numbers of ends that are processed but not yet stored, or that a local
   * leader leaves to the elected one. */
  std::set<std::uint64_t> mUnstoredEnds;
  /** True once the worker has answered under this leader's fence. Orders of
   * earlier leaders have no effect from then on. */
  bool mFenceAccepted = false;
  /** True once the worker has also listed all ends of its runs. Until then, a
   * run that stands in neither list may have ended well. */
  bool mAreListsRead = false;
  /** Hold orders up to this number were sent before it came into doubt that the
   * worker follows this leader. Their answers do not prove that it does. */
  std::uint64_t mDoubtedUpToHold = 0;
  /** Incremented when another leader of the same term is found to control the
   * worker (see WorkerFence.h). */
  std::uint32_t mFenceRound = 0;
  /** Number of consecutive hold orders without an answer. */
  unsigned mUnansweredHolds = 0;
  bool mHoldInFlight = false;
  std::uint64_t mHoldsSent = 0;
  ListOrders mLists;
  TimePoint mNextHoldAt{};
  /** Highest end number that has been processed. */
  std::uint64_t mLastProcessedEnd = 0;
  /** Highest end number that has been acknowledged to the worker. */
  std::uint64_t mLastAcknowledgedEnd = 0;
  /** Time at which the oldest unacknowledged end was processed. */
  TimePoint mUnacknowledgedSince{};
  std::size_t mOrphanCount = 0;
  /** Time at which the first of the current orphans was found. */
  TimePoint mFirstOrphanAt{};
  WorkerHealth mHealth;
  /** Set by the RunTimeModel. */
  WorkerSpeed mSpeed;
  /** What the worker's clock showed when it made the list that is processed;
   * zero if earlier orders for a list were not answered. */
  WorkerTime mListedAtClock = 0;
  TimePoint mLastReport{};

private:
  std::chrono::milliseconds MaxLeaseOnLocalClock() const;
  void NotifyRoomChanged();

  WorkerReport mReport;
  const std::chrono::milliseconds mMaxLease;
  std::map<TaskId, TrackedRun> mRuns;
  Resources mUsed;
  RoomListener* mRoomListener = nullptr;
  bool mClockKnown = false;
  WorkerTime mClock = 0;
  TimePoint mClockAt{};
  TimePoint mLeaseBound{};
};

using WorkerSessions = std::map<WorkerId, WorkerSession>;

}

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "Base/EventLog.h"
#include "Dispatch/DispatchJob.h"
#include "Dispatch/PlacementWait.h"
#include "Dispatch/RunTimeModel.h"

namespace almondspoke::dispatch {

/** \brief Totals of the waits for a better place. */
struct PlacementWaitCounters
{
  std::uint64_t mBegun = 0;
  /** Ended since there was room at the better place. */
  std::uint64_t mEndedByRoom = 0;
  /** Ended since nothing more was to be gained. */
  std::uint64_t mEndedByTime = 0;
};

/** \brief Decides which tasks wait for a place that is better than the one
 * found for them: a faster tier, or the rack of their data.
 *
 * A wait is decided anew whenever the task is scheduled. Only which jobs wait
 * is kept, with the job, so that nothing remains of it under a new leader. */
class PlacementWaits
{
public:
  using TimePoint = Clock::Monotonic;

  PlacementWaits(RunTimeModel& aModel, EventLog& aLog);

  /** Begins a pass over the waiting jobs: the first of them that waits for a
   * place has it before the others. */
  void BeginPass() { mAhead.clear(); }
  /** Returns whether a task waits rather than starts at the worker that was
   * found for it. */
  bool MustWait(DispatchJob& aJob,
                const TaskId& aTask,
                const WorkerSession& aFound,
                TimePoint aNow);

  const PlacementWaitCounters& Counters() const { return mCounters; }

private:
  /** \brief A place that a task may wait for. */
  struct Place
  {
    const PoolSpeed* mPool = nullptr;
    /** Empty for a tier. */
    std::string mRack;
    SpeedTier mTier = 0;
    PlacementWait::Milliseconds mExpected{ 0 };
    std::optional<PlacementWait::Milliseconds> mUntilEnd;
  };

  /** Returns whether there can be a better place than a worker, at little cost.
   */
  bool MayBeBetterThan(const WorkerSession& aFound,
                       const DispatchJob& aJob,
                       const TaskId& aTask) const;
  std::optional<Place> BetterThan(const WorkerSession& aFound,
                                  const DispatchJob& aJob,
                                  const TaskId& aTask,
                                  TimePoint aNow);
  void End(DispatchJob& aJob,
           const TaskId& aTask,
           const WorkerSession& aFound,
           TimePoint aNow);

  RunTimeModel& mModel;
  EventLog& mLog;
  /** Tasks that wait for a place in this pass. */
  std::map<std::tuple<const PoolSpeed*, std::string, SpeedTier>, std::uint32_t>
    mAhead;
  PlacementWaitCounters mCounters;
};

}

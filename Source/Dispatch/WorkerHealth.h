#pragma once

#include <chrono>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief Whether a worker does what it starts: put aside after failures in a
 * row, for longer each time, and tried again with one run.
 *
 * Answers the load of workers that fail, hang or crawl while their reports say
 * that they are well: an instant failure frees its room at once and would
 * attract all the work. */
class WorkerHealth
{
public:
  using TimePoint = Clock::Monotonic;

  void RunSucceeded();
  /** A run failed, stood still or was far too slow. */
  void RunFailed(TimePoint aNow);

  bool IsQuarantined(TimePoint aNow) const { return aNow < mQuarantinedUntil; }
  /** True while at most one run may be tried here. */
  bool IsOnProbation() const { return mFailures >= kFailuresToQuarantine; }

private:
  static constexpr unsigned kFailuresToQuarantine = 2;

  unsigned mFailures = 0;
  TimePoint mQuarantinedUntil{};
};

}

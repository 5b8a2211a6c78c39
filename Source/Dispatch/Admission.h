#pragma once

#include <chrono>
#include <optional>

#include "Dispatch/DispatchJob.h"

namespace almondspoke::dispatch {

/** \brief What waits and what could serve it when a job comes in. */
struct Backlog
{
  /** Work that goes before the new job and has not begun, in
   * core-milliseconds. */
  double mCoreMsAhead = 0;
  /** All work that has not begun, in core-milliseconds. */
  double mCoreMsWaiting = 0;
  /** Cores of the workers that can take work. */
  double mUsableCores = 0;
};

/** \brief Decides at the door whether a job is taken.
 *
 * Answers the load of more work than the workers can do: a job that would wait
 * for longer than a part of its objective is refused at once, so that its
 * caller knows early and the work that was taken still ends in time. */
class Admission
{
public:
  /** Longest time that a job may wait for its first start. */
  static std::chrono::milliseconds MaxQueueTime(const DispatchJob& aJob);

  /** Nothing if the job is taken; else the time after which room is expected.
   * \param aJitter from 0 to 1, so that callers do not come back together */
  static std::optional<std::chrono::milliseconds> RetryDelayIfRefused(
    const DispatchJob& aJob,
    const Backlog& aBacklog,
    double aJitter);

  /** Time after which room is expected. */
  static std::chrono::milliseconds RetryDelay(const Backlog& aBacklog,
                                              double aJitter);
};

}

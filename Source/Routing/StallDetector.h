#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "Routing/Work.h"

namespace almondspoke {

/** \brief Finds attempts in progress that are taking so long that the
 * connection or the endpoint has probably stopped responding.
 *
 * Not thread-safe; the owner holds a lock. */
class StallDetector
{
public:
  using StallTime = std::optional<Clock::Monotonic>;

  /** Starts to watch an attempt.
   * \param aLongestRunTime longest usual run time of the work.
   * \return the time at which the attempt counts as stalled; nothing if it is
   *   not watched, because no time would be left for another attempt. */
  StallTime Watch(WorkId aId,
                  std::chrono::microseconds aLongestRunTime,
                  Clock::Monotonic aDeadline,
                  Clock::Monotonic aNow);

  /** Stops watching an attempt. aTime is the result of Watch(). */
  void Unwatch(WorkId aId, StallTime& aTime);

  /** Returns an attempt that counts as stalled at aNow. */
  std::optional<WorkId> FirstStalled(Clock::Monotonic aNow) const;

private:
  std::set<std::pair<Clock::Monotonic, WorkId>> mWatched;
};

}

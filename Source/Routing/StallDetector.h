#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "Routing/Work.h"

namespace almondspoke {

/** \brief Attempts in progress by the time at which they count as lost: their
 * connection is silent, or their endpoint hangs.
 *
 * Not thread-safe: its owner holds a lock. */
class StallDetector
{
public:
  using StallTime = std::optional<Clock::Monotonic>;

  /** Watches an attempt that starts now.
   * \param aLongest longest usual run time of the work.
   * \return when it counts as lost; nothing if it is not watched, as no time
   * would be left for another attempt. */
  StallTime Watch(WorkId aId,
                  std::chrono::microseconds aLongestRunTime,
                  Clock::Monotonic aDeadline,
                  Clock::Monotonic aNow);

  /** Ends the watch of an attempt; aTime is what Watch() returned. */
  void Unwatch(WorkId aId, StallTime& aTime);

  /** Returns an attempt that counts as lost by now. */
  std::optional<WorkId> FirstStalled(Clock::Monotonic aNow) const;

private:
  std::set<std::pair<Clock::Monotonic, WorkId>> mWatched;
};

}

#pragma once

#include <chrono>
#include <optional>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief Decides whether a task starts where there is room now, or waits for a
 * place where it runs faster. */
class PlacementWait
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = std::chrono::milliseconds;

  struct Inputs
  {
    TimePoint mNow{};
    /** Time by which the task should end. */
    TimePoint mDueAt{};
    /** Expected run time at the better place, and where there is room now. */
    Milliseconds mExpectedThere{ 0 };
    Milliseconds mExpectedHere{ 0 };
    /** Expected time until there is room at the better place; unset if it is
     * not known. */
    std::optional<Milliseconds> mUntilRoom;
    /** Time for the orders of a start and for the list with its end. */
    Milliseconds mOrderMargin{ 0 };
  };

  /** Returns the time up to which the task waits, or nothing if it starts now.
   *
   * A task that would be in time here never waits beyond the last moment for
   * that. Any other waits only while that makes it in time, or brings its end
   * forward. */
  static std::optional<TimePoint> Decide(const Inputs& aInputs);
};

}

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "Dispatch/SimulatedFleet.h"

namespace almondspoke::testing {

/** \brief A processor that handles messages one after another, each at a cost,
 * so that they wait for each other. */
class SimulatedProcessor
{
public:
  using Cost = std::chrono::microseconds;

  explicit SimulatedProcessor(SimulatedFleet& aFleet)
    : mFleet(aFleet)
  {
  }

  /** Calls a function once all earlier messages are handled and its own cost is
   * spent. */
  void Handle(Cost aCost, std::function<void()> aWhat)
  {
    Spend(aCost);
    mFleet.After(Backlog(), std::move(aWhat));
  }

  /** Lets all later messages wait for some more work. */
  void Spend(Cost aCost)
  {
    mBusyUntil = std::max(mBusyUntil, mFleet.Time().MonotonicNow()) + aCost;
    mSpent += aCost;
  }

  /** Returns the time until the messages so far are handled. */
  std::chrono::milliseconds Backlog()
  {
    const auto left = mBusyUntil - mFleet.Time().MonotonicNow();
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::ceil<std::chrono::milliseconds>(left));
  }

  Cost Spent() const { return mSpent; }

private:
  SimulatedFleet& mFleet;
  Clock::Monotonic mBusyUntil{};
  Cost mSpent{ 0 };
};

}

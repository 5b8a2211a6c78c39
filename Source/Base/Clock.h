#pragma once

#include <chrono>

namespace almondspoke {

/** \brief Interface through which every component reads the time.
 *
 * Leases, deadlines and timeouts must use MonotonicNow(). WallNow() is only for
 * rules that name a time of day and for timestamps. */
class Clock
{
public:
  using Monotonic = std::chrono::steady_clock::time_point;
  using Wall = std::chrono::system_clock::time_point;

  virtual ~Clock() = default;
  virtual Monotonic MonotonicNow() const = 0;
  virtual Wall WallNow() const = 0;
};

/** \brief The system clocks of the C++ standard library. */
class SystemClock : public Clock
{
public:
  Monotonic MonotonicNow() const override
  {
    return std::chrono::steady_clock::now();
  }
  Wall WallNow() const override { return std::chrono::system_clock::now(); }
};

}

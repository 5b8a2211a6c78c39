#pragma once

#include <ctime>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief A clock that also counts the time for which the machine is
 * suspended, so that leases end during a suspension.
 *
 * Its times differ from those of std::chrono::steady_clock after a suspension
 * and must not be mixed with them. */
class BootClock : public Clock
{
public:
  Monotonic MonotonicNow() const override
  {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Monotonic(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
  }
  Wall WallNow() const override { return std::chrono::system_clock::now(); }
};

}

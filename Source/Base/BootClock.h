#pragma once

#include <ctime>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief A clock that keeps advancing while the machine is suspended
 * (CLOCK_BOOTTIME), so that leases also expire during a suspension.
 *
 * After a suspension its times differ from those of std::chrono::steady_clock;
 * do not compare the two. */
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

#pragma once

#include <chrono>
#include <cstdint>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** Time in milliseconds on the monotonic clock of a coordinator, which keeps
 * advancing while the machine is suspended. Zero if it is not known. */
using PeerTime = std::int64_t;

/** Returns what a coordinator's own clock shows. */
inline PeerTime
PeerTimeOf(const Clock& aClock)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aClock.MonotonicNow().time_since_epoch())
    .count();
}

}

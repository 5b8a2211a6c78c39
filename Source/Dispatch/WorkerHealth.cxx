#include "Dispatch/WorkerHealth.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

constexpr std::chrono::milliseconds kFirstAside{ 1000 };
constexpr std::chrono::milliseconds kLongestAside{ 4000 };
constexpr unsigned kMaxDoublings = 4;

}

void
WorkerHealth::RunSucceeded()
{
  mFailures = 0;
  mAsideUntil = {};
}

void
WorkerHealth::RunFailed(TimePoint aNow)
{
  ++mFailures;
  if (mFailures < kFailuresToSetAside) {
    return;
  }
  const unsigned doublings =
    std::min(mFailures - kFailuresToSetAside, kMaxDoublings);
  mAsideUntil = aNow + std::min(kLongestAside, kFirstAside * (1U << doublings));
}

}

#include "Routing/StallDetector.h"

#include <algorithm>

namespace almondspoke {

namespace {

// An attempt counts as stalled after this multiple of the longest usual run
// time. The factor is large so that few long tasks run twice.
constexpr int kStallFactor = 5;
constexpr std::chrono::seconds kMinStallTimeout(1);

}

StallDetector::StallTime
StallDetector::Watch(WorkId aId,
                     std::chrono::microseconds aLongestRunTime,
                     Clock::Monotonic aDeadline,
                     Clock::Monotonic aNow)
{
  const auto stallTimeout = std::max<std::chrono::microseconds>(
    aLongestRunTime * kStallFactor, kMinStallTimeout);
  const Clock::Monotonic stalledAt = aNow + stallTimeout;
  if (stalledAt + aLongestRunTime >= aDeadline) {
    return std::nullopt;
  }
  mWatched.emplace(stalledAt, aId);
  return stalledAt;
}

void
StallDetector::Unwatch(WorkId aId, StallTime& aTime)
{
  if (aTime) {
    mWatched.erase({ *aTime, aId });
    aTime.reset();
  }
}

std::optional<WorkId>
StallDetector::FirstStalled(Clock::Monotonic aNow) const
{
  if (mWatched.empty() || mWatched.begin()->first > aNow) {
    return std::nullopt;
  }
  return mWatched.begin()->second;
}

}

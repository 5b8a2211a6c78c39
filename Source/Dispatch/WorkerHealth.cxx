#include "Dispatch/WorkerHealth.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

constexpr std::chrono::milliseconds kInitialQuarantine{ 1000 };
constexpr std::chrono::milliseconds kMaxQuarantine{ 4000 };
constexpr unsigned kMaxDoublings = 4;

}

void
WorkerHealth::RunSucceeded()
{
  mConsecutiveFailures = 0;
  mQuarantinedUntil = {};
  mTrial.reset();
}

void
WorkerHealth::RunFailed(TimePoint aNow)
{
  ++mConsecutiveFailures;
  if (mConsecutiveFailures < kFailuresToQuarantine) {
    return;
  }
  const unsigned doublings =
    std::min(mConsecutiveFailures - kFailuresToQuarantine, kMaxDoublings);
  mQuarantinedUntil =
    aNow + std::min(kMaxQuarantine, kInitialQuarantine * (1U << doublings));
}

}

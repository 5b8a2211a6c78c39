#include "Jobs/OvercommitPolicy.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace almondspoke {

namespace {

// Utilization above which a worker counts as overcommitted.
constexpr double kOvercommitThreshold = 1.05;

bool
IsOvercommitted(const Resources& aCapacity, const UsageReport& aUsage)
{
  return aUsage.mCoresUsed > aCapacity.mCores * kOvercommitThreshold ||
         static_cast<double>(aUsage.mMemoryUsedBytes) >
           static_cast<double>(aCapacity.mMemoryBytes) * kOvercommitThreshold;
}

OvercommitAction
NextAction(OvercommitAction aAction)
{
  return aAction == OvercommitAction::Throttle ? OvercommitAction::Checkpoint
                                               : OvercommitAction::Stop;
}

}

std::optional<OvercommitStep>
OvercommitPolicy::Decide(const EndpointName& aWorker,
                         const Resources& aCapacity,
                         const UsageReport& aUsage,
                         const std::vector<RunningTask>& aTasks)
{
  WorkerState& state = mWorkers[aWorker];
  if (aUsage.mMeasuredAtMilliseconds <= state.mLastReportMs) {
    return std::nullopt;
  }
  state.mLastReportMs = aUsage.mMeasuredAtMilliseconds;
  if (!IsOvercommitted(aCapacity, aUsage) || aTasks.empty()) {
    state.mAttemptId.clear();
    return std::nullopt;
  }
  const auto target = std::max_element(
    aTasks.begin(),
    aTasks.end(),
    [](const RunningTask& aLeft, const RunningTask& aRight) {
      return std::tie(aLeft.mUrgency, aLeft.mStartedAtMs, aLeft.mAttemptId) <
             std::tie(aRight.mUrgency, aRight.mStartedAtMs, aRight.mAttemptId);
    });
  const auto same = std::find_if(
    aTasks.begin(), aTasks.end(), [&state](const RunningTask& aTask) {
      return aTask.mAttemptId == state.mAttemptId;
    });
  OvercommitStep step;
  if (same == aTasks.end()) {
    step = { OvercommitAction::Throttle, target->mAttemptId };
  } else {
    step = { NextAction(state.mLastAction), state.mAttemptId };
  }
  state.mAttemptId = step.mAttemptId;
  state.mLastAction = step.mAction;
  return step;
}

void
OvercommitPolicy::RemoveWorker(const EndpointName& aWorker)
{
  mWorkers.erase(aWorker);
}

}

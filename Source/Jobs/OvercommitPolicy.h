#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Jobs/Resources.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** \brief Actions on a task of an overcommitted worker, in the order in which
 * they are tried. */
enum class OvercommitAction
{
  Throttle,
  Checkpoint,
  Stop
};

/** \brief The data of a running task that the policy uses. */
struct RunningTask
{
  std::string mAttemptId;
  /** Lower is more urgent. */
  int mUrgency = 0;
  std::int64_t mStartedAtMs = 0;
};

/** \brief An action to take on one task. */
struct OvercommitStep
{
  OvercommitAction mAction = OvercommitAction::Throttle;
  std::string mAttemptId;
};

/** \brief Decides what to do when the usage of a worker exceeds its capacity:
 * throttle a task, then checkpoint it, then stop it.
 *
 * Acts on the least urgent task, and among equally urgent ones on the last
 * started. Acts at most once for each usage report, so that a delayed report
 * does not cause several actions. */
class OvercommitPolicy
{
public:
  /** Returns the action to take after a usage report. Returns nothing if the
   * worker is within its capacity, runs no task of this instance, or the report
   * was handled before. */
  std::optional<OvercommitStep> Decide(const EndpointName& aWorker,
                                       const Resources& aCapacity,
                                       const UsageReport& aUsage,
                                       const std::vector<RunningTask>& aTasks);

  /** Discards the state of a worker that runs no task of this instance. */
  void RemoveWorker(const EndpointName& aWorker);

private:
  struct WorkerState
  {
    std::int64_t mLastReportMs = 0;
    std::string mAttemptId;
    OvercommitAction mLastAction = OvercommitAction::Throttle;
  };

  std::map<EndpointName, WorkerState> mWorkers;
};

}

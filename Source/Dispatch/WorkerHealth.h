#pragma once

#include <chrono>
#include <optional>

#include "Base/Clock.h"
#include "Dispatch/JobSubmission.h"

namespace almondspoke::dispatch {

/** \brief Tracks failures of a worker and quarantines it.
 *
 * After consecutive failures, the worker gets no runs for a time that doubles
 * with each further failure, and is then tried with a single run. This handles
 * workers that fail, hang or are slow although their reports say that they are
 * healthy: a worker that fails its runs immediately always has free resources
 * and would otherwise attract all tasks. */
class WorkerHealth
{
public:
  using TimePoint = Clock::Monotonic;

  void RunSucceeded();
  /** Records a run that failed, made no progress or was far too slow. */
  void RunFailed(TimePoint aNow);

  bool IsQuarantined(TimePoint aNow) const { return aNow < mQuarantinedUntil; }
  /** End of the quarantine; in the past if there is none. */
  TimePoint QuarantinedUntil() const { return mQuarantinedUntil; }
  /** True while the worker may get one run at a time, as a trial. Runs that it
   * had before do not count. */
  bool IsOnProbation() const
  {
    return mConsecutiveFailures >= kFailuresToQuarantine;
  }

  /** Records that a run was started during the probation. */
  void BeginTrial(const TaskId& aTask) { mTrial = aTask; }
  /** Task of the latest run that was started during the probation. */
  const std::optional<TaskId>& Trial() const { return mTrial; }

private:
  static constexpr unsigned kFailuresToQuarantine = 2;

  unsigned mConsecutiveFailures = 0;
  TimePoint mQuarantinedUntil{};
  std::optional<TaskId> mTrial;
};

}

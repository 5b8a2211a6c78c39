#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

#include "Dispatch/DispatchJob.h"
#include "Dispatch/WorkerSession.h"

namespace almondspoke::testing {

/** \brief Chooses the worker for a task by a walk over all workers.
 *
 * What the WorkerIndex must agree with, and the baseline of its cost. */
class PlacementWalk
{
public:
  using TimePoint = Clock::Monotonic;

  /** \brief How little a worker suits a task. */
  struct Cost
  {
    bool mIsAvoided = false;
    bool mIsFarFromData = false;
    bool mIsCold = false;
    std::uint32_t mMilliCoresLeft = 0;

    bool operator==(const Cost& aOther) const
    {
      return Tied() == aOther.Tied();
    }
    bool operator<(const Cost& aOther) const { return Tied() < aOther.Tied(); }
    std::tuple<bool, bool, bool, std::uint32_t> Tied() const
    {
      return { mIsAvoided, mIsFarFromData, mIsCold, mMilliCoresLeft };
    }
  };

  static dispatch::WorkerSession* Choose(dispatch::WorkerSessions& aWorkers,
                                         const dispatch::DispatchJob& aJob,
                                         const dispatch::TaskId& aTask,
                                         TimePoint aNow)
  {
    dispatch::WorkerSession* best = nullptr;
    Cost bestCost;
    for (auto& [id, worker] : aWorkers) {
      if (!IsAllowed(worker, aJob, aTask, aNow)) {
        continue;
      }
      const Cost cost = CostOf(worker, aJob, aTask);
      if (best == nullptr || cost < bestCost) {
        best = &worker;
        bestCost = cost;
      }
    }
    return best;
  }

  static Cost CostOf(const dispatch::WorkerSession& aWorker,
                     const dispatch::DispatchJob& aJob,
                     const dispatch::TaskId& aTask)
  {
    const dispatch::StepSpec& step = aJob.Step(aTask);
    const auto& failedOn = aJob.mSteps[aTask.mStep][aTask.mIndex].mFailedOn;
    const dispatch::WorkerReport& report = aWorker.Report();
    Cost cost;
    cost.mIsAvoided =
      std::find(failedOn.begin(), failedOn.end(), report.mBoot.mId) !=
      failedOn.end();
    cost.mIsFarFromData =
      !step.mDataRack.empty() && !HasLabel(report, step.mDataRack);
    cost.mIsCold = report.mWarmUpRemainingMs > 0;
    cost.mMilliCoresLeft = aWorker.Free().mMilliCores - step.mNeeds.mMilliCores;
    return cost;
  }

  static bool IsAllowed(const dispatch::WorkerSession& aWorker,
                        const dispatch::DispatchJob& aJob,
                        const dispatch::TaskId& aTask,
                        TimePoint aNow)
  {
    const dispatch::StepSpec& step = aJob.Step(aTask);
    if (!aWorker.HasRoomFor(step.mNeeds) || !aWorker.IsUsable() ||
        aWorker.Report().mPool != aJob.mQueue.mPool ||
        !HasLabel(aWorker.Report(), step.mRequiredLabel)) {
      return false;
    }
    if (step.mMaxPerWorker > 0 &&
        CountRunsOfStep(aWorker, aTask) >= step.mMaxPerWorker) {
      return false;
    }
    if (aWorker.mHealth.IsQuarantined(aNow)) {
      return false;
    }
    return !aWorker.mHealth.IsOnProbation() || !aWorker.HasTrialRun();
  }

private:
  static bool HasLabel(const dispatch::WorkerReport& aReport,
                       const std::string& aLabel)
  {
    return aLabel.empty() ||
           std::find(aReport.mLabels.begin(), aReport.mLabels.end(), aLabel) !=
             aReport.mLabels.end();
  }

  static std::size_t CountRunsOfStep(const dispatch::WorkerSession& aWorker,
                                     const dispatch::TaskId& aTask)
  {
    const auto& runs = aWorker.Runs();
    return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const auto& aEntry) {
        return aEntry.first.mJob == aTask.mJob &&
               aEntry.first.mOccurrence == aTask.mOccurrence &&
               aEntry.first.mStep == aTask.mStep;
      }));
  }
};

}

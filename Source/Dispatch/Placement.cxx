#include "Dispatch/Placement.h"

#include <algorithm>
#include <tuple>

namespace almondspoke::dispatch {

namespace {

bool
HasLabel(const WorkerReport& aReport, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::find(aReport.mLabels.begin(), aReport.mLabels.end(), aLabel) !=
           aReport.mLabels.end();
}

std::size_t
CountRunsOfStep(const WorkerSession& aWorker, const TaskId& aTask)
{
  const auto first = aWorker.Runs().lower_bound(
    { aTask.mJob, aTask.mOccurrence, aTask.mStep, 0 });
  std::size_t count = 0;
  for (auto run = first; run != aWorker.Runs().end(); ++run) {
    const bool same = run->first.mJob == aTask.mJob &&
                      run->first.mOccurrence == aTask.mOccurrence &&
                      run->first.mStep == aTask.mStep;
    if (!same) {
      break;
    }
    ++count;
  }
  return count;
}

}

bool
Placement::Cost::operator<(const Cost& aOther) const
{
  return std::tie(mIsAvoided, mFarFromData, mIsCold, mMilliCoresLeft) <
         std::tie(aOther.mIsAvoided,
                  aOther.mFarFromData,
                  aOther.mIsCold,
                  aOther.mMilliCoresLeft);
}

bool
Placement::IsAllowed(const WorkerSession& aWorker,
                     const DispatchJob& aJob,
                     const TaskId& aTask,
                     Clock::Monotonic aNow)
{
  const StepSpec& step = aJob.Step(aTask);
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
  return !aWorker.mHealth.IsOnProbation() || aWorker.Runs().empty();
}

Placement::Cost
Placement::CostOf(const WorkerSession& aWorker,
                  const DispatchJob& aJob,
                  const TaskId& aTask)
{
  const StepSpec& step = aJob.Step(aTask);
  const DispatchTask& task = aJob.mSteps[aTask.mStep][aTask.mIndex];
  const WorkerReport& report = aWorker.Report();
  Cost cost;
  cost.mIsAvoided =
    std::find(task.mFailedOn.begin(), task.mFailedOn.end(), report.mBoot.mId) !=
    task.mFailedOn.end();
  cost.mFarFromData =
    !step.mDataRack.empty() && !HasLabel(report, step.mDataRack);
  cost.mIsCold = report.mWarmUpRemainingMs > 0;
  cost.mMilliCoresLeft = aWorker.Free().mMilliCores - step.mNeeds.mMilliCores;
  return cost;
}

std::vector<WorkerSession*>
Placement::Candidates(WorkerSessions& aWorkers,
                      const DispatchJob& aJob,
                      const TaskId& aTask,
                      Clock::Monotonic aNow)
{
  std::vector<WorkerSession*> candidates;
  for (auto& [id, worker] : aWorkers) {
    if (IsAllowed(worker, aJob, aTask, aNow)) {
      candidates.push_back(&worker);
    }
  }
  return candidates;
}

WorkerSession*
Placement::Choose(const std::vector<WorkerSession*>& aCandidates,
                  const DispatchJob& aJob,
                  const TaskId& aTask,
                  Clock::Monotonic aNow)
{
  WorkerSession* best = nullptr;
  Cost bestCost;
  for (WorkerSession* worker : aCandidates) {
    if (!IsAllowed(*worker, aJob, aTask, aNow)) {
      continue;
    }
    const Cost cost = CostOf(*worker, aJob, aTask);
    if (best == nullptr || cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}

}

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
Placement::PlacementCost::operator<(const PlacementCost& aOther) const
{
  return std::tie(mFailedOn, mFarFromData, mIsCold, mMilliCoresLeft) <
         std::tie(aOther.mFailedOn,
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

Placement::PlacementCost
Placement::CostOf(const WorkerSession& aWorker,
                  const DispatchJob& aJob,
                  const TaskId& aTask)
{
  const StepSpec& step = aJob.Step(aTask);
  const DispatchTask& task = aJob.mSteps[aTask.mStep][aTask.mIndex];
  const WorkerReport& report = aWorker.Report();
  PlacementCost fit;
  fit.mFailedOn =
    std::find(task.mFailedOn.begin(), task.mFailedOn.end(), report.mBoot.mId) !=
    task.mFailedOn.end();
  fit.mFarFromData =
    !step.mDataRack.empty() && !HasLabel(report, step.mDataRack);
  fit.mIsCold = report.mColdMs > 0;
  fit.mMilliCoresLeft = aWorker.Free().mMilliCores - step.mNeeds.mMilliCores;
  return fit;
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
  PlacementCost bestFit;
  for (WorkerSession* worker : aCandidates) {
    if (!IsAllowed(*worker, aJob, aTask, aNow)) {
      continue;
    }
    const PlacementCost fit = CostOf(*worker, aJob, aTask);
    if (best == nullptr || fit < bestFit) {
      best = worker;
      bestFit = fit;
    }
  }
  return best;
}

}

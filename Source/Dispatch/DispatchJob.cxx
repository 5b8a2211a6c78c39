#include "Dispatch/DispatchJob.h"

namespace almondspoke::dispatch {

double
DispatchJob::WaitingCoreMs() const
{
  if (mSteps.size() == 1) {
    const StepSpec& only = mSubmission.mSteps.front();
    constexpr double kMilli = 1000.0;
    return static_cast<double>(mReadyTaskCount) * only.mNeeds.mMilliCores *
           only.mEstimateMs / kMilli;
  }
  double work = 0;
  for (std::size_t step = 0; step < mSteps.size(); ++step) {
    const StepSpec& spec = mSubmission.mSteps[step];
    std::size_t waiting = 0;
    for (const DispatchTask& task : mSteps[step]) {
      waiting +=
        task.mPhase == TaskPhase::Ready || task.mPhase == TaskPhase::Blocked
          ? 1
          : 0;
    }
    work +=
      static_cast<double>(waiting) * spec.mNeeds.mMilliCores * spec.mEstimateMs;
  }
  constexpr double kMilliCoresOfCore = 1000.0;
  return work / kMilliCoresOfCore;
}

}

#include "Dispatch/DispatchJob.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace almondspoke::dispatch {

namespace {

std::uint64_t
WorkOfTask(const StepSpec& aStep)
{
  return std::uint64_t{ aStep.mNeeds.mMilliCores } * aStep.mEstimateMs;
}

}

PlacementClass
PlacementClassOf(const PoolName& aPool, const std::vector<StepSpec>& aSteps)
{
  std::set<std::string> labels;
  for (const StepSpec& step : aSteps) {
    if (!step.mRequiredLabel.empty()) {
      labels.insert(step.mRequiredLabel);
    }
  }
  return { aPool, { labels.begin(), labels.end() } };
}

std::chrono::milliseconds
LongestPathAfter(const JobSubmission& aJob, std::uint32_t aStep)
{
  using std::chrono::milliseconds;
  std::vector<milliseconds> paths(aJob.mSteps.size());
  // Steps depend on earlier ones only.
  for (std::size_t step = aJob.mSteps.size(); step-- > aStep + 1;) {
    const StepSpec& spec = aJob.mSteps[step];
    for (const std::uint32_t before : spec.mDependsOn) {
      paths[before] =
        std::max(paths[before], paths[step] + milliseconds(spec.mEstimateMs));
    }
  }
  return paths[aStep];
}

std::uint32_t
SizeStepOf(const std::vector<StepSpec>& aSteps)
{
  constexpr double kStepsPerDoubling = 6;
  std::uint32_t largest = 1;
  for (const StepSpec& step : aSteps) {
    largest = std::max(largest, step.mNeeds.mMilliCores);
  }
  return static_cast<std::uint32_t>(std::log2(largest) * kStepsPerDoubling);
}

std::size_t
DispatchJob::WaitersAt(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    mWaitingCalls.begin(), mWaitingCalls.end(), [aNow](const auto& aCall) {
      return aCall.second > aNow;
    }));
}

std::uint64_t
DispatchJob::WaitingWork() const
{
  if (mSteps.size() == 1) {
    return mReadyTaskCount * WorkOfTask(mSubmission.mSteps.front());
  }
  std::uint64_t work = 0;
  for (std::size_t step = 0; step < mSteps.size(); ++step) {
    std::size_t waiting = 0;
    for (const DispatchTask& task : mSteps[step]) {
      waiting +=
        task.mPhase == TaskPhase::Ready || task.mPhase == TaskPhase::Blocked
          ? 1
          : 0;
    }
    work += waiting * WorkOfTask(mSubmission.mSteps[step]);
  }
  return work;
}

}

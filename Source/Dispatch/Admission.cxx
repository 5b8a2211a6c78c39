#include "Dispatch/Admission.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Part of its objective that a job may wait for its first start. A caller
 * that is refused after it has lost time it could have used elsewhere. */
constexpr int kPatienceDivisor = 5;

/** Part of the cores that work fills; the rest is lost to tasks that do not
 * fit into what is left of a worker. */
constexpr double kUsableShare = 0.8;

constexpr milliseconds kShortestRetry{ 200 };
constexpr milliseconds kLongestRetry{ 5000 };

}

milliseconds
Admission::PatienceOf(const DispatchJob& aJob)
{
  return std::chrono::duration_cast<milliseconds>(aJob.mObjective -
                                                  aJob.mArrived) /
         kPatienceDivisor;
}

std::optional<milliseconds>
Admission::RefusalOf(const DispatchJob& aJob,
                     const Backlog& aBacklog,
                     double aSpread)
{
  if (aBacklog.mCores <= 0) {
    return RetryAfter(aBacklog, aSpread);
  }
  const double wait = aBacklog.mWorkAhead / (aBacklog.mCores * kUsableShare);
  if (wait <= static_cast<double>(PatienceOf(aJob).count())) {
    return std::nullopt;
  }
  return RetryAfter(aBacklog, aSpread);
}

milliseconds
Admission::RetryAfter(const Backlog& aBacklog, double aSpread)
{
  const double cores = aBacklog.mCores * kUsableShare;
  const double clear = cores > 0 ? aBacklog.mWorkWaiting / cores
                                 : static_cast<double>(kShortestRetry.count());
  const double spread = clear * (1.0 + aSpread);
  const auto wait = milliseconds(static_cast<std::int64_t>(
    std::min(spread, static_cast<double>(kLongestRetry.count()))));
  return std::max(kShortestRetry, wait);
}

}

#include "Dispatch/Admission.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Part of its objective that a job may wait for its first start. A caller
 * that is refused after it has lost time it could have used elsewhere. */
constexpr int kMaxQueueTimeDivisor = 5;

/** Part of the cores that work fills; the rest is lost to tasks that do not
 * fit into what is left of a worker. */
constexpr double kUsableCoreFraction = 0.8;

constexpr milliseconds kMinRetryDelay{ 200 };
constexpr milliseconds kMaxRetryDelay{ 5000 };

}

milliseconds
Admission::MaxQueueTime(const DispatchJob& aJob)
{
  return std::chrono::duration_cast<milliseconds>(aJob.mDueAt -
                                                  aJob.mArrivedAt) /
         kMaxQueueTimeDivisor;
}

std::optional<milliseconds>
Admission::RetryDelayIfRefused(const DispatchJob& aJob,
                               const Backlog& aBacklog,
                               double aJitter)
{
  if (aBacklog.mUsableCores <= 0) {
    return RetryDelay(aBacklog, aJitter);
  }
  const double wait =
    aBacklog.mCoreMsAhead / (aBacklog.mUsableCores * kUsableCoreFraction);
  if (wait <= static_cast<double>(MaxQueueTime(aJob).count())) {
    return std::nullopt;
  }
  return RetryDelay(aBacklog, aJitter);
}

milliseconds
Admission::RetryDelay(const Backlog& aBacklog, double aJitter)
{
  const double cores = aBacklog.mUsableCores * kUsableCoreFraction;
  const double clear = cores > 0 ? aBacklog.mCoreMsWaiting / cores
                                 : static_cast<double>(kMinRetryDelay.count());
  const double spread = clear * (1.0 + aJitter);
  const auto wait = milliseconds(static_cast<std::int64_t>(
    std::min(spread, static_cast<double>(kMaxRetryDelay.count()))));
  return std::max(kMinRetryDelay, wait);
}

}

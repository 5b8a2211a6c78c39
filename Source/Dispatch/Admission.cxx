#include "Dispatch/Admission.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Longest queue time of a job: the time between arrival and objective, divided
 * by this. Refusing a job later would cost its caller time that it could use
 * elsewhere. */
constexpr int kMaxQueueTimeDivisor = 5;

/** A best-effort job is given up after this multiple of the time to its
 * objective. */
constexpr int kGiveUpAfterObjectives = 3;

}

milliseconds
Admission::MaxQueueTime(const DispatchJob& aJob)
{
  return std::chrono::duration_cast<milliseconds>(aJob.mDueAt -
                                                  aJob.mArrivedAt) /
         kMaxQueueTimeDivisor;
}

DispatchJob::TimePoint
Admission::GiveUpTime(const DispatchJob& aJob)
{
  return aJob.mArrivedAt +
         (aJob.mDueAt - aJob.mArrivedAt) * kGiveUpAfterObjectives;
}

std::optional<milliseconds>
Admission::RetryDelayIfRefused(const DispatchJob& aJob,
                               const Backlog& aBacklog,
                               double aJitter)
{
  if (aBacklog.mUsableCores <= 0) {
    return RetryDelay(aBacklog, aJitter);
  }
  const double queueTime =
    aBacklog.mCoreMsAhead / (aBacklog.mUsableCores * kUsableCoreFraction);
  if (queueTime <= static_cast<double>(MaxQueueTime(aJob).count())) {
    return std::nullopt;
  }
  return RetryDelay(aBacklog, aJitter);
}

milliseconds
Admission::RetryDelayOfOverload(double aJitter)
{
  constexpr milliseconds kOverloadRetryDelay{ 1000 };
  return std::chrono::duration_cast<milliseconds>(kOverloadRetryDelay *
                                                  (1.0 + aJitter));
}

milliseconds
Admission::RetryDelay(const Backlog& aBacklog, double aJitter)
{
  const double cores = aBacklog.mUsableCores * kUsableCoreFraction;
  const double processingTime = cores > 0
                                  ? aBacklog.mCoreMsWaiting / cores
                                  : static_cast<double>(kMinRetryDelay.count());
  const double jittered = processingTime * (1.0 + aJitter);
  const auto delay = milliseconds(static_cast<std::int64_t>(
    std::min(jittered, static_cast<double>(kMaxRetryDelay.count()))));
  return std::max(kMinRetryDelay, delay);
}

}

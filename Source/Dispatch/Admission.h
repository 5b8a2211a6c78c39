#pragma once

#include <chrono>
#include <optional>

#include "Dispatch/DispatchJob.h"

namespace almondspoke::dispatch {

/** \brief Queued work and available cores at the time at which a job arrives.
 */
struct Backlog
{
  /** Work that is scheduled before the new job and has not started, in
   * core-milliseconds. */
  double mCoreMsAhead = 0;
  /** All work that has not started, in core-milliseconds. */
  double mCoreMsWaiting = 0;
  /** Cores of the workers that accept new work. */
  double mUsableCores = 0;
};

/** \brief Decides on arrival whether a job is accepted.
 *
 * Protects against overload: a job whose estimated queue time exceeds a
 * fraction of the time to its objective is refused immediately. Its caller
 * learns early that it has to try elsewhere, and the accepted jobs still end in
 * time. */
class Admission
{
public:
  /** Fraction of the cores that tasks can use; the rest is lost to
   * fragmentation, since tasks do not always fit into the remaining room of a
   * worker. */
  static constexpr double kUsableCoreFraction = 0.8;
  static constexpr std::chrono::milliseconds kMinRetryDelay{ 200 };
  static constexpr std::chrono::milliseconds kMaxRetryDelay{ 5000 };

  /** Returns the longest time that a job may wait for its first start. */
  static std::chrono::milliseconds MaxQueueTime(const DispatchJob& aJob);

  /** Returns the time after which a job that waits is given up, since its
   * result is of no use by then. */
  static DispatchJob::TimePoint GiveUpTime(const DispatchJob& aJob);

  /** Returns nullopt if the job is accepted, otherwise the time after which the
   * caller should try again.
   * \param aJitter random number from 0 to 1 that spreads the retries of
   *        several callers */
  static std::optional<std::chrono::milliseconds> RetryDelayIfRefused(
    const DispatchJob& aJob,
    const Backlog& aBacklog,
    double aJitter);

  /** Returns the delay after which a job that was refused for overload of the
   * leader should be tried again.
   * \param aJitter random number from 0 to 1 */
  static std::chrono::milliseconds RetryDelayOfOverload(double aJitter);

  /** Estimates the time until the backlog is processed. */
  static std::chrono::milliseconds RetryDelay(const Backlog& aBacklog,
                                              double aJitter);
};

}

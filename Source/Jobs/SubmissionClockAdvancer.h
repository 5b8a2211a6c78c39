#pragma once

#include <chrono>
#include <mutex>
#include <optional>

#include "Base/Clock.h"
#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

class Replicator;

/** \brief Advances the replicated clock of a submission group while this
 * instance leads the group, and replicates the group's limits.
 *
 * Periodically proposes the time elapsed by the local monotonic clock. Time
 * without a leader is not counted, so answers may be stored for longer than
 * configured, but not for less. Thread-safe. */
class SubmissionClockAdvancer
{
public:
  SubmissionClockAdvancer(
    Replicator& aReplicator,
    const Clock& aClock,
    const SubmissionLimits& aLimits,
    std::chrono::milliseconds aPeriod = std::chrono::seconds(10));

  /** Proposes the elapsed time when due; to be called at least once per
   * period. */
  void Tick();

private:
  Replicator& mReplicator;
  const Clock& mClock;
  const SubmissionLimits mLimits;
  const std::chrono::milliseconds mPeriod;
  std::mutex mMutex;
  /** Time up to which this leader has proposed elapsed time. */
  std::optional<Clock::Monotonic> mCountedUntil;
  /** Whether this leader has proposed the limits. */
  bool mHasProposedLimits = false;
};

}

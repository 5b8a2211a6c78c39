#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "Dispatch/RunTimeModel.h"
#include "Dispatch/WorkerSpeed.h"

namespace almondspoke::dispatch {

/** \brief The tiers of a pool that have workers, in the order in which a task
 * should look for a place.
 *
 * The tiers in which the task is expected to end in time come first, the
 * slowest of them before the others, so that fast workers remain available for
 * tasks that need one. In the rest the task is late: the fastest comes first.
 */
class TierOrder
{
public:
  using Milliseconds = std::chrono::milliseconds;
  /** Expected run time of the task by tier, the fastest tier first. */
  using ExpectedTimes = std::array<Milliseconds, kSpeedTiers>;

  /** The order of a pool whose workers are all in one tier. */
  explicit TierOrder(SpeedTier aOnly = 0);
  /** \param aTimeLeft time until the task should end */
  TierOrder(const PoolSpeed& aPool,
            const ExpectedTimes& aExpected,
            Milliseconds aTimeLeft);

  /** The tiers in the order of preference. */
  const SpeedTier* begin() const { return mTiers.data(); }
  const SpeedTier* end() const { return mTiers.data() + mCount; }
  /** End of the tiers in which the task is expected to end in time. */
  const SpeedTier* InTimeEnd() const { return mTiers.data() + mInTime; }

  /** Returns whether a run is expected to end in time, with an allowance for
   * the spread of run times and for the orders. */
  static bool IsInTime(Milliseconds aExpected, Milliseconds aTimeLeft);

private:
  std::array<SpeedTier, kSpeedTiers> mTiers{};
  std::size_t mCount = 0;
  std::size_t mInTime = 0;
};

}

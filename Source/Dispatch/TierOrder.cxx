#include "Dispatch/TierOrder.h"

namespace almondspoke::dispatch {

namespace {

/** Allowance for the spread of run times, in percent of the expected one. */
constexpr int kSpreadAllowancePercent = 25;
/** Time that an order and the list with the end of the run take. */
constexpr TierOrder::Milliseconds kOrderAllowance{ 20 };

constexpr int kHundredPercent = 100;

}

TierOrder::TierOrder(SpeedTier aOnly)
  : mCount(1)
{
  mTiers.front() = aOnly;
}

TierOrder::TierOrder(const PoolSpeed& aPool,
                     const ExpectedTimes& aExpected,
                     Milliseconds aTimeLeft)
{
  const auto isInTime = [&](SpeedTier aTier) {
    return IsInTime(aExpected[static_cast<std::size_t>(aTier + kMaxSpeedTier)],
                    aTimeLeft);
  };
  for (SpeedTier tier = kMaxSpeedTier; tier >= -kMaxSpeedTier; --tier) {
    if (aPool.At(tier).mWorkers > 0 && isInTime(tier)) {
      mTiers[mCount++] = tier;
    }
  }
  mInTime = mCount;
  for (SpeedTier tier = -kMaxSpeedTier; tier <= kMaxSpeedTier; ++tier) {
    if (aPool.At(tier).mWorkers > 0 && !isInTime(tier)) {
      mTiers[mCount++] = tier;
    }
  }
}

bool
TierOrder::IsInTime(Milliseconds aExpected, Milliseconds aTimeLeft)
{
  return aExpected * (kHundredPercent + kSpreadAllowancePercent) /
             kHundredPercent +
           kOrderAllowance <=
         aTimeLeft;
}

}

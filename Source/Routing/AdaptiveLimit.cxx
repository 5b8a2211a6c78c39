#include "Routing/AdaptiveLimit.h"

#include <algorithm>
#include <cmath>

namespace almondspoke {

namespace {

// An attempt longer than the high quantile times this factor is a sign of
// overload.
constexpr int kOverloadFactor = 3;
constexpr double kDecreaseFactor = 0.75;
constexpr double kMinLimit = 1;

}

AdaptiveLimit::AdaptiveLimit(std::uint32_t aSlots)
  : mSlots(std::max<double>(aSlots, kMinLimit))
  , mLimit(mSlots)
{
}

void
AdaptiveLimit::SetSlots(std::uint32_t aSlots)
{
  const double slots = std::max<double>(aSlots, kMinLimit);
  // A limit at its upper bound follows the number of slots.
  mLimit = mLimit >= mSlots ? slots : std::min(mLimit, slots);
  mSlots = slots;
}

void
AdaptiveLimit::RecordSuccess(std::chrono::microseconds aElapsed,
                             std::chrono::microseconds aHighQuantile)
{
  if (aElapsed > aHighQuantile * kOverloadFactor) {
    // A single long attempt may just be a long task; two in a row indicate
    // overload.
    if (mWasLastAttemptLong) {
      Decrease();
    }
    mWasLastAttemptLong = true;
    return;
  }
  mWasLastAttemptLong = false;
  mAttemptsUntilDecrease -= mAttemptsUntilDecrease > 0 ? 1 : 0;
  mLimit = std::min(mLimit + 1 / mLimit, mSlots);
}

void
AdaptiveLimit::RecordFault()
{
  Decrease();
}

void
AdaptiveLimit::Decrease()
{
  if (mAttemptsUntilDecrease > 0) {
    --mAttemptsUntilDecrease;
    return;
  }
  mAttemptsUntilDecrease = Limit();
  mLimit = std::max(mLimit * kDecreaseFactor, kMinLimit);
}

std::uint32_t
AdaptiveLimit::Limit() const
{
  return static_cast<std::uint32_t>(std::floor(mLimit));
}

}

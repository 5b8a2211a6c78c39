#include "Dispatch/StragglerRule.h"

#include <algorithm>
#include <cmath>

namespace almondspoke::dispatch {

namespace {

using Milliseconds = StragglerRule::Milliseconds;

constexpr int kHundredPercent = 100;

/** A run is slow if its projected duration exceeds the expected one at its
 * worker by this factor; run times vary by 0.4 without being slow. */
constexpr int kSlowFactor = 3;

/** A run is not judged before it was observed for this percentage of the
 * expected duration plus a fixed time. Both allow for progress reports that are
 * out of date. */
constexpr int kMinObservedPercent = 120;
constexpr Milliseconds kMinObservedTime{ 60 };

/** Time for the stop order, its confirmation and the new start order. */
constexpr Milliseconds kOrderTime{ 60 };

/** Part of a new start's duration by which it must end earlier, since run times
 * vary. */
constexpr int kLeastGainPercent = 25;

Milliseconds
Projected(const StragglerRule::Run& aRun)
{
  return aRun.mObserved * kHundredPercent / std::max<int>(1, aRun.mPercent);
}

}

StragglerRule::Milliseconds
StragglerRule::RestartTime(const Run& aRun)
{
  const double here = std::max<double>(1, aRun.mExpectedHere.count());
  const double elsewhere = aRun.mExpectedElsewhere.count();
  const double ifTaskIsLong =
    static_cast<double>(Projected(aRun).count()) * elsewhere / here;
  const double mean =
    aRun.mShareOfGains * elsewhere + (1 - aRun.mShareOfGains) * ifTaskIsLong;
  return Milliseconds(std::llround(mean)) + kOrderTime;
}

StragglerRule::Verdict
StragglerRule::Judge(const Run& aRun)
{
  const Milliseconds minObserved =
    aRun.mExpectedHere * kMinObservedPercent / kHundredPercent +
    kMinObservedTime;
  const Milliseconds projected = Projected(aRun);
  const bool isSlow = aRun.mObserved >= minObserved &&
                      aRun.mPercent < kHundredPercent &&
                      projected > aRun.mExpectedHere * kSlowFactor;
  if (!isSlow) {
    return Verdict::NotSlow;
  }
  const Milliseconds remaining = projected - aRun.mObserved - aRun.mSinceReport;
  const Milliseconds needed =
    RestartTime(aRun) * (kHundredPercent + kLeastGainPercent) / kHundredPercent;
  return remaining > needed ? Verdict::Stop : Verdict::NoGain;
}

}

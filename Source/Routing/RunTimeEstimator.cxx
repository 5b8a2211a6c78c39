#include "Routing/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace almondspoke {

namespace {

constexpr RunTimeEstimator::Duration kDefaultMedian =
  std::chrono::milliseconds(200);
constexpr int kDefaultHighFactor = 5;

// Relative step of the quantile estimate: the first value, and the lower bound.
constexpr double kFirstStep = 1.0;
constexpr double kMinStep = 0.04;

constexpr std::uint64_t kMinSamples = 20;

// Ratio of measured to declared run time, or its inverse, above which declared
// times are no longer trusted, and below which they are trusted again.
constexpr double kDistrustRatio = 2.0;
constexpr double kTrustRatio = 1.25;

constexpr double kMinSeconds = 1e-6;

double
Seconds(RunTimeEstimator::Duration aDuration)
{
  return std::max(std::chrono::duration<double>(aDuration).count(),
                  kMinSeconds);
}

RunTimeEstimator::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<RunTimeEstimator::Duration>(
    std::chrono::duration<double>(aSeconds));
}

}

QuantileTracker::QuantileTracker(double aQuantile)
  : mQuantile(aQuantile)
{
}

void
QuantileTracker::Add(double aValue)
{
  ++mCount;
  if (mCount == 1) {
    mValue = aValue;
    return;
  }
  const double step =
    std::max(kFirstStep / std::sqrt(static_cast<double>(mCount)), kMinStep);
  const double below = aValue < mValue ? 1 : 0;
  mValue *= std::exp(step * (mQuantile - below));
}

const RunTimeEstimator::Kind*
RunTimeEstimator::Find(KindIndex aKind) const
{
  return aKind < mKinds.size() ? &mKinds[aKind] : nullptr;
}

void
RunTimeEstimator::UpdateTrust(Kind& aKind)
{
  if (aKind.mDeclaredSamples < kMinSamples) {
    return;
  }
  const double ratio = aKind.mRatio.Value();
  const double distance = std::max(ratio, 1 / ratio);
  if (distance > kDistrustRatio) {
    aKind.mTrustsDeclared = false;
  } else if (distance < kTrustRatio) {
    aKind.mTrustsDeclared = true;
  }
}

void
RunTimeEstimator::Add(KindIndex aKind,
                      Duration aElapsed,
                      const std::optional<Duration>& aDeclared)
{
  if (aKind >= mKinds.size()) {
    mKinds.resize(aKind + std::size_t{ 1 });
  }
  Kind& kind = mKinds[aKind];
  const double seconds = Seconds(aElapsed);
  kind.mMedian.Add(seconds);
  kind.mHigh.Add(seconds);
  ++kind.mSamples;
  if (aDeclared) {
    kind.mRatio.Add(seconds / Seconds(*aDeclared));
    ++kind.mDeclaredSamples;
    UpdateTrust(kind);
  }
}

bool
RunTimeEstimator::IsLearned(KindIndex aKind) const
{
  const Kind* kind = Find(aKind);
  return kind != nullptr && kind->mSamples >= kMinSamples;
}

bool
RunTimeEstimator::TrustsDeclared(KindIndex aKind) const
{
  const Kind* kind = Find(aKind);
  return kind == nullptr || kind->mTrustsDeclared;
}

RunTimeEstimator::Duration
RunTimeEstimator::Median(KindIndex aKind) const
{
  return IsLearned(aKind) ? FromSeconds(mKinds[aKind].mMedian.Value())
                          : kDefaultMedian;
}

RunTimeEstimator::Duration
RunTimeEstimator::High(KindIndex aKind) const
{
  return IsLearned(aKind) ? FromSeconds(mKinds[aKind].mHigh.Value())
                          : kDefaultMedian * kDefaultHighFactor;
}

RunTimeEstimator::Duration
RunTimeEstimator::Expected(KindIndex aKind,
                           const std::optional<Duration>& aDeclared) const
{
  if (aDeclared && TrustsDeclared(aKind)) {
    return *aDeclared;
  }
  return Median(aKind);
}

}

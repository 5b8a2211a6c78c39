#include "Jobs/SizeEstimator.h"

#include <algorithm>
#include <cmath>

namespace almondspoke {

namespace {

// Weight of the newest sample in the moving average.
constexpr double kNewestSampleWeight = 0.1;

// Samples required before a correction starts.
constexpr std::uint32_t kMinSamples = 8;

// The correction starts when the average deviates from the declared size by
// more than the first factor, up or down, and stops when it falls to the
// second.
constexpr double kCorrectionStartFactor = 2.0;
constexpr double kCorrectionStopFactor = 1.5;

// A single sample counts as a deviation of at most this factor, up or down.
constexpr double kMaxSampleFactor = 100.0;

// Maximum number of kinds with estimates; further kinds keep their declared
// sizes.
constexpr std::size_t kMaxKinds = 1000;

}

void
SizeEstimator::RatioEstimate::Observe(double aRatio)
{
  if (!(aRatio > 0)) {
    return;
  }
  const double logRatio =
    std::log(std::clamp(aRatio, 1 / kMaxSampleFactor, kMaxSampleFactor));
  mMeanLogRatio =
    mSampleCount == 0
      ? logRatio
      : mMeanLogRatio + kNewestSampleWeight * (logRatio - mMeanLogRatio);
  ++mSampleCount;
  const double deviation = std::abs(mMeanLogRatio);
  if (mIsApplied) {
    mIsApplied = deviation > std::log(kCorrectionStopFactor);
    return;
  }
  mIsApplied =
    mSampleCount >= kMinSamples && deviation > std::log(kCorrectionStartFactor);
}

double
SizeEstimator::RatioEstimate::Factor() const
{
  return mIsApplied ? std::exp(mMeanLogRatio) : 1.0;
}

void
SizeEstimator::Observe(const std::string& aKind,
                       const Resources& aDeclared,
                       const Resources& aUsed)
{
  KindEstimates* kind = KindOf(aKind);
  if (kind == nullptr) {
    return;
  }
  if (aDeclared.mCores > 0) {
    kind->mCores.Observe(aUsed.mCores / aDeclared.mCores);
  }
  if (aDeclared.mMemoryBytes > 0) {
    kind->mMemory.Observe(static_cast<double>(aUsed.mMemoryBytes) /
                          static_cast<double>(aDeclared.mMemoryBytes));
  }
}

void
SizeEstimator::ObserveRunTime(const std::string& aKind,
                              std::chrono::milliseconds aDeclared,
                              std::chrono::milliseconds aObserved)
{
  KindEstimates* kind = aDeclared.count() > 0 ? KindOf(aKind) : nullptr;
  if (kind == nullptr) {
    return;
  }
  kind->mRunTime.Observe(static_cast<double>(aObserved.count()) /
                         static_cast<double>(aDeclared.count()));
}

Resources
SizeEstimator::Estimate(const std::string& aKind,
                        const Resources& aDeclared) const
{
  const auto found = mKinds.find(aKind);
  if (found == mKinds.end()) {
    return aDeclared;
  }
  Resources estimate = aDeclared;
  estimate.mCores *= found->second.mCores.Factor();
  estimate.mMemoryBytes =
    static_cast<std::uint64_t>(static_cast<double>(aDeclared.mMemoryBytes) *
                               found->second.mMemory.Factor());
  return estimate;
}

std::chrono::milliseconds
SizeEstimator::EstimateRunTime(const std::string& aKind,
                               std::chrono::milliseconds aDeclared) const
{
  const auto found = mKinds.find(aKind);
  if (found == mKinds.end()) {
    return aDeclared;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(
    static_cast<double>(aDeclared.count()) * found->second.mRunTime.Factor()));
}

SizeEstimator::KindEstimates*
SizeEstimator::KindOf(const std::string& aKind)
{
  const auto found = mKinds.find(aKind);
  if (found != mKinds.end()) {
    return &found->second;
  }
  return mKinds.size() < kMaxKinds ? &mKinds[aKind] : nullptr;
}

}

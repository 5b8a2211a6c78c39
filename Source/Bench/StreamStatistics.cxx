#include "Bench/StreamStatistics.h"

#include <algorithm>

namespace almondspoke::bench {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t kMaxSlices = 120;
constexpr unsigned kSlicePrecision = 4;
constexpr Milliseconds kMinSliceLength{ 500 };
/** Highest number of distinct error names; further ones are counted as "other".
 */
constexpr std::size_t kMaxErrorNames = 64;

}

std::uint64_t
RatioOf(std::chrono::microseconds aLatency, std::chrono::microseconds aIdeal)
{
  const auto latency =
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, aLatency.count()));
  const auto ideal =
    static_cast<std::uint64_t>(std::max<std::int64_t>(1, aIdeal.count()));
  return latency * StreamStatistics::kRatioScale / ideal;
}

Milliseconds
StreamStatistics::SliceLength(Milliseconds aDuration)
{
  return std::max(kMinSliceLength,
                  Milliseconds(aDuration.count() / kMaxSlices + 1));
}

StreamStatistics::StreamStatistics(Milliseconds aWarmUp, Milliseconds aDuration)
  : mWarmUp(aWarmUp)
  , mSliceLength(SliceLength(aDuration))
{
  const auto slices = static_cast<std::size_t>(aDuration / mSliceLength) + 1;
  mCounts.mSlices.assign(slices, Histogram(kSlicePrecision));
}

void
StreamStatistics::RecordArrival(std::chrono::microseconds aArrival)
{
  if (aArrival < mWarmUp) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mCounts.mOffered;
}

void
StreamStatistics::RecordEnd(const RequestEnd& aEnd)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aEnd.mIsCompleted) {
    ++mCounts.mCompletedInRun;
    const auto slice = static_cast<std::size_t>(aEnd.mArrival / mSliceLength);
    mCounts.mSlices[std::min(slice, mCounts.mSlices.size() - 1)].Record(
      static_cast<std::uint64_t>(aEnd.mLatency.count()));
  }
  if (aEnd.mArrival < mWarmUp) {
    return;
  }
  if (aEnd.mIsCompleted) {
    ++mCounts.mCompleted;
    mCounts.mLatency.Record(static_cast<std::uint64_t>(aEnd.mLatency.count()));
    mCounts.mRatio.Record(RatioOf(aEnd.mLatency, aEnd.mIdeal));
    return;
  }
  if (aEnd.mIsCancelled) {
    ++mCounts.mCancelled;
    return;
  }
  const bool isKnown = mCounts.mErrors.count(aEnd.mError) > 0 ||
                       mCounts.mErrors.size() < kMaxErrorNames;
  ErrorCount& error = mCounts.mErrors[isKnown ? aEnd.mError : "other"];
  ++error.mCount;
  error.mRan = isKnown ? aEnd.mRan : Ran::Unknown;
}

StreamCounts
StreamStatistics::Counts() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCounts;
}

}

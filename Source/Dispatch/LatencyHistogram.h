#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace almondspoke::dispatch {

/** \brief Histogram of durations with exponential buckets, starting at 1 ms. */
class LatencyHistogram
{
public:
  static constexpr std::size_t kBuckets = 14;

  void Add(std::chrono::milliseconds aDuration)
  {
    std::size_t bucket = 0;
    while (bucket + 1 < kBuckets && aDuration > BoundOf(bucket)) {
      ++bucket;
    }
    ++mCounts[bucket];
    mSum += aDuration;
  }

  /** Upper bound of a bucket. The last bucket has no upper bound and also
   * counts longer durations. */
  static constexpr std::chrono::milliseconds BoundOf(std::size_t aBucket)
  {
    return std::chrono::milliseconds(std::int64_t{ 1 } << aBucket);
  }
  std::uint64_t CountOf(std::size_t aBucket) const { return mCounts[aBucket]; }
  std::chrono::milliseconds Sum() const { return mSum; }

private:
  std::array<std::uint64_t, kBuckets> mCounts{};
  std::chrono::milliseconds mSum{ 0 };
};

}

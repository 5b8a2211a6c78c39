#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Base/ErrorKind.h"
#include "Bench/Histogram.h"

namespace almondspoke::bench {

/** \brief How one request ended. */
struct RequestEnd
{
  /** Intended send time, relative to the start of the run. */
  std::chrono::microseconds mArrival{ 0 };
  /** Time from the intended send time to the end of the request. */
  std::chrono::microseconds mLatency{ 0 };
  /** Ideal response time: the run time of the request plus one round trip. */
  std::chrono::microseconds mIdeal{ 0 };
  bool mIsCompleted = false;
  bool mIsCancelled = false;
  /** Name of the error kind if the request is neither completed nor cancelled.
   */
  std::string mError;
  Ran mRan = Ran::Unknown;
};

/** \brief Number of requests of a stream that ended with a given error kind. */
struct ErrorCount
{
  std::uint64_t mCount = 0;
  Ran mRan = Ran::Unknown;
};

/** \brief Measurements of a stream. Memory use does not grow with the number of
 * requests. */
struct StreamCounts
{
  /** Arrivals after the warm-up. */
  std::uint64_t mOffered = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mCancelled = 0;
  /** Requests of the whole run, including the warm-up, that succeeded. */
  std::uint64_t mCompletedInRun = 0;
  std::map<std::string, ErrorCount> mErrors;
  /** Response times in microseconds. */
  Histogram mLatency;
  /** Response times in thousandths of the ideal response time. */
  Histogram mRatio;
  /** Latency by time of arrival, one histogram per interval of SliceLength().
   */
  std::vector<Histogram> mSlices;
};

/** \brief Collects the results of the requests of a stream. Thread-safe. */
class StreamStatistics
{
public:
  static constexpr std::uint64_t kRatioScale = 1000;

  StreamStatistics(std::chrono::milliseconds aWarmUp,
                   std::chrono::milliseconds aDuration);

  void RecordArrival(std::chrono::microseconds aArrival);
  void RecordEnd(const RequestEnd& aEnd);

  StreamCounts Counts() const;

  /** Returns the length of the intervals in mSlices for a run of the given
   * duration. */
  static std::chrono::milliseconds SliceLength(
    std::chrono::milliseconds aDuration);

private:
  const std::chrono::milliseconds mWarmUp;
  const std::chrono::milliseconds mSliceLength;
  mutable std::mutex mMutex;
  StreamCounts mCounts;
};

/** Returns the ratio of latency to ideal response time, in thousandths. */
std::uint64_t
RatioOf(std::chrono::microseconds aLatency, std::chrono::microseconds aIdeal);

}

#include "Dispatch/OrderTimeoutEstimator.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Duration of one bucket. The estimate covers the current bucket and the two
 * before it, that is two to three seconds. */
constexpr milliseconds kBucketDuration{ 1000 };

/** The timeout is the slowest recent answer time multiplied by the factor, plus
 * a margin for one retransmission on a fast network. */
constexpr int kSlowestAnswerFactor = 3;
constexpr milliseconds kTimeoutMargin{ 30 };

/** Number of consecutive timeouts that indicate a slow network instead of lost
 * orders. If half of all orders are lost, eight in a row have a probability of
 * 1/256. */
constexpr unsigned kSlowNetworkAfterTimeouts = 8;

/** Covers several round trips between data centres. */
constexpr milliseconds kMinTimeout{ 60 };

}

OrderTimeoutEstimator::OrderTimeoutEstimator(Milliseconds aMaxTimeout)
  : mMaxTimeout(aMaxTimeout)
{
}

std::int64_t
OrderTimeoutEstimator::BucketNumberAt(TimePoint aAt)
{
  return std::chrono::duration_cast<milliseconds>(aAt.time_since_epoch()) /
         kBucketDuration;
}

void
OrderTimeoutEstimator::ObserveAnswer(Milliseconds aAnswerTime, TimePoint aNow)
{
  mConsecutiveTimeouts = 0;
  const std::int64_t number = BucketNumberAt(aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % mBuckets.size()];
  if (bucket.mNumber != number) {
    bucket = { number, aAnswerTime };
    return;
  }
  bucket.mSlowest = std::max(bucket.mSlowest, aAnswerTime);
}

// Without recent answers there is nothing to estimate from, so the maximum
// applies.
OrderTimeoutEstimator::Milliseconds
OrderTimeoutEstimator::Timeout(TimePoint aNow) const
{
  const std::int64_t oldest =
    BucketNumberAt(aNow) - static_cast<std::int64_t>(mBuckets.size());
  std::optional<Milliseconds> slowest;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mNumber > oldest) {
      slowest = std::max(slowest.value_or(bucket.mSlowest), bucket.mSlowest);
    }
  }
  if (!slowest || mConsecutiveTimeouts >= kSlowNetworkAfterTimeouts) {
    return mMaxTimeout;
  }
  const Milliseconds estimate =
    *slowest * kSlowestAnswerFactor + kTimeoutMargin;
  return std::min(mMaxTimeout, std::max(kMinTimeout, estimate));
}

}

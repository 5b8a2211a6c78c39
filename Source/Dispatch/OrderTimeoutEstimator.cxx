#include "Dispatch/OrderTimeoutEstimator.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Length of a bucket; the answers of the last two to three count. */
constexpr milliseconds kBucketDuration{ 1000 };

/** An order waits for so many times the slowest answer, and this much longer:
 * room for a retransmission on a fast network. */
constexpr int kSlowestAnswerFactor = 3;
constexpr milliseconds kTimeoutMargin{ 30 };

/** Unanswered orders in a row that do not come from lost ones: at one half of
 * the orders lost, so many follow each other once in 256 times. */
constexpr unsigned kSlowNetworkAfterTimeouts = 8;

/** Shortest timeout: several round trips between data centres. */
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

// Without any answer of late nothing is known, and the longest time counts.
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
  const Milliseconds wanted = *slowest * kSlowestAnswerFactor + kTimeoutMargin;
  return std::min(mMaxTimeout, std::max(kMinTimeout, wanted));
}

}

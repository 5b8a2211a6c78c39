#include "Dispatch/AnswerTimes.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Length of a bucket; the answers of the last two to three count. */
constexpr milliseconds kBucket{ 1000 };

/** An order waits for so many times the slowest answer, and this much longer:
 * room for a retransmission on a fast network. */
constexpr int kTimesSlowest = 3;
constexpr milliseconds kMargin{ 30 };

/** Unanswered orders in a row that do not come from lost ones: at one half of
 * the orders lost, so many follow each other once in 256 times. */
constexpr unsigned kSlowAfterUnanswered = 8;

/** Shortest timeout: several round trips between data centres. */
constexpr milliseconds kShortest{ 60 };

}

AnswerTimes::AnswerTimes(Milliseconds aLongest)
  : mLongest(aLongest)
{
}

std::int64_t
AnswerTimes::NumberOf(TimePoint aAt)
{
  return std::chrono::duration_cast<milliseconds>(aAt.time_since_epoch()) /
         kBucket;
}

void
AnswerTimes::Observe(Milliseconds aTook, TimePoint aNow)
{
  mUnansweredInRow = 0;
  const std::int64_t number = NumberOf(aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % mBuckets.size()];
  if (bucket.mNumber != number) {
    bucket = { number, aTook };
    return;
  }
  bucket.mSlowest = std::max(bucket.mSlowest, aTook);
}

// Without any answer of late nothing is known, and the longest time counts.
AnswerTimes::Milliseconds
AnswerTimes::Timeout(TimePoint aNow) const
{
  const std::int64_t oldest =
    NumberOf(aNow) - static_cast<std::int64_t>(mBuckets.size());
  std::optional<Milliseconds> slowest;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mNumber > oldest) {
      slowest = std::max(slowest.value_or(bucket.mSlowest), bucket.mSlowest);
    }
  }
  if (!slowest || mUnansweredInRow >= kSlowAfterUnanswered) {
    return mLongest;
  }
  const Milliseconds wanted = *slowest * kTimesSlowest + kMargin;
  return std::min(mLongest, std::max(kShortest, wanted));
}

}

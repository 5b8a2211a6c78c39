#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief How long an order may take to be answered, learned from the answers.
 *
 * Answers the load of orders that are lost, or carried out late, while the
 * others are answered at once: what is in doubt is stopped and started
 * elsewhere soon. Where answers are slow, as on a leader that is short of
 * processor time, nothing is doubted early. */
class OrderTimeoutEstimator
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = std::chrono::milliseconds;

  /** \param aMaxTimeout time after which an order counts as unanswered in any
   * case
   */
  explicit OrderTimeoutEstimator(Milliseconds aMaxTimeout);

  /** An order was answered. */
  void ObserveAnswer(Milliseconds aAnswerTime, TimePoint aNow);
  /** An order was not answered in time. After many in a row the way is taken
   * for slow, not the orders for lost. */
  void ObserveTimeout() { ++mConsecutiveTimeouts; }

  /** Time to wait for the answer to an order that is sent now. */
  Milliseconds Timeout(TimePoint aNow) const;

private:
  /** Slowest answer of a part of the time. */
  struct Bucket
  {
    std::int64_t mNumber = -1;
    Milliseconds mSlowest{ 0 };
  };

  static std::int64_t BucketNumberAt(TimePoint aAt);

  const Milliseconds mMaxTimeout;
  std::array<Bucket, 3> mBuckets;
  unsigned mConsecutiveTimeouts = 0;
};

}

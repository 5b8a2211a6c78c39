#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief Derives the timeout of orders to workers from recent answer times.
 *
 * If single orders are lost or delayed while others are answered quickly, a
 * short timeout lets the coordinator stop the affected runs and start them on
 * another worker early. If all answers are slow, for example because the leader
 * is short of CPU time, the timeout grows accordingly. */
class OrderTimeoutEstimator
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = std::chrono::milliseconds;

  /** \param aMaxTimeout upper bound of the timeout */
  explicit OrderTimeoutEstimator(Milliseconds aMaxTimeout);

  /** Records that an order was answered. */
  void ObserveAnswer(Milliseconds aAnswerTime, TimePoint aNow);
  /** Records that an order was not answered in time. After several consecutive
   * timeouts, the network is assumed to be slow and the maximum applies. */
  void ObserveTimeout() { ++mConsecutiveTimeouts; }

  /** Returns the timeout for an order that is sent now. */
  Milliseconds Timeout(TimePoint aNow) const;

private:
  /** Slowest answer time within one interval. */
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

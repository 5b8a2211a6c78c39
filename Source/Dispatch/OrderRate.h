#pragma once

#include <chrono>
#include <cstdint>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief Tells from the orders of the last seconds whether a leader sends so
 * many that others should send them for it.
 *
 * Hysteresis keeps the state from following every small change of the rate. */
class OrderRate
{
public:
  using TimePoint = Clock::Monotonic;

  void Count(TimePoint aNow)
  {
    ++mOrders;
    if (aNow - mSince < kInterval) {
      return;
    }
    mIsHigh = mOrders >= (mIsHigh ? kLowOrders : kHighOrders);
    mOrders = 0;
    mSince = aNow;
  }

  bool IsHigh() const { return mIsHigh; }

private:
  static constexpr std::chrono::milliseconds kInterval{ 500 };
  /** Orders in an interval at which the rate becomes high, and below which it
   * is no longer high. */
  static constexpr std::uint32_t kHighOrders = 2000;
  static constexpr std::uint32_t kLowOrders = 1000;

  TimePoint mSince{};
  std::uint32_t mOrders = 0;
  bool mIsHigh = false;
};

}

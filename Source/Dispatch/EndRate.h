#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief How often runs end at a place, and so how soon there may be room. */
class EndRate
{
public:
  using TimePoint = Clock::Monotonic;
  using Microseconds = std::chrono::microseconds;

  void OnEnd(TimePoint aNow)
  {
    const auto since =
      std::chrono::duration_cast<Microseconds>(aNow - mLastEndAt);
    // The ends of one list have no time between them that could be measured.
    mInterval = mEnds == 0 ? Microseconds(0)
                           : mInterval + (since - mInterval) / kSlowness;
    mLastEndAt = aNow;
    mEnds = std::min(mEnds + 1, kMinEnds);
  }
  /** Returns the expected time until the next end; nothing before some ends
   * were seen. A place at which nothing ends any more is expected later and
   * later. */
  std::optional<std::chrono::milliseconds> UntilNext(TimePoint aNow) const
  {
    if (mEnds < kMinEnds) {
      return std::nullopt;
    }
    const auto since =
      std::chrono::duration_cast<Microseconds>(aNow - mLastEndAt);
    return std::chrono::ceil<std::chrono::milliseconds>(
      std::max(mInterval, since));
  }

private:
  /** Inverse of the part by which the interval follows each end. */
  static constexpr int kSlowness = 16;
  static constexpr std::uint32_t kMinEnds = 16;

  TimePoint mLastEndAt{};
  Microseconds mInterval{ 0 };
  std::uint32_t mEnds = 0;
};

}

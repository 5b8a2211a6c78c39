#pragma once

#include <chrono>
#include <cstdint>

namespace almondspoke {

/** \brief Limit on the attempts of one kind in progress at one endpoint.
 *
 * Additive increase, multiplicative decrease: a fault, or two attempts in a
 * row far above the kind's high quantile, lower the limit, at most once for
 * each limit's worth of attempts; other attempts raise it. Not thread-safe. */
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(std::uint32_t aSlots);

  /** Notes a new number of slots of the endpoint. */
  void SetSlots(std::uint32_t aSlots);

  void RecordSuccess(std::chrono::microseconds aElapsed,
                     std::chrono::microseconds aHighQuantile);
  void RecordFault();

  std::uint32_t Limit() const;

private:
  void Decrease();

  double mSlots;
  double mLimit;
  /** Attempts until the next decrease is allowed. */
  std::uint32_t mAttemptsUntilDecrease = 0;
  bool mWasLastAttemptLong = false;
};

}

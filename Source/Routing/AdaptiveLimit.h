#pragma once

#include <chrono>
#include <cstdint>

namespace almondspoke {

/** \brief Concurrency limit for the attempts of one kind at one endpoint.
 *
 * Additive increase, multiplicative decrease. A fault, or two consecutive
 * attempts far above the high quantile of the kind's run times, lowers the
 * limit; every other attempt raises it. After a decrease, as many attempts as
 * the limit allowed must end before the next one. Not thread-safe. */
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(std::uint32_t aSlots);

  /** Sets the number of slots of the endpoint, the upper bound of the limit. */
  void SetSlots(std::uint32_t aSlots);

  void RecordSuccess(std::chrono::microseconds aElapsed,
                     std::chrono::microseconds aHighQuantile);
  void RecordFault();

  std::uint32_t Limit() const;

private:
  void Decrease();

  double mSlots;
  double mLimit;
  /** Attempts that must end before the limit may decrease again. */
  std::uint32_t mAttemptsUntilDecrease = 0;
  bool mWasLastAttemptLong = false;
};

}

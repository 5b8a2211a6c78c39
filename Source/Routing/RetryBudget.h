#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief Settings of a RetryBudget. */
struct RetryBudgetSettings
{
  /** Retries that each first attempt adds to the budget. */
  double mTokensPerFirstAttempt = 0.1;
  /** Retries added to the budget per second, independent of the load. */
  double mMinTokensPerSecond = 1;
  /** Upper bound of the unused retries in the budget. */
  double mMaxTokens = 20;
  /** Longest backoff before the first retry; it doubles with each further one.
   */
  std::chrono::milliseconds mBackoff{ 4 };
  std::chrono::milliseconds mMaxBackoff{ 200 };
};

/** \brief Token bucket that limits the retries of one service to a share of its
 * first attempts, so that a failing fleet does not receive a multiple of its
 * normal load.
 *
 * Not thread-safe; the owner holds a lock. */
class RetryBudget
{
public:
  RetryBudget(RetryBudgetSettings aSettings, Clock::Monotonic aNow);

  /** Adds the share of one first attempt to the budget. */
  void Deposit();

  /** Takes one retry from the budget; returns false if it is used up. */
  bool TryWithdraw(Clock::Monotonic aNow);

  /** Returns a random backoff (full jitter) before attempt number aAttempt,
   * which is 2 or more. */
  std::chrono::microseconds Backoff(std::uint32_t aAttempt,
                                    std::mt19937_64& aRandom) const;

  double Available() const { return mTokens; }

private:
  void Refill(Clock::Monotonic aNow);

  RetryBudgetSettings mSettings;
  double mTokens;
  Clock::Monotonic mRefilledAt;
};

}

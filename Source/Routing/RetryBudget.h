#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief Settings of a RetryBudget. */
struct RetryBudgetSettings
{
  /** Further attempts allowed for each first attempt. */
  double mTokensPerFirstAttempt = 0.1;
  /** Further attempts allowed each second whatever the load. */
  double mMinTokensPerSecond = 1;
  /** Largest number of unused attempts that are saved up. */
  double mMaxTokens = 20;
  /** Backoff of the first retry; doubles with each further one. */
  std::chrono::milliseconds mBackoff{ 4 };
  std::chrono::milliseconds mMaxBackoff{ 200 };
};

/** \brief Bounds the retries of one service to a share of its first
 * attempts, so that a failing fleet does not get a multiple of its load.
 * Not thread-safe: its owner holds a lock. */
class RetryBudget
{
public:
  RetryBudget(RetryBudgetSettings aSettings, Clock::Monotonic aNow);

  /** Notes a first attempt. */
  void Deposit();

  /** Takes one further attempt out of the budget; false if it is used up. */
  bool TryWithdraw(Clock::Monotonic aNow);

  /** Returns the time to wait before attempt number aAttempt (2 or more), with
   * full jitter. */
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

#include "Routing/RetryBudget.h"

#include <algorithm>

namespace almondspoke {

RetryBudget::RetryBudget(RetryBudgetSettings aSettings, Clock::Monotonic aNow)
  : mSettings(aSettings)
  , mTokens(aSettings.mMinTokensPerSecond)
  , mRefilledAt(aNow)
{
}

void
RetryBudget::Deposit()
{
  mTokens =
    std::min(mTokens + mSettings.mTokensPerFirstAttempt, mSettings.mMaxTokens);
}

void
RetryBudget::Refill(Clock::Monotonic aNow)
{
  if (aNow <= mRefilledAt) {
    return;
  }
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mRefilledAt = aNow;
  const double tokens =
    mTokens + elapsed.count() * mSettings.mMinTokensPerSecond;
  mTokens = std::min(tokens, mSettings.mMaxTokens);
}

bool
RetryBudget::TryWithdraw(Clock::Monotonic aNow)
{
  Refill(aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

std::chrono::microseconds
RetryBudget::Backoff(std::uint32_t aAttempt, std::mt19937_64& aRandom) const
{
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings =
    std::min(aAttempt > 2 ? aAttempt - 2 : 0, kMaxDoublings);
  const std::chrono::microseconds longest = std::min<std::chrono::microseconds>(
    mSettings.mBackoff * (1 << doublings), mSettings.mMaxBackoff);
  std::uniform_int_distribution<std::int64_t> jitter(0, longest.count());
  return std::chrono::microseconds(jitter(aRandom));
}

}

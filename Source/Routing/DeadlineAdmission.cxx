#include "Routing/DeadlineAdmission.h"

#include <algorithm>

namespace almondspoke {

namespace {

constexpr double kNewIntervalWeight = 0.05;
constexpr std::uint32_t kMinSamples = 20;
constexpr std::chrono::milliseconds kMinRetryAfter(20);
constexpr std::chrono::milliseconds kMaxRetryAfter(30000);

}

void
DeadlineAdmission::RecordStart(KindIndex aKind,
                               Clock::Monotonic aNow,
                               std::size_t aWaiting)
{
  if (aKind >= mKinds.size()) {
    mKinds.resize(aKind + std::size_t{ 1 });
  }
  Kind& kind = mKinds[aKind];
  if (kind.mLastStart) {
    const double interval =
      std::chrono::duration<double>(aNow - *kind.mLastStart).count();
    ++kind.mSamples;
    const double weight =
      std::max(kNewIntervalWeight, 1.0 / static_cast<double>(kind.mSamples));
    kind.mMeanIntervalSeconds +=
      weight * (interval - kind.mMeanIntervalSeconds);
  }
  kind.mLastStart = aWaiting > 0 ? std::make_optional(aNow) : std::nullopt;
}

double
DeadlineAdmission::StartIntervalSeconds(const AdmissionInput& aInput,
                                        Clock::Monotonic aNow) const
{
  const double slots = std::max<std::uint32_t>(aInput.mSlots, 1);
  const double estimatedInterval =
    std::chrono::duration<double>(aInput.mRunTime).count() / slots;
  if (aInput.mKind >= mKinds.size()) {
    return estimatedInterval;
  }
  const Kind& kind = mKinds[aInput.mKind];
  double interval = kind.mSamples >= kMinSamples ? kind.mMeanIntervalSeconds
                                                 : estimatedInterval;
  if (kind.mLastStart) {
    // If nothing has started for longer than the mean interval, the kind now
    // drains more slowly than measured.
    const std::chrono::duration<double> idle = aNow - *kind.mLastStart;
    interval = std::max(interval, idle.count() / kMinSamples);
  }
  return interval;
}

DeadlineAdmission::Duration
DeadlineAdmission::ExpectedWait(const AdmissionInput& aInput,
                                Clock::Monotonic aNow) const
{
  if (aInput.mWorkAhead == 0) {
    return Duration::zero();
  }
  const std::chrono::duration<double> wait(
    static_cast<double>(aInput.mWorkAhead) *
    StartIntervalSeconds(aInput, aNow));
  return std::chrono::duration_cast<Duration>(wait);
}

std::optional<std::chrono::milliseconds>
DeadlineAdmission::CheckDeadline(const AdmissionInput& aInput,
                                 Clock::Monotonic aNow) const
{
  const Duration needed = ExpectedWait(aInput, aNow) + aInput.mRunTime;
  const auto timeLeft =
    std::chrono::duration_cast<Duration>(aInput.mDeadline - aNow);
  if (needed <= timeLeft) {
    return std::nullopt;
  }
  const auto shortfall =
    std::chrono::duration_cast<std::chrono::milliseconds>(needed - timeLeft);
  return std::clamp(shortfall, kMinRetryAfter, kMaxRetryAfter);
}

bool
IsTooLateToStart(const StartInput& aInput, Clock::Monotonic aNow)
{
  const auto timeLeft = aInput.mDeadline - aNow;
  if (timeLeft <= Clock::Monotonic::duration::zero()) {
    return true;
  }
  const auto totalTime = aInput.mDeadline - aInput.mSubmittedAt;
  return timeLeft < aInput.mHighRunTime && timeLeft * 2 < totalTime;
}

}

#include "Routing/EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace almondspoke {

namespace {

// Weight of the latest attempt in the error ratio. With it, three consecutive
// faults raise an error ratio of 0 above the threshold.
constexpr double kNewErrorWeight = 0.2;
constexpr double kErrorThreshold = 0.45;
constexpr double kErrorFactorOverFleet = 2.5;

// Run times of healthy endpoints vary by a factor of twenty, so the mean must
// cover many attempts.
constexpr double kNewSlownessWeight = 0.02;
constexpr double kSlownessThreshold = 2.2;
constexpr std::uint32_t kMinTimedAttempts = 30;

// Time constant of the decay of the slowness while no attempt ends.
constexpr std::chrono::duration<double> kSlownessDecayTime(20);

// Slow endpoints are ejected only up to this utilisation, so that the remaining
// slots are sufficient.
constexpr double kMaxUtilisationToEjectSlow = 0.75;

constexpr std::chrono::duration<double> kMinDecayInterval(1);

constexpr double kMinRelativeTime = 0.01;

bool
ReceivesWork(const EndpointHealth& aHealth)
{
  return aHealth.State() == HealthState::Healthy ||
         aHealth.State() == HealthState::SlowStart;
}

}

EjectionPolicy::EjectionPolicy(EjectionSettings aSettings)
  : mSettings(aSettings)
{
}

std::shared_ptr<EndpointHealth>
EjectionPolicy::Add()
{
  mFleet.push_back(std::make_shared<EndpointHealth>());
  return mFleet.back();
}

void
EjectionPolicy::Remove(const std::shared_ptr<EndpointHealth>& aHealth)
{
  mFleet.erase(std::remove(mFleet.begin(), mFleet.end(), aHealth),
               mFleet.end());
}

std::size_t
EjectionPolicy::EjectedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mFleet.begin(), mFleet.end(), [](const auto& aHealth) {
      return !ReceivesWork(*aHealth);
    }));
}

bool
EjectionPolicy::CanEjectAnother() const
{
  if (mFleet.size() < 2) {
    return false;
  }
  const double share =
    mSettings.mMaxEjectedShare * static_cast<double>(mFleet.size());
  const auto maxEjected =
    std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share)));
  return EjectedCount() < maxEjected;
}

double
EndpointHealth::Slowness() const
{
  return mTimedAttempts < kMinTimedAttempts ? 1 : std::exp(mLogSlowness);
}

double
EjectionPolicy::MeanErrorRatioOfOthers(const EndpointHealth& aHealth) const
{
  double sum = 0;
  std::size_t count = 0;
  for (const auto& other : mFleet) {
    if (other.get() != &aHealth && ReceivesWork(*other)) {
      sum += other->ErrorRatio();
      ++count;
    }
  }
  return count == 0 ? 1 : sum / static_cast<double>(count);
}

double
EjectionPolicy::MedianSlownessOfOthers(const EndpointHealth& aHealth) const
{
  std::vector<double> slowness;
  for (const auto& other : mFleet) {
    if (other.get() != &aHealth && ReceivesWork(*other)) {
      // Includes endpoints with few attempts. Otherwise a slowdown of the whole
      // fleet would eject the endpoint that is checked first.
      slowness.push_back(std::exp(other->mLogSlowness));
    }
  }
  if (slowness.empty()) {
    return aHealth.Slowness();
  }
  const auto middle =
    slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
  std::nth_element(slowness.begin(), middle, slowness.end());
  return *middle;
}

bool
EjectionPolicy::IsFailing(const EndpointHealth& aHealth) const
{
  return aHealth.mErrorRatio >= kErrorThreshold &&
         aHealth.mErrorRatio >=
           kErrorFactorOverFleet * MeanErrorRatioOfOthers(aHealth);
}

bool
EjectionPolicy::IsSlow(const EndpointHealth& aHealth, double aUtilisation) const
{
  return aHealth.mTimedAttempts >= kMinTimedAttempts &&
         aHealth.Slowness() >= kSlownessThreshold &&
         aUtilisation <= kMaxUtilisationToEjectSlow &&
         aHealth.Slowness() >=
           kSlownessThreshold * MedianSlownessOfOthers(aHealth);
}

void
EjectionPolicy::Eject(EndpointHealth& aHealth, Clock::Monotonic aNow)
{
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings = std::min(aHealth.mEjections, kMaxDoublings);
  const auto ejectionTime =
    std::min(mSettings.mInitialEjectionTime * (1 << doublings),
             mSettings.mMaxEjectionTime);
  aHealth.mState = HealthState::Ejected;
  aHealth.mChangedAt = aNow + ejectionTime;
  aHealth.mProbesPassed = 0;
  ++aHealth.mEjections;
}

void
EjectionPolicy::RecordProbe(EndpointHealth& aHealth,
                            bool aPassed,
                            Clock::Monotonic aNow)
{
  if (!aPassed) {
    Eject(aHealth, aNow);
    return;
  }
  if (++aHealth.mProbesPassed < mSettings.mRequiredProbes) {
    return;
  }
  aHealth.mState = HealthState::SlowStart;
  aHealth.mChangedAt = aNow;
  aHealth.mErrorRatio = 0;
  aHealth.mLogSlowness = 0;
  aHealth.mTimedAttempts = 0;
}

void
EjectionPolicy::RecordRunTime(EndpointHealth& aHealth,
                              double aRelativeTime,
                              Clock::Monotonic aNow)
{
  ++aHealth.mTimedAttempts;
  aHealth.mLastTimedAt = aNow;
  const double weight =
    std::max(kNewSlownessWeight, 1.0 / aHealth.mTimedAttempts);
  const double logTime = std::log(std::max(aRelativeTime, kMinRelativeTime));
  aHealth.mLogSlowness += weight * (logTime - aHealth.mLogSlowness);
}

void
EjectionPolicy::DecaySlowness(EndpointHealth& aHealth, Clock::Monotonic aNow)
{
  const std::chrono::duration<double> idle = aNow - aHealth.mLastTimedAt;
  if (aHealth.mTimedAttempts == 0 || idle <= kMinDecayInterval) {
    return;
  }
  aHealth.mLastTimedAt = aNow;
  aHealth.mLogSlowness *= std::exp(-(idle / kSlownessDecayTime));
}

void
EjectionPolicy::RecordAttempt(EndpointHealth& aHealth,
                              bool aIsFault,
                              double aRelativeTime,
                              double aUtilisation,
                              Clock::Monotonic aNow)
{
  aHealth.mErrorRatio +=
    kNewErrorWeight * ((aIsFault ? 1 : 0) - aHealth.mErrorRatio);
  if (aRelativeTime > 0) {
    RecordRunTime(aHealth, aRelativeTime, aNow);
  }
  if (aHealth.mState == HealthState::Probing) {
    RecordProbe(aHealth, !aIsFault && aRelativeTime < kSlownessThreshold, aNow);
    return;
  }
  if (!ReceivesWork(aHealth)) {
    return;
  }
  const bool isFailing = aIsFault && IsFailing(aHealth);
  if ((isFailing || IsSlow(aHealth, aUtilisation)) && CanEjectAnother()) {
    Eject(aHealth, aNow);
  }
}

void
EjectionPolicy::ReadmitAll(Clock::Monotonic aNow)
{
  for (const auto& health : mFleet) {
    if (!ReceivesWork(*health)) {
      health->mState = HealthState::SlowStart;
      health->mChangedAt = aNow;
    }
  }
}

void
EjectionPolicy::Tick(Clock::Monotonic aNow)
{
  static const EndpointHealth kNoEndpoint;
  if (EjectedCount() > 0 &&
      MeanErrorRatioOfOthers(kNoEndpoint) >= kErrorThreshold) {
    ReadmitAll(aNow);
  }
  for (const auto& health : mFleet) {
    DecaySlowness(*health, aNow);
    if (health->mState == HealthState::Ejected && aNow >= health->mChangedAt) {
      health->mState = HealthState::Probing;
    }
    // Without idempotent work there are no probes; after the maximum ejection
    // time the endpoint enters the slow start directly.
    if (health->mState == HealthState::Probing &&
        aNow >= health->mChangedAt + mSettings.mMaxEjectionTime) {
      health->mState = HealthState::SlowStart;
      health->mChangedAt = aNow;
    }
    if (health->mState == HealthState::SlowStart &&
        aNow >= health->mChangedAt + mSettings.mSlowStartTime) {
      health->mState = HealthState::Healthy;
      health->mEjections = 0;
    }
  }
}

std::uint32_t
EjectionPolicy::AllowedAttempts(const EndpointHealth& aHealth,
                                std::uint32_t aSlots,
                                bool aIsIdempotent,
                                Clock::Monotonic aNow) const
{
  switch (aHealth.mState) {
    case HealthState::Healthy:
      return aSlots;
    case HealthState::Ejected:
      return 0;
    case HealthState::Probing:
      return aIsIdempotent ? 1 : 0;
    case HealthState::SlowStart:
      break;
  }
  const std::chrono::duration<double> elapsed = aNow - aHealth.mChangedAt;
  const std::chrono::duration<double> slowStartTime = mSettings.mSlowStartTime;
  const double share = std::min(elapsed / slowStartTime, 1.0);
  return std::max<std::uint32_t>(
    1, static_cast<std::uint32_t>(std::ceil(share * aSlots)));
}

}

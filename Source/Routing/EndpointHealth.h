#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "Base/Clock.h"
#include "Base/EnumNames.h"

namespace almondspoke {

/** \brief Whether and how much work an endpoint receives. */
enum class HealthState
{
  Healthy,
  /** Receives no work until its ejection ends. */
  Ejected,
  /** Receives one idempotent attempt at a time to test whether it has
   * recovered. */
  Probing,
  /** Receives work for a growing share of its slots. */
  SlowStart
};

constexpr std::array<EnumName<HealthState>, 4> kHealthStateNames = { {
  { HealthState::Healthy, "healthy" },
  { HealthState::Ejected, "ejected" },
  { HealthState::Probing, "probing" },
  { HealthState::SlowStart, "slow-start" },
} };

/** \brief Settings of an EjectionPolicy. */
struct EjectionSettings
{
  /** Largest share of the fleet that may be ejected at the same time, 0 to 1.
   */
  double mMaxEjectedShare = 0.3;
  std::chrono::milliseconds mInitialEjectionTime{ 1000 };
  std::chrono::milliseconds mMaxEjectionTime{ 30000 };
  std::chrono::milliseconds mSlowStartTime{ 3000 };
  /** Consecutive successful probes that end an ejection. */
  std::uint32_t mRequiredProbes = 2;
};

/** \brief Health of one endpoint, based on its recent attempts. */
class EndpointHealth
{
public:
  HealthState State() const { return mState; }

  /** Exponentially weighted error ratio, 0 to 1. */
  double ErrorRatio() const { return mErrorRatio; }

  /** Returns the recent run times relative to the medians of their kinds; 1 if
   * there are too few to judge. */
  double Slowness() const;

private:
  friend class EjectionPolicy;

  HealthState mState = HealthState::Healthy;
  double mErrorRatio = 0;
  /** Exponentially weighted mean of the logarithms of relative run times. */
  double mLogSlowness = 0;
  Clock::Monotonic mLastTimedAt;
  std::uint32_t mTimedAttempts = 0;
  std::uint32_t mEjections = 0;
  std::uint32_t mProbesPassed = 0;
  /** End of the ejection, or start of the slow start, depending on the state.
   */
  Clock::Monotonic mChangedAt;
};

/** \brief Ejects endpoints of one service that fail, or are slow, compared to
 * the rest of the fleet, and readmits them.
 *
 * At most a share of the fleet is ejected, and none if the rest of the fleet
 * fails as well. Not thread-safe; the owner holds a lock. */
class EjectionPolicy
{
public:
  explicit EjectionPolicy(EjectionSettings aSettings);

  /** Adds an endpoint. The policy shares the ownership of its health. */
  std::shared_ptr<EndpointHealth> Add();
  void Remove(const std::shared_ptr<EndpointHealth>& aHealth);

  /** Records the end of an attempt.
   * \param aRelativeTime run time divided by the median of its kind; 0 if the
   *   attempt does not count for speed.
   * \param aUtilisation share of the slots of the service that is in use. Slow
   *   endpoints are kept while the fleet needs their slots. */
  void RecordAttempt(EndpointHealth& aHealth,
                     bool aIsFault,
                     double aRelativeTime,
                     double aUtilisation,
                     Clock::Monotonic aNow);

  /** Makes the state changes that are due at aNow. */
  void Tick(Clock::Monotonic aNow);

  /** Returns how many attempts the endpoint may have in progress.
   * \param aIsIdempotent true if the next attempt is idempotent, as a probe
   *   must be. */
  std::uint32_t AllowedAttempts(const EndpointHealth& aHealth,
                                std::uint32_t aSlots,
                                bool aIsIdempotent,
                                Clock::Monotonic aNow) const;

  std::size_t EjectedCount() const;

private:
  double MeanErrorRatioOfOthers(const EndpointHealth& aHealth) const;
  double MedianSlownessOfOthers(const EndpointHealth& aHealth) const;
  bool IsFailing(const EndpointHealth& aHealth) const;
  bool IsSlow(const EndpointHealth& aHealth, double aUtilisation) const;
  bool CanEjectAnother() const;
  void Eject(EndpointHealth& aHealth, Clock::Monotonic aNow);
  void RecordProbe(EndpointHealth& aHealth,
                   bool aPassed,
                   Clock::Monotonic aNow);
  static void RecordRunTime(EndpointHealth& aHealth,
                            double aRelativeTime,
                            Clock::Monotonic aNow);
  static void DecaySlowness(EndpointHealth& aHealth, Clock::Monotonic aNow);
  void ReadmitAll(Clock::Monotonic aNow);

  EjectionSettings mSettings;
  std::vector<std::shared_ptr<EndpointHealth>> mFleet;
};

}

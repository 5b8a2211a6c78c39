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

/** \brief Whether an endpoint gets work. */
enum class HealthState
{
  Healthy,
  /** Gets no work until its ejection is over. */
  Ejected,
  /** Gets single idempotent attempts to find out whether it has recovered. */
  Probing,
  /** Gets a growing share of its slots. */
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
  /** Largest share of the fleet that is ejected at a time. */
  double mMaxEjectedShare = 0.3;
  std::chrono::milliseconds mInitialEjectionTime{ 1000 };
  std::chrono::milliseconds mMaxEjectionTime{ 30000 };
  std::chrono::milliseconds mSlowStartTime{ 3000 };
  /** Probes that must succeed in a row. */
  std::uint32_t mRequiredProbes = 2;
};

/** \brief What is known of one endpoint's recent attempts. */
class EndpointHealth
{
public:
  HealthState State() const { return mState; }

  /** Recent error ratio, 0 to 1. */
  double ErrorRatio() const { return mErrorRatio; }

  /** Recent run times relative to what is usual for their kinds. */
  double Slowness() const;

private:
  friend class EjectionPolicy;

  HealthState mState = HealthState::Healthy;
  double mErrorRatio = 0;
  /** Mean of the logarithms of relative run times. */
  double mLogSlowness = 0;
  Clock::Monotonic mLastTimedAt;
  std::uint32_t mTimedAttempts = 0;
  std::uint32_t mEjections = 0;
  std::uint32_t mProbesPassed = 0;
  /** End of the ejection, or start of the slow start. */
  Clock::Monotonic mChangedAt;
};

/** \brief Decides which endpoints of one service are ejected for failing or
 * being slow against the rest of the fleet, and how they come back.
 *
 * At most a share is ejected, and if the rest fails alike no one is. Not
 * thread-safe: its owner holds a lock. */
class EjectionPolicy
{
public:
  explicit EjectionPolicy(EjectionSettings aSettings);

  /** Adds an endpoint; the policy owns its health jointly. */
  std::shared_ptr<EndpointHealth> Add();
  void Remove(const std::shared_ptr<EndpointHealth>& aHealth);

  /** Notes the end of an attempt.
   * \param aRelativeTime run time divided by the usual one of its kind; 0 if
   * the attempt says nothing of speed.
   * \param aUtilisation share of the service's slots in use; slow endpoints
   * are kept when the fleet has no room without them. */
  void RecordAttempt(EndpointHealth& aHealth,
                     bool aIsFault,
                     double aRelativeTime,
                     double aUtilisation,
                     Clock::Monotonic aNow);

  /** Moves endpoints between states as time passes. */
  void Tick(Clock::Monotonic aNow);

  /** Returns how many attempts the endpoint may have in progress. */
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

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Routing/AdaptiveLimit.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointPicker.h"
#include "Routing/RequestQueue.h"
#include "Routing/ServiceStatus.h"
#include "Routing/SlotHolder.h"

namespace almondspoke {

/** \brief State of one endpoint in the scheduler of its service. */
struct FleetEndpoint
{
  EndpointName mName;
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  std::uint32_t mSlots = 0;
  /** Connections that the endpoint accepts from all instances together. */
  std::uint32_t mConnections = 0;
  /** False once the endpoint was removed; its attempts in progress may
   * continue. */
  bool mIsListed = true;
  std::uint32_t mInFlight = 0;
  std::uint32_t mReportedWanted = 0;
  std::shared_ptr<SlotPool> mPool;
  std::shared_ptr<EndpointHealth> mHealth;
  /** Both vectors are indexed by KindIndex. */
  std::vector<AdaptiveLimit> mLimits;
  std::vector<std::uint32_t> mInFlightOfKind;
};

/** \brief Requirements of an attempt on its endpoint. */
struct PickRequest
{
  KindIndex mKind = 0;
  bool mIsIdempotent = false;
  /** Endpoints of earlier attempts, which must not be chosen again. */
  const std::vector<EndpointName>* mTried = nullptr;
  std::chrono::microseconds mRunTime{ 0 };
  /** Expected time until an endpoint of normal speed has a free slot. */
  std::chrono::microseconds mExpectedWait{ 0 };
};

/** \brief The endpoint chosen for an attempt, with data for the decision log.
 */
struct PickResult
{
  std::shared_ptr<FleetEndpoint> mEndpoint;
  std::vector<EndpointName> mCandidates;
  std::string mReason;
};

/** \brief Outcome of an attempt as it affects its endpoint. */
struct EndpointReport
{
  KindIndex mKind = 0;
  bool mIsFault = false;
  /** False if the outcome says nothing about the health of the endpoint. */
  bool mCountsForHealth = true;
  std::chrono::microseconds mElapsed{ 0 };
  /** Median and 95th percentile of the run times of the kind; zero if they are
   * not known yet. */
  std::chrono::microseconds mMedian{ 0 };
  std::chrono::microseconds mHigh{ 0 };
};

/** \brief The endpoints of one service. Chooses the endpoint of each attempt
 * and tracks slots and health.
 *
 * Not thread-safe; the owner holds a lock. */
class EndpointFleet
{
public:
  using EndpointPtr = std::shared_ptr<FleetEndpoint>;

  EndpointFleet(SlotHolder& aSlots,
                EjectionSettings aEjection,
                const StrategyTraits& aStrategy,
                std::uint64_t aSeed);

  /** Adds an endpoint or applies a changed announcement. */
  void Update(const EndpointAnnouncement& aAnnouncement);
  void Remove(const EndpointName& aName);

  /** Chooses an endpoint and acquires one of its slots. Returns nothing if no
   * endpoint is eligible. */
  std::optional<PickResult> Acquire(const PickRequest& aRequest,
                                    Clock::Monotonic aNow);

  /** Releases the slot of an attempt and records its outcome. */
  void Release(FleetEndpoint& aEndpoint,
               const EndpointReport& aReport,
               Clock::Monotonic aNow);

  /** Returns true if there is an endpoint that is not in aTried. */
  bool HasUntried(const std::vector<EndpointName>& aTried) const;

  /** Returns the slots that this instance may use now. */
  SlotSupply Supply() const;

  /** Updates endpoint states and recounts the usable slots, which change with
   * grants and ejections. */
  void Tick(Clock::Monotonic aNow);

  /** Reports to the SlotHolder how many slots the waiting work could use. */
  void ReportDemand(std::size_t aWaiting);

  bool IsEmpty() const { return mEndpoints.empty(); }
  std::size_t EjectedCount() const { return mEjection.EjectedCount(); }
  std::uint32_t InFlight() const { return mInFlight; }
  std::vector<EndpointStatus> Status() const;

private:
  enum class Eligibility
  {
    Ineligible,
    Eligible,
    /** Eligible, and preferred over all others to test whether the endpoint has
     * recovered. */
    Probe
  };

  bool WasTried(const FleetEndpoint& aEndpoint,
                const PickRequest& aRequest) const;
  Eligibility CheckEligibility(const FleetEndpoint& aEndpoint,
                               const PickRequest& aRequest,
                               Clock::Monotonic aNow) const;
  /** Returns true if waiting for a faster endpoint is expected to finish the
   * work earlier than running it on this slow one. */
  static bool IsWaitingFaster(const FleetEndpoint& aEndpoint,
                              const PickRequest& aRequest);
  EndpointPtr CollectCandidates(const PickRequest& aRequest,
                                Clock::Monotonic aNow);
  PickResult RecordPick(const EndpointPtr& aEndpoint,
                        const PickRequest& aRequest,
                        std::string aReason);
  double Utilisation() const;
  void RecountSlots(Clock::Monotonic aNow);

  SlotHolder& mSlots;
  EjectionPolicy mEjection;
  const StrategyTraits& mStrategy;
  std::unique_ptr<EndpointPicker> mPicker;
  std::mt19937_64 mRandom;
  std::map<EndpointName, EndpointPtr> mByName;
  std::vector<EndpointPtr> mEndpoints;
  std::uint32_t mTotalSlots = 0;
  /** Attempts in progress at listed endpoints. Those at removed endpoints are
   * counted in mRemovedInFlight. */
  std::uint32_t mInFlight = 0;
  std::uint32_t mRemovedInFlight = 0;
  /** Buffers of Acquire(), kept to avoid allocations. */
  std::vector<PickCandidate> mCandidates;
  std::vector<EndpointPtr> mCandidateEndpoints;
};

}

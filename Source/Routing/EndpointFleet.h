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

/** \brief One endpoint as its service's scheduler knows it. */
struct FleetEndpoint
{
  EndpointName mName;
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  std::uint32_t mSlots = 0;
  /** Connections that the endpoint accepts of all instances together. */
  std::uint32_t mConnections = 0;
  /** False once it left; attempts in progress may go on. */
  bool mIsListed = true;
  std::uint32_t mInFlight = 0;
  std::uint32_t mReportedWanted = 0;
  std::shared_ptr<SlotPool> mPool;
  std::shared_ptr<EndpointHealth> mHealth;
  /** By KindIndex. */
  std::vector<AdaptiveLimit> mLimits;
  std::vector<std::uint32_t> mInFlightOfKind;
};

/** \brief What an attempt asks of its endpoint. */
struct PickRequest
{
  KindIndex mKind = 0;
  bool mIsIdempotent = false;
  /** Endpoints that must not be chosen again. */
  const std::vector<EndpointName>* mTried = nullptr;
  std::chrono::microseconds mRunTime{ 0 };
  /** Time until a fast endpoint is expected to have a slot. */
  std::chrono::microseconds mExpectedWait{ 0 };
};

/** \brief The endpoint of an attempt, with what the decision log needs. */
struct PickResult
{
  std::shared_ptr<FleetEndpoint> mEndpoint;
  std::vector<EndpointName> mCandidates;
  std::string mReason;
};

/** \brief How an attempt ended, as far as its endpoint is concerned. */
struct EndpointReport
{
  KindIndex mKind = 0;
  bool mIsFault = false;
  /** False if the outcome says nothing about the endpoint. */
  bool mCountsForHealth = true;
  std::chrono::microseconds mElapsed{ 0 };
  /** Usual and high run time of the kind; zero if not yet known. */
  std::chrono::microseconds mMedian{ 0 };
  std::chrono::microseconds mHigh{ 0 };
};

/** \brief The endpoints of one service: which may take work, which one takes
 * it, and how they did. Not thread-safe: its owner holds a lock. */
class EndpointFleet
{
public:
  using EndpointPtr = std::shared_ptr<FleetEndpoint>;

  EndpointFleet(SlotHolder& aSlots,
                EjectionSettings aEjection,
                const StrategyTraits& aStrategy,
                std::uint64_t aSeed);

  /** Adds an endpoint or takes over what it now announces. */
  void Update(const EndpointAnnouncement& aAnnouncement);
  void Remove(const EndpointName& aName);

  /** Chooses an endpoint and takes one of its slots. */
  std::optional<PickResult> Acquire(const PickRequest& aRequest,
                                    Clock::Monotonic aNow);

  /** Gives the slot of an attempt back and takes over how it went. */
  void Release(FleetEndpoint& aEndpoint,
               const EndpointReport& aReport,
               Clock::Monotonic aNow);

  /** True if an endpoint that is not in aTried could take the work. */
  bool HasUntriedEndpoint(const std::vector<EndpointName>& aTried) const;

  /** Slots that this instance may use now. */
  SlotSupply Supply() const;

  /** Counts the slots anew, which grants and ejections change. */
  void Tick(Clock::Monotonic aNow);

  /** Tells the holder that this much work waits. */
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
    /** Fit, and chosen before all others to find out whether it recovered. */
    Probe
  };

  bool WasTried(const FleetEndpoint& aEndpoint,
                const PickRequest& aRequest) const;
  Eligibility CheckEligibility(const FleetEndpoint& aEndpoint,
                               const PickRequest& aRequest,
                               Clock::Monotonic aNow) const;
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
  /** Attempts in progress at listed endpoints, and at those that left. */
  std::uint32_t mInFlight = 0;
  std::uint32_t mRemovedInFlight = 0;
  /** Scratch space of Acquire(). */
  std::vector<PickCandidate> mCandidates;
  std::vector<EndpointPtr> mCandidateEndpoints;
};

}

#include "Routing/EndpointFleet.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

// Largest number of candidates considered for one attempt. Larger fleets are
// sampled from a random start, so that the cost of a choice does not grow with
// the fleet.
constexpr std::size_t kMaxCandidates = 64;

// Candidates that are listed in the decision log.
constexpr std::size_t kMaxRecordedCandidates = 8;

// Endpoints whose relative slowness does not exceed this value are used without
// comparing their extra run time to the wait for another one.
constexpr double kToleratedSlowness = 1.5;

// Upper bound of the demand reported for one endpoint, in slots.
constexpr std::uint32_t kMaxReportedDemand = 1024;

PoolId
SlotPoolIdOf(const EndpointName& aName)
{
  return { PoolType::EndpointSlots, aName };
}

}

EndpointFleet::EndpointFleet(SlotHolder& aSlots,
                             EjectionSettings aEjection,
                             const StrategyTraits& aStrategy,
                             std::uint64_t aSeed)
  : mSlots(aSlots)
  , mEjection(aEjection)
  , mStrategy(aStrategy)
  , mPicker(aStrategy.mMakePicker())
  , mRandom(aSeed)
{
}

void
EndpointFleet::Update(const EndpointAnnouncement& aAnnouncement)
{
  EndpointPtr& endpoint = mByName[aAnnouncement.mName];
  if (!endpoint) {
    endpoint = std::make_shared<FleetEndpoint>();
    endpoint->mName = aAnnouncement.mName;
    endpoint->mPool = mSlots.Pool(SlotPoolIdOf(aAnnouncement.mName));
    endpoint->mHealth = mEjection.Add();
    endpoint->mIncarnation = aAnnouncement.mIncarnation;
    mEndpoints.push_back(endpoint);
  }
  if (endpoint->mIncarnation != aAnnouncement.mIncarnation) {
    // A restarted endpoint starts with a clean health record.
    mEjection.Remove(endpoint->mHealth);
    endpoint->mHealth = mEjection.Add();
    endpoint->mIncarnation = aAnnouncement.mIncarnation;
  }
  endpoint->mAddress = aAnnouncement.mAddress;
  endpoint->mSlots = aAnnouncement.mSlots;
  endpoint->mConnections = aAnnouncement.mConnections;
  for (AdaptiveLimit& limit : endpoint->mLimits) {
    limit.SetSlots(endpoint->mSlots);
  }
  mSlots.SetCapacity(SlotPoolIdOf(endpoint->mName), endpoint->mSlots);
}

void
EndpointFleet::Remove(const EndpointName& aName)
{
  const auto found = mByName.find(aName);
  if (found == mByName.end()) {
    return;
  }
  const EndpointPtr endpoint = found->second;
  endpoint->mIsListed = false;
  mInFlight -= endpoint->mInFlight;
  mRemovedInFlight += endpoint->mInFlight;
  mEjection.Remove(endpoint->mHealth);
  mByName.erase(found);
  mEndpoints.erase(std::remove(mEndpoints.begin(), mEndpoints.end(), endpoint),
                   mEndpoints.end());
  mSlots.AddWanted(SlotPoolIdOf(aName),
                   -static_cast<std::int32_t>(endpoint->mReportedWanted));
  mSlots.Remove(SlotPoolIdOf(aName));
}

bool
EndpointFleet::WasTried(const FleetEndpoint& aEndpoint,
                        const PickRequest& aRequest) const
{
  const std::vector<EndpointName>& tried = *aRequest.mTried;
  return std::find(tried.begin(), tried.end(), aEndpoint.mName) != tried.end();
}

bool
EndpointFleet::IsWaitingFaster(const FleetEndpoint& aEndpoint,
                               const PickRequest& aRequest)
{
  const double slowness = aEndpoint.mHealth->Slowness();
  if (slowness <= kToleratedSlowness) {
    return false;
  }
  const std::chrono::duration<double> runTime = aRequest.mRunTime;
  return runTime * (slowness - 1) > aRequest.mExpectedWait;
}

EndpointFleet::Eligibility
EndpointFleet::CheckEligibility(const FleetEndpoint& aEndpoint,
                                const PickRequest& aRequest,
                                Clock::Monotonic aNow) const
{
  if (WasTried(aEndpoint, aRequest)) {
    return Eligibility::Ineligible;
  }
  if (!mStrategy.mRespectsSlots) {
    return Eligibility::Eligible;
  }
  if (aEndpoint.mPool->Free(aNow) == 0) {
    return Eligibility::Ineligible;
  }
  const EndpointHealth& health = *aEndpoint.mHealth;
  if (health.State() != HealthState::Healthy) {
    const std::uint32_t allowed = mEjection.AllowedAttempts(
      health, aEndpoint.mSlots, aRequest.mIsIdempotent, aNow);
    if (aEndpoint.mInFlight >= allowed) {
      return Eligibility::Ineligible;
    }
    if (health.State() == HealthState::Probing) {
      return Eligibility::Probe;
    }
  }
  const std::size_t kind = aRequest.mKind;
  if (kind < aEndpoint.mLimits.size() &&
      aEndpoint.mInFlightOfKind[kind] >= aEndpoint.mLimits[kind].Limit()) {
    return Eligibility::Ineligible;
  }
  return IsWaitingFaster(aEndpoint, aRequest) ? Eligibility::Ineligible
                                              : Eligibility::Eligible;
}

EndpointFleet::EndpointPtr
EndpointFleet::CollectCandidates(const PickRequest& aRequest,
                                 Clock::Monotonic aNow)
{
  mCandidates.clear();
  mCandidateEndpoints.clear();
  const std::size_t count = mEndpoints.size();
  const std::size_t first =
    mStrategy.mRespectsSlots && count > 0 ? mRandom() % count : 0;
  for (std::size_t step = 0; step < count; ++step) {
    const EndpointPtr& endpoint = mEndpoints[(first + step) % count];
    const Eligibility eligibility = CheckEligibility(*endpoint, aRequest, aNow);
    if (eligibility == Eligibility::Probe) {
      return endpoint;
    }
    if (eligibility == Eligibility::Ineligible) {
      continue;
    }
    mCandidates.push_back({ &endpoint->mName,
                            endpoint->mSlots,
                            endpoint->mInFlight,
                            endpoint->mHealth->Slowness() });
    mCandidateEndpoints.push_back(endpoint);
    if (mStrategy.mRespectsSlots && mCandidates.size() >= kMaxCandidates) {
      break;
    }
  }
  return nullptr;
}

PickResult
EndpointFleet::RecordPick(const EndpointPtr& aEndpoint,
                          const PickRequest& aRequest,
                          std::string aReason)
{
  PickResult result;
  result.mEndpoint = aEndpoint;
  result.mReason = std::move(aReason);
  const std::size_t recorded =
    std::min(mCandidateEndpoints.size(), kMaxRecordedCandidates);
  for (std::size_t i = 0; i < recorded; ++i) {
    result.mCandidates.push_back(mCandidateEndpoints[i]->mName);
  }
  FleetEndpoint& endpoint = *aEndpoint;
  while (endpoint.mLimits.size() <= aRequest.mKind) {
    endpoint.mLimits.emplace_back(endpoint.mSlots);
    endpoint.mInFlightOfKind.push_back(0);
  }
  ++endpoint.mInFlightOfKind[aRequest.mKind];
  ++endpoint.mInFlight;
  ++mInFlight;
  return result;
}

std::optional<PickResult>
EndpointFleet::Acquire(const PickRequest& aRequest, Clock::Monotonic aNow)
{
  const EndpointPtr probe = CollectCandidates(aRequest, aNow);
  if (probe && probe->mPool->TryAcquire(aNow)) {
    return RecordPick(probe, aRequest, "probe of an ejected endpoint");
  }
  if (mCandidates.empty()) {
    return std::nullopt;
  }
  const EndpointPtr chosen =
    mCandidateEndpoints[mPicker->Pick(mCandidates, mRandom)];
  if (!mStrategy.mRespectsSlots) {
    chosen->mPool->ForceAcquire();
  } else if (!chosen->mPool->TryAcquire(aNow)) {
    return std::nullopt;
  }
  return RecordPick(chosen, aRequest, std::string(mPicker->Reason()));
}

double
EndpointFleet::Utilisation() const
{
  return mTotalSlots == 0 ? 1 : static_cast<double>(mInFlight) / mTotalSlots;
}

void
EndpointFleet::Release(FleetEndpoint& aEndpoint,
                       const EndpointReport& aReport,
                       Clock::Monotonic aNow)
{
  if (aEndpoint.mPool->Release()) {
    mSlots.RecordReturnedSlot(SlotPoolIdOf(aEndpoint.mName));
  }
  --(aEndpoint.mIsListed ? mInFlight : mRemovedInFlight);
  --aEndpoint.mInFlight;
  --aEndpoint.mInFlightOfKind[aReport.mKind];
  if (!aReport.mCountsForHealth || !aEndpoint.mIsListed) {
    return;
  }
  AdaptiveLimit& limit = aEndpoint.mLimits[aReport.mKind];
  double relativeTime = 0;
  if (aReport.mIsFault) {
    limit.RecordFault();
  } else if (aReport.mMedian.count() > 0) {
    limit.RecordSuccess(aReport.mElapsed, aReport.mHigh);
    relativeTime = std::chrono::duration<double>(aReport.mElapsed) /
                   std::chrono::duration<double>(aReport.mMedian);
  }
  mEjection.RecordAttempt(
    *aEndpoint.mHealth, aReport.mIsFault, relativeTime, Utilisation(), aNow);
}

bool
EndpointFleet::HasUntried(const std::vector<EndpointName>& aTried) const
{
  PickRequest request;
  request.mTried = &aTried;
  return std::any_of(
    mEndpoints.begin(), mEndpoints.end(), [&](const EndpointPtr& aEndpoint) {
      return !WasTried(*aEndpoint, request);
    });
}

SlotSupply
EndpointFleet::Supply() const
{
  const std::uint32_t free =
    mTotalSlots > mInFlight ? mTotalSlots - mInFlight : 0;
  return { mTotalSlots + mRemovedInFlight, free };
}

void
EndpointFleet::RecountSlots(Clock::Monotonic aNow)
{
  mTotalSlots = 0;
  for (const EndpointPtr& endpoint : mEndpoints) {
    const std::uint32_t allowed = mEjection.AllowedAttempts(
      *endpoint->mHealth, endpoint->mSlots, true, aNow);
    const std::uint32_t usable =
      endpoint->mPool->Free(aNow) + endpoint->mInFlight;
    mTotalSlots += std::max(endpoint->mInFlight, std::min(usable, allowed));
  }
}

void
EndpointFleet::Tick(Clock::Monotonic aNow)
{
  mEjection.Tick(aNow);
  RecountSlots(aNow);
}

void
EndpointFleet::ReportDemand(std::size_t aWaiting)
{
  const std::size_t count = mEndpoints.size();
  if (count == 0) {
    return;
  }
  const std::size_t share = (aWaiting + count - 1) / count;
  // Rounds up to a power of two, so that small changes send no message.
  std::uint32_t rounded = share == 0 ? 0 : 1;
  while (rounded < share && rounded < kMaxReportedDemand) {
    rounded *= 2;
  }
  for (const EndpointPtr& endpoint : mEndpoints) {
    const std::uint32_t wanted = std::min(rounded, endpoint->mSlots);
    const auto delta =
      static_cast<std::int32_t>(wanted - endpoint->mReportedWanted);
    endpoint->mReportedWanted = wanted;
    mSlots.AddWanted(SlotPoolIdOf(endpoint->mName), delta);
  }
}

std::vector<EndpointStatus>
EndpointFleet::Status() const
{
  std::vector<EndpointStatus> status;
  status.reserve(mEndpoints.size());
  for (const EndpointPtr& endpoint : mEndpoints) {
    const EndpointHealth& health = *endpoint->mHealth;
    status.push_back({ endpoint->mName,
                       health.State(),
                       endpoint->mPool->Granted(),
                       endpoint->mInFlight,
                       health.ErrorRatio(),
                       health.Slowness() });
  }
  return status;
}

}

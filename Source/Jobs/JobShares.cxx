#include "Jobs/JobShares.h"

#include <algorithm>

#include "Routing/SlotPool.h"

namespace almondspoke {

namespace {

// Only bounds the requests that TeamQuota admits, of which there are none here:
// the number of a team's waiting jobs is not limited by its quota.
constexpr std::uint32_t kUnusedQueueFactor = 0;

}

JobShares::JobShares(SlotHolder& aSlots)
  : mTeams(aSlots, kUnusedQueueFactor)
{
}

void
JobShares::ApplyRules(const RoutingRules& aRules)
{
  mRules = aRules;
  mTeams.ApplyRules(aRules);
}

void
JobShares::SetInstanceCount(std::size_t aCount)
{
  mInstanceCount = std::max<std::size_t>(aCount, 1);
}

double
JobShares::AllocatedCoresOf(const ServiceName& aService,
                            const KindName& aKind) const
{
  const auto found = mAllocatedCores.find({ aService, aKind });
  return found == mAllocatedCores.end() ? 0 : found->second;
}

double
JobShares::UnusedReserves(const ShareDemand& aDemand,
                          double aInstanceCores) const
{
  double unused = 0;
  for (const auto& [kind, rules] : mRules.mKinds) {
    if (kind != aDemand.mKind) {
      unused += std::max(0.0,
                         rules.mReserve * aInstanceCores -
                           AllocatedCoresOf(aDemand.mService, kind));
    }
  }
  return unused;
}

std::optional<ShareLimitScope>
JobShares::Check(const ShareDemand& aDemand, const ServiceCores& aCores) const
{
  const KindRoutingRules& rules = mRules.Of(aDemand.mKind);
  const double instanceCores =
    aCores.mTotal / static_cast<double>(mInstanceCount);
  const double allocated = AllocatedCoresOf(aDemand.mService, aDemand.mKind);
  const double wanted = allocated + aDemand.mCores - kCoreTolerance;
  const bool hasCeiling = rules.mCeiling < 1;
  if (allocated > 0 && hasCeiling && wanted > rules.mCeiling * instanceCores) {
    return ShareLimitScope{ ShareLimit::Ceiling,
                            aDemand.mService,
                            aDemand.mKind };
  }
  if (allocated == 0 || wanted <= rules.mReserve * instanceCores) {
    return std::nullopt;
  }
  // A task that does not fit into the free cores at all waits for a worker; it
  // is not parked under the reserve.
  const double free = aCores.mTotal - aCores.mUsedByOthers - aCores.mAllocated;
  const double required = aDemand.mCores - kCoreTolerance;
  if (required <= free &&
      required > free - UnusedReserves(aDemand, instanceCores)) {
    return ShareLimitScope{ ShareLimit::Reserve, aDemand.mService, {} };
  }
  return std::nullopt;
}

std::optional<ShareLimitScope>
JobShares::AcquireTeamSlot(const ShareDemand& aDemand,
                           Clock::Monotonic aNow,
                           std::shared_ptr<SlotPool>& aPool)
{
  aPool = mTeams.PoolOf(aDemand.mTeam);
  if (aPool && !aPool->TryAcquire(aNow)) {
    aPool = nullptr;
    return ShareLimitScope{ ShareLimit::Quota, {}, aDemand.mTeam };
  }
  return std::nullopt;
}

void
JobShares::Allocate(const ShareDemand& aDemand)
{
  mAllocatedCores[{ aDemand.mService, aDemand.mKind }] += aDemand.mCores;
}

void
JobShares::Release(const ShareDemand& aDemand, SlotPool* aTeamPool)
{
  if (aTeamPool != nullptr) {
    mTeams.Release(aDemand.mTeam, *aTeamPool);
  }
  const auto allocated =
    mAllocatedCores.find({ aDemand.mService, aDemand.mKind });
  if (allocated == mAllocatedCores.end()) {
    return;
  }
  allocated->second -= aDemand.mCores;
  if (allocated->second <= kCoreTolerance) {
    mAllocatedCores.erase(allocated);
  }
}

std::array<ShareLimitScope, 3>
JobShares::LimitScopesOf(const ShareDemand& aDemand)
{
  return { ShareLimitScope{
             ShareLimit::Ceiling, aDemand.mService, aDemand.mKind },
           ShareLimitScope{ ShareLimit::Reserve, aDemand.mService, {} },
           ShareLimitScope{ ShareLimit::Quota, {}, aDemand.mTeam } };
}

void
JobShares::AddWaitingTasks(const TeamName& aTeam, std::int64_t aDelta)
{
  if (aDelta != 0) {
    mWaitingTaskCounts[aTeam] += aDelta;
  }
}

void
JobShares::ReportDemand()
{
  for (auto team = mWaitingTaskCounts.begin();
       team != mWaitingTaskCounts.end();) {
    mTeams.ReportWaiting(
      team->first,
      static_cast<std::size_t>(std::max<std::int64_t>(team->second, 0)));
    team = team->second <= 0 ? mWaitingTaskCounts.erase(team) : std::next(team);
  }
}

}

#include "Routing/TeamQuota.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

TeamQuota::TeamQuota(SlotHolder& aSlots, std::uint32_t aQueueFactor)
  : mHolder(aSlots)
  , mQueueFactor(aQueueFactor)
{
}

void
TeamQuota::ApplyRules(const RoutingRules& aRules)
{
  std::map<TeamName, Team> teams;
  for (const auto& [name, slots] : aRules.mTeamSlots) {
    const PoolId pool{ PoolType::TeamSlots, name };
    Team& team = teams[name];
    const auto known = mTeams.find(name);
    if (known != mTeams.end()) {
      team = known->second;
    }
    team.mSlots = slots;
    team.mPool = mHolder.Pool(pool);
  }
  mTeams = std::move(teams);
}

std::shared_ptr<SlotPool>
TeamQuota::PoolOf(const TeamName& aTeam)
{
  const auto found = mTeams.find(aTeam);
  return found == mTeams.end() ? nullptr : found->second.mPool;
}

void
TeamQuota::Release(const TeamName& aTeam, SlotPool& aPool)
{
  if (aPool.Release()) {
    mHolder.RecordReturnedSlot({ PoolType::TeamSlots, aTeam });
  }
}

std::vector<TeamName>
TeamQuota::TeamsWithReportedDemand() const
{
  return { mTeamsWithDemand.begin(), mTeamsWithDemand.end() };
}

bool
TeamQuota::TryAdmit(const TeamName& aTeam)
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return true;
  }
  Team& team = found->second;
  if (team.mOutstanding >= team.mSlots * mQueueFactor) {
    return false;
  }
  ++team.mOutstanding;
  return true;
}

void
TeamQuota::RemoveOutstanding(const TeamName& aTeam)
{
  const auto found = mTeams.find(aTeam);
  if (found != mTeams.end() && found->second.mOutstanding > 0) {
    --found->second.mOutstanding;
  }
}

void
TeamQuota::ReportWaiting(const TeamName& aTeam, std::size_t aWaiting)
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    mTeamsWithDemand.erase(aTeam);
    return;
  }
  Team& team = found->second;
  const auto wanted =
    static_cast<std::uint32_t>(std::min<std::size_t>(aWaiting, team.mSlots));
  const auto delta = static_cast<std::int32_t>(wanted - team.mReportedDemand);
  team.mReportedDemand = wanted;
  if (wanted > 0) {
    mTeamsWithDemand.insert(aTeam);
  } else {
    mTeamsWithDemand.erase(aTeam);
  }
  mHolder.AddWanted({ PoolType::TeamSlots, aTeam }, delta);
}

}

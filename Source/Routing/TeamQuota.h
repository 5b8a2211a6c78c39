#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Routing/RoutingRules.h"
#include "Routing/SlotHolder.h"

namespace almondspoke {

/** \brief The quotas of the teams, in slots over all instances of a data
 * centre. This instance uses the share that its SlotHolder has been granted.
 *
 * Not thread-safe, except for the pools. */
class TeamQuota
{
public:
  /** \param aQueueFactor maximum outstanding work of a team for each slot of
   *   its quota. */
  TeamQuota(SlotHolder& aSlots, std::uint32_t aQueueFactor);

  void ApplyRules(const RoutingRules& aRules);

  /** Returns the pool of a team; null if the team has no quota. */
  std::shared_ptr<SlotPool> PoolOf(const TeamName& aTeam);

  /** Releases a slot of the pool of a team. */
  void Release(const TeamName& aTeam, SlotPool& aPool);

  /** Returns the teams for which a demand above zero was reported last. */
  std::vector<TeamName> TeamsWithReportedDemand() const;

  /** Adds one piece of work to the outstanding work of the team; returns false
   * if the team has reached its maximum. */
  bool TryAdmit(const TeamName& aTeam);

  /** Removes one piece of work from the outstanding work of the team. */
  void RemoveOutstanding(const TeamName& aTeam);

  /** Reports to the SlotHolder how many additional slots the waiting work of a
   * team could use. */
  void ReportWaiting(const TeamName& aTeam, std::size_t aWaiting);

private:
  struct Team
  {
    std::uint32_t mSlots = 0;
    std::uint32_t mOutstanding = 0;
    std::uint32_t mReportedDemand = 0;
    std::shared_ptr<SlotPool> mPool;
  };

  SlotHolder& mHolder;
  const std::uint32_t mQueueFactor;
  std::map<TeamName, Team> mTeams;
  std::set<TeamName> mTeamsWithDemand;
};

}

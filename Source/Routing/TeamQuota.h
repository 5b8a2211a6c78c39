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
 * centre: this instance uses the share that its SlotHolder has been granted.
 * Not thread-safe; the pools themselves are. */
class TeamQuota
{
public:
  /** \param aQueueFactor outstanding work of a team for each slot of its
   * quota. */
  TeamQuota(SlotHolder& aSlots, std::uint32_t aQueueFactor);

  void ApplyRules(const RoutingRules& aRules);

  /** Returns the pool of a team, or nothing if it has no quota. */
  std::shared_ptr<SlotPool> PoolOf(const TeamName& aTeam);

  /** Gives back a slot of a team's pool. */
  void Release(const TeamName& aTeam, SlotPool& aPool);

  /** Teams for which waiting work was reported last. */
  std::vector<TeamName> TeamsWithReportedDemand() const;

  /** Counts work of the team that waits or runs; false if there is too much of
   * it already. */
  bool TryAdmit(const TeamName& aTeam);

  /** Ends the count of one piece of work. */
  void RemoveOutstanding(const TeamName& aTeam);

  /** Tells the holder how many more slots a team's waiting work could use. */
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

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief Work that waits for a slot of the quota of its team.
 *
 * It is kept out of the RequestQueue so that it does not block the work of
 * other teams. Not thread-safe; the owner holds a lock. */
class QuotaWaitList
{
public:
  void Add(const TeamName& aTeam, const QueueKey& aKey);
  void Remove(const TeamName& aTeam, const QueueKey& aKey);

  /** Returns the first work of a team by urgency, then deadline. */
  std::optional<WorkId> First(const TeamName& aTeam) const;

  /** Returns work whose deadline has passed, at most aLimit entries. */
  std::vector<WorkId> Expired(Clock::Monotonic aNow, std::size_t aLimit) const;

  /** Returns the teams that have waiting work. */
  std::vector<TeamName> Teams() const;

  std::size_t Count(const TeamName& aTeam) const;
  std::size_t Length() const { return mByDeadline.size(); }

private:
  std::map<TeamName, std::set<QueueKey>> mByTeam;
  std::set<std::pair<Clock::Monotonic, WorkId>> mByDeadline;
};

}

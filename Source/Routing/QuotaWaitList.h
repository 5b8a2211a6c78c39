#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief Work that waits for a slot of its team's quota, kept out of the
 * queue so that it does not stand in the way of other teams. Not thread-safe.
 */
class QuotaWaitList
{
public:
  void Add(const TeamName& aTeam, const QueueKey& aKey);
  void Remove(const TeamName& aTeam, const QueueKey& aKey);

  /** First work of a team by urgency and deadline. */
  std::optional<WorkId> First(const TeamName& aTeam) const;

  /** Work whose deadline has passed. */
  std::vector<WorkId> Expired(Clock::Monotonic aNow, std::size_t aLimit) const;

  /** Teams that have work here. */
  std::vector<TeamName> Teams() const;

  std::size_t Count(const TeamName& aTeam) const;
  std::size_t Length() const { return mByDeadline.size(); }

private:
  std::map<TeamName, std::set<QueueKey>> mByTeam;
  std::set<std::pair<Clock::Monotonic, WorkId>> mByDeadline;
};

}

#include "Routing/QuotaWaitList.h"

namespace almondspoke {

void
QuotaWaitList::Add(const TeamName& aTeam, const QueueKey& aKey)
{
  mByTeam[aTeam].insert(aKey);
  mByDeadline.emplace(aKey.mDeadline, aKey.mId);
}

void
QuotaWaitList::Remove(const TeamName& aTeam, const QueueKey& aKey)
{
  const auto found = mByTeam.find(aTeam);
  if (found == mByTeam.end() || found->second.erase(aKey) == 0) {
    return;
  }
  if (found->second.empty()) {
    mByTeam.erase(found);
  }
  mByDeadline.erase({ aKey.mDeadline, aKey.mId });
}

std::optional<WorkId>
QuotaWaitList::First(const TeamName& aTeam) const
{
  const auto found = mByTeam.find(aTeam);
  if (found == mByTeam.end()) {
    return std::nullopt;
  }
  return found->second.begin()->mId;
}

std::vector<WorkId>
QuotaWaitList::Expired(Clock::Monotonic aNow, std::size_t aLimit) const
{
  std::vector<WorkId> expired;
  for (const auto& [deadline, id] : mByDeadline) {
    if (deadline > aNow || expired.size() >= aLimit) {
      break;
    }
    expired.push_back(id);
  }
  return expired;
}

std::vector<TeamName>
QuotaWaitList::Teams() const
{
  std::vector<TeamName> teams;
  teams.reserve(mByTeam.size());
  for (const auto& [team, keys] : mByTeam) {
    teams.push_back(team);
  }
  return teams;
}

std::size_t
QuotaWaitList::Count(const TeamName& aTeam) const
{
  const auto found = mByTeam.find(aTeam);
  return found == mByTeam.end() ? 0 : found->second.size();
}

}

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "Routing/Work.h"

namespace almondspoke {

/** \brief Routing rules of one kind of work. Shares are fractions of the slots
 * of a service that this instance holds. */
struct KindRoutingRules
{
  /** Share of the slots that is reserved for this kind, 0 to 1. */
  double mReserve = 0;
  /** Largest share of the slots and of the queue that this kind may use, 0 to
   * 1. */
  double mCeiling = 1;
  /** Weight for the distribution of unreserved slots between kinds of equal
   * urgency. */
  double mWeight = 1;
  /** Maximum duration of one attempt. */
  std::optional<std::chrono::milliseconds> mTimeout;
  /** True if work of this kind is not retried once it may have run, even if the
   * caller declares it idempotent. */
  bool mIsNeverRepeated = false;
  /** Maximum number of retries; not set if the rules do not limit them. */
  std::optional<std::uint32_t> mRetries = std::nullopt;
};

/** \brief The routing rules of all kinds and teams. */
struct RoutingRules
{
  std::uint64_t mVersion = 0;
  /** Rules of kinds without an entry in mKinds. */
  KindRoutingRules mDefault;
  std::map<KindName, KindRoutingRules> mKinds;
  /** Quota of each team, in slots over all instances of the data centre. */
  std::map<TeamName, std::uint32_t> mTeamSlots;

  const KindRoutingRules& Of(const KindName& aKind) const
  {
    const auto found = mKinds.find(aKind);
    return found == mKinds.end() ? mDefault : found->second;
  }
};

}

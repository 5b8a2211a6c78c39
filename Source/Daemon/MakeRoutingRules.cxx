#include "Daemon/MakeRoutingRules.h"

#include <string>

#include "Rules/RuleSet.h"

namespace almondspoke {

namespace {

KindRoutingRules
MakeKindRoutingRules(const KindRules& aKind)
{
  KindRoutingRules rules;
  rules.mReserve = aKind.mReserve;
  rules.mCeiling = aKind.mCeiling;
  rules.mWeight = aKind.mWeight;
  rules.mRetries = aKind.mRetries;
  rules.mIsNeverRepeated = aKind.mRepeat == Repeat::Never;
  return rules;
}

}

RoutingRules
MakeRoutingRules(const RuleSet& aRules)
{
  RoutingRules rules;
  rules.mVersion = aRules.Version();
  for (const std::string_view kind : aRules.KindNames()) {
    rules.mKinds.emplace(kind, MakeKindRoutingRules(aRules.Kind(kind)));
  }
  for (const std::string_view team : aRules.TeamNames()) {
    const std::optional<std::uint32_t> quota = aRules.Team(team).mQuotaSlots;
    if (quota) {
      rules.mTeamSlots.emplace(team, *quota);
    }
  }
  return rules;
}

}

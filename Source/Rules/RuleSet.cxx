#include "Rules/RuleSet.h"

#include <utility>

#include "Rules/RuleParser.h"

namespace almondspoke {

namespace {

constexpr double kShareOfOnePercent = 0.01;

const KindRules kDefaultKind;
const TeamRules kDefaultTeam;

double
ShareOf(const Rule& aRule)
{
  return std::get<Percentage>(aRule.mValue).mValue * kShareOfOnePercent;
}

std::uint32_t
CountOf(const Rule& aRule)
{
  return std::get<Count>(aRule.mValue).mValue;
}

}

Urgency
KindRules::UrgencyAt(Clock::Wall aTime) const
{
  for (const UrgencySetting& setting : mWindows) {
    if (setting.mWindow->Contains(aTime)) {
      return setting.mUrgency;
    }
  }
  return mUrgency;
}

RuleSet::RuleSet(RulesVersion aVersion, std::vector<Rule> aRules)
  : mVersion(aVersion)
  , mRules(std::move(aRules))
{
  for (const Rule& rule : mRules) {
    Add(rule);
  }
}

Result<std::shared_ptr<const RuleSet>>
RuleSet::FromText(RulesVersion aVersion, std::string_view aText)
{
  ParsedRules parsed = RuleParser::Parse(aText);
  if (!parsed.mErrors.empty()) {
    return Error(ErrorKind::InvalidRules, FormatErrors(parsed.mErrors));
  }
  return std::make_shared<const RuleSet>(aVersion, std::move(parsed.mRules));
}

const KindRules&
RuleSet::Kind(std::string_view aKind) const
{
  const auto found = mKinds.find(aKind);
  return found == mKinds.end() ? kDefaultKind : found->second;
}

bool
RuleSet::HasKind(std::string_view aKind) const
{
  return mKinds.count(aKind) != 0;
}

const TeamRules&
RuleSet::Team(std::string_view aTeam) const
{
  const auto found = mTeams.find(aTeam);
  return found == mTeams.end() ? kDefaultTeam : found->second;
}

bool
RuleSet::HasTeam(std::string_view aTeam) const
{
  return mTeams.count(aTeam) != 0;
}

void
RuleSet::Add(const Rule& aRule)
{
  if (aRule.mDirective != Directive::Quota) {
    const auto [entry, isNew] = mKinds.try_emplace(aRule.mSubject);
    if (isNew) {
      mKindNames.push_back(entry->first);
    }
    AddToKind(aRule, entry->second);
    return;
  }
  const auto [entry, isNew] = mTeams.try_emplace(aRule.mSubject);
  if (isNew) {
    mTeamNames.push_back(entry->first);
  }
  entry->second.mQuotaSlots = CountOf(aRule);
}

void
RuleSet::AddToKind(const Rule& aRule, KindRules& aKind)
{
  switch (aRule.mDirective) {
    case Directive::Urgency: {
      const auto& setting = std::get<UrgencySetting>(aRule.mValue);
      aKind.mHasUrgency = true;
      if (setting.mWindow) {
        aKind.mWindows.push_back(setting);
      } else {
        aKind.mUrgency = setting.mUrgency;
      }
      return;
    }
    case Directive::NeverRepeat:
      aKind.mRepeat = Repeat::Never;
      return;
    case Directive::Idempotent:
      aKind.mRepeat = Repeat::Allowed;
      return;
    case Directive::Retry:
      aKind.mRetries = CountOf(aRule);
      return;
    case Directive::Reserve:
      aKind.mReserve = ShareOf(aRule);
      return;
    case Directive::Ceiling:
      aKind.mCeiling = ShareOf(aRule);
      return;
    case Directive::Timeout:
      aKind.mTimeout = std::get<std::chrono::milliseconds>(aRule.mValue);
      return;
    case Directive::Weight:
      aKind.mWeight = CountOf(aRule);
      return;
    case Directive::Quota:
      return;
  }
}

}

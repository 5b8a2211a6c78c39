#include "Rules/RuleChecks.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

namespace almondspoke {

namespace {

constexpr std::uint32_t kMaxTotalReservePercent = 100;

/** \brief The rules of one kind or team that have been checked so far. */
struct SubjectRules
{
  std::array<const Rule*, kDirectiveNames.size()> mByDirective{};
  std::vector<const Rule*> mUrgencies;

  const Rule*& RuleOf(Directive aDirective)
  {
    return mByDirective[static_cast<std::size_t>(aDirective)];
  }
};

/** \brief Finds rules that repeat or contradict an earlier rule. */
class RuleChecker
{
public:
  explicit RuleChecker(std::vector<RuleError>& aErrors)
    : mErrors(aErrors)
  {
  }

  void Check(const Rule& aRule)
  {
    const bool isTeam = aRule.mDirective == Directive::Quota;
    SubjectRules& earlier =
      isTeam ? mTeams[aRule.mSubject] : mKinds[aRule.mSubject];
    if (aRule.mDirective == Directive::Urgency) {
      CheckUrgency(aRule, earlier);
      return;
    }
    if (const Rule* duplicate = earlier.RuleOf(aRule.mDirective)) {
      Fail(aRule,
           fmt::format("{} {} is already defined on line {}",
                       NameOf(kDirectiveNames, aRule.mDirective),
                       aRule.mSubject,
                       duplicate->mLine),
           "one rule of this type for each name");
      return;
    }
    earlier.RuleOf(aRule.mDirective) = &aRule;
    CheckRepeats(aRule, earlier);
    CheckShares(aRule, earlier);
  }

private:
  void CheckUrgency(const Rule& aRule, SubjectRules& aEarlier)
  {
    for (const Rule* other : aEarlier.mUrgencies) {
      const bool conflicts = !CheckWindows(aRule, *other);
      if (conflicts) {
        return;
      }
    }
    aEarlier.mUrgencies.push_back(&aRule);
  }

  bool CheckWindows(const Rule& aRule, const Rule& aOther)
  {
    const auto& window = std::get<UrgencySetting>(aRule.mValue).mWindow;
    const auto& other = std::get<UrgencySetting>(aOther.mValue).mWindow;
    if (window.has_value() != other.has_value()) {
      return true;
    }
    if (!window) {
      Fail(
        aRule,
        fmt::format("urgency {} without a window is already defined on line {}",
                    aRule.mSubject,
                    aOther.mLine),
        "one urgency without a window for each kind");
      return false;
    }
    if (window->Zone().Name() != other->Zone().Name()) {
      Fail(aRule,
           fmt::format("urgency {} has another time zone than line {}",
                       aRule.mSubject,
                       aOther.mLine),
           "one time zone for all windows of a kind");
      return false;
    }
    if (window->Overlaps(*other)) {
      Fail(aRule,
           fmt::format("the window {} overlaps {} on line {}",
                       window->ToString(),
                       other->ToString(),
                       aOther.mLine),
           "windows of a kind that do not overlap");
      return false;
    }
    return true;
  }

  void CheckRepeats(const Rule& aRule, SubjectRules& aRules)
  {
    const Rule* never = aRules.RuleOf(Directive::NeverRepeat);
    if (never == nullptr) {
      return;
    }
    for (const Directive directive :
         { Directive::Idempotent, Directive::Retry }) {
      const Rule* other = aRules.RuleOf(directive);
      if (other == nullptr || (&aRule != never && &aRule != other)) {
        continue;
      }
      const Rule& earlier = &aRule == never ? *other : *never;
      Fail(aRule,
           fmt::format("{} {} contradicts {} on line {}",
                       NameOf(kDirectiveNames, aRule.mDirective),
                       aRule.mSubject,
                       NameOf(kDirectiveNames, earlier.mDirective),
                       earlier.mLine),
           "never-repeat, or idempotent and retry, but not both");
    }
  }

  void CheckShares(const Rule& aRule, SubjectRules& aRules)
  {
    const bool isReserve = aRule.mDirective == Directive::Reserve;
    if (!isReserve && aRule.mDirective != Directive::Ceiling) {
      return;
    }
    const Rule* reserve = aRules.RuleOf(Directive::Reserve);
    const Rule* ceiling = aRules.RuleOf(Directive::Ceiling);
    if (reserve != nullptr && ceiling != nullptr &&
        Percent(*reserve) > Percent(*ceiling)) {
      Fail(aRule,
           fmt::format("the reserve of {} ({}%, line {}) is above its "
                       "ceiling ({}%, line {})",
                       aRule.mSubject,
                       Percent(*reserve),
                       reserve->mLine,
                       Percent(*ceiling),
                       ceiling->mLine),
           "a reserve of at most the ceiling");
    }
    if (!isReserve) {
      return;
    }
    const std::uint32_t before = mTotalReservedPercent;
    mTotalReservedPercent += Percent(aRule);
    if (mTotalReservedPercent > kMaxTotalReservePercent) {
      Fail(aRule,
           fmt::format("the reserves up to this line add up to {}%",
                       mTotalReservedPercent),
           before < kMaxTotalReservePercent
             ? fmt::format("at most {}% here", kMaxTotalReservePercent - before)
             : std::string("no further reserve"));
    }
  }

  static std::uint32_t Percent(const Rule& aRule)
  {
    return std::get<Percentage>(aRule.mValue).mValue;
  }

  void Fail(const Rule& aRule, std::string aProblem, std::string aAllowed)
  {
    mErrors.push_back(
      { aRule.mLine, 1, std::move(aProblem), std::move(aAllowed) });
  }

  std::vector<RuleError>& mErrors;
  std::unordered_map<std::string_view, SubjectRules> mKinds;
  std::unordered_map<std::string_view, SubjectRules> mTeams;
  std::uint32_t mTotalReservedPercent = 0;
};

}

void
CheckRules(const std::vector<Rule>& aRules, std::vector<RuleError>& aErrors)
{
  RuleChecker checker(aErrors);
  for (const Rule& rule : aRules) {
    checker.Check(rule);
  }
}

}

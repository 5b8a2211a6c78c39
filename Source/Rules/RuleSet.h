#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Rules/Rule.h"

namespace almondspoke {

/** Version of the configuration; zero before the first change. */
using RulesVersion = std::uint64_t;

/** \brief Whether a kind of work may be started again after it may have run.
 */
enum class Repeat
{
  /** No rule: repeated only if the caller's header allows it. */
  ByCaller,
  /** `idempotent`: may be started again, unless the caller forbids it.
   */
  Allowed,
  /** `never-repeat`: never started again, regardless of the caller. */
  Never
};

/** \brief The rules of one kind of work. */
struct KindRules
{
  /** Urgencies with a time window; the windows do not overlap. */
  std::vector<UrgencySetting> mWindows;
  /** True if a rule sets the kind's urgency, which then overrides the one from
   * the caller. */
  bool mHasUrgency = false;
  /** Urgency outside of all windows. */
  Urgency mUrgency = Urgency::Normal;
  Repeat mRepeat = Repeat::ByCaller;
  /** Maximum number of retries after the first attempt; empty if no rule limits
   * it. */
  std::optional<std::uint32_t> mRetries;
  /** Share of the slots reserved for the kind, 0 to 1. */
  double mReserve = 0;
  /** Largest share of the slots that the kind may take, 0 to 1. */
  double mCeiling = 1;
  /** Relative weight: how often the kind is served for each time that a waiting
   * kind of weight 1 is served. */
  std::uint32_t mWeight = 1;
  /** Timeout for requests that do not set one. */
  std::optional<std::chrono::milliseconds> mTimeout;

  /** Urgency at a wall time. */
  Urgency UrgencyAt(Clock::Wall aTime) const;
};

/** \brief The rules of one team. */
struct TeamRules
{
  /** Maximum number of slots that the team may use at the same time; empty if
   * there is no limit. */
  std::optional<std::uint32_t> mQuotaSlots;
};

/** \brief An immutable snapshot of the current rules, shared by readers.
 *
 * A lookup hashes the name once and does not allocate memory. */
class RuleSet
{
public:
  /** \param aRules rules that RuleParser has parsed without errors. */
  RuleSet(RulesVersion aVersion, std::vector<Rule> aRules);

  RuleSet(const RuleSet&) = delete;
  RuleSet& operator=(const RuleSet&) = delete;

  /** Parses a rules file. Errors: InvalidRules, with all errors of the file. */
  static Result<std::shared_ptr<const RuleSet>> FromText(
    RulesVersion aVersion,
    std::string_view aText);

  RulesVersion Version() const { return mVersion; }

  /** Rules of a kind, or the defaults if it has no rules. */
  const KindRules& Kind(std::string_view aKind) const;

  /** True if the kind has rules. */
  bool HasKind(std::string_view aKind) const;

  /** Rules of a team, or the defaults if it has no rules. */
  const TeamRules& Team(std::string_view aTeam) const;

  /** True if the team has rules. */
  bool HasTeam(std::string_view aTeam) const;

  /** Names of all kinds that have rules, in the order of the file. */
  const std::vector<std::string_view>& KindNames() const { return mKindNames; }

  /** Names of all teams that have rules, in the order of the file. */
  const std::vector<std::string_view>& TeamNames() const { return mTeamNames; }

  /** All rules, in the order of the file. */
  const std::vector<Rule>& Rules() const { return mRules; }

private:
  void Add(const Rule& aRule);
  void AddToKind(const Rule& aRule, KindRules& aKind);

  RulesVersion mVersion;
  // The names in the members below are views into these rules.
  const std::vector<Rule> mRules;
  std::unordered_map<std::string_view, KindRules> mKinds;
  std::unordered_map<std::string_view, TeamRules> mTeams;
  std::vector<std::string_view> mKindNames;
  std::vector<std::string_view> mTeamNames;
};

}

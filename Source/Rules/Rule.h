#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Base/EnumNames.h"
#include "Rules/TimeWindow.h"
#include "Rules/Urgency.h"

namespace almondspoke {

/** \brief The first word of a rule, which selects what the rule sets. */
enum class Directive
{
  Urgency,
  NeverRepeat,
  Idempotent,
  Retry,
  Reserve,
  Ceiling,
  Quota,
  Weight,
  Timeout
};

/** Names of the directives in rules files. */
inline constexpr std::array<EnumName<Directive>, 9> kDirectiveNames = { {
  { Directive::Urgency, "urgency" },
  { Directive::NeverRepeat, "never-repeat" },
  { Directive::Idempotent, "idempotent" },
  { Directive::Retry, "retry" },
  { Directive::Reserve, "reserve" },
  { Directive::Ceiling, "ceiling" },
  { Directive::Quota, "quota" },
  { Directive::Weight, "weight" },
  { Directive::Timeout, "timeout" },
} };

/** \brief An urgency and the time of day at which it applies. Without a window
 * it applies whenever no other window of the kind does. */
struct UrgencySetting
{
  Urgency mUrgency = Urgency::Normal;
  std::optional<TimeWindow> mWindow;
};

/** \brief A share of the slots in percent, 0 to 100. */
struct Percentage
{
  std::uint32_t mValue = 0;
};

/** \brief A number of retries or slots, or a relative weight. */
struct Count
{
  std::uint32_t mValue = 0;
};

/** The value that a rule sets; std::monostate for directives without a value.
 */
using RuleValue = std::variant<std::monostate,
                               UrgencySetting,
                               Percentage,
                               Count,
                               std::chrono::milliseconds>;

/** \brief One line of a rules file. */
struct Rule
{
  Directive mDirective = Directive::Urgency;
  /** Kind of work, or the team for `quota`. */
  std::string mSubject;
  RuleValue mValue;
  /** The comment, without the comment sign. It names who requested the rule. */
  std::string mComment;
  /** Line of the rules file, starting at 1. */
  int mLine = 0;
};

/** Returns the rule in normalised form, without its comment. */
std::string
FormatRule(const Rule& aRule);

/** Formats a duration as in a rules file, such as 250ms, 2s or 5m. */
std::string
FormatRuleDuration(std::chrono::milliseconds aDuration);

}

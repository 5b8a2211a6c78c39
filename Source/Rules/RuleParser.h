#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "Rules/Rule.h"
#include "Rules/RuleError.h"

namespace almondspoke {

/** Limits of a rules file; exceeding one is reported as an error. */
inline constexpr std::size_t kMaxRulesBytes = std::size_t{ 2 } << 20;
inline constexpr std::size_t kMaxRules = 20000;
inline constexpr std::size_t kMaxRuleLineBytes = 1024;
inline constexpr std::size_t kMaxSubjectBytes = 64;

/** \brief Result of parsing a rules file: the rules, or all errors of the file.
 */
struct ParsedRules
{
  /** The parsed rules; only valid if there are no errors. */
  std::vector<Rule> mRules;
  /** All errors, sorted by line. */
  std::vector<RuleError> mErrors;
};

/** \brief Parses a rules file. Each line contains one rule and a comment that
 * names who requested it. Empty lines and lines with only a comment are
 * skipped. */
class RuleParser
{
public:
  /** Parses the text and checks for conflicts between the rules. */
  static ParsedRules Parse(std::string_view aText);
};

}

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Rules/Rule.h"

namespace almondspoke {

/** \brief One rule that differs between two rules files. */
struct RuleChange
{
  /** Empty if the rule is new. */
  std::optional<Rule> mBefore;
  /** Empty if the rule was removed. */
  std::optional<Rule> mAfter;
};

/** \brief Compares the rules of two rules files; the order of the lines and
 * whitespace are ignored. */
class RuleDiff
{
public:
  /** Returns the removed and changed rules in the order of aBefore, then the
   * new ones in the order of aAfter. */
  static std::vector<RuleChange> Compare(const std::vector<Rule>& aBefore,
                                         const std::vector<Rule>& aAfter);

  /** Returns "- rule # comment" and "+ rule # comment" lines. */
  static std::vector<std::string> Format(
    const std::vector<RuleChange>& aChanges);
};

}

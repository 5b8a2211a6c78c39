#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Rules/RuleSet.h"

namespace almondspoke {

/** \brief Describes in plain sentences what the rules mean for callers. */
class RuleExplainer
{
public:
  /** Returns one sentence for each rule, including its comment, and one for all
   * work without a rule. */
  static std::vector<std::string> Explain(const RuleSet& aRules);

  /** Returns the sentences about one kind of work or team, or a sentence about
   * the defaults if it has no rules. */
  static std::vector<std::string> Explain(const RuleSet& aRules,
                                          std::string_view aName);
};

}

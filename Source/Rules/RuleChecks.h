#pragma once

#include <vector>

#include "Rules/Rule.h"
#include "Rules/RuleError.h"

namespace almondspoke {

/** Checks for conflicts between rules: duplicates, overlapping windows and
 * contradictions. Each error is reported for the later of the two lines. */
void
CheckRules(const std::vector<Rule>& aRules, std::vector<RuleError>& aErrors);

}

#pragma once

#include "Routing/RoutingRules.h"

namespace almondspoke {

class RuleSet;

/** Extracts the rules that concern routing.
 *
 * Timeouts are not included: a rule's timeout is the default for requests that
 * declare none, and the request path applies it. */
RoutingRules
MakeRoutingRules(const RuleSet& aRules);

}

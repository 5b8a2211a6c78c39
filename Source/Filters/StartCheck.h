#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"

namespace almondspoke {

class RequestContext;

/** Checks immediately before sending that an attempt may start: the caller is
 * connected, the deadline has not passed, and the claim, if any, is valid. */
Result<void>
CheckStart(RequestContext& aContext,
           Clock::Monotonic aDeadline,
           Clock::Monotonic aNow);

}

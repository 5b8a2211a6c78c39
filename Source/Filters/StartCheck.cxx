#include "Filters/StartCheck.h"

#include "Filters/RequestContext.h"

namespace almondspoke {

Result<void>
CheckStart(RequestContext& aContext,
           Clock::Monotonic aDeadline,
           Clock::Monotonic aNow)
{
  if (aContext.IsCallerDisconnected()) {
    return Error(ErrorKind::CallerGone, "the caller disconnected");
  }
  if (aNow >= aDeadline) {
    return Error(ErrorKind::DeadlineExpiredInQueue,
                 "the deadline passed before the request was sent");
  }
  return aContext.mClaim ? aContext.mClaim->CheckStart() : Success();
}

}

#include "Filters/ClassifyFilter.h"

#include <utility>

#include "Filters/RequestFields.h"

namespace almondspoke {

namespace {

// Restores the caller's idempotency key in a request from another data centre,
// so that the endpoint gets the same key as in the caller's own data centre.
void
RestoreIdempotencyKey(RequestContext& aContext)
{
  HttpFields& fields = aContext.mForwardFields;
  const std::string* key = FindField(fields, kSpilledKeyField);
  if (key != nullptr && !aContext.mKey && IsKey(*key)) {
    SetField(fields, kIdempotencyKeyField, *key);
  }
  RemoveField(fields, kSpilledKeyField);
  RemoveField(fields, kSpilledFromField);
}

}

ClassifyFilter::ClassifyFilter(const Clock& aClock,
                               std::chrono::milliseconds aTimeout)
  : mClock(aClock)
  , mDefaultTimeout(aTimeout)
{
}

void
ClassifyFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  RequestContext& context = *aContext;
  // A rule's urgency overrides the caller's, so that callers cannot raise their
  // own urgency.
  context.mUrgency = context.mPolicy.mUrgency.value_or(
    context.mDeclaredUrgency.value_or(kUrgencyNormal));
  const std::chrono::milliseconds timeout = context.mDeclaredTimeout.value_or(
    context.mPolicy.mTimeout.value_or(mDefaultTimeout));
  context.mDeadline = context.Arrival() + timeout;
  if (mClock.MonotonicNow() >= context.mDeadline) {
    context.Fail(Error(ErrorKind::DeadlineUnreachable,
                       "the deadline passed before the request was queued"));
    return;
  }
  HttpRequest& request = context.Request();
  context.mForwardFields = std::move(request.mFields);
  RemoveHopByHopFields(context.mForwardFields);
  RemoveField(context.mForwardFields, "host");
  if (context.mSpillOrigin) {
    RestoreIdempotencyKey(context);
  }
  SetField(context.mForwardFields, kRequestIdField, context.Id());
  context.mBody = std::make_shared<const std::string>(std::move(request.mBody));
  aNext(std::move(aContext));
}

}

#include "Filters/QueueFilter.h"

#include <string>
#include <utility>

namespace almondspoke {

namespace {

ScheduledRequest
MakeScheduledRequest(RequestContext& aContext)
{
  ScheduledRequest request;
  request.mRequestId = aContext.Id();
  request.mService = aContext.mService;
  request.mKind = aContext.mKind;
  request.mTeam = aContext.mTeam;
  request.mUrgency = aContext.mUrgency;
  request.mIdempotent = aContext.mIdempotent;
  request.mDeadline = aContext.mDeadline;
  request.mIsSpilled = aContext.mSpillOrigin.has_value();
  request.mStop = [weak = aContext.weak_from_this()](std::uint32_t aNumber) {
    const RequestContextPtr context = weak.lock();
    if (context) {
      context->StopAttempt(aNumber);
    }
  };
  return request;
}

}

QueueFilter::QueueFilter(RequestScheduler& aScheduler, DecisionSink& aDecisions)
  : mScheduler(aScheduler)
  , mDecisions(aDecisions)
{
}

void
QueueFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  const auto dispatch = [aContext, aNext](RequestScheduler::Ticket aTicket,
                                          const ScheduledAttempt& aAttempt) {
    aContext->mTicket = aTicket;
    aContext->mAttempt = aAttempt;
    aNext(aContext);
  };
  // No decision is recorded here: the scheduler records its refusals.
  const auto refuse = [aContext](const Error& aError) {
    aContext->Fail(aError);
  };
  const Result<RequestScheduler::Ticket> ticket =
    mScheduler.Submit(MakeScheduledRequest(*aContext), dispatch, refuse);
  if (ticket.has_error()) {
    aContext->Fail(ticket.error());
    return;
  }
  CancelOnDisconnect(aContext, ticket.value());
}

void
QueueFilter::CancelOnDisconnect(const RequestContextPtr& aContext,
                                RequestScheduler::Ticket aTicket)
{
  aContext->SetDisconnectHandler(
    [this, weak = std::weak_ptr<RequestContext>(aContext), aTicket] {
      const RequestContextPtr context = weak.lock();
      if (context && mScheduler.Cancel(aTicket)) {
        FailCancelled(*context);
      }
    });
}

void
QueueFilter::FailCancelled(RequestContext& aContext)
{
  const Error error(ErrorKind::CallerGone, "the caller disconnected");
  mDecisions.Record({ aContext.Id(),
                      "queue",
                      {},
                      std::string(error.Traits().mName),
                      error.Message(),
                      0 });
  aContext.Fail(error);
}

}

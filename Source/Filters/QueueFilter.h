#pragma once

#include "Base/Decision.h"
#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Submits a request to the scheduler and passes it on for each attempt.
 * Cancels a waiting request if its caller disconnects. */
class QueueFilter : public RequestFilter
{
public:
  QueueFilter(RequestScheduler& aScheduler, DecisionSink& aDecisions);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  /** Fails and records a request whose caller disconnected while it waited. */
  void FailCancelled(RequestContext& aContext);
  void CancelOnDisconnect(const RequestContextPtr& aContext,
                          RequestScheduler::Ticket aTicket);

  RequestScheduler& mScheduler;
  DecisionSink& mDecisions;
};

}

#pragma once

#include "Base/Clock.h"
#include "Base/Decision.h"
#include "Filters/RequestScheduler.h"
#include "Membership/Endpoint.h"
#include "Routing/Scheduler.h"

namespace almondspoke {

/** \brief Adapts the Scheduler of this instance to the interface that the
 * request filters use.
 *
 * Observes the endpoint table from its construction on. */
class RoutingScheduler : public RequestScheduler
{
public:
  /** All references must outlive the scheduler. */
  RoutingScheduler(const Clock& aClock,
                   EndpointView& aEndpoints,
                   SlotHolder& aSlots,
                   DecisionSink& aDecisions,
                   const SchedulerSettings& aSettings);

  bool HasEndpoint(const ServiceName& aService) const override;
  Result<Ticket> Submit(ScheduledRequest aRequest,
                        DispatchHandler aDispatch,
                        RefuseHandler aRefuse) override;
  bool Cancel(Ticket aTicket) override;
  bool Finish(Ticket aTicket, const AttemptReport& aReport) override;

  /** Applies new rules; versions older than the last one are ignored. */
  void ApplyRules(const RoutingRules& aRules);

  /** Performs the periodic work. Must be called every few milliseconds, and
   * after the slots of this instance have changed. */
  void Tick();

  /** Returns the number of slots in which work of other data centres may start
   * now. */
  std::uint32_t SpillRoom(const ServiceName& aService) const;

  std::vector<ServiceStatus> Status() const;

private:
  Scheduler mScheduler;
};

}

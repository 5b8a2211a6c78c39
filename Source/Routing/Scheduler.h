#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <vector>

#include "Base/Clock.h"
#include "Base/Decision.h"
#include "Base/Result.h"
#include "Membership/Endpoint.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointPicker.h"
#include "Routing/RequestQueue.h"
#include "Routing/RetryBudget.h"
#include "Routing/RoutingRules.h"
#include "Routing/ServiceStatus.h"
#include "Routing/SlotHolder.h"
#include "Routing/Work.h"

namespace almondspoke {

class ServiceScheduler;

/** \brief Settings of a Scheduler. */
struct SchedulerSettings
{
  RoutingStrategy mStrategy = RoutingStrategy::LeastLoaded;
  QueueLimits mQueue;
  RetryBudgetSettings mRetries;
  EjectionSettings mEjection;
  /** Attempts of one piece of work, the first included. */
  std::uint32_t mMaxAttempts = 3;
  /** Work that waits or runs, as a multiple of its team's slots, beyond which
   * more is refused. */
  std::uint32_t mTeamQueueFactor = 16;
  /** Services told apart; further ones are refused. */
  std::size_t mMaxServices = 1024;
  std::uint64_t mSeed = 1;
};

/** \brief Routes requests of all services to the endpoints of this data
 * centre: queues, admits, picks, retries and ejects.
 *
 * Each service has its own lock. Handlers are called without any lock held,
 * on the thread of the call that caused them; they must not block, and must
 * not call Complete() from within a DispatchHandler. Thread-safe. */
class Scheduler
{
public:
  /** All references must outlive the scheduler. */
  Scheduler(const Clock& aClock,
            SlotHolder& aSlots,
            DecisionSink& aDecisions,
            SchedulerSettings aSettings);
  ~Scheduler();

  /** Submits work.
   *
   * An error is a refusal: no handler is called, and nothing has run. The
   * errors are UnknownService, NoEndpoint, QueueFull, KindCeilingReached,
   * QuotaExceeded and DeadlineUnreachable. Otherwise aOnDispatch is
   * called for each attempt, possibly before Submit() returns, and each
   * attempt is to be ended by Complete(); aOnRefuse is called at most once, if
   * the work stops waiting without another attempt. */
  Result<WorkId> Submit(WorkItem aItem,
                        DispatchHandler aOnDispatch,
                        RefuseHandler aOnRefuse);

  /** Withdraws work that waits; no handler is called for it afterwards. */
  Cancellation Cancel(WorkId aId);

  /** Ends an attempt. \param aElapsed time since it was dispatched. */
  CompletionResult Complete(WorkId aId,
                            AttemptOutcome aOutcome,
                            std::chrono::microseconds aElapsed);

  /** Takes over a change of the endpoint table. */
  void Apply(const EndpointChange& aChange);

  /** Takes over new rules; older versions are ignored. */
  void ApplyRules(const RoutingRules& aRules);

  /** Does what is due: expired work, retries, ejections, changed slots. To be
   * called every few milliseconds. */
  void Tick();

  /** True if a live endpoint of the service is known. */
  bool HasEndpoint(const ServiceName& aService) const;

  /** Slots in which work of other data centres may start now. */
  std::uint32_t SpillRoom(const ServiceName& aService) const;

  /** Work that waits or runs. */
  std::size_t Outstanding() const;

  std::vector<ServiceStatus> Status() const;

private:
  using ServicePtr = std::shared_ptr<ServiceScheduler>;

  ServicePtr Find(const ServiceName& aService) const;
  ServicePtr FindByWork(WorkId aId) const;
  ServicePtr FindOrAdd(const ServiceName& aService);
  std::vector<ServicePtr> AllServices() const;

  const Clock& mClock;
  SlotHolder& mSlots;
  DecisionSink& mDecisions;
  const SchedulerSettings mSettings;
  mutable std::shared_mutex mMutex;
  /** Position is the index that WorkIds carry. */
  std::vector<ServicePtr> mServices;
  std::map<ServiceName, ServicePtr> mByName;
  std::map<EndpointName, ServiceName> mServiceOfEndpoint;
  RoutingRules mRules;
};

}

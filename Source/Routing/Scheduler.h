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
  /** Maximum number of attempts for one piece of work, including the first. */
  std::uint32_t mMaxAttempts = 3;
  /** Maximum outstanding work of a team, as a multiple of the slots of its
   * quota. More work is refused. */
  std::uint32_t mTeamQueueFactor = 16;
  /** Maximum number of services; further ones are refused. */
  std::size_t mMaxServices = 1024;
  std::uint64_t mSeed = 1;
};

/** \brief Routes the requests of all services to the endpoints of this data
 * centre: admits and queues them, chooses endpoints, retries attempts and
 * ejects unhealthy endpoints.
 *
 * Each service has its own lock. Handlers are called without a lock, on the
 * thread of the call that caused them. They must not block, and a
 * DispatchHandler must not call Complete(). Thread-safe. */
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
   * An error means that the work was refused: no handler is called and nothing
   * has run. The possible errors are UnknownService, NoEndpoint, QueueFull,
   * KindCeilingReached, QuotaExceeded and DeadlineUnreachable. Otherwise
   * aOnDispatch is called for each attempt, possibly before Submit() returns,
   * and the caller must end each attempt with Complete(). aOnRefuse is called
   * at most once, if the work leaves the queue without another attempt. */
  Result<WorkId> Submit(WorkItem aItem,
                        DispatchHandler aOnDispatch,
                        RefuseHandler aOnRefuse);

  /** Cancels work that is waiting; no handler is called for it afterwards. */
  Cancellation Cancel(WorkId aId);

  /** Ends an attempt.
   * \param aElapsed time since the attempt was dispatched. */
  CompletionResult Complete(WorkId aId,
                            AttemptOutcome aOutcome,
                            std::chrono::microseconds aElapsed);

  /** Applies a change of the endpoint table. */
  void Apply(const EndpointChange& aChange);

  /** Applies new rules; versions older than the current one are ignored. */
  void ApplyRules(const RoutingRules& aRules);

  /** Processes what is due: expired work, retries, ejections and changed slots.
   * Must be called every few milliseconds. */
  void Tick();

  /** Returns true if the service has a live endpoint. */
  bool HasEndpoint(const ServiceName& aService) const;

  /** Returns the number of slots in which work of other data centres may start
   * now. */
  std::uint32_t SpillRoom(const ServiceName& aService) const;

  /** Returns the amount of work that is waiting or running. */
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
  /** Indexed by the service index that a WorkId contains. */
  std::vector<ServicePtr> mServices;
  std::map<ServiceName, ServicePtr> mByName;
  std::map<EndpointName, ServiceName> mServiceOfEndpoint;
  RoutingRules mRules;
};

}

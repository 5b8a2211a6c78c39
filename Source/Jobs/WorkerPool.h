#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Jobs/Resources.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** \brief A worker and the resources that this instance allocated on it. */
struct Worker
{
  EndpointName mName;
  ServiceName mService;
  std::string mAddress;
  std::string mRack;
  Resources mCapacity;
  std::uint32_t mSlots = 0;
  /** False for a worker that has left while tasks of this instance run on it.
   */
  bool mPresent = true;
  /** Allocated to tasks of this instance. */
  Resources mAllocated;
  std::uint32_t mAllocatedSlots = 0;
  /** Used by others according to the last usage report. */
  Resources mUsedByOthers;
  std::int64_t mReportedAtMs = 0;
  Clock::Monotonic mReportReceivedAt{};
  /** Cores required by the task that the worker refused last; zero if there is
   * no refusal to consider. */
  double mRefusedTaskCores = 0;
  /** Cores of the worker that this instance had not allocated at that time. */
  double mUnallocatedCoresAtRefusal = 0;
  Clock::Monotonic mRefusedAt{};
  std::uint32_t mConsecutiveFailures = 0;
  /** The worker is not used before this time. */
  Clock::Monotonic mBackOffUntil{};
};

/** \brief Total cores of the workers of one service. */
struct ServiceCores
{
  double mTotal = 0;
  /** Allocated to tasks of this instance. */
  double mAllocated = 0;
  /** Used by others according to the last usage reports. */
  double mUsedByOthers = 0;
};

/** \brief Parameters of the choice of a worker for one task. */
struct PlacementQuery
{
  ServiceName mService;
  Resources mRequired;
  /** Number of the job's tasks by rack; racks with fewer are preferred. */
  const std::unordered_map<std::string, std::uint32_t>* mRackCounts = nullptr;
  /** Workers not to choose, since they refused the task. */
  const std::set<EndpointName>* mExcludedWorkers = nullptr;
  /** Estimates free resources from usage reports only, ignoring refusals. */
  bool mIgnoreRefusals = false;
  /** Worker that is reserved for another job. */
  EndpointName mReservedWorker;
  /** Determines where the search starts. Should differ between instances and
   * tasks, so that they do not all choose the same one of equal workers. */
  std::uint64_t mSeed = 0;
};

/** \brief Tracks the workers of this data centre and chooses one for a task.
 *
 * Several instances place tasks on the same workers without coordination. Each
 * counts its own allocations and adds the usage by others from the usage
 * reports of the platform, which weigh less the older they are. If a worker is
 * full nevertheless, it refuses the task, which proves that the task did not
 * run. Not thread-safe. */
class WorkerPool
{
public:
  /** Maximum number of workers with room that one choice compares. */
  static constexpr std::size_t kMaxCandidates = 64;

  explicit WorkerPool(const Clock& aClock);

  /** Updates the workers. Endpoints that announce cores and are not leaving
   * count as workers. */
  void Update(const std::vector<Endpoint>& aEndpoints);

  /** Returns the best worker with room for the task; null if there is none.
   * Compares only the first kMaxCandidates workers with room, which bounds the
   * cost in a large data centre. The pointer is valid until the next Update().
   */
  const Worker* Choose(const PlacementQuery& aQuery) const;

  /** Returns the worker to reserve for a task that has waited too long: the
   * least utilized one of sufficient capacity. Null if the capacity of no
   * worker is sufficient. */
  const Worker* ChooseReservation(const PlacementQuery& aQuery) const;

  /** Returns the name of the resource of which no worker of the service has
   * enough, even when idle; empty if the task fits on an idle worker. */
  std::string MissingResource(const ServiceName& aService,
                              const Resources& aRequired) const;

  bool HasWorkers(const ServiceName& aService) const;

  ServiceCores CoresOf(const ServiceName& aService) const;

  void Allocate(const EndpointName& aWorker, const Resources& aRequired);
  void Release(const EndpointName& aWorker, const Resources& aRequired);

  /** Records that a worker refused a task because it was full. To be called
   * after Release(). The worker is assumed to have fewer free cores than the
   * task requires at first, and twice as many after each period. The period
   * adapts for each service, so that few tasks are refused. */
  void RecordRefusal(const EndpointName& aWorker, const Resources& aRequired);

  /** True if a task of the service has succeeded at or after aTime. */
  bool HasSucceededSince(const ServiceName& aService,
                         Clock::Monotonic aTime) const;

  /** Records whether an attempt at a worker succeeded. A worker with several
   * consecutive failures is backed off: it is not chosen for a time that
   * doubles with each further failure. Only a share of the workers is backed
   * off at a time. */
  void RecordResult(const EndpointName& aWorker, bool aSucceeded);

  /** Number of worker slots allocated by this instance. */
  std::uint32_t AllocatedSlots() const;

  const std::map<EndpointName, Worker>& Workers() const { return mWorkers; }

  /** Estimates the free resources of a worker. */
  Resources FreeResources(const Worker& aWorker) const;
  Resources FreeResources(const Worker& aWorker, bool aIgnoreRefusals) const;

private:
  /** \brief Recent refusals and successes at the workers of a service. */
  struct RecentOutcomes
  {
    /** Time in which the assumed free cores of a worker double after a
     * refusal. */
    std::chrono::microseconds mDoublingPeriod{ 0 };
    std::optional<Clock::Monotonic> mLastSuccessAt;
  };

  void RemoveAbsentServices();
  Resources ResourcesUsedByOthers(const Worker& aWorker) const;
  double CoresUsedByOthersAtRefusal(const Worker& aWorker) const;
  bool IsBackedOff(const Worker& aWorker) const;
  bool IsCandidate(const Worker& aWorker, const PlacementQuery& aQuery) const;
  const std::vector<const Worker*>& WorkersOf(
    const ServiceName& aService) const;
  std::size_t PresentCount() const;

  const Clock& mClock;
  std::map<EndpointName, Worker> mWorkers;
  /** Present workers by service. */
  std::unordered_map<ServiceName, std::vector<const Worker*>> mByService;
  std::unordered_map<ServiceName, ServiceCores> mCores;
  std::unordered_map<ServiceName, RecentOutcomes> mRecentOutcomes;
};

}

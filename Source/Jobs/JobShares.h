#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "Jobs/WorkerPool.h"
#include "Routing/RoutingRules.h"
#include "Routing/TeamQuota.h"

namespace almondspoke {

/** \brief Limit that prevents the placement of a task although a worker may
 * have room. */
enum class ShareLimit
{
  /** The kind of the task has reached its ceiling. */
  Ceiling,
  /** The remaining processors are reserved for other kinds. */
  Reserve,
  /** The team of the task has used all slots of its quota. */
  Quota
};

/** \brief Identifies one limit and thereby all tasks that it applies to. */
struct ShareLimitScope
{
  ShareLimit mLimit = ShareLimit::Ceiling;
  ServiceName mService;
  /** The kind of a ceiling or the team of a quota; empty for a reserve. */
  std::string mName;

  bool operator<(const ShareLimitScope& aOther) const
  {
    return std::tie(mLimit, mService, mName) <
           std::tie(aOther.mLimit, aOther.mService, aOther.mName);
  }
};

/** \brief What a task would use of the shares of its kind and team. */
struct ShareDemand
{
  ServiceName mService;
  KindName mKind;
  TeamName mTeam;
  double mCores = 0;
};

/** \brief Enforces the reserves and ceilings of kinds and the quotas of teams.
 *
 * Reserves and ceilings are fractions of the processors of a service's workers,
 * divided evenly among the live instances of the data centre. A kind without a
 * placed task may always place one. A quota is a number of slots over all
 * instances, which the jobs of a team share with its requests. Not
 * thread-safe. */
class JobShares
{
public:
  explicit JobShares(SlotHolder& aSlots);

  void ApplyRules(const RoutingRules& aRules);

  /** Sets the number of instances that place tasks on the workers. Zero counts
   * as one. */
  void SetInstanceCount(std::size_t aCount);

  /** Returns the ceiling or reserve that prevents the placement, if any. */
  std::optional<ShareLimitScope> Check(const ShareDemand& aDemand,
                                       const ServiceCores& aCores) const;

  /** Acquires a slot of the team's quota. Returns the quota if no slot is free.
   *
   * \param aPool set to the pool of the slot; null if none was acquired or the
   *   team has no quota */
  std::optional<ShareLimitScope> AcquireTeamSlot(
    const ShareDemand& aDemand,
    Clock::Monotonic aNow,
    std::shared_ptr<SlotPool>& aPool);

  /** Counts a placed task. */
  void Allocate(const ShareDemand& aDemand);
  /** Counts a task as no longer placed, and releases its team slot.
   *
   * \param aTeamPool pool of the team slot; null if the task holds none */
  void Release(const ShareDemand& aDemand, SlotPool* aTeamPool);

  /** Limits that may allow another task once a task with aDemand is released.
   */
  static std::array<ShareLimitScope, 3> LimitScopesOf(
    const ShareDemand& aDemand);

  /** Adds aDelta to the number of waiting tasks of a team. */
  void AddWaitingTasks(const TeamName& aTeam, std::int64_t aDelta);

  /** Reports to the SlotHolder how many more slots each team could use. */
  void ReportDemand();

private:
  using KindKey = std::pair<ServiceName, KindName>;

  double AllocatedCoresOf(const ServiceName& aService,
                          const KindName& aKind) const;
  double UnusedReserves(const ShareDemand& aDemand,
                        double aInstanceCores) const;

  RoutingRules mRules;
  TeamQuota mTeams;
  std::size_t mInstanceCount = 1;
  /** Cores allocated to the placed tasks of each kind. */
  std::map<KindKey, double> mAllocatedCores;
  std::map<TeamName, std::int64_t> mWaitingTaskCounts;
};

}

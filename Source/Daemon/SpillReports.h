#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Filters/SpillTargets.h"
#include "Membership/InstanceView.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

/** \brief Dependencies of SpillReports; all references must outlive it. */
struct SpillReportsDependencies
{
  const Clock& mClock;
  PeerRpc& mRpc;
  const InstanceView& mInstances;
  /** Caller addresses by instance; instances without one are not queried. */
  std::map<InstanceName, std::string> mCallerAddresses;
  /** Returns the free capacity of this instance that is offered to other data
   * centres. */
  std::function<std::uint32_t(const ServiceName&)> mRoom;
  /** False if this instance neither sends requests to other data centres nor
   * accepts requests from them. */
  bool mIsSpillEnabled = true;
};

/** \brief Queries instances of other data centres for free capacity when a
 * request needs it, and caches the reports for a short time. Without such
 * requests nothing is sent.
 *
 * The numbers of services and of queried instances are limited, which bounds
 * the cost of requests for many unknown services. Thread-safe. */
class SpillReports : public SpillTargets
{
public:
  explicit SpillReports(SpillReportsDependencies aDependencies);
  SpillReports(const SpillReports&) = delete;
  SpillReports& operator=(const SpillReports&) = delete;

  void Find(const ServiceName& aService, Done aDone) override;
  bool TryReserve(const ServiceName& aService,
                  const InstanceName& aInstance) override;
  void ReleaseReservation(const ServiceName& aService,
                          const InstanceName& aInstance,
                          bool aHasCapacity) override;

private:
  /** \brief The current round of queries for one service. */
  struct Round
  {
    std::uint64_t mNumber = 0;
    Clock::Monotonic mStartedAt;
    /** Number of queries without an answer. */
    std::size_t mPending = 0;
    std::vector<SpillCandidate> mReports;
    /** Requests that wait for a report with free capacity. */
    std::deque<Done> mWaiting;
  };

  /** \brief Queries of a round that must be sent once the lock is released. */
  struct Queries
  {
    std::uint64_t mRound = 0;
    std::vector<SpillCandidate> mInstances;
  };

  bool IsFresh(const Round& aRound) const;
  /** Returns the round of a service and adds one if there is none; null if the
   * limit of services is reached. */
  Round* FindOrAddRound(const ServiceName& aService);
  /** Adds a request to those that wait for reports of a service, and starts a
   * new round if the last one is too old. Returns no value if spilling is off
   * or the limit of services is reached. */
  std::optional<Queries> AddWaitingRequest(const ServiceName& aService,
                                           const Done& aDone);
  void Query(const ServiceName& aService,
             std::uint64_t aRound,
             const SpillCandidate& aCandidate);
  void OnReport(const ServiceName& aService,
                std::uint64_t aRound,
                SpillCandidate aCandidate,
                const Result<std::string>& aReport);
  /** Calls the waiting requests back, one at a time, while there is a report
   * with free capacity or no query is pending any more. */
  void AnswerWaitingRequests(const ServiceName& aService);
  std::vector<SpillCandidate> ChooseInstances(std::uint64_t aRound) const;
  SpillCandidate* FindReport(const ServiceName& aService,
                             const InstanceName& aInstance);

  const SpillReportsDependencies mDependencies;
  std::mutex mMutex;
  std::uint64_t mLastRound = 0;
  std::map<ServiceName, Round> mRounds;
  /** Lets answers that arrive late detect that this object was destroyed. */
  const std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

}

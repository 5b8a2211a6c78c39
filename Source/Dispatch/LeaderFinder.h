#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Dispatch/JobMessages.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Finds the leader by querying the coordinators.
 *
 * Queries the known leader at intervals, and all coordinators if no leader is
 * known or the known one is suspected to have failed. The answers also name
 * further coordinators. Not thread-safe. */
class LeaderFinder
{
public:
  using TimePoint = Clock::Monotonic;

  /** \param aDataCentre data centre of this instance
   * \param aSeeds coordinators to query first */
  LeaderFinder(const Clock& aClock,
               PeerRpc& aRpc,
               EventLog& aLog,
               std::string aDataCentre,
               const std::vector<InstanceName>& aSeeds);

  /** The elected leader, if its latest answer is recent and it is not
   * suspected. */
  std::optional<InstanceName> Leader() const;

  /** The local leader of this data centre (see LocalLeadership.h), if its
   * latest answer is recent and no elected leader is known. */
  std::optional<InstanceName> LocalLeader() const;

  /** The elected leader or, if there is none, the local leader. */
  std::optional<InstanceName> AnyLeader() const;

  /** True once no elected leader has been known for long enough that this data
   * centre needs a local leader. */
  bool WantsLocalLeader() const;

  /** Limits of the newest manifest that a leader has reported. */
  const CallerLimits& Limits() const { return mLimits; }

  /** Sets the calls (CallKeyOf) that an elected leader may still act on. They
   * are sent to the local leader, which must not run them. */
  void SetUnresolved(std::vector<std::string> aKeys);

  /** Reports a failed call to the leader: all coordinators are queried at the
   * next tick. */
  void SuspectLeader(const InstanceName& aLeader);

  /** Adds coordinators to query, for example after a change of settings. */
  void AddSeeds(const std::vector<InstanceName>& aSeeds);

  void Tick();

private:
  void Query(const InstanceName& aCoordinator);
  /** Instance that is asked to become the local leader. All gateways that reach
   * the same instances choose the same one. */
  std::optional<InstanceName> LocalLeaderCandidate() const;
  void OnAnswer(const InstanceName& aFrom, const Result<std::string>& aAnswer);
  void HandleStatus(const InstanceName& aFrom, const LeaderStatus& aStatus);
  void HandleLimits(const LeaderStatus& aStatus);
  void HandleLocalStatus(const InstanceName& aFrom,
                         const LeaderStatus& aStatus);

  const Clock& mClock;
  PeerRpc& mRpc;
  EventLog& mLog;
  const std::string mDataCentre;
  std::vector<std::string> mUnresolvedCalls;
  std::set<InstanceName> mCoordinators;
  /** Instances whose answer to a query is outstanding. */
  std::set<InstanceName> mPendingQueries;
  std::optional<InstanceName> mLeader;
  std::uint64_t mLeaderTerm = 0;
  TimePoint mLeaderAnsweredAt{};
  TimePoint mNextQueryAt{};
  bool mLeaderSuspected = true;
  /** Latest time at which an elected leader was known; initially the start of
   * this process. */
  TimePoint mLeaderKnownAt;
  /** Coordinators of this data centre, each with the time of its latest
   * answer. */
  std::map<InstanceName, TimePoint> mLocalCoordinators;
  std::optional<InstanceName> mLocalLeader;
  TimePoint mLocalLeaderAnsweredAt{};
  std::uint64_t mLimitsVersion = 0;
  CallerLimits mLimits;
};

}

#pragma once

#include <list>
#include <map>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>

#include "Base/Clock.h"
#include "Base/Decision.h"
#include "Controllers/VotersController.h"
#include "Daemon/HttpTaskSender.h"
#include "Daemon/JobsApi.h"
#include "Daemon/KeyedRequestClaims.h"
#include "Daemon/Settings.h"
#include "Daemon/SubmissionReplica.h"
#include "Filters/RequestRules.h"
#include "Jobs/ClaimService.h"
#include "Jobs/ExecutorLease.h"
#include "Jobs/HomeDataCentres.h"
#include "Jobs/JobController.h"
#include "Jobs/JobRunner.h"
#include "Jobs/JobsHandler.h"
#include "Membership/InstanceView.h"

namespace almondspoke {

class CallerApi;
class DaemonMetrics;
class SlotHolder;

/** \brief Dependencies of Submissions; all must outlive it. */
struct SubmissionsDependencies
{
  asio::io_context& mContext;
  const Clock& mClock;
  DecisionSink& mDecisions;
  HttpClient& mClient;
  EndpointView& mEndpoints;
  const InstanceView& mInstances;
  PeerRpc& mRpc;
  ConsensusChannel& mConsensus;
  const RequestRules& mRules;
  SlotHolder& mSlots;
};

/** \brief Manages the keyed requests and jobs of one instance: its replicas of
 * submission groups, executor leases, claims and jobs.
 *
 * Must be constructed before the transport starts. Thread-safe after
 * Start(). */
class Submissions
{
public:
  Submissions(const Settings& aSettings,
              const SubmissionsDependencies& aDependencies);
  Submissions(const Submissions&) = delete;
  Submissions& operator=(const Submissions&) = delete;

  /** Starts the replicas. Errors: StorageFailed. */
  Result<void> Start();

  /** Stops the replicas. May be called while the io_context runs or after it
   * has stopped. */
  void Stop();

  /** Applies the shares of kinds and the quotas of teams of new rules. */
  void ApplyRules(const RoutingRules& aRules);

  /** Performs the periodic work that is due. Must be called at least every
   * ten milliseconds, by one thread at a time. */
  void Tick();

  /** Returns this instance's replica of the group that stores a data centre's
   * keys; null if it has none. */
  const Replicator* ConsensusOf(const DataCentreName& aHome) const;

  /** Returns the groups of which this instance has a replica. */
  VotersController::Groups VoterGroups() const;

  /** Returns the claims of keyed requests, for the request path. */
  RequestClaims& Claims() { return mRequestClaims; }

  void AddRoutes(CallerApi& aApi);
  void AddMetrics(DaemonMetrics& aMetrics);

  /** Rejects new jobs from now on, while accepted jobs continue, and transfers
   * the leadership of groups. */
  void StartDraining();

  /** Returns true once no job is in progress and every answer is recorded. */
  bool IsIdle() const;

private:
  /** \brief Access to the submission group of one data centre. */
  struct HomeAccess
  {
    /** Set if the settings list this instance as a voter. */
    std::unique_ptr<SubmissionReplica> mReplica;
    /** Access through other instances; null for the only voter of a group. */
    std::unique_ptr<SubmissionGroup> mRemote;
    /** Set if this instance is one of several voters: selects the replica or
     * the remote access. */
    std::unique_ptr<SubmissionGroup> mFallback;
    std::unique_ptr<ExecutorLease> mLease;
    std::vector<InstanceName> mVoters;

    SubmissionGroup& Group() const
    {
      if (mFallback) {
        return *mFallback;
      }
      return mReplica ? mReplica->Group() : *mRemote;
    }
  };

  using HomeAccesses = std::map<DataCentreName, HomeAccess>;

  void AddTaskMetrics(DaemonMetrics& aMetrics);

  static HomeAccesses BuildHomes(const Settings& aSettings,
                                 const HomeDataCentres& aHomes,
                                 const SubmissionsDependencies& aDependencies);
  /** Adds access through the other voters, for the time in which this
   * instance's replica is no voter: its disk has failed, it is catching up or
   * it was removed from the group. */
  static void AddFallback(const InstanceName& aSelf,
                          const DataCentreName& aHome,
                          const SubmissionsDependencies& aDependencies,
                          HomeAccess& aAccess);
  static std::map<DataCentreName, ClaimService::HomeGroup> GroupsOf(
    const HomeAccesses& aAccesses);
  /** Transfers the leadership of each group of another data centre that this
   * instance leads, if a voter is alive there: only an instance of that data
   * centre knows its endpoints and can grant their slots. */
  void TransferForeignGroups();
  bool HasLiveVoter(const DataCentreName& aHome,
                    const HomeAccess& aAccess) const;
  SubmissionCounts Counts() const;
  ExecutorEpoch HomeEpoch() const;
  std::size_t CountLeasesHeld() const;
  std::size_t CountGroupsLed() const;
  std::size_t CountGroupsFailed() const;
  std::size_t CountGroupsVoting() const;

  const Clock& mClock;
  const JobSettings mJobSettings;
  /** Times at which periodic work is due next; used by Tick() only. */
  Clock::Monotonic mNextTick{};
  Clock::Monotonic mNextRetry{};
  Clock::Monotonic mNextLeadershipTransfer{};
  const InstanceView& mInstances;
  const HomeDataCentres mHomes;
  const HomeAccesses mAccesses;
  ClaimService mClaims;
  KeyedRequestClaims mRequestClaims;
  HttpTaskSender mSender;
  JobRunner mRunner;
  JobController mController;
  JobsHandler mHandler;
  JobsApi mApi;
};

}

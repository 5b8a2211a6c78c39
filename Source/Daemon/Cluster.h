#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Base/DecisionLog.h"
#include "Base/InstanceIdentity.h"
#include "Consensus/ConsensusChannel.h"
#include "Controllers/ConfigurationSync.h"
#include "Controllers/OperatorServer.h"
#include "Controllers/PeerVersionPoll.h"
#include "Controllers/RulesPublisher.h"
#include "Controllers/ServedVersionStore.h"
#include "Controllers/VotersController.h"
#include "Daemon/ConfigurationGroup.h"
#include "Daemon/DaemonMetrics.h"
#include "Daemon/PublishedRequestRules.h"
#include "Daemon/Readiness.h"
#include "Daemon/Settings.h"
#include "Membership/EndpointReplication.h"
#include "Membership/EndpointTable.h"
#include "Membership/MembershipService.h"
#include "Transport/AsioPeerTransport.h"
#include "Transport/PeerRpcService.h"

namespace almondspoke {

/** \brief Dependencies of Cluster; all must outlive it. */
struct ClusterDependencies
{
  asio::io_context& mContext;
  const Clock& mClock;
  const DecisionLog& mDecisions;
  DaemonMetrics& mMetrics;
  Readiness& mReadiness;
};

/** \brief State that one instance shares with the others: the connections to
 * them, the membership, the endpoint table and the configuration group, and
 * the operators' interface to these.
 *
 * An instance without other instances in its settings forms a cluster of its
 * own. Other components must register their subscriptions, RPC methods and
 * consensus groups before Start(). */
class Cluster
{
public:
  Cluster(const Settings& aSettings,
          const InstanceIdentity& aSelf,
          const ClusterDependencies& aDependencies);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  /** Opens storage and ports and starts all components. Errors:
   * InvalidSettings, StorageFailed. \param aGroups further consensus groups
   * whose voters operators may change */
  Result<void> Start(VotersController::Groups aGroups);

  /** Announces to the other instances that this one is draining, and transfers
   * leadership of the configuration group. Further calls have no effect. */
  void StartDraining();

  /** Leaves the cluster. \param aDone called once leadership has been
   * transferred, or the transfer has timed out, and the other instances have
   * been notified. */
  void Leave(std::function<void()> aDone);

  AsioPeerTransport& Transport() { return mTransport; }
  PeerRpc& Rpc() { return mRpc; }
  MembershipService& Membership() { return mMembership; }
  EndpointTable& Endpoints() { return mEndpoints; }
  ConsensusChannel& Consensus() { return mConsensus; }
  const RulesPublisher& Rules() const { return mPublisher; }
  const RequestRules& RulesOfRequests() const { return mRequestRules; }

private:
  void AddReadiness(Readiness& aReadiness);
  void AddMetrics(DaemonMetrics& aMetrics);
  void AddTrafficMetrics(DaemonMetrics& aMetrics);
  Result<void> ListenForPeers();
  Result<void> OpenServedVersionStore();
  Result<void> StartOperatorServer();
  void ScheduleTick();
  void Tick();
  void FetchMissingRules();
  void ContinueLeaving(Clock::Monotonic aDeadline, std::function<void()> aDone);
  std::size_t CountLiveInstances() const;

  const Settings& mSettings;
  const Clock& mClock;
  const DecisionLog& mDecisions;
  asio::steady_timer mTickTimer;
  asio::steady_timer mLeaveTimer;
  AsioPeerTransport mTransport;
  PeerRpcService mRpc;
  MembershipService mMembership;
  EndpointTable mEndpoints;
  EndpointReplication mReplication;
  ServedVersionStore mServedVersion;
  RulesPublisher mPublisher;
  PublishedRequestRules mRequestRules;
  ConfigurationSync mSync;
  PeerVersionPoll mVersionPoll;
  ConsensusChannel mConsensus;
  ConfigurationGroup mConfiguration;
  std::unique_ptr<VotersController> mVoters;
  std::unique_ptr<OperatorServer> mOperators;
  std::atomic<bool> mDraining{ false };
  std::optional<Clock::Monotonic> mLastRulesRequestAt;
  std::size_t mNextSourceIndex = 0;
};

}

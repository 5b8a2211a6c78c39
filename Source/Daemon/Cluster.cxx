#include "Daemon/Cluster.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "Consensus/FileJournalStorage.h"

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };
/** Interval between requests to the configuration group while this instance
 * has no rules yet. */
constexpr std::chrono::milliseconds kRulesRequestInterval{ 500 };
/** Time after which an instance leaves even if it still leads the group. */
constexpr std::chrono::milliseconds kLeadershipTransferTimeout{ 3000 };
constexpr std::chrono::milliseconds kLeadershipTransferPollInterval{ 20 };
/** Time for the final messages to be sent before the process ends. */
constexpr std::chrono::milliseconds kFinalMessagesTime{ 100 };

/** Folder, below the data folder, that stores the highest rules version
 * served. */
constexpr const char* kServedVersionFolder = "/rules";

asio::ip::tcp::endpoint
EndpointOf(const SocketAddress& aAddress)
{
  return { asio::ip::make_address(aAddress.mHost), aAddress.mPort };
}

const InstanceSettings*
FindOwnInstance(const Settings& aSettings)
{
  for (const InstanceSettings& instance : aSettings.mInstances) {
    if (instance.mName == aSettings.mName) {
      return &instance;
    }
  }
  return nullptr;
}

/** Returns the peer address of [listen]; if that is not set, the one that
 * [instances] gives for this instance. */
asio::ip::tcp::endpoint
ListenAddress(const Settings& aSettings)
{
  if (aSettings.mPeersLine != 0) {
    return EndpointOf(aSettings.mPeers);
  }
  const InstanceSettings* self = FindOwnInstance(aSettings);
  return self == nullptr ? asio::ip::tcp::endpoint() : EndpointOf(self->mPeers);
}

std::vector<PeerAddress>
PeersOf(const Settings& aSettings)
{
  std::vector<PeerAddress> peers;
  for (const InstanceSettings& instance : aSettings.mInstances) {
    peers.push_back({ instance.mName, EndpointOf(instance.mPeers) });
  }
  return peers;
}

std::vector<InstanceIdentity>
SeedsOf(const Settings& aSettings)
{
  std::vector<InstanceIdentity> seeds;
  for (const InstanceSettings& instance : aSettings.mInstances) {
    seeds.push_back({ instance.mName, instance.mDataCentre, 0 });
  }
  return seeds;
}

VotersController::DiskPresence
DisksOf(const Settings& aSettings)
{
  VotersController::DiskPresence disks;
  for (const InstanceSettings& instance : aSettings.mInstances) {
    disks[instance.mName] = instance.mHasDisk;
  }
  return disks;
}

EndpointTableOptions
EndpointOptionsOf(const Settings& aSettings)
{
  EndpointTableOptions options;
  options.mMaxEndpoints = aSettings.mMaxEndpoints;
  return options;
}

}

Cluster::Cluster(const Settings& aSettings,
                 const InstanceIdentity& aSelf,
                 const ClusterDependencies& aDependencies)
  : mSettings(aSettings)
  , mClock(aDependencies.mClock)
  , mDecisions(aDependencies.mDecisions)
  , mTickTimer(aDependencies.mContext)
  , mLeaveTimer(aDependencies.mContext)
  , mTransport(aDependencies.mContext,
               aSelf,
               ListenAddress(aSettings),
               PeersOf(aSettings))
  , mRpc(aDependencies.mContext, aDependencies.mClock, mTransport, aSelf)
  , mMembership(aDependencies.mContext,
                aDependencies.mClock,
                mTransport,
                {},
                aSelf,
                SeedsOf(aSettings))
  , mEndpoints(aDependencies.mClock,
               EndpointOptionsOf(aSettings),
               aSettings.mDataCentre,
               aSelf.mIncarnation)
  , mReplication(aDependencies.mContext, mTransport, mMembership, mEndpoints)
  , mPublisher(aDependencies.mClock, &mServedVersion)
  , mRequestRules(mPublisher, aDependencies.mClock)
  , mSync(mRpc, mPublisher)
  , mVersionPoll(mRpc, mPublisher, aDependencies.mClock, aSelf)
  , mConsensus(mTransport)
  , mConfiguration(aSettings, mConsensus, mPublisher, aDependencies.mClock)
{
  AddReadiness(aDependencies.mReadiness);
  AddMetrics(aDependencies.mMetrics);
  AddTrafficMetrics(aDependencies.mMetrics);
}

Cluster::~Cluster()
{
  // Stops the group first: this completes the changes for which requests of
  // operators are waiting.
  mConfiguration.Stop();
  mServedVersion.Stop();
  if (mOperators) {
    mOperators->Stop();
  }
  mReplication.Stop();
  mMembership.Stop();
  mRpc.Stop();
  mTransport.Stop();
}

Result<void>
Cluster::Start(VotersController::Groups aGroups)
{
  BOOST_OUTCOME_TRYV(ListenForPeers());
  BOOST_OUTCOME_TRYV(OpenServedVersionStore());
  BOOST_OUTCOME_TRYV(mConfiguration.Start());
  mConfiguration.Controller().ConfirmThroughGroup();
  if (mConfiguration.Voters() != nullptr) {
    aGroups[kConfigurationGroupName] = mConfiguration.Voters();
  }
  mVoters = std::make_unique<VotersController>(
    std::move(aGroups), mRpc, DisksOf(mSettings));
  BOOST_OUTCOME_TRYV(StartOperatorServer());
  mTransport.Start();
  mRpc.Start();
  mMembership.Start();
  mReplication.Start();
  ScheduleTick();
  return Success();
}

Result<void>
Cluster::ListenForPeers()
{
  return mSettings.mInstances.empty() ? Success() : mTransport.Listen();
}

Result<void>
Cluster::OpenServedVersionStore()
{
  if (mSettings.mDataFolder.empty()) {
    return Success();
  }
  BOOST_OUTCOME_TRY(
    storage,
    FileJournalStorage::Open(mSettings.mDataFolder + kServedVersionFolder));
  BOOST_OUTCOME_TRY(version, mServedVersion.Open(std::move(storage)));
  mPublisher.RecordKnownVersion(version);
  return Success();
}

Result<void>
Cluster::StartOperatorServer()
{
  if (mSettings.mOperatorsLine == 0) {
    return Success();
  }
  OperatorServerOptions options;
  options.mAddress = mSettings.mOperators.mHost;
  options.mPort = mSettings.mOperators.mPort;
  mOperators = std::make_unique<OperatorServer>(std::move(options),
                                                mConfiguration.Controller(),
                                                *mVoters,
                                                mMembership,
                                                mEndpoints,
                                                mDecisions);
  return mOperators->Start();
}

void
Cluster::StartDraining()
{
  if (mDraining.exchange(true)) {
    return;
  }
  mMembership.SetDraining(true);
  mConfiguration.TransferLeadership();
}

void
Cluster::Leave(std::function<void()> aDone)
{
  ContinueLeaving(mClock.MonotonicNow() + kLeadershipTransferTimeout,
                  std::move(aDone));
}

void
Cluster::ContinueLeaving(Clock::Monotonic aDeadline,
                         std::function<void()> aDone)
{
  const bool mustWait =
    mConfiguration.CanTransferLeadership() && mClock.MonotonicNow() < aDeadline;
  if (!mustWait) {
    mMembership.Leave();
  }
  mLeaveTimer.expires_after(mustWait ? kLeadershipTransferPollInterval
                                     : kFinalMessagesTime);
  mLeaveTimer.async_wait([this, mustWait, aDeadline, done = std::move(aDone)](
                           const asio::error_code& aError) mutable {
    if (aError) {
      return;
    }
    if (mustWait) {
      ContinueLeaving(aDeadline, std::move(done));
      return;
    }
    done();
  });
}

void
Cluster::AddReadiness(Readiness& aReadiness)
{
  aReadiness.Add([this]() -> std::optional<std::string> {
    if (!mPublisher.IsVersionConfirmed()) {
      return "the rules are not known yet";
    }
    if (!mPublisher.IsReady()) {
      return "a newer version of the rules is overdue";
    }
    return std::nullopt;
  });
}

void
Cluster::AddMetrics(DaemonMetrics& aMetrics)
{
  aMetrics.AddGauge("almondspoke_rules_version",
                    "Version of the rules in force at this instance",
                    [this] { return double(mPublisher.ServedVersion()); });
  aMetrics.AddGauge("almondspoke_live_instances",
                    "Instances that this one believes alive, itself included",
                    [this] { return double(CountLiveInstances()); });
  aMetrics.AddGauge("almondspoke_endpoints",
                    "Endpoints that this instance knows",
                    [this] { return double(mEndpoints.Size()); });
  using ReadStatus = double (*)(const CoreStatus&);
  const auto add = [&](const char* aName, const char* aHelp, ReadStatus aRead) {
    aMetrics.AddGauge(aName, aHelp, [this, aRead] {
      const std::optional<CoreStatus> status = mConfiguration.Status();
      return status ? aRead(*status) : 0.0;
    });
  };
  add("almondspoke_configuration_role",
      "Role in the configuration group: 0 unadmitted, 1 verifying, 2 learner, "
      "3 follower, 4 pre-candidate, 5 candidate, 6 leader, 7 failed",
      [](const CoreStatus& aStatus) {
        return static_cast<double>(aStatus.mRole);
      });
  add("almondspoke_configuration_term",
      "Election term of the configuration group",
      [](const CoreStatus& aStatus) { return double(aStatus.mTerm); });
  add("almondspoke_configuration_commit_index",
      "Last committed entry of the configuration group known here",
      [](const CoreStatus& aStatus) { return double(aStatus.mCommitIndex); });
  add("almondspoke_configuration_has_leader",
      "Whether this instance knows a leader of the configuration group",
      [](const CoreStatus& aStatus) { return aStatus.mLeader ? 1.0 : 0.0; });
  aMetrics.AddGauge("almondspoke_configuration_applied_index",
                    "Last entry of the configuration group applied here",
                    [this] { return double(mConfiguration.Applied()); });
}

void
Cluster::AddTrafficMetrics(DaemonMetrics& aMetrics)
{
  struct Row
  {
    const char* mName;
    const char* mHelp;
    std::atomic<std::uint64_t> PeerTraffic::*mCounter;
  };
  using T = PeerTraffic;
  for (const Row& row : {
         Row{ "almondspoke_peer_sent_frames",
              "Frames sent to peers since the start",
              &T::mFramesSent },
         Row{ "almondspoke_peer_sent_bytes",
              "Bytes sent to peers since the start, without TCP and IP headers",
              &T::mBytesSent },
         Row{ "almondspoke_peer_received_frames",
              "Frames received from peers since the start",
              &T::mFramesReceived },
         Row{ "almondspoke_peer_received_bytes",
              "Bytes received from peers since the start, without TCP and IP "
              "headers",
              &T::mBytesReceived },
         Row{ "almondspoke_peer_dropped_frames",
              "Frames dropped for want of a connection or of room",
              &T::mFramesDropped },
         Row{ "almondspoke_peer_reconnects",
              "Connections to peers opened anew since the start",
              &T::mReconnects },
       }) {
    aMetrics.AddGauge(row.mName, row.mHelp, [this, counter = row.mCounter] {
      return double((mTransport.Traffic().*counter).load());
    });
  }
}

void
Cluster::ScheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  mTickTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    Tick();
    ScheduleTick();
  });
}

void
Cluster::Tick()
{
  mMembership.SetRulesVersion(mPublisher.ServedVersion());
  const Clock::Monotonic now = mClock.MonotonicNow();
  const bool isRequestDue =
    !mLastRulesRequestAt || now - *mLastRulesRequestAt >= kRulesRequestInterval;
  if (!mPublisher.IsVersionConfirmed() && isRequestDue) {
    mLastRulesRequestAt = now;
    mConfiguration.Controller().ConfirmThroughGroup();
  }
  if (!mPublisher.IsVersionConfirmed()) {
    mVersionPoll.Tick(mMembership.Instances());
  }
  FetchMissingRules();
  if (mDraining) {
    mConfiguration.TransferLeadership();
  }
}

void
Cluster::FetchMissingRules()
{
  std::vector<InstanceStatus> sources;
  for (InstanceStatus& instance : mMembership.Instances()) {
    if (IsLive(instance.mHealth) &&
        instance.mIdentity.mName != mSettings.mName) {
      sources.push_back(std::move(instance));
    }
  }
  if (sources.empty()) {
    return;
  }
  // Starts at another instance each time, so that one that does not answer
  // does not block the others.
  ++mNextSourceIndex;
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const InstanceStatus& source =
      sources[(mNextSourceIndex + i) % sources.size()];
    if (source.mRulesVersion > mPublisher.ServedVersion()) {
      mSync.OnPeerVersion(source.mIdentity.mName, source.mRulesVersion);
    }
  }
}

std::size_t
Cluster::CountLiveInstances() const
{
  const std::vector<InstanceStatus> instances = mMembership.Instances();
  return static_cast<std::size_t>(std::count_if(
    instances.begin(), instances.end(), [](const InstanceStatus& aInstance) {
      return IsLive(aInstance.mHealth);
    }));
}

}

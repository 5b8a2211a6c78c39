#include "Daemon/Daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <set>
#include <utility>

#include <glog/logging.h>

#include "Base/MachineLimits.h"
#include "Daemon/MakeRoutingRules.h"
#include "Daemon/SubmissionSettings.h"

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 5 };

InstanceIdentity
IdentityOf(const Settings& aSettings, const Clock& aClock)
{
  // The wall clock can be set back, so random bits distinguish two starts of
  // the process. The result has at most 53 bits, which a JSON number represents
  // exactly.
  constexpr unsigned kRandomBits = 10;
  const auto sinceEpoch = aClock.WallNow().time_since_epoch();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
  std::random_device random;
  const std::uint64_t suffix = random() & ((1U << kRandomBits) - 1);
  const std::uint64_t incarnation =
    (static_cast<std::uint64_t>(milliseconds.count()) << kRandomBits) | suffix;
  return { aSettings.mName, aSettings.mDataCentre, incarnation };
}

// The HTTP library stops accepting connections permanently once it runs out of
// file descriptors, so callers may use at most half of them.
std::size_t
ConnectionLimit(std::size_t aConfiguredLimit)
{
  constexpr rlim_t kReserve = 64;
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0 ||
      files.rlim_cur == RLIM_INFINITY) {
    return aConfiguredLimit;
  }
  const rlim_t usable = files.rlim_cur > 2 * kReserve
                          ? files.rlim_cur / 2 - kReserve
                          : files.rlim_cur / 4;
  if (aConfiguredLimit > usable) {
    LOG(WARNING) << "the limit of " << files.rlim_cur << " open files allows "
                 << usable << " of the " << aConfiguredLimit
                 << " caller connections that the settings allow";
  }
  return std::min<std::size_t>(aConfiguredLimit, usable);
}

/** Parts of the memory of the machine for requests and for connections. */
constexpr std::size_t kRequestShare = 4;
constexpr std::size_t kConnectionShare = 8;

/** Receive buffer of a connection, of which the kernel may hold twice as much,
 * and what a connection takes with it. */
constexpr std::size_t kReceiveBufferBytes = 32768;
constexpr std::size_t kConnectionBytes = 12288 + 2 * kReceiveBufferBytes;

constexpr std::size_t kListenQueueShare = 4;
constexpr std::size_t kClosingShare = 8;

void
LimitConnections(HttpServerOptions& aOptions, std::size_t aMaxConnections)
{
  const std::size_t places =
    ReadMachineLimits().mMemoryBytes / kConnectionShare / kConnectionBytes;
  aOptions.mMaxConnections = std::min(ConnectionLimit(aMaxConnections),
                                      std::max<std::size_t>(places, 8));
  aOptions.mQueues.mListening =
    std::max<std::size_t>(aOptions.mMaxConnections / kListenQueueShare, 8);
  aOptions.mQueues.mClosing = aOptions.mMaxConnections / kClosingShare;
  aOptions.mQueues.mReceiveBufferBytes = kReceiveBufferBytes;
}

std::size_t
MemoryForRequests()
{
  return ReadMachineLimits().mMemoryBytes / kRequestShare;
}

// At most one line a second, whatever the number of refusals.
void
LogRefusal(const RequestRefusal& aRefusal)
{
  LOG_EVERY_T(WARNING, 1) << "request refused: limit="
                          << NameOf(kRequestLimitNames, aRefusal.mLimit)
                          << " bytes=" << aRefusal.mBytes
                          << " held=" << aRefusal.mHeldBytes;
}

HttpServerOptions
ServerOptionsOf(const Settings& aSettings)
{
  HttpServerOptions options;
  options.mAddress = aSettings.mCallers.mHost;
  options.mPort = aSettings.mCallers.mPort;
  options.mMaxHeaderBytes = aSettings.mMaxHeaderBytes;
  options.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  LimitConnections(options, aSettings.mMaxConnections);
  options.mMaxPipelinedRequests = aSettings.mMaxPipelinedRequests;
  options.mIdleTimeout = aSettings.mIdleTimeout;
  options.mRequestLimits.mHeaderTimeout = aSettings.mIdleTimeout;
  options.mRequestLimits.mRequestTimeout = aSettings.mIdleTimeout;
  options.mMaxUnfinishedBytes = aSettings.mMaxUnfinishedBytes > 0
                                  ? aSettings.mMaxUnfinishedBytes
                                  : MemoryForRequests();
  options.mOnRefusal = LogRefusal;
  return options;
}

SchedulerSettings
SchedulerSettingsOf(const Settings& aSettings)
{
  SchedulerSettings settings;
  settings.mStrategy = aSettings.mStrategy;
  settings.mQueue.mMaxLength = aSettings.mMaxQueuedRequests;
  settings.mSeed = std::random_device{}();
  return settings;
}

SlotHolder::Mode
SlotModeOf(const Settings& aSettings)
{
  const bool hasGrantor =
    SubmissionGroupOf(aSettings, aSettings.mDataCentre) != nullptr;
  return hasGrantor ? SlotHolder::Mode::Leased : SlotHolder::Mode::Local;
}

HttpClientOptions
ClientOptionsOf(const Settings& aSettings)
{
  using std::chrono::duration_cast;
  using std::chrono::seconds;
  HttpClientOptions options;
  options.mConnectTimeout = aSettings.mConnectTimeout;
  options.mUserTimeout = aSettings.mUserTimeout;
  options.mKeepAliveIdle = duration_cast<seconds>(aSettings.mKeepAliveIdle);
  options.mMaxIdle = duration_cast<seconds>(aSettings.mMaxIdle);
  options.mMaxResponseBytes = aSettings.mMaxResponseBytes;
  return options;
}

}

Daemon::Daemon(const Settings& aSettings)
  : mSettings(aSettings)
  , mIdentity(IdentityOf(mSettings, mClock))
  , mContexts(aSettings.mThreads)
  , mSignals(mContexts.Main(), SIGTERM, SIGINT)
  , mTickTimer(mContexts.Main())
  , mDecisions(mClock, aSettings.mMaxDecisions)
  , mMetrics(aSettings.mName)
  , mCluster(mSettings,
             mIdentity,
             ClusterDependencies{ mContexts.Main(),
                                  mClock,
                                  mDecisions,
                                  mMetrics,
                                  mReadiness })
  , mSlots(mClock, mIdentity, SlotModeOf(aSettings))
  , mScheduler(mClock,
               mCluster.Endpoints(),
               mSlots,
               mDecisions,
               SchedulerSettingsOf(aSettings))
  , mRoutingMetrics(aSettings.mName, mScheduler)
  , mClient(mContexts.RequestContexts(), ClientOptionsOf(aSettings))
  , mSubmissions(aSettings,
                 { mContexts.Main(),
                   mClock,
                   mDecisions,
                   mClient,
                   mCluster.Endpoints(),
                   mCluster.Membership(),
                   mCluster.Rpc(),
                   mCluster.Consensus(),
                   mCluster.RulesOfRequests(),
                   mSlots })
  , mSpillReports(MakeSpillReportsDependencies())
  , mRequestPath(mIdentity,
                 RequestPathDependencies{ mContexts.Main(),
                                          mClock,
                                          mDecisions,
                                          mMetrics,
                                          mClient,
                                          mCluster.RulesOfRequests(),
                                          mSubmissions.Claims(),
                                          mScheduler,
                                          mSpillReports,
                                          mSpillCounters },
                 RequestPathOptions{
                   aSettings.mRequestTimeout,
                   std::min(aSettings.mMaxHeldBytes, MemoryForRequests()) })
  , mEndpointApi(mCluster.Endpoints(), aSettings.mAllowedNetworks)
  , mCallerApi(mReadiness, mMetrics)
  , mServer(mContexts.Listener(), ServerOptionsOf(aSettings), mCallerApi)
  , mDrain(mContexts.Main(),
           { aSettings.mBalancerDelay, aSettings.mDrainTimeout },
           mReadiness,
           mServer,
           { [this] { mSubmissions.StartDraining(); },
             [this] { return mSubmissions.IsIdle(); } },
           [this] { mCluster.Leave([this] { mContexts.Stop(); }); })
{
  mCallerApi.AddRoute("/v1/services/", mRequestPath);
  mCallerApi.AddRoute("/v1/endpoints/", mEndpointApi);
  mSubmissions.AddRoutes(mCallerApi);
  mSubmissions.AddMetrics(mMetrics);
  CreateSlotLeases();
  AddMetrics();
}

Daemon::~Daemon() = default;

Result<void>
Daemon::Run()
{
  BOOST_OUTCOME_TRYV(mSubmissions.Start());
  BOOST_OUTCOME_TRYV(mCluster.Start(mSubmissions.VoterGroups()));
  BOOST_OUTCOME_TRYV(mServer.Open());
  LOG(INFO) << "instance=" << mSettings.mName
            << " data-centre=" << mSettings.mDataCentre
            << " callers=" << mSettings.mCallers.mHost << ':' << mServer.Port();
  WaitForSignal();
  ScheduleTick();
  mContexts.Run();
  mSubmissions.Stop();
  return Success();
}

void
Daemon::AddMetrics()
{
  mMetrics.AddCollectable(mRoutingMetrics);
  mMetrics.AddGauge(
    "almondspoke_requests_in_progress",
    "Requests received whose answers are not yet written",
    [this] { return static_cast<double>(mServer.OutstandingRequests()); });
  mMetrics.AddGauge(
    "almondspoke_caller_connections", "Open connections of callers", [this] {
      return static_cast<double>(mServer.OpenConnections());
    });
  mMetrics.AddGauge(
    "almondspoke_rejected_inputs",
    "Inputs since the start that were no valid HTTP",
    [this] { return static_cast<double>(mServer.RejectedRequests()); });
  mMetrics.AddGauge(
    "almondspoke_requests_refused_for_memory",
    "Requests since the start that were refused for want of memory",
    [this] {
      return static_cast<double>(mServer.MemoryCounters().mRefusedForMemory);
    });
  mMetrics.AddGauge("almondspoke_requests_refused_for_time",
                    "Requests since the start that did not arrive in time",
                    [this] {
                      return static_cast<double>(
                        mServer.MemoryCounters().mRefusedForTime);
                    });
  mMetrics.AddGauge(
    "almondspoke_request_bytes",
    "Memory of requests and of answers that are not yet written",
    [this] {
      return static_cast<double>(mServer.MemoryCounters().mHeldBytes);
    });
  mMetrics.AddGauge(
    "almondspoke_slots_without_grantor",
    "1 while slots are a fixed part of each capacity for want of a grantor",
    [this] { return mSlots.IsUsingFallback() ? 1.0 : 0.0; });
  AddSpillMetrics();
}

void
Daemon::AddSpillMetrics()
{
  const auto add = [this](const std::string& aName,
                          const std::string& aHelp,
                          const std::atomic<std::uint64_t>& aCount) {
    mMetrics.AddGauge(
      aName, aHelp, [&aCount] { return static_cast<double>(aCount.load()); });
  };
  add("almondspoke_spill_sent",
      "Attempts since the start that were sent to another data centre",
      mSpillCounters.mSent);
  add("almondspoke_spill_refused",
      "Attempts sent to another data centre that did not run there",
      mSpillCounters.mRefused);
  add("almondspoke_spill_lost",
      "Attempts sent to another data centre that may have run, without answer",
      mSpillCounters.mLost);
  add("almondspoke_spill_without_room",
      "Requests without an endpoint that found no room in another data centre",
      mSpillCounters.mWithoutCapacity);
}

SpillReportsDependencies
Daemon::MakeSpillReportsDependencies()
{
  std::map<InstanceName, std::string> callers;
  for (const InstanceSettings& instance : mSettings.mInstances) {
    callers[instance.mName] = instance.mCallers.ToString();
  }
  return { mClock,
           mCluster.Rpc(),
           mCluster.Membership(),
           std::move(callers),
           [this](const ServiceName& aService) {
             return mScheduler.SpillRoom(aService);
           },
           mSettings.mSpill };
}

void
Daemon::WaitForSignal()
{
  mSignals.async_wait([this](const asio::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    LOG(INFO) << "signal " << aSignal << " received";
    mDrain.Start();
    mCluster.StartDraining();
    WaitForSignal();
  });
}

void
Daemon::CreateSlotLeases()
{
  const GroupSettings* group =
    SubmissionGroupOf(mSettings, mSettings.mDataCentre);
  if (group == nullptr) {
    return;
  }
  const Replicator* replica = mSubmissions.ConsensusOf(mSettings.mDataCentre);
  mSlotLeases.emplace(SlotLeasesDependencies{
    mClock,
    mIdentity,
    mCluster.Transport(),
    mCluster.Endpoints(),
    mSlots,
    group->mVoters,
    replica != nullptr ? GrantorOf(*replica)
                       : [] { return std::optional<SlotGrantor>(); },
    [this] { return CountSlotSharers(); },
    [this] { mScheduler.Tick(); } });
}

std::uint32_t
Daemon::CountSlotSharers()
{
  std::set<InstanceName> sharers;
  for (const InstanceSettings& instance : mSettings.mInstances) {
    if (instance.mDataCentre == mSettings.mDataCentre) {
      sharers.insert(instance.mName);
    }
  }
  for (const InstanceStatus& status : mCluster.Membership().Instances()) {
    if (status.mHealth == InstanceHealth::Left) {
      sharers.erase(status.mIdentity.mName);
    }
  }
  sharers.insert(mSettings.mName);
  return static_cast<std::uint32_t>(sharers.size());
}

void
Daemon::ApplyNewRules()
{
  const std::shared_ptr<const RuleSet> rules = mCluster.Rules().Current();
  if (rules == mAppliedRules) {
    return;
  }
  mAppliedRules = rules;
  const RoutingRules routingRules = MakeRoutingRules(*rules);
  mScheduler.ApplyRules(routingRules);
  mSubmissions.ApplyRules(routingRules);
  if (mSlotLeases) {
    mSlotLeases->ApplyRules(routingRules);
  }
}

void
Daemon::ScheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  mTickTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    ApplyNewRules();
    if (mSlotLeases) {
      mSlotLeases->Tick();
    }
    mScheduler.Tick();
    mSubmissions.Tick();
    ScheduleTick();
  });
}

}

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Base/DecisionLog.h"
#include "Daemon/CallerApi.h"
#include "Daemon/Cluster.h"
#include "Daemon/DaemonMetrics.h"
#include "Daemon/DrainController.h"
#include "Daemon/EndpointApi.h"
#include "Daemon/Readiness.h"
#include "Daemon/RequestPath.h"
#include "Daemon/RoutingMetrics.h"
#include "Daemon/RoutingScheduler.h"
#include "Daemon/Settings.h"
#include "Daemon/SlotLeases.h"
#include "Daemon/SpillReports.h"
#include "Daemon/Submissions.h"
#include "Filters/SpillCounters.h"
#include "Transport/ContextPool.h"
#include "Transport/CurlHttpClient.h"
#include "Transport/HttpServer.h"

namespace almondspoke {

/** \brief One entry instance: constructs its components in dependency order,
 * runs their threads and destroys them in the reverse order. */
class Daemon
{
public:
  explicit Daemon(const Settings& aSettings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /** Serves requests until a drain, which SIGTERM and SIGINT start, has
   * completed. Returns an error if the startup fails; no request has been
   * served then. */
  Result<void> Run();

private:
  void AddMetrics();
  void AddSpillMetrics();
  SpillReportsDependencies MakeSpillReportsDependencies();
  void WaitForSignal();
  void ScheduleTick();
  void ApplyNewRules();
  void CreateSlotLeases();
  /** Counts the instances of this data centre that have not left; they share
   * the slots of its endpoints. */
  std::uint32_t CountSlotSharers();

  const Settings mSettings;
  SystemClock mClock;
  const InstanceIdentity mIdentity;
  ContextPool mContexts;
  asio::signal_set mSignals;
  asio::steady_timer mTickTimer;
  DecisionLog mDecisions;
  DaemonMetrics mMetrics;
  Readiness mReadiness;
  Cluster mCluster;
  SlotHolder mSlots;
  RoutingScheduler mScheduler;
  /** Rules last applied to the scheduler; used by the tick handler only. */
  std::shared_ptr<const RuleSet> mAppliedRules;
  RoutingMetrics mRoutingMetrics;
  CurlHttpClient mClient;
  Submissions mSubmissions;
  SpillReports mSpillReports;
  SpillCounters mSpillCounters;
  /** Set if this data centre has a submission group, whose leader grants the
   * slots. */
  std::optional<SlotLeases> mSlotLeases;
  RequestPath mRequestPath;
  EndpointApi mEndpointApi;
  CallerApi mCallerApi;
  HttpServer mServer;
  DrainController mDrain;
};

}

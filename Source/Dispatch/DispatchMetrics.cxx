#include "Dispatch/DispatchMetrics.h"

#include <algorithm>
#include <limits>

#include <prometheus/text_serializer.h>

namespace almondspoke::dispatch {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double kMillisecondsPerSecond = 1000.0;

template<typename Counters>
struct CounterRow
{
  const char* mName;
  const char* mHelp;
  std::uint64_t Counters::*mCount;
};

constexpr std::array<CounterRow<CoordinatorCounters>, 22>
  kCoordinatorCounters = { {
    { "almondspoke_dispatch_jobs_accepted_total",
      "Jobs that this leader took",
      &CoordinatorCounters::mAccepted },
    { "almondspoke_dispatch_jobs_refused_total",
      "Jobs refused as not run",
      &CoordinatorCounters::mRefused },
    { "almondspoke_dispatch_jobs_refused_overload_total",
      "Jobs refused because the leader is behind",
      &CoordinatorCounters::mRefusedForOverload },
    { "almondspoke_dispatch_jobs_refused_backlog_total",
      "Jobs refused on arrival because too much work is ahead of them",
      &CoordinatorCounters::mRefusedForBacklog },
    { "almondspoke_dispatch_jobs_refused_after_wait_total",
      "Jobs refused because they found no room in time",
      &CoordinatorCounters::mRefusedAfterWait },
    { "almondspoke_dispatch_jobs_refused_recovery_total",
      "Jobs refused on arrival because a new leader recovers",
      &CoordinatorCounters::mRefusedInRecovery },
    { "almondspoke_dispatch_jobs_deferred_total",
      "Jobs that could not be in time and were served after others",
      &CoordinatorCounters::mDeferred },
    { "almondspoke_dispatch_jobs_completed_total",
      "Jobs that ended well",
      &CoordinatorCounters::mCompleted },
    { "almondspoke_dispatch_jobs_failed_total",
      "Jobs of which a task failed for good",
      &CoordinatorCounters::mFailed },
    { "almondspoke_dispatch_jobs_given_up_total",
      "Best-effort jobs whose result came too late to be of use",
      &CoordinatorCounters::mGivenUp },
    { "almondspoke_dispatch_jobs_unawaited_total",
      "Jobs that a local leader stopped since no caller waited any more",
      &CoordinatorCounters::mUnawaited },
    { "almondspoke_dispatch_cancelled_ahead_total",
      "Cancellations of jobs that were not known",
      &CoordinatorCounters::mCancelledAhead },
    { "almondspoke_dispatch_cancels_refused_total",
      "Cancellations of unknown jobs that could not be remembered",
      &CoordinatorCounters::mCancelsRefused },
    { "almondspoke_dispatch_starts_total",
      "Orders to start a run",
      &CoordinatorCounters::mStarts },
    { "almondspoke_dispatch_stops_total",
      "Orders to stop a run",
      &CoordinatorCounters::mStops },
    { "almondspoke_dispatch_holds_total",
      "Orders that renew a lease and read the lists of a worker",
      &CoordinatorCounters::mHolds },
    { "almondspoke_dispatch_orders_unanswered_total",
      "Starts without an answer, whose runs are in doubt for a time",
      &CoordinatorCounters::mUnansweredOrders },
    { "almondspoke_dispatch_runs_done_total",
      "Runs that ended well",
      &CoordinatorCounters::mRunsDone },
    { "almondspoke_dispatch_runs_failed_total",
      "Runs that failed",
      &CoordinatorCounters::mRunsFailed },
    { "almondspoke_dispatch_runs_lost_total",
      "Runs that ended with their worker, their lease or their order",
      &CoordinatorCounters::mRunsLost },
    { "almondspoke_dispatch_runs_too_slow_total",
      "Runs that were stopped to be repeated elsewhere",
      &CoordinatorCounters::mStragglers },
    { "almondspoke_dispatch_runs_slow_left_total",
      "Slow runs that were not stopped, since a new start would gain nothing",
      &CoordinatorCounters::mStragglersLeft },
  } };

constexpr std::array<CounterRow<PlacementWaitCounters>, 3>
  kPlacementWaitCounters = { {
    { "almondspoke_dispatch_placement_waits_total",
      "Jobs that waited for a better place although a worker was found",
      &PlacementWaitCounters::mBegun },
    { "almondspoke_dispatch_placement_waits_ended_by_room_total",
      "Waits that ended at the better place",
      &PlacementWaitCounters::mEndedByRoom },
    { "almondspoke_dispatch_placement_waits_ended_by_time_total",
      "Waits that ended elsewhere, since nothing more was to be gained",
      &PlacementWaitCounters::mEndedByTime },
  } };

constexpr std::array<CounterRow<RelayCounters>, 4> kRelayCounters = { {
  { "almondspoke_dispatch_orders_relayed_total",
    "Orders that other coordinators sent for this leader",
    &RelayCounters::mRelayed },
  { "almondspoke_dispatch_orders_direct_total",
    "Orders that this leader sent itself",
    &RelayCounters::mDirect },
  { "almondspoke_dispatch_relay_fallbacks_total",
    "Orders that a relay did not take, sent directly",
    &RelayCounters::mFallbacks },
  { "almondspoke_dispatch_relay_unanswered_total",
    "Orders without an answer of their relay",
    &RelayCounters::mUnanswered },
} };

constexpr std::array<CounterRow<GatewayCounters>, 6> kGatewayCounters = { {
  { "almondspoke_gateway_calls_total",
    "Calls of callers",
    &GatewayCounters::mCalls },
  { "almondspoke_gateway_calls_resent_total",
    "Calls that went to a second leader",
    &GatewayCounters::mResent },
  { "almondspoke_gateway_calls_without_leader_total",
    "Calls refused for want of a leader",
    &GatewayCounters::mWithoutLeader },
  { "almondspoke_gateway_calls_unknown_total",
    "Calls that reached a leader and got no answer in time",
    &GatewayCounters::mUnknown },
  { "almondspoke_gateway_calls_local_total",
    "Calls that went to an instance that leads this data centre alone",
    &GatewayCounters::mLocal },
  { "almondspoke_gateway_leader_lost_total",
    "Times that the leader was not known any more",
    &GatewayCounters::mLeaderLost },
} };

constexpr std::array<CounterRow<EvacuationCounters>, 3> kEvacuationCounters = {
  {
    { "almondspoke_dispatch_evacuation_requests_stored_total",
      "Requests to evacuate or readmit a data centre that were stored",
      &EvacuationCounters::mStored },
    { "almondspoke_dispatch_evacuation_requests_unknown_total",
      "Such requests with the name of an unknown data centre",
      &EvacuationCounters::mUnknown },
    { "almondspoke_dispatch_evacuation_requests_not_stored_total",
      "Such requests that were not known to be stored in time",
      &EvacuationCounters::mNotStored },
  }
};

MetricFamily
FamilyOf(const char* aName, const char* aHelp, MetricType aType)
{
  MetricFamily family;
  family.name = aName;
  family.help = aHelp;
  family.type = aType;
  family.metric.emplace_back();
  return family;
}

MetricFamily
Gauge(const char* aName, const char* aHelp, double aValue)
{
  MetricFamily family = FamilyOf(aName, aHelp, MetricType::Gauge);
  family.metric.front().gauge.value = aValue;
  return family;
}

MetricFamily
Counter(const char* aName, const char* aHelp, std::uint64_t aValue)
{
  MetricFamily family = FamilyOf(aName, aHelp, MetricType::Counter);
  family.metric.front().counter.value = static_cast<double>(aValue);
  return family;
}

MetricFamily
Histogram(const char* aName,
          const char* aHelp,
          const LatencyHistogram& aHistogram)
{
  MetricFamily family = FamilyOf(aName, aHelp, MetricType::Histogram);
  ClientMetric::Histogram& histogram = family.metric.front().histogram;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    total += aHistogram.CountOf(i);
    ClientMetric::Bucket bucket;
    bucket.cumulative_count = total;
    const bool last = i + 1 == LatencyHistogram::kBuckets;
    bucket.upper_bound =
      last ? std::numeric_limits<double>::infinity()
           : static_cast<double>(LatencyHistogram::BoundOf(i).count()) /
               kMillisecondsPerSecond;
    histogram.bucket.push_back(bucket);
  }
  histogram.sample_count = total;
  histogram.sample_sum =
    static_cast<double>(aHistogram.Sum().count()) / kMillisecondsPerSecond;
  return family;
}

MetricFamily
IgnoredReports(const ReportExchange::DefectCounts& aCounts)
{
  MetricFamily family =
    FamilyOf("almondspoke_dispatch_reports_ignored_total",
             "Reports that do not describe a usable worker, by defect",
             MetricType::Counter);
  family.metric.clear();
  for (std::size_t i = 1; i < aCounts.size(); ++i) {
    ClientMetric metric;
    metric.label.push_back(
      { "defect", std::string(NameOf(static_cast<ReportDefect>(i))) });
    metric.counter.value = static_cast<double>(aCounts[i]);
    family.metric.push_back(std::move(metric));
  }
  return family;
}

MetricFamily
RunsOver(const RunLedgerCounters& aCounters)
{
  MetricFamily family = FamilyOf("almondspoke_dispatch_runs_over_total",
                                 "Runs that are over, by the evidence",
                                 MetricType::Counter);
  family.metric.clear();
  for (std::size_t i = 0; i < aCounters.mOver.size(); ++i) {
    ClientMetric metric;
    metric.label.push_back(
      { "evidence", std::string(NameOf(static_cast<EvidenceKind>(i))) });
    metric.counter.value = static_cast<double>(aCounters.mOver[i]);
    family.metric.push_back(std::move(metric));
  }
  return family;
}

MetricFamily
WorkersByTier(const RunTimeModel& aModel)
{
  MetricFamily family =
    FamilyOf("almondspoke_dispatch_workers_by_tier",
             "Workers by tier of speed: 0 near the mean of the pool, negative "
             "for faster ones; none unless run times are learned",
             MetricType::Gauge);
  family.metric.clear();
  for (SpeedTier tier = -kMaxSpeedTier; tier <= kMaxSpeedTier; ++tier) {
    ClientMetric metric;
    metric.label.push_back({ "tier", std::to_string(tier) });
    metric.gauge.value = static_cast<double>(aModel.WorkersIn(tier));
    family.metric.push_back(std::move(metric));
  }
  return family;
}

constexpr std::array<CounterRow<RunLedgerCounters>, 2> kLedgerCounters = { {
  { "almondspoke_dispatch_runs_found_total",
    "Runs of other leaders that were found on workers",
    &RunLedgerCounters::mFound },
  { "almondspoke_dispatch_list_entries_out_of_date_total",
    "Listed runs that were over when a later answer was made",
    &RunLedgerCounters::mEntriesOutOfDate },
} };

template<typename Counters, std::size_t Size>
void
AddCounters(const std::array<CounterRow<Counters>, Size>& aRows,
            const Counters& aCounters,
            std::vector<MetricFamily>& aFamilies)
{
  for (const CounterRow<Counters>& row : aRows) {
    aFamilies.push_back(Counter(row.mName, row.mHelp, aCounters.*row.mCount));
  }
}

}

DispatchMetrics::DispatchMetrics(const EventLog& aLog,
                                 const CoordinatorNode* aCoordinator,
                                 const Gateway* aGateway)
  : mLog(aLog)
  , mCoordinator(aCoordinator)
  , mGateway(aGateway)
{
}

std::vector<MetricFamily>
DispatchMetrics::Collect() const
{
  std::vector<MetricFamily> families;
  families.push_back(Counter("almondspoke_log_lines_dropped_total",
                             "Log lines over the bound of their event",
                             mLog.DroppedLines()));
  families.push_back(Counter(
    "almondspoke_log_bytes_total", "Bytes of log lines", mLog.AppendedBytes()));
  if (mCoordinator != nullptr) {
    CollectCoordinator(families);
  }
  if (mGateway != nullptr) {
    CollectGateway(families);
  }
  return families;
}

void
DispatchMetrics::CollectCoordinator(std::vector<MetricFamily>& aFamilies) const
{
  const Coordinator& coordinator = mCoordinator->GetCoordinator();
  const CoreStatus consensus = mCoordinator->ConsensusStatus();
  aFamilies.push_back(Gauge("almondspoke_dispatch_leads",
                            "1 on the instance that leads",
                            coordinator.IsLeading() ? 1 : 0));
  aFamilies.push_back(Gauge("almondspoke_dispatch_leads_locally",
                            "1 on an instance that leads its data centre alone",
                            coordinator.IsLocal() ? 1 : 0));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_settled",
          "1 once the leader knows what earlier ones may have "
          "running",
          coordinator.IsRecoveryComplete() ? 1 : 0));
  aFamilies.push_back(Gauge("almondspoke_dispatch_term",
                            "Term of the group, and fence of its leader",
                            static_cast<double>(consensus.mTerm)));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_voters",
          "Voters of the group",
          static_cast<double>(consensus.mConfiguration.mVoters.size())));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_storage_failed",
          "1 while this instance takes no part in the group, since its disk "
          "refused a write",
          mCoordinator->HasStorageFailed() ? 1 : 0));
  aFamilies.push_back(Counter("almondspoke_dispatch_storage_failures_total",
                              "Times that the disk refused a write",
                              mCoordinator->StorageFailures()));
  aFamilies.push_back(Gauge("almondspoke_dispatch_commit_index",
                            "Last committed entry known here",
                            static_cast<double>(consensus.mCommitIndex)));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_manifest_version",
          "Version of the manifest in force here",
          static_cast<double>(mCoordinator->ManifestVersion())));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_workers_reporting",
          "Workers whose reports reach this instance",
          static_cast<double>(mCoordinator->KnownWorkerCount())));
  aFamilies.push_back(IgnoredReports(mCoordinator->IgnoredReports()));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_delay_seconds",
          "Time from the arrival of a message to its handling",
          static_cast<double>(coordinator.Load().Delay().count()) /
            kMillisecondsPerSecond));
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_overload",
          "1 if only the most urgent new work is taken, 2 if none is",
          static_cast<double>(coordinator.Load().State())));
  const WorkerSessions& workers = coordinator.Workers();
  const DataCentreNames& evacuated = coordinator.Evacuated();
  const auto usable =
    std::count_if(workers.begin(), workers.end(), [&](const auto& aEntry) {
      return aEntry.second.IsUsable() &&
             evacuated.count(aEntry.second.Report().mDataCentre) == 0;
    });
  aFamilies.push_back(Gauge("almondspoke_dispatch_workers_usable",
                            "Workers on which the leader may start runs",
                            static_cast<double>(usable)));
  aFamilies.push_back(WorkersByTier(coordinator.RunTimes()));
  AddCounters(
    kPlacementWaitCounters, coordinator.PlacementWaitsTaken(), aFamilies);
  aFamilies.push_back(Gauge("almondspoke_dispatch_jobs_open",
                            "Jobs that have not ended",
                            static_cast<double>(coordinator.OpenJobs())));
  aFamilies.push_back(Gauge("almondspoke_dispatch_runs",
                            "Runs that are, or may be, on workers",
                            static_cast<double>(coordinator.AssignedRuns())));
  AddCounters(kCoordinatorCounters, coordinator.Counters(), aFamilies);
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_data_centres_evacuated",
          "Data centres in which nothing is started, as stored here",
          static_cast<double>(mCoordinator->EvacuatedCount())));
  AddCounters(
    kEvacuationCounters, mCoordinator->EvacuationRequestCounters(), aFamilies);
  aFamilies.push_back(RunsOver(coordinator.LedgerCounters()));
  AddCounters(kLedgerCounters, coordinator.LedgerCounters(), aFamilies);
  AddCounters(kRelayCounters, mCoordinator->OrderCounters(), aFamilies);
  aFamilies.push_back(
    Gauge("almondspoke_dispatch_relay_orders_open",
          "Orders that this instance is sending for a leader",
          static_cast<double>(mCoordinator->OrdersInFlight())));
  const RelayLoad& load = mCoordinator->OrdersTaken();
  aFamilies.push_back(Counter("almondspoke_dispatch_relay_orders_taken_total",
                              "Orders that leaders gave to this instance",
                              load.mTaken));
  aFamilies.push_back(Counter("almondspoke_dispatch_relay_orders_expired_total",
                              "Orders that came to this instance too late to "
                              "be sent",
                              load.mExpired));
  aFamilies.push_back(Histogram("almondspoke_dispatch_relay_wait_seconds",
                                "Time from an order of a leader to its "
                                "handling by this instance",
                                load.mWaits));
  aFamilies.push_back(Histogram("almondspoke_dispatch_job_seconds",
                                "Time from the arrival of a job to its end",
                                coordinator.Latencies().mJobs));
  aFamilies.push_back(
    Histogram("almondspoke_dispatch_first_start_seconds",
              "Time from the arrival of a job to its first start",
              coordinator.Latencies().mFirstStarts));
  aFamilies.push_back(Histogram("almondspoke_dispatch_start_answer_seconds",
                                "Time from an order to start to its answer",
                                coordinator.Latencies().mStartAnswers));
}

void
DispatchMetrics::CollectGateway(std::vector<MetricFamily>& aFamilies) const
{
  aFamilies.push_back(Gauge("almondspoke_gateway_ready",
                            "1 while a leader is known",
                            mGateway->IsReady() ? 1 : 0));
  aFamilies.push_back(Gauge("almondspoke_gateway_calls_open",
                            "Calls that have not been answered",
                            static_cast<double>(mGateway->OpenCalls())));
  AddCounters(kGatewayCounters, mGateway->Counters(), aFamilies);
  aFamilies.push_back(Histogram("almondspoke_gateway_call_seconds",
                                "Time from a call to its answer",
                                mGateway->Latencies()));
}

std::string
DispatchMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(Collect());
}

}

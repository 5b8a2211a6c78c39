#include "Daemon/RoutingMetrics.h"

#include <array>
#include <chrono>
#include <utility>

#include "Daemon/RoutingScheduler.h"

namespace almondspoke {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/** \brief Describes one metric that is read from a status struct. */
template<typename Status>
struct MetricDefinition
{
  const char* mName;
  const char* mHelp;
  MetricType mType;
  double (*mRead)(const Status& aStatus);
};

template<typename Status, auto Member>
double
Read(const Status& aStatus)
{
  return static_cast<double>(aStatus.*Member);
}

double
MedianSeconds(const KindStatus& aStatus)
{
  return std::chrono::duration<double>(aStatus.mMedianRunTime).count();
}

double
IsEjected(const EndpointStatus& aStatus)
{
  return aStatus.mHealth == HealthState::Ejected ? 1 : 0;
}

constexpr std::array<MetricDefinition<ServiceStatus>, 6> kServiceMetrics = { {
  { "almondspoke_service_slots",
    "Slots of the service that this instance may use",
    MetricType::Gauge,
    &Read<ServiceStatus, &ServiceStatus::mTotalSlots> },
  { "almondspoke_service_slots_in_use",
    "Attempts of the service in progress",
    MetricType::Gauge,
    &Read<ServiceStatus, &ServiceStatus::mInUse> },
  { "almondspoke_service_retries_total",
    "Attempts after the first",
    MetricType::Counter,
    &Read<ServiceStatus, &ServiceStatus::mRetries> },
  { "almondspoke_service_retries_denied_total",
    "Retries that the retry budget did not allow",
    MetricType::Counter,
    &Read<ServiceStatus, &ServiceStatus::mRetriesDenied> },
  { "almondspoke_service_attempts_stopped_total",
    "Attempts that were stopped for another one, as they got no answer",
    MetricType::Counter,
    &Read<ServiceStatus, &ServiceStatus::mStoppedAttempts> },
  { "almondspoke_service_endpoints_ejected",
    "Endpoints of the service that are ejected",
    MetricType::Gauge,
    &Read<ServiceStatus, &ServiceStatus::mEjectedEndpoints> },
} };

constexpr std::array<MetricDefinition<KindStatus>, 7> kKindMetrics = { {
  { "almondspoke_kind_waiting",
    "Requests of the kind that wait",
    MetricType::Gauge,
    &Read<KindStatus, &KindStatus::mWaiting> },
  { "almondspoke_kind_slots_in_use",
    "Attempts of the kind in progress",
    MetricType::Gauge,
    &Read<KindStatus, &KindStatus::mInUse> },
  { "almondspoke_kind_dispatched_total",
    "Attempts of the kind that were sent",
    MetricType::Counter,
    &Read<KindStatus, &KindStatus::mDispatched> },
  { "almondspoke_kind_refused_total",
    "Requests of the kind that were refused",
    MetricType::Counter,
    &Read<KindStatus, &KindStatus::mRefused> },
  { "almondspoke_kind_expired_total",
    "Requests of the kind whose deadline passed while they waited",
    MetricType::Counter,
    &Read<KindStatus, &KindStatus::mExpired> },
  { "almondspoke_kind_cancelled_total",
    "Requests of the kind that were withdrawn while they waited",
    MetricType::Counter,
    &Read<KindStatus, &KindStatus::mCancelled> },
  { "almondspoke_kind_median_run_time_seconds",
    "Usual run time of the kind",
    MetricType::Gauge,
    &MedianSeconds },
} };

constexpr std::array<MetricDefinition<EndpointStatus>, 5> kEndpointMetrics = { {
  { "almondspoke_endpoint_slots",
    "Slots of the endpoint that this instance may use",
    MetricType::Gauge,
    &Read<EndpointStatus, &EndpointStatus::mGranted> },
  { "almondspoke_endpoint_slots_in_use",
    "Attempts in progress at the endpoint",
    MetricType::Gauge,
    &Read<EndpointStatus, &EndpointStatus::mInUse> },
  { "almondspoke_endpoint_error_ratio",
    "Share of recent attempts that failed, 0 to 1",
    MetricType::Gauge,
    &Read<EndpointStatus, &EndpointStatus::mErrorRatio> },
  { "almondspoke_endpoint_slowness",
    "Run times against what is usual; 1 is usual",
    MetricType::Gauge,
    &Read<EndpointStatus, &EndpointStatus::mSlowness> },
  { "almondspoke_endpoint_ejected",
    "1 while the endpoint is ejected",
    MetricType::Gauge,
    &IsEjected },
} };

using Labels = std::vector<ClientMetric::Label>;

/** \brief Builds one Prometheus metric family for each definition of a
 * table. */
template<typename Status, std::size_t Size>
class MetricFamilies
{
public:
  explicit MetricFamilies(
    const std::array<MetricDefinition<Status>, Size>& aDefinitions)
    : mDefinitions(aDefinitions)
  {
    for (std::size_t i = 0; i < Size; ++i) {
      mFamilies[i].name = aDefinitions[i].mName;
      mFamilies[i].help = aDefinitions[i].mHelp;
      mFamilies[i].type = aDefinitions[i].mType;
    }
  }

  void Add(const Status& aStatus, const Labels& aLabels)
  {
    for (std::size_t i = 0; i < Size; ++i) {
      ClientMetric metric;
      metric.label = aLabels;
      const double value = mDefinitions[i].mRead(aStatus);
      if (mDefinitions[i].mType == MetricType::Counter) {
        metric.counter.value = value;
      } else {
        metric.gauge.value = value;
      }
      mFamilies[i].metric.push_back(std::move(metric));
    }
  }

  void MoveTo(std::vector<MetricFamily>& aFamilies)
  {
    for (MetricFamily& family : mFamilies) {
      aFamilies.push_back(std::move(family));
    }
  }

private:
  const std::array<MetricDefinition<Status>, Size>& mDefinitions;
  std::array<MetricFamily, Size> mFamilies;
};

}

RoutingMetrics::RoutingMetrics(InstanceName aInstance,
                               const RoutingScheduler& aScheduler)
  : mInstance(std::move(aInstance))
  , mScheduler(aScheduler)
{
}

std::vector<MetricFamily>
RoutingMetrics::Collect() const
{
  MetricFamilies services(kServiceMetrics);
  MetricFamilies kinds(kKindMetrics);
  MetricFamilies endpoints(kEndpointMetrics);
  for (const ServiceStatus& service : mScheduler.Status()) {
    Labels labels{ { "instance", mInstance }, { "service", service.mService } };
    services.Add(service, labels);
    labels.push_back({ "kind", "" });
    for (const KindStatus& kind : service.mKinds) {
      labels.back().value = kind.mKind;
      kinds.Add(kind, labels);
    }
    labels.back().name = "endpoint";
    for (const EndpointStatus& endpoint : service.mEndpoints) {
      labels.back().value = endpoint.mName;
      endpoints.Add(endpoint, labels);
    }
  }
  std::vector<MetricFamily> families;
  services.MoveTo(families);
  kinds.MoveTo(families);
  endpoints.MoveTo(families);
  return families;
}

}

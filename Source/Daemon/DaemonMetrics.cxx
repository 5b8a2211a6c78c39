#include "Daemon/DaemonMetrics.h"

#include <array>
#include <iterator>
#include <utility>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace almondspoke {

namespace {

constexpr int kStatusClasses = 6;

const prometheus::Histogram::BucketBoundaries kDurationBuckets = {
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
};

}

/** \brief The registry, and pointers to those of its metrics that are
 * updated. */
struct DaemonMetrics::Members
{
  struct ReadGauge
  {
    prometheus::Gauge* mGauge;
    std::function<double()> mRead;
  };

  std::map<std::string, std::string> mLabels;
  prometheus::Registry mRegistry;
  std::array<std::array<prometheus::Counter*, 3>, kStatusClasses> mRequests{};
  prometheus::Histogram* mDuration = nullptr;
  std::vector<ReadGauge> mGauges;
  std::vector<const prometheus::Collectable*> mCollectables;
};

DaemonMetrics::DaemonMetrics(const InstanceName& aInstance)
  : mMembers(std::make_unique<Members>())
{
  mMembers->mLabels = { { "instance", aInstance } };
  auto& requests = prometheus::BuildCounter()
                     .Name("almondspoke_requests_total")
                     .Help("Requests answered, by status class and by whether "
                           "the work can have run")
                     .Labels(mMembers->mLabels)
                     .Register(mMembers->mRegistry);
  for (int status = 1; status < kStatusClasses; ++status) {
    for (const Ran ran : { Ran::No, Ran::Yes, Ran::Unknown }) {
      mMembers->mRequests[status][static_cast<std::size_t>(ran)] =
        &requests.Add({ { "status", std::to_string(status) + "xx" },
                        { "ran", std::string(NameOf(ran)) } });
    }
  }
  mMembers->mDuration =
    &prometheus::BuildHistogram()
       .Name("almondspoke_request_duration_seconds")
       .Help("Time from the arrival of a request to its answer")
       .Labels(mMembers->mLabels)
       .Register(mMembers->mRegistry)
       .Add({}, kDurationBuckets);
}

DaemonMetrics::~DaemonMetrics() = default;

void
DaemonMetrics::CountRequest(int aStatus,
                            Ran aRan,
                            std::chrono::nanoseconds aDuration)
{
  const int statusClass = aStatus / 100;
  if (statusClass >= 1 && statusClass < kStatusClasses) {
    mMembers->mRequests[statusClass][static_cast<std::size_t>(aRan)]
      ->Increment();
  }
  mMembers->mDuration->Observe(
    std::chrono::duration<double>(aDuration).count());
}

void
DaemonMetrics::AddGauge(const std::string& aName,
                        const std::string& aHelp,
                        std::function<double()> aRead)
{
  auto& gauge = prometheus::BuildGauge()
                  .Name(aName)
                  .Help(aHelp)
                  .Labels(mMembers->mLabels)
                  .Register(mMembers->mRegistry)
                  .Add({});
  mMembers->mGauges.push_back({ &gauge, std::move(aRead) });
}

void
DaemonMetrics::AddCollectable(const prometheus::Collectable& aMetrics)
{
  mMembers->mCollectables.push_back(&aMetrics);
}

prometheus::Registry&
DaemonMetrics::Registry()
{
  return mMembers->mRegistry;
}

std::string
DaemonMetrics::Text()
{
  for (const Members::ReadGauge& gauge : mMembers->mGauges) {
    gauge.mGauge->Set(gauge.mRead());
  }
  std::vector<prometheus::MetricFamily> families =
    mMembers->mRegistry.Collect();
  for (const prometheus::Collectable* metrics : mMembers->mCollectables) {
    std::vector<prometheus::MetricFamily> more = metrics->Collect();
    families.insert(families.end(),
                    std::make_move_iterator(more.begin()),
                    std::make_move_iterator(more.end()));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}

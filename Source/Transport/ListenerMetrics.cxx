#include "Transport/ListenerMetrics.h"

#include <prometheus/text_serializer.h>

namespace almondspoke {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily
FamilyOf(const char* aName, const char* aHelp, MetricType aType)
{
  MetricFamily family;
  family.name = aName;
  family.help = aHelp;
  family.type = aType;
  return family;
}

void
AddGauge(MetricFamily& aFamily,
         const std::string& aListener,
         std::size_t aValue)
{
  ClientMetric metric;
  metric.label.push_back({ "listener", aListener });
  metric.gauge.value = static_cast<double>(aValue);
  aFamily.metric.push_back(std::move(metric));
}

void
AddCounter(MetricFamily& aFamily,
           const std::string& aListener,
           std::uint64_t aCount)
{
  ClientMetric metric;
  metric.label.push_back({ "listener", aListener });
  metric.counter.value = static_cast<double>(aCount);
  aFamily.metric.push_back(std::move(metric));
}

void
AddRefusals(MetricFamily& aFamily,
            const std::string& aListener,
            RequestLimit aLimit,
            std::uint64_t aCount)
{
  ClientMetric metric;
  metric.label.push_back({ "listener", aListener });
  metric.label.push_back(
    { "limit", std::string(NameOf(kRequestLimitNames, aLimit)) });
  metric.counter.value = static_cast<double>(aCount);
  aFamily.metric.push_back(std::move(metric));
}

}

void
ListenerMetrics::Add(std::string aListener, const HttpServer& aServer)
{
  mServers.emplace_back(std::move(aListener), &aServer);
}

std::string
ListenerMetrics::Text() const
{
  MetricFamily refused =
    FamilyOf("almondspoke_listener_requests_refused_total",
             "Requests refused for their memory or time, not run",
             MetricType::Counter);
  MetricFamily bytes =
    FamilyOf("almondspoke_listener_request_bytes",
             "Memory of requests and of answers that are not yet written",
             MetricType::Gauge);
  MetricFamily connections = FamilyOf("almondspoke_listener_connections",
                                      "Connections that are open or closing",
                                      MetricType::Gauge);
  MetricFamily displaced =
    FamilyOf("almondspoke_listener_connections_displaced_total",
             "Quiet connections that were closed to make place for others",
             MetricType::Counter);
  for (const auto& [listener, server] : mServers) {
    const RequestMemoryCounters counters = server->MemoryCounters();
    AddRefusals(
      refused, listener, RequestLimit::Memory, counters.mRefusedForMemory);
    AddRefusals(
      refused, listener, RequestLimit::Time, counters.mRefusedForTime);
    AddGauge(bytes, listener, counters.mHeldBytes);
    AddGauge(connections, listener, server->OpenConnections());
    AddCounter(displaced, listener, server->DisplacedConnections());
  }
  return prometheus::TextSerializer().Serialize(
    { refused, bytes, connections, displaced });
}

}

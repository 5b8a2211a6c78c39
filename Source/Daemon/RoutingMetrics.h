#pragma once

#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include "Base/InstanceIdentity.h"

namespace almondspoke {

class RoutingScheduler;

/** \brief Metrics of services, kinds and endpoints, read from the scheduler at
 * each scrape.
 *
 * The number of label values is bounded: the scheduler limits services and
 * kinds, and the endpoint table limits endpoints. */
class RoutingMetrics : public prometheus::Collectable
{
public:
  /** The scheduler must outlive the metrics. */
  RoutingMetrics(InstanceName aInstance, const RoutingScheduler& aScheduler);

  std::vector<prometheus::MetricFamily> Collect() const override;

private:
  const InstanceName mInstance;
  const RoutingScheduler& mScheduler;
};

}

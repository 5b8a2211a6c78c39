#pragma once

#include <functional>
#include <string>
#include <vector>

#include <prometheus/collectable.h>

#include "Dispatch/CoordinatorNode.h"
#include "Dispatch/Gateway.h"

namespace almondspoke::dispatch {

/** \brief Metrics of an instance of a dispatch installation.
 *
 * Must be collected on the thread that runs the instance. No label has
 * unbounded values. */
class DispatchMetrics : public prometheus::Collectable
{
public:
  /** \param aCoordinator null on a gateway
   * \param aGateway null on a coordinator
   *
   * All arguments must outlive this object. */
  DispatchMetrics(const EventLog& aLog,
                  const CoordinatorNode* aCoordinator,
                  const Gateway* aGateway);

  std::vector<prometheus::MetricFamily> Collect() const override;

  /** All metrics in the Prometheus text format. */
  std::string Text() const;

private:
  void CollectCoordinator(
    std::vector<prometheus::MetricFamily>& aFamilies) const;
  void CollectGateway(std::vector<prometheus::MetricFamily>& aFamilies) const;

  const EventLog& mLog;
  const CoordinatorNode* const mCoordinator;
  const Gateway* const mGateway;
};

}

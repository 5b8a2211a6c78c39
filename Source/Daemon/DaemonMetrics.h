#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "Base/ErrorKind.h"
#include "Base/InstanceIdentity.h"

namespace prometheus {
class Collectable;
class Registry;
}

namespace almondspoke {

/** \brief Metrics of the request path, and those that other components
 * register. The number of label values is bounded. */
class DaemonMetrics
{
public:
  explicit DaemonMetrics(const InstanceName& aInstance);
  DaemonMetrics(const DaemonMetrics&) = delete;
  DaemonMetrics& operator=(const DaemonMetrics&) = delete;
  ~DaemonMetrics();

  /** Counts an answered request and records its duration. */
  void CountRequest(int aStatus, Ran aRan, std::chrono::nanoseconds aDuration);

  /** Adds a gauge whose value is read at each scrape. Must be called before
   * the server starts. */
  void AddGauge(const std::string& aName,
                const std::string& aHelp,
                std::function<double()> aRead);

  /** Adds metrics that are collected at each scrape. Must be called before the
   * server starts. aMetrics must outlive the last call of Text(). */
  void AddCollectable(const prometheus::Collectable& aMetrics);

  /** Registry in which other components register their metrics. */
  prometheus::Registry& Registry();

  /** Returns all metrics in the Prometheus text format. */
  std::string Text();

private:
  struct Members;
  std::unique_ptr<Members> mMembers;
};

}

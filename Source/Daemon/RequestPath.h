#pragma once

#include <atomic>
#include <cstddef>
#include <string>

#include <asio/io_context.hpp>

#include "Base/Clock.h"
#include "Base/Decision.h"
#include "Base/InstanceIdentity.h"
#include "Daemon/DaemonMetrics.h"
#include "Filters/FilterChain.h"
#include "Filters/RequestClaims.h"
#include "Filters/RequestRules.h"
#include "Filters/RequestScheduler.h"
#include "Filters/SpillCounters.h"
#include "Filters/SpillTargets.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpExchange.h"

namespace almondspoke {

/** \brief Dependencies of RequestPath; all must outlive it. */
struct RequestPathDependencies
{
  asio::io_context& mContext;
  const Clock& mClock;
  DecisionSink& mDecisions;
  DaemonMetrics& mMetrics;
  HttpClient& mClient;
  const RequestRules& mRules;
  RequestClaims& mClaims;
  RequestScheduler& mScheduler;
  SpillTargets& mSpillTargets;
  SpillCounters& mSpillCounters;
};

/** \brief Limits of RequestPath. */
struct RequestPathOptions
{
  std::chrono::milliseconds mRequestTimeout{ 30000 };
  /** Maximum total size of the request bodies in memory. */
  std::size_t mMaxHeldBytes = 536870912;
};

/** \brief Serves /v1/services/ by passing each request through the filter
 * chain. */
class RequestPath : public HttpHandler
{
public:
  RequestPath(const InstanceIdentity& aSelf,
              const RequestPathDependencies& aDependencies,
              const RequestPathOptions& aOptions);

  void Handle(HttpExchangePtr aExchange) override;

private:
  std::string NextId();

  const Clock& mClock;
  DaemonMetrics& mMetrics;
  const std::string mIdPrefix;
  std::atomic<std::uint64_t> mNextId{ 0 };
  FilterChain mChain;
};

}

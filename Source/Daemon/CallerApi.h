#pragma once

#include <string>
#include <vector>

#include "Daemon/DaemonMetrics.h"
#include "Daemon/Readiness.h"
#include "Transport/HttpExchange.h"

namespace almondspoke {

/** \brief Dispatches each caller's request to the handler of its path, and
 * serves the health, readiness and metrics paths itself. */
class CallerApi : public HttpHandler
{
public:
  CallerApi(const Readiness& aReadiness, DaemonMetrics& aMetrics);

  /** Registers the handler of a path. A path that ends with a slash matches
   * all longer paths with this prefix. Must be called before the server
   * starts. */
  void AddRoute(std::string aPath, HttpHandler& aHandler);

  void Handle(HttpExchangePtr aExchange) override;

private:
  struct Route
  {
    std::string mPath;
    HttpHandler* mHandler;
  };

  bool HandleProbe(HttpExchange& aExchange, std::string_view aPath);
  HttpResponse ReadyResponse() const;

  const Readiness& mReadiness;
  DaemonMetrics& mMetrics;
  std::vector<Route> mRoutes;
};

}

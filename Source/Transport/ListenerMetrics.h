#pragma once

#include <string>
#include <utility>
#include <vector>

#include "Transport/HttpServer.h"

namespace almondspoke {

/** \brief Metrics of the listening addresses of an instance. */
class ListenerMetrics
{
public:
  /** \param aServer must outlive this object */
  void Add(std::string aListener, const HttpServer& aServer);

  /** All metrics in the Prometheus text format. */
  std::string Text() const;

private:
  std::vector<std::pair<std::string, const HttpServer*>> mServers;
};

}

#pragma once

#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "StandIn/ForwardOptions.h"
#include "StandIn/LinkForwarder.h"

namespace almondspoke {

/** \brief Simulates the network between two processes: forwards ports with a
 * delay and, on a signal, stops transferring data on open connections. */
class ForwardingStandIn
{
public:
  explicit ForwardingStandIn(const ForwardOptions& aOptions);
  ForwardingStandIn(const ForwardingStandIn&) = delete;
  ForwardingStandIn& operator=(const ForwardingStandIn&) = delete;

  /** Prints `forwarding N links` and forwards until SIGTERM or SIGINT. SIGUSR1
   * stops all data on the configured share of the open connections without
   * closing them. \return the exit code. */
  int Run();

private:
  void WaitForSignal();

  asio::io_context mContext;
  asio::signal_set mSignals;
  std::shared_ptr<LinkConditions> mConditions;
  std::vector<std::unique_ptr<LinkForwarder>> mForwarders;
};

}

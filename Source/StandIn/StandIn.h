#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "StandIn/Announcer.h"
#include "StandIn/StandInOptions.h"
#include "StandIn/TaskRunner.h"
#include "Transport/CurlHttpClient.h"
#include "Transport/HttpServer.h"

namespace almondspoke {

/** \brief Simulated endpoint (runner or worker) for tests, demo and benchmarks.
 */
class StandIn
{
public:
  explicit StandIn(StandInOptions aOptions);
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  /** Prints `listening IP:PORT` and serves until SIGTERM or SIGINT. Then it
   * removes its registration and exits once the last task has finished. \return
   * the exit code. */
  int Run();

private:
  void WaitForSignal();
  /** Removes the registration. \param aThenExit whether the process then
   * refuses new work and exits once it is idle. */
  void Leave(bool aThenExit);
  void ExitWhenIdle();

  const StandInOptions mOptions;
  asio::io_context mContext;
  asio::signal_set mSignals;
  asio::steady_timer mLeaveTimer;
  asio::steady_timer mIdleTimer;
  CurlHttpClient mClient;
  TaskRunner mRunner;
  Announcer mAnnouncer;
  HttpServer mServer;
};

}

#pragma once

#include <chrono>
#include <functional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Daemon/Readiness.h"
#include "Transport/HttpServer.h"

namespace almondspoke {

/** \brief Shuts the instance down gracefully, without interrupting requests in
 * progress.
 *
 * The instance reports at once that it is not ready, and accepts connections
 * until the load balancer has had time to notice. Then the listener closes,
 * and the process ends after the last response has been written. */
class DrainController
{
public:
  struct Options
  {
    /** Time for the load balancer to notice that the instance is not ready. */
    std::chrono::milliseconds mBalancerDelay{ 5000 };
    /** Time after the listener closed at which the process ends even with
     * requests in progress. */
    std::chrono::milliseconds mTimeout{ 300000 };
  };

  /** \brief Work that continues independently of open requests. */
  struct Background
  {
    /** Called once when the listener closes. */
    std::function<void()> mStartDraining;
    /** Returns true once no background work is in progress. */
    std::function<bool()> mIsIdle;
  };

  /** \param aDrained called once, when nothing is in progress any more or the
   * timeout has passed. */
  DrainController(asio::io_context& aContext,
                  Options aOptions,
                  Readiness& aReadiness,
                  HttpServer& aServer,
                  Background aBackground,
                  std::function<void()> aDrained);

  /** Starts the drain; further calls have no effect. */
  void Start();

private:
  void CloseListener();
  void Poll();

  asio::steady_timer mTimer;
  const Options mOptions;
  Readiness& mReadiness;
  HttpServer& mServer;
  const Background mBackground;
  std::function<void()> mDrained;
  std::chrono::steady_clock::time_point mDeadline;
};

}

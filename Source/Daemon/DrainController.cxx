#include "Daemon/DrainController.h"

#include <utility>

#include <glog/logging.h>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };

}

DrainController::DrainController(asio::io_context& aContext,
                                 Options aOptions,
                                 Readiness& aReadiness,
                                 HttpServer& aServer,
                                 Background aBackground,
                                 std::function<void()> aDrained)
  : mTimer(aContext)
  , mOptions(aOptions)
  , mReadiness(aReadiness)
  , mServer(aServer)
  , mBackground(std::move(aBackground))
  , mDrained(std::move(aDrained))
{
}

void
DrainController::Start()
{
  if (mReadiness.IsDraining()) {
    return;
  }
  mReadiness.StartDraining();
  mServer.CloseConnectionsAfterAnswer();
  LOG(INFO) << "drain: reported as not ready, listener closes in "
            << mOptions.mBalancerDelay.count() << " ms";
  mTimer.expires_after(mOptions.mBalancerDelay);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      CloseListener();
    }
  });
}

void
DrainController::CloseListener()
{
  mServer.CloseListener();
  mBackground.mStartDraining();
  mDeadline = std::chrono::steady_clock::now() + mOptions.mTimeout;
  LOG(INFO) << "drain: listener closed, " << mServer.OutstandingRequests()
            << " requests in progress";
  Poll();
}

void
DrainController::Poll()
{
  const std::size_t outstanding = mServer.OutstandingRequests();
  const bool hasTimedOut = std::chrono::steady_clock::now() >= mDeadline;
  const bool isIdle = outstanding == 0 && mBackground.mIsIdle();
  if (isIdle || hasTimedOut) {
    LOG_IF(WARNING, !isIdle) << "drain: timed out with " << outstanding
                             << " requests in progress; unfinished jobs are "
                                "abandoned";
    LOG(INFO) << "drain: completed";
    mDrained();
    return;
  }
  mTimer.expires_after(kPollInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Poll();
    }
  });
}

}

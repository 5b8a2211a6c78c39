#include "StandIn/StandIn.h"

#include <csignal>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kIdlePollInterval{ 20 };
/** Time for the removal of the registration to reach the instances before new
 * work is refused. */
constexpr std::chrono::milliseconds kDeregistrationDelay{ 500 };
constexpr std::size_t kMaxBodyBytes = 67108864;

HttpServerOptions
ServerOptionsOf(const StandInOptions& aOptions)
{
  HttpServerOptions options;
  options.mAddress = aOptions.mHost;
  options.mPort = aOptions.mPort;
  options.mMaxBodyBytes = kMaxBodyBytes;
  return options;
}

}

StandIn::StandIn(StandInOptions aOptions)
  : mOptions(std::move(aOptions))
  , mContext(static_cast<int>(mOptions.mThreads))
  , mSignals(mContext, SIGTERM, SIGINT)
  , mLeaveTimer(mContext)
  , mIdleTimer(mContext)
  , mClient(mContext, HttpClientOptions{})
  , mRunner(mContext, mOptions)
  , mAnnouncer(mContext, mClient, mOptions, [this] { return mRunner.Usage(); })
  , mServer(mContext, ServerOptionsOf(mOptions), mRunner)
{
}

int
StandIn::Run()
{
  const Result<void> opened = mServer.Open();
  if (opened.has_error()) {
    throw std::runtime_error(opened.error().Message());
  }
  const std::string address =
    mOptions.mHost + ':' + std::to_string(mServer.Port());
  std::cout << "listening " << address << std::endl;
  mAnnouncer.Start(
    mOptions.mAnnouncedAddress.empty() ? address : mOptions.mAnnouncedAddress);
  WaitForSignal();
  if (mOptions.mLeaveAfter.count() > 0) {
    mLeaveTimer.expires_after(mOptions.mLeaveAfter);
    mLeaveTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Leave(false);
      }
    });
  }
  std::vector<std::thread> threads;
  for (std::size_t i = 1; i < mOptions.mThreads; ++i) {
    threads.emplace_back([this] { mContext.run(); });
  }
  mContext.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return 0;
}

void
StandIn::WaitForSignal()
{
  mSignals.async_wait([this](const asio::error_code& aError, int) {
    if (!aError) {
      Leave(true);
    }
  });
}

void
StandIn::Leave(bool aThenExit)
{
  mAnnouncer.Leave();
  if (!aThenExit) {
    return;
  }
  mIdleTimer.expires_after(kDeregistrationDelay);
  mIdleTimer.async_wait([this](const asio::error_code&) {
    mRunner.RefuseAll();
    ExitWhenIdle();
  });
}

void
StandIn::ExitWhenIdle()
{
  if (mServer.OutstandingRequests() == 0) {
    mContext.stop();
    return;
  }
  mIdleTimer.expires_after(kIdlePollInterval);
  mIdleTimer.async_wait([this](const asio::error_code&) { ExitWhenIdle(); });
}

}

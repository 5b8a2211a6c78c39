#include "StandIn/ForwardingStandIn.h"

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace almondspoke {

ForwardingStandIn::ForwardingStandIn(const ForwardOptions& aOptions)
  : mContext(1)
  , mSignals(mContext, SIGTERM, SIGINT, SIGUSR1)
  , mConditions(std::make_shared<LinkConditions>())
{
  mConditions->mDelayMicroseconds = aOptions.mDelay.count();
  mConditions->mSilencedShare = aOptions.mSilencedShare;
  for (const ForwardedLink& link : aOptions.mLinks) {
    mForwarders.push_back(std::make_unique<LinkForwarder>(
      mContext, link.mListen, link.mTarget, mConditions));
  }
}

int
ForwardingStandIn::Run()
{
  for (const auto& forwarder : mForwarders) {
    const Result<void> started = forwarder->Start();
    if (started.has_error()) {
      throw std::runtime_error(started.error().Message());
    }
  }
  std::cout << "forwarding " << mForwarders.size() << " links" << std::endl;
  WaitForSignal();
  mContext.run();
  return 0;
}

void
ForwardingStandIn::WaitForSignal()
{
  mSignals.async_wait([this](const asio::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal != SIGUSR1) {
      mContext.stop();
      return;
    }
    ++mConditions->mSilencedGeneration;
    WaitForSignal();
  });
}

}

#include "Dispatch/LeasedWorkerCalls.h"

#include <utility>

#include <asio/post.hpp>

namespace almondspoke::dispatch {

namespace {

template<typename CallResult>
CallResult
NotSent()
{
  CallResult result;
  result.mOutcome = OrderOutcome::NotSent;
  return result;
}

}

LeasedWorkerCalls::LeasedWorkerCalls(asio::io_context& aContext,
                                     WorkerCalls& aCalls,
                                     std::function<bool()> aHoldsLease)
  : mContext(aContext)
  , mCalls(aCalls)
  , mHoldsLease(std::move(aHoldsLease))
{
}

void
LeasedWorkerCalls::Start(const StartOrder& aOrder,
                         std::chrono::milliseconds aTimeout,
                         OrderDone aDone)
{
  if (mHoldsLease()) {
    mCalls.Start(aOrder, aTimeout, std::move(aDone));
    return;
  }
  asio::post(mContext,
             [done = std::move(aDone)] { done(NotSent<OrderResult>()); });
}

void
LeasedWorkerCalls::Stop(const StopOrder& aOrder,
                        std::chrono::milliseconds aTimeout,
                        OrderDone aDone)
{
  if (mHoldsLease()) {
    mCalls.Stop(aOrder, aTimeout, std::move(aDone));
    return;
  }
  asio::post(mContext,
             [done = std::move(aDone)] { done(NotSent<OrderResult>()); });
}

void
LeasedWorkerCalls::Hold(const HoldOrder& aOrder,
                        std::chrono::milliseconds aTimeout,
                        HoldDone aDone)
{
  if (mHoldsLease()) {
    mCalls.Hold(aOrder, aTimeout, std::move(aDone));
    return;
  }
  asio::post(mContext,
             [done = std::move(aDone)] { done(NotSent<HoldResult>()); });
}

}

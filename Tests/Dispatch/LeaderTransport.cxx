#include "Dispatch/LeaderTransport.h"

#include <utility>

namespace almondspoke::testing {

using dispatch::HoldOrder;
using dispatch::OrderOutcome;
using dispatch::StartOrder;
using dispatch::StopOrder;
using std::chrono::milliseconds;

template<typename Order, typename Answer>
void
LeaderTransport::Send(
  const Order& aOrder,
  milliseconds aTimeout,
  std::function<void(const Answer&)> aDone,
  void (SimulatedFleet::*aDeliver)(const Order&,
                                   milliseconds,
                                   const std::function<void(const Answer&)>&))
{
  if (mDisconnected.count(aOrder.mTarget.mBoot.mId) != 0) {
    mFleet.After(aTimeout, [done = std::move(aDone)] { done({}); });
    return;
  }
  if (mLeaseEnded) {
    mFleet.After(milliseconds(1), [done = std::move(aDone)] {
      Answer answer;
      answer.mOutcome = OrderOutcome::NotSent;
      done(answer);
    });
    return;
  }
  const bool isLate = mDelay > aTimeout;
  const auto deliver =
    [this, aOrder, aTimeout, isLate, aDeliver, done = std::move(aDone)] {
      if (isLate && !mFleet.IsUp(aOrder.mTarget.mBoot)) {
        mFleet.After(aTimeout, [done] { done({}); });
        return;
      }
      (mFleet.*aDeliver)(aOrder, aTimeout, done);
    };
  mFleet.After(mDelay, deliver);
}

void
LeaderTransport::Start(const StartOrder& aOrder,
                       milliseconds aTimeout,
                       OrderDone aDone)
{
  if (!mLeaseEnded) {
    mFleet.CheckOrder(aOrder);
  }
  Send(aOrder, aTimeout, std::move(aDone), &SimulatedFleet::Start);
}

void
LeaderTransport::Stop(const StopOrder& aOrder,
                      milliseconds aTimeout,
                      OrderDone aDone)
{
  Send(aOrder, aTimeout, std::move(aDone), &SimulatedFleet::Stop);
}

void
LeaderTransport::Hold(const HoldOrder& aOrder,
                      milliseconds aTimeout,
                      HoldDone aDone)
{
  Send(aOrder, aTimeout, std::move(aDone), &SimulatedFleet::Hold);
}

}

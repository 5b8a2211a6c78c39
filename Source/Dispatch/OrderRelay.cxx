#include "Dispatch/OrderRelay.h"

#include <array>
#include <chrono>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

}

OrderRelay::OrderRelay(PeerRpc& aRpc,
                       WorkerCalls& aCalls,
                       std::function<Term()> aCurrentTerm)
  : mRpc(aRpc)
  , mCalls(aCalls)
  , mCurrentTerm(std::move(aCurrentTerm))
{
}

void
OrderRelay::Register()
{
  mRpc.Register(
    kRelayMethod,
    [this](const InstanceName&,
           const std::string& aRequest,
           PeerRpc::Done aDone) { OnOrder(aRequest, std::move(aDone)); });
}

void
OrderRelay::OnOrder(const std::string& aRequest, PeerRpc::Done aDone)
{
  static constexpr std::array<Handler, 3> kHandlers = {
    &OrderRelay::SendStart,
    &OrderRelay::SendStop,
    &OrderRelay::SendHold,
  };
  if (mDraining) {
    aDone(Error(ErrorKind::Draining, "this instance is shutting down"));
    return;
  }
  const Result<RelayedOrder> order = UnpackMessage<RelayedOrder>(aRequest);
  if (!order) {
    aDone(order.error());
    return;
  }
  const auto kind = static_cast<std::size_t>(order.value().mKind);
  if (kind >= kHandlers.size()) {
    aDone(Error(ErrorKind::MalformedRequest,
                "unknown kind of order " + std::to_string(kind)));
    return;
  }
  const Term term = mCurrentTerm();
  if (order.value().mTerm < term) {
    aDone(Error(ErrorKind::NotLeader,
                "order of term " + std::to_string(order.value().mTerm) +
                  ", the current term is " + std::to_string(term)));
    return;
  }
  ++mInFlight;
  (this->*kHandlers[kind])(order.value(), std::move(aDone));
}

template<typename Answer>
std::function<void(const Answer&)>
OrderRelay::PassOnTo(PeerRpc::Done aDone)
{
  return [this, done = std::move(aDone)](const Answer& aAnswer) {
    --mInFlight;
    done(PackMessage(aAnswer));
  };
}

void
OrderRelay::SendStart(const RelayedOrder& aOrder, PeerRpc::Done aDone)
{
  StartOrder order;
  order.mTarget = aOrder.mTarget;
  order.mRun = aOrder.mRun;
  order.mPayload = aOrder.mPayload;
  order.mCheckpoint = aOrder.mCheckpoint;
  order.mLeaseEnd = aOrder.mLeaseEnd;
  mCalls.Start(order,
               milliseconds(aOrder.mTimeoutMs),
               PassOnTo<OrderResult>(std::move(aDone)));
}

void
OrderRelay::SendStop(const RelayedOrder& aOrder, PeerRpc::Done aDone)
{
  mCalls.Stop({ aOrder.mTarget, aOrder.mRun },
              milliseconds(aOrder.mTimeoutMs),
              PassOnTo<OrderResult>(std::move(aDone)));
}

void
OrderRelay::SendHold(const RelayedOrder& aOrder, PeerRpc::Done aDone)
{
  HoldOrder order;
  order.mTarget = aOrder.mTarget;
  order.mLeaseEnd = aOrder.mLeaseEnd;
  order.mAcknowledgedEnds = aOrder.mAcknowledgedEnds;
  order.mMaxWait = milliseconds(aOrder.mMaxWaitMs);
  mCalls.Hold(order,
              milliseconds(aOrder.mTimeoutMs),
              PassOnTo<HoldResult>(std::move(aDone)));
}

}

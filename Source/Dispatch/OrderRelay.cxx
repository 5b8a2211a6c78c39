#include "Dispatch/OrderRelay.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLineInterval{ 1000 };

}

OrderRelay::OrderRelay(const Clock& aClock,
                       EventLog& aLog,
                       PeerRpc& aRpc,
                       WorkerCalls& aCalls,
                       std::function<Term()> aCurrentTerm)
  : mClock(aClock)
  , mLog(aLog)
  , mRpc(aRpc)
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
  ++mLoad.mTaken;
  CountWait(order.value());
  const Result<void> check = Check(order.value());
  if (!check) {
    aDone(check.error());
    return;
  }
  ++mInFlight;
  (this->*kHandlers[kind])(order.value(), std::move(aDone));
}

// The leader lets an order expire after the time that the worker has to answer
// and a margin for the way (kRelayMargin).
void
OrderRelay::CountWait(const RelayedOrder& aOrder)
{
  if (aOrder.mExpiresAt == 0) {
    return;
  }
  const milliseconds left(aOrder.mExpiresAt - PeerTimeOf(mClock));
  const milliseconds waited = std::max(
    milliseconds(0), milliseconds(aOrder.mTimeoutMs) + kRelayMargin - left);
  mLoad.mExpired += left.count() <= 0 ? 1 : 0;
  mLoad.mWaits.Add(waited);
  mLongestWait = std::max(mLongestWait, waited);
}

void
OrderRelay::Tick()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (now < mNextLineAt) {
    return;
  }
  mNextLineAt = now + kLineInterval;
  if (mLoad.mTaken == mTakenBefore) {
    return;
  }
  EventLine(mLog, "relay-load")
    .With("taken", mLoad.mTaken - mTakenBefore)
    .With("expired", mLoad.mExpired - mExpiredBefore)
    .With("longest_wait_ms", std::int64_t{ mLongestWait.count() })
    .With("open", std::uint64_t{ mInFlight });
  mTakenBefore = mLoad.mTaken;
  mExpiredBefore = mLoad.mExpired;
  mLongestWait = milliseconds(0);
}

Result<void>
OrderRelay::Check(const RelayedOrder& aOrder) const
{
  const Term term = mCurrentTerm();
  if (aOrder.mTerm < term) {
    return Error(ErrorKind::NotLeader,
                 "order of term " + std::to_string(aOrder.mTerm) +
                   ", the current term is " + std::to_string(term));
  }
  const PeerTime lateMs = PeerTimeOf(mClock) - aOrder.mExpiresAt;
  if (aOrder.mExpiresAt > 0 && lateMs >= 0) {
    EventLine(mLog, "order-expired")
      .With("worker", aOrder.mTarget.mBoot.mId)
      .With("job", aOrder.mRun.mTask.mJob)
      .With("run", aOrder.mRun.mNumber)
      .With("late_ms", lateMs);
    return Error(ErrorKind::DeadlineExpiredInQueue,
                 "the order expired " + std::to_string(lateMs) +
                   " ms before it could be sent");
  }
  return Success();
}

milliseconds
OrderRelay::TimeoutOf(const RelayedOrder& aOrder) const
{
  const milliseconds timeout(aOrder.mTimeoutMs);
  return aOrder.mExpiresAt > 0
           ? std::min(timeout,
                      milliseconds(aOrder.mExpiresAt - PeerTimeOf(mClock)))
           : timeout;
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
  mCalls.Start(
    order, TimeoutOf(aOrder), PassOnTo<OrderResult>(std::move(aDone)));
}

void
OrderRelay::SendStop(const RelayedOrder& aOrder, PeerRpc::Done aDone)
{
  mCalls.Stop({ aOrder.mTarget, aOrder.mRun },
              TimeoutOf(aOrder),
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
  mCalls.Hold(order, TimeoutOf(aOrder), PassOnTo<HoldResult>(std::move(aDone)));
}

}

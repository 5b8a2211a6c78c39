#include "Dispatch/RelayedWorkerCalls.h"

#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

template<typename Order>
RelayedOrder
OrderFor(OrderKind aKind, const Order& aOrder, milliseconds aTimeout)
{
  RelayedOrder relayed;
  relayed.mKind = aKind;
  relayed.mTarget = aOrder.mTarget;
  relayed.mTimeoutMs = static_cast<std::uint32_t>(aTimeout.count());
  return relayed;
}

}

RelayedWorkerCalls::RelayedWorkerCalls(
  const Clock& aClock,
  PeerRpc& aRpc,
  WorkerCalls& aDirect,
  RelayDirectory& aRelays,
  std::function<std::optional<Term>()> aLeadingTerm)
  : mClock(aClock)
  , mRpc(aRpc)
  , mDirect(aDirect)
  , mRelays(aRelays)
  , mLeadingTerm(std::move(aLeadingTerm))
{
}

void
RelayedWorkerCalls::Start(const StartOrder& aOrder,
                          milliseconds aTimeout,
                          OrderDone aDone)
{
  RelayedOrder relayed = OrderFor(OrderKind::Start, aOrder, aTimeout);
  relayed.mRun = aOrder.mRun;
  relayed.mPayload = aOrder.mPayload;
  relayed.mCheckpoint = aOrder.mCheckpoint;
  relayed.mLeaseEnd = aOrder.mLeaseEnd;
  Send<OrderResult>(
    std::move(relayed), aTimeout, aDone, [this, aOrder, aTimeout, aDone] {
      mDirect.Start(aOrder, aTimeout, aDone);
    });
}

void
RelayedWorkerCalls::Stop(const StopOrder& aOrder,
                         milliseconds aTimeout,
                         OrderDone aDone)
{
  RelayedOrder relayed = OrderFor(OrderKind::Stop, aOrder, aTimeout);
  relayed.mRun = aOrder.mRun;
  Send<OrderResult>(
    std::move(relayed), aTimeout, aDone, [this, aOrder, aTimeout, aDone] {
      mDirect.Stop(aOrder, aTimeout, aDone);
    });
}

void
RelayedWorkerCalls::Hold(const HoldOrder& aOrder,
                         milliseconds aTimeout,
                         HoldDone aDone)
{
  RelayedOrder relayed = OrderFor(OrderKind::Hold, aOrder, aTimeout);
  relayed.mLeaseEnd = aOrder.mLeaseEnd;
  relayed.mAcknowledgedEnds = aOrder.mAcknowledgedEnds;
  relayed.mMaxWaitMs = static_cast<std::uint32_t>(aOrder.mMaxWait.count());
  Send<HoldResult>(
    std::move(relayed), aTimeout, aDone, [this, aOrder, aTimeout, aDone] {
      mDirect.Hold(aOrder, aTimeout, aDone);
    });
}

bool
RelayedWorkerCalls::MaySend() const
{
  return mDirect.MaySend();
}

std::optional<InstanceName>
RelayedWorkerCalls::RelayFor(const OrderTarget& aTarget) const
{
  const auto relay = mRelays.RelayOf(aTarget.mDataCentre, aTarget.mBoot.mId);
  const bool mayUseAny = !relay && mRate.IsHigh();
  return mayUseAny ? mRelays.AnyRelayFor(aTarget.mBoot.mId) : relay;
}

template<typename Answer>
void
RelayedWorkerCalls::Send(RelayedOrder aOrder,
                         milliseconds aTimeout,
                         std::function<void(const Answer&)> aDone,
                         SendDirectly aSendDirectly)
{
  const std::optional<Term> term = mLeadingTerm();
  const std::optional<InstanceName> relay =
    term ? RelayFor(aOrder.mTarget) : std::nullopt;
  mRate.Count(mClock.MonotonicNow());
  if (!relay) {
    ++mCounters.mDirect;
    aSendDirectly();
    return;
  }
  ++mCounters.mRelayed;
  aOrder.mTerm = *term;
  // Once this instance has stopped waiting, the relay must not send the order:
  // the worker may start again, and would take it as one for the new boot.
  const PeerTime relayTime = mRelays.ClockOf(*relay);
  aOrder.mExpiresAt =
    relayTime > 0 ? relayTime + (aTimeout + kRelayMargin).count() : 0;
  mRpc.Call(*relay,
            kRelayMethod,
            PackMessage(aOrder),
            aTimeout + kRelayMargin,
            [this,
             relay = *relay,
             done = std::move(aDone),
             sendDirectly =
               std::move(aSendDirectly)](const Result<std::string>& aAnswer) {
              OnAnswer<Answer>(relay, aAnswer, done, sendDirectly);
            });
}

template<typename Answer>
void
RelayedWorkerCalls::OnAnswer(const InstanceName& aRelay,
                             const Result<std::string>& aAnswer,
                             const std::function<void(const Answer&)>& aDone,
                             const SendDirectly& aSendDirectly)
{
  if (aAnswer) {
    mRelays.OnAnswered(aRelay);
    const Result<Answer> answer = UnpackMessage<Answer>(aAnswer.value());
    aDone(answer ? answer.value() : Answer{});
    return;
  }
  const ErrorKind kind = aAnswer.error().Kind();
  if (kind == ErrorKind::DeadlineExpiredInQueue) {
    // The relay was too slow and has not sent the order.
    mRelays.OnUnanswered(aRelay);
    ++mCounters.mFallbacks;
    aSendDirectly();
    return;
  }
  if (kind == ErrorKind::PeerUnreachable || kind == ErrorKind::Draining) {
    mRelays.PassOver(aRelay,
                     kind == ErrorKind::Draining ? "draining" : "unreachable");
    ++mCounters.mFallbacks;
    aSendDirectly();
    return;
  }
  Answer answer;
  if (kind == ErrorKind::NotLeader) {
    // The relay knows of a later leader and has not sent the order.
    answer.mOutcome = OrderOutcome::NotSent;
  } else {
    ++mCounters.mUnanswered;
    mRelays.OnUnanswered(aRelay);
  }
  aDone(answer);
}

}

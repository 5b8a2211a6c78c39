#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Consensus/ConsensusTypes.h"
#include "Dispatch/OrderMessages.h"
#include "Dispatch/OrderRate.h"
#include "Dispatch/RelayDirectory.h"
#include "Dispatch/WorkerCalls.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Totals of the orders that a leader has sent. */
struct RelayCounters
{
  std::uint64_t mRelayed = 0;
  std::uint64_t mDirect = 0;
  /** Orders sent directly since their relay did not take them. */
  std::uint64_t mFallbacks = 0;
  /** Relayed orders without an answer of the relay. */
  std::uint64_t mUnanswered = 0;
};

/** \brief Lets the coordinators of other data centres send a leader's orders,
 * so that the calls to the workers use their processors.
 *
 * The leader makes all decisions; a relay only sends. Workers of a data centre
 * without a relay, such as the leader's own one, get their orders directly, or
 * through any relay while there are very many orders. An order also goes
 * directly if the relay certainly did not send
 * it. If it may have been sent, its outcome is Unknown, like that of an order
 * whose answer was lost. */
class RelayedWorkerCalls : public WorkerCalls
{
public:
  /** \param aClock measures the rate of orders
   * \param aLeadingTerm returns the term in which this instance leads as the
   *        elected leader; nothing if its orders must not be relayed */
  RelayedWorkerCalls(const Clock& aClock,
                     PeerRpc& aRpc,
                     WorkerCalls& aDirect,
                     RelayDirectory& aRelays,
                     std::function<std::optional<Term>()> aLeadingTerm);

  void Start(const StartOrder& aOrder,
             std::chrono::milliseconds aTimeout,
             OrderDone aDone) override;
  void Stop(const StopOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            OrderDone aDone) override;
  void Hold(const HoldOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            HoldDone aDone) override;

  bool MaySend() const override;

  const RelayCounters& Counters() const { return mCounters; }

private:
  using SendDirectly = std::function<void()>;

  /** Relays an order if possible, otherwise sends it directly. */
  template<typename Answer>
  void Send(RelayedOrder aOrder,
            std::chrono::milliseconds aTimeout,
            std::function<void(const Answer&)> aDone,
            SendDirectly aSendDirectly);
  template<typename Answer>
  void OnAnswer(const InstanceName& aRelay,
                const Result<std::string>& aAnswer,
                const std::function<void(const Answer&)>& aDone,
                const SendDirectly& aSendDirectly);

  /** Returns who sends an order to a worker; nothing for this instance. */
  std::optional<InstanceName> RelayFor(const OrderTarget& aTarget) const;

  const Clock& mClock;
  PeerRpc& mRpc;
  WorkerCalls& mDirect;
  RelayDirectory& mRelays;
  const std::function<std::optional<Term>()> mLeadingTerm;
  OrderRate mRate;
  RelayCounters mCounters;
};

}

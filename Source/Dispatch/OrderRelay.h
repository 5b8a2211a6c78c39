#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Base/Result.h"
#include "Consensus/ConsensusTypes.h"
#include "Dispatch/LatencyHistogram.h"
#include "Dispatch/OrderMessages.h"
#include "Dispatch/WorkerCalls.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Totals of the orders that a relay was given. */
struct RelayLoad
{
  std::uint64_t mTaken = 0;
  /** Orders that were not sent, since their leader did not wait any more. */
  std::uint64_t mExpired = 0;
  /** Time that the orders of which this is known have waited on their way here,
   * and for this instance. */
  LatencyHistogram mWaits;
};

/** \brief Sends orders to workers for the leader (see RelayedWorkerCalls).
 *
 * It decides nothing. It refuses the orders of a leader if it knows of a later
 * term, and orders that have waited, for example in a suspended process, until
 * their leader does not wait for them any more. Workers check the fence of each
 * order in any case, but a worker that has started again has seen none. */
class OrderRelay
{
public:
  /** \param aClock tells the time by which orders expire
   * \param aCurrentTerm returns the highest term known to this instance */
  OrderRelay(const Clock& aClock,
             EventLog& aLog,
             PeerRpc& aRpc,
             WorkerCalls& aCalls,
             std::function<Term()> aCurrentTerm);

  /** Registers the RPC method; must be called before the transport starts. */
  void Register();

  /** Takes no further orders. */
  void StartDraining() { mDraining = true; }
  bool IsDraining() const { return mDraining; }
  /** Number of orders whose workers have not answered. */
  std::size_t OrdersInFlight() const { return mInFlight; }
  const RelayLoad& Load() const { return mLoad; }

  /** Logs once a second what was taken. */
  void Tick();

private:
  using Handler = void (OrderRelay::*)(const RelayedOrder&, PeerRpc::Done);

  void CountWait(const RelayedOrder& aOrder);
  void OnOrder(const std::string& aRequest, PeerRpc::Done aDone);
  void SendStart(const RelayedOrder& aOrder, PeerRpc::Done aDone);
  void SendStop(const RelayedOrder& aOrder, PeerRpc::Done aDone);
  void SendHold(const RelayedOrder& aOrder, PeerRpc::Done aDone);
  /** Returns a callback that passes a worker's answer on to the leader. */
  template<typename Answer>
  std::function<void(const Answer&)> PassOnTo(PeerRpc::Done aDone);

  /** Returns why an order is not sent; success if it is. */
  Result<void> Check(const RelayedOrder& aOrder) const;
  /** Returns the time that the worker has to answer: no longer than the leader
   * waits. */
  std::chrono::milliseconds TimeoutOf(const RelayedOrder& aOrder) const;

  const Clock& mClock;
  EventLog& mLog;
  PeerRpc& mRpc;
  WorkerCalls& mCalls;
  const std::function<Term()> mCurrentTerm;
  bool mDraining = false;
  std::size_t mInFlight = 0;
  RelayLoad mLoad;
  /** Totals and longest wait at the time of the last line, and since then. */
  std::uint64_t mTakenBefore = 0;
  std::uint64_t mExpiredBefore = 0;
  std::chrono::milliseconds mLongestWait{ 0 };
  Clock::Monotonic mNextLineAt{};
};

}

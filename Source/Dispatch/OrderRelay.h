#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "Consensus/ConsensusTypes.h"
#include "Dispatch/OrderMessages.h"
#include "Dispatch/WorkerCalls.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Sends orders to workers for the leader (see RelayedWorkerCalls).
 *
 * It decides nothing. It refuses the orders of a leader if it knows of a later
 * term; workers check the fence of each order in any case. */
class OrderRelay
{
public:
  /** \param aCurrentTerm returns the highest term known to this instance */
  OrderRelay(PeerRpc& aRpc,
             WorkerCalls& aCalls,
             std::function<Term()> aCurrentTerm);

  /** Registers the RPC method; must be called before the transport starts. */
  void Register();

  /** Takes no further orders. */
  void StartDraining() { mDraining = true; }
  bool IsDraining() const { return mDraining; }
  /** Number of orders whose workers have not answered. */
  std::size_t OrdersInFlight() const { return mInFlight; }

private:
  using Handler = void (OrderRelay::*)(const RelayedOrder&, PeerRpc::Done);

  void OnOrder(const std::string& aRequest, PeerRpc::Done aDone);
  void SendStart(const RelayedOrder& aOrder, PeerRpc::Done aDone);
  void SendStop(const RelayedOrder& aOrder, PeerRpc::Done aDone);
  void SendHold(const RelayedOrder& aOrder, PeerRpc::Done aDone);
  /** Returns a callback that passes a worker's answer on to the leader. */
  template<typename Answer>
  std::function<void(const Answer&)> PassOnTo(PeerRpc::Done aDone);

  PeerRpc& mRpc;
  WorkerCalls& mCalls;
  const std::function<Term()> mCurrentTerm;
  bool mDraining = false;
  std::size_t mInFlight = 0;
};

}

#pragma once

#include <chrono>
#include <functional>
#include <set>
#include <string>

#include "Dispatch/SimulatedFleet.h"
#include "Dispatch/WorkerCalls.h"

namespace almondspoke::testing {

/** \brief Simulated connection of one leader to the workers. */
class LeaderTransport : public dispatch::WorkerCalls
{
public:
  explicit LeaderTransport(SimulatedFleet& aFleet)
    : mFleet(aFleet)
  {
  }

  void Start(const dispatch::StartOrder& aOrder,
             std::chrono::milliseconds aTimeout,
             OrderDone aDone) override;
  void Stop(const dispatch::StopOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            OrderDone aDone) override;
  void Hold(const dispatch::HoldOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            HoldDone aDone) override;

  /** Delay of outgoing orders. Simulates a process that was suspended while
   * sending them. One that is later than its timeout is not sent on a new
   * connection, so that it reaches no later boot of the worker. */
  std::chrono::milliseconds mDelay{ 0 };
  /** True once the leader's lease has ended, after which it sends no orders. */
  bool mLeaseEnded = false;
  /** Workers that neither receive this leader's orders nor answer them. */
  std::set<std::string> mDisconnected;

private:
  /** Hands an order to the workers after the delay, or ends it as the state of
   * the connection demands.
   * \param aDeliver function of the fleet that takes the order */
  template<typename Order, typename Answer>
  void Send(const Order& aOrder,
            std::chrono::milliseconds aTimeout,
            std::function<void(const Answer&)> aDone,
            void (SimulatedFleet::*aDeliver)(
              const Order&,
              std::chrono::milliseconds,
              const std::function<void(const Answer&)>&));

  SimulatedFleet& mFleet;
};

}

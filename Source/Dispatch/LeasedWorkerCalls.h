#pragma once

#include <functional>

#include <asio/io_context.hpp>

#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief Lets orders pass only while this instance surely leads.
 *
 * The lease is checked right before each order; an order without it counts as
 * not sent. What a process that is frozen between the check and the sending
 * still sends is refused by the workers that have seen the next fence. */
class LeasedWorkerCalls : public WorkerCalls
{
public:
  /** \param aHoldsLease whether this instance leads at this moment */
  LeasedWorkerCalls(asio::io_context& aContext,
                    WorkerCalls& aCalls,
                    std::function<bool()> aHoldsLease);

  void Start(const StartOrder& aOrder,
             std::chrono::milliseconds aTimeout,
             OrderDone aDone) override;
  void Stop(const StopOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            OrderDone aDone) override;
  void Hold(const HoldOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            HoldDone aDone) override;

private:
  asio::io_context& mContext;
  WorkerCalls& mCalls;
  const std::function<bool()> mHoldsLease;
};

}

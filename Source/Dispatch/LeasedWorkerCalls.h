#pragma once

#include <functional>

#include <asio/io_context.hpp>

#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief Sends orders to workers only while this instance holds the leader's
 * lease.
 *
 * The lease is checked right before each order; without it the outcome is
 * NotSent. If the process is suspended between the check and the sending, the
 * order may go out after the lease has ended; workers that have seen the next
 * leader's fence refuse it. */
class LeasedWorkerCalls : public WorkerCalls
{
public:
  /** \param aHoldsLease returns whether this instance leads now */
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
  bool MaySend() const override { return mHoldsLease(); }

private:
  asio::io_context& mContext;
  WorkerCalls& mCalls;
  const std::function<bool()> mHoldsLease;
};

}

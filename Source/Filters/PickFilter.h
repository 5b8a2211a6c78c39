#pragma once

#include <asio/io_context.hpp>

#include "Base/Clock.h"
#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Checks immediately before sending that an attempt may still start.
 * Otherwise returns its slot to the scheduler and fails the request. */
class PickFilter : public RequestFilter
{
public:
  PickFilter(asio::io_context& aContext,
             const Clock& aClock,
             RequestScheduler& aScheduler);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  void FailUnsent(const RequestContextPtr& aContext, const Error& aError);

  asio::io_context& mContext;
  const Clock& mClock;
  RequestScheduler& mScheduler;
};

}

#pragma once

#include <asio/io_context.hpp>

#include "Base/Clock.h"
#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Checks immediately before sending that an attempt may still start.
 * Otherwise returns its slot to the scheduler and fails the request. */
class StartCheckFilter : public RequestFilter
{
public:
  StartCheckFilter(asio::io_context& aContext,
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

#pragma once

#include "Base/Clock.h"
#include "Filters/RequestFilter.h"
#include "Transport/HttpClient.h"

namespace almondspoke {

/** \brief Sends an attempt to its endpoint and reports the outcome to the
 * scheduler, which decides whether another attempt follows. */
class ForwardFilter : public RequestFilter
{
public:
  ForwardFilter(const Clock& aClock,
                HttpClient& aClient,
                RequestScheduler& aScheduler);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  void OnAttemptEnd(const RequestContextPtr& aContext,
                    Clock::Monotonic aStart,
                    AttemptResult aResult,
                    const Next& aNext);

  const Clock& mClock;
  HttpClient& mClient;
  RequestScheduler& mScheduler;
};

}

#pragma once

#include <chrono>

#include "Base/Clock.h"
#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Sets the urgency and deadline of a request, and prepares the header
 * fields and body that are sent to endpoints. */
class ClassifyFilter : public RequestFilter
{
public:
  ClassifyFilter(const Clock& aClock, std::chrono::milliseconds aTimeout);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  const Clock& mClock;
  const std::chrono::milliseconds mDefaultTimeout;
};

}

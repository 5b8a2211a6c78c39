#pragma once

#include <functional>

#include "Filters/RequestContext.h"

namespace almondspoke {

/** \brief One processing step of a request.
 *
 * A filter either answers the request or passes it to aNext, possibly later and
 * from another thread. */
class RequestFilter
{
public:
  using Next = std::function<void(RequestContextPtr)>;

  virtual ~RequestFilter() = default;

  virtual void Apply(RequestContextPtr aContext, Next aNext) = 0;
};

}

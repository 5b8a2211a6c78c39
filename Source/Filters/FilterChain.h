#pragma once

#include <memory>
#include <vector>

#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Runs requests through filters in a fixed order. */
class FilterChain
{
public:
  explicit FilterChain(std::vector<std::unique_ptr<RequestFilter>> aFilters);

  void Run(RequestContextPtr aContext);

private:
  std::vector<std::unique_ptr<RequestFilter>> mFilters;
  /** Continuations that run each filter, and one for the end of the chain. */
  std::vector<RequestFilter::Next> mContinuations;
};

}

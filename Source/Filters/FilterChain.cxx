#include "Filters/FilterChain.h"

#include <utility>

namespace almondspoke {

FilterChain::FilterChain(std::vector<std::unique_ptr<RequestFilter>> aFilters)
  : mFilters(std::move(aFilters))
{
  mContinuations.resize(mFilters.size() + 1);
  // Reached only due to a bug: the last filter must answer the request.
  mContinuations.back() = [](const RequestContextPtr& aContext) {
    aContext->Fail(Error(ErrorKind::Internal, "no filter answered"));
  };
  for (std::size_t i = mFilters.size(); i > 0; --i) {
    mContinuations[i - 1] = [filter = mFilters[i - 1].get(),
                             &next =
                               mContinuations[i]](RequestContextPtr aContext) {
      filter->Apply(std::move(aContext), next);
    };
  }
}

void
FilterChain::Run(RequestContextPtr aContext)
{
  mContinuations.front()(std::move(aContext));
}

}

#pragma once

#include <cstddef>

#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Parses the target and header fields of a request, rejects malformed
 * ones and looks up the policy of its kind. */
class IdentifyFilter : public RequestFilter
{
public:
  explicit IdentifyFilter(const RequestRules& aRules);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  const RequestRules& mRules;
};

}

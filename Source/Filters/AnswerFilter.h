#pragma once

#include "Base/Decision.h"
#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Answers the caller with the result of the last attempt. */
class AnswerFilter : public RequestFilter
{
public:
  explicit AnswerFilter(DecisionSink& aDecisions);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  void RecordFailure(const RequestContext& aContext, const Error& aError);

  DecisionSink& mDecisions;
};

}

#include "Filters/AnswerFilter.h"

#include <chrono>
#include <string>
#include <utility>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kRetryAfterEndpointRefusal{ 1000 };

Error
MakeError(const RequestContext& aContext)
{
  const std::string endpoint = "endpoint '" + aContext.mAttempt.mEndpoint + "'";
  if (aContext.mResult.mOutcome == TransferOutcome::RefusedNotRun) {
    return Error(ErrorKind::EndpointRefused,
                 endpoint + " refused without running the work",
                 kRetryAfterEndpointRefusal);
  }
  return Error(aContext.mResult.mErrorKind,
               endpoint + ": " + aContext.mResult.mMessage);
}

}

AnswerFilter::AnswerFilter(DecisionSink& aDecisions)
  : mDecisions(aDecisions)
{
}

void
AnswerFilter::Apply(RequestContextPtr aContext, Next)
{
  if (aContext->mResult.mOutcome == TransferOutcome::Answered) {
    HttpResponse response = std::move(aContext->mResult.mResponse);
    RemoveHopByHopFields(response.mFields);
    aContext->Answer(std::move(response), Ran::Yes);
    return;
  }
  const Error error = MakeError(*aContext);
  RecordFailure(*aContext, error);
  aContext->Fail(error);
}

void
AnswerFilter::RecordFailure(const RequestContext& aContext, const Error& aError)
{
  mDecisions.Record({ aContext.Id(),
                      "answer",
                      { aContext.mAttempt.mEndpoint },
                      std::string(aError.Traits().mName),
                      std::string(NameOf(aContext.mResult.mOutcome)) +
                        " after attempt " +
                        std::to_string(aContext.mAttempt.mNumber),
                      0 });
}

}

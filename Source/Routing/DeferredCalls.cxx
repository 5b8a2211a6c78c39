#include "Routing/DeferredCalls.h"

#include <utility>

namespace almondspoke {

Decision
RefusalDecision(std::string aRequestId, std::string aStage, const Error& aError)
{
  return { std::move(aRequestId),
           std::move(aStage),
           {},
           std::string(aError.Traits().mName),
           aError.Message(),
           0 };
}

void
DeferredCalls::Flush(DecisionSink& aSink)
{
  for (Decision& decision : mDecisions) {
    aSink.Record(std::move(decision));
  }
  for (auto& [handler, attempt] : mStops) {
    handler(attempt);
  }
  for (auto& [handler, dispatch] : mDispatches) {
    handler(dispatch);
  }
  for (auto& [handler, error] : mRefusals) {
    handler(error);
  }
}

}

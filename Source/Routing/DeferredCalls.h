#pragma once

#include <utility>
#include <vector>

#include "Base/Decision.h"
#include "Base/Error.h"
#include "Routing/Work.h"

namespace almondspoke {

/** Returns the decision log entry of a refused request. */
Decision
RefusalDecision(std::string aRequestId,
                std::string aStage,
                const Error& aError);

/** \brief Collects handler calls and decisions while a lock is held, to be
 * executed after its release. */
class DeferredCalls
{
public:
  void AddStop(const StopHandler& aHandler, std::uint32_t aAttempt)
  {
    mStops.emplace_back(aHandler, aAttempt);
  }
  void AddDispatch(const DispatchHandler& aHandler, Dispatch aDispatch)
  {
    mDispatches.emplace_back(aHandler, std::move(aDispatch));
  }
  void AddRefusal(RefuseHandler aHandler, Error aError)
  {
    mRefusals.emplace_back(std::move(aHandler), std::move(aError));
  }
  void AddDecision(Decision aDecision)
  {
    mDecisions.push_back(std::move(aDecision));
  }

  /** Records the decisions, then calls the handlers. Must be called without a
   * lock. */
  void Flush(DecisionSink& aSink);

private:
  std::vector<std::pair<StopHandler, std::uint32_t>> mStops;
  std::vector<std::pair<DispatchHandler, Dispatch>> mDispatches;
  std::vector<std::pair<RefuseHandler, Error>> mRefusals;
  std::vector<Decision> mDecisions;
};

}

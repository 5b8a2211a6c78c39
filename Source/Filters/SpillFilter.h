#pragma once

#include <memory>
#include <mutex>

#include "Base/Clock.h"
#include "Base/Decision.h"
#include "Base/InstanceIdentity.h"
#include "Filters/RequestFilter.h"
#include "Filters/SpillCounters.h"
#include "Filters/SpillTargets.h"
#include "Routing/RetryBudget.h"
#include "Transport/HttpClient.h"

namespace almondspoke {

/** \brief Dependencies of a SpillFilter; all must outlive it. */
struct SpillFilterDependencies
{
  DataCentreName mDataCentre;
  const Clock& mClock;
  RequestScheduler& mScheduler;
  SpillTargets& mTargets;
  HttpClient& mClient;
  DecisionSink& mDecisions;
  SpillCounters& mCounters;
};

/** \brief Forwards requests whose service has no endpoint in this data centre
 * to an instance of another one, and passes all others on.
 *
 * A second attempt is made only if the first certainly did not run or the work
 * is idempotent, and if the retry budget allows it. Requests from another data
 * centre are not forwarded again. Requests for which no other data centre has
 * capacity are passed on and refused by the scheduler.
 */
class SpillFilter : public RequestFilter
{
public:
  explicit SpillFilter(SpillFilterDependencies aDependencies);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  struct Spill;
  using SpillPtr = std::shared_ptr<Spill>;

  void RecordSpilledRequest(const RequestContext& aContext);
  void FindTarget(const SpillPtr& aSpill);
  void ChooseTarget(const SpillPtr& aSpill,
                    std::vector<SpillCandidate> aCandidates);
  void Send(const SpillPtr& aSpill, const SpillCandidate& aTarget);
  void OnAttemptEnd(const SpillPtr& aSpill,
                    const SpillCandidate& aTarget,
                    AttemptResult aResult);
  void RecordLostAttempt(const SpillPtr& aSpill,
                         const SpillCandidate& aTarget,
                         const AttemptResult& aResult);
  bool TryAcquireRetry(const Spill& aSpill);
  void FinishWithoutAnswer(const SpillPtr& aSpill);
  HttpAttempt MakeAttempt(const RequestContext& aContext,
                          const SpillCandidate& aTarget) const;

  const SpillFilterDependencies mDependencies;
  const SpillPolicy mPolicy{};
  std::mutex mMutex;
  /** Limits second attempts, across all services. */
  RetryBudget mRetries;
};

}

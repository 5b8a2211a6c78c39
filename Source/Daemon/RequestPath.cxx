#include "Daemon/RequestPath.h"

#include <memory>
#include <utility>
#include <vector>

#include "Filters/AdmitFilter.h"
#include "Filters/AnswerFilter.h"
#include "Filters/ClassifyFilter.h"
#include "Filters/DeduplicateFilter.h"
#include "Filters/ForwardFilter.h"
#include "Filters/IdentifyFilter.h"
#include "Filters/QueueFilter.h"
#include "Filters/SpillFilter.h"
#include "Filters/StartCheckFilter.h"

namespace almondspoke {

namespace {

std::vector<std::unique_ptr<RequestFilter>>
BuildFilters(const InstanceIdentity& aSelf,
             const RequestPathDependencies& aDependencies,
             const RequestPathOptions& aOptions)
{
  std::vector<std::unique_ptr<RequestFilter>> filters;
  filters.push_back(std::make_unique<IdentifyFilter>(aDependencies.mRules));
  filters.push_back(
    std::make_unique<DeduplicateFilter>(aDependencies.mContext,
                                        aDependencies.mClock,
                                        aDependencies.mClaims,
                                        aDependencies.mDecisions));
  filters.push_back(std::make_unique<ClassifyFilter>(aDependencies.mClock,
                                                     aOptions.mRequestTimeout));
  filters.push_back(std::make_unique<AdmitFilter>(aDependencies.mRules,
                                                  aOptions.mMaxHeldBytes));
  filters.push_back(std::make_unique<SpillFilter>(
    SpillFilterDependencies{ aSelf.mDataCentre,
                             aDependencies.mClock,
                             aDependencies.mScheduler,
                             aDependencies.mSpillTargets,
                             aDependencies.mClient,
                             aDependencies.mDecisions,
                             aDependencies.mSpillCounters }));
  filters.push_back(std::make_unique<QueueFilter>(aDependencies.mScheduler,
                                                  aDependencies.mDecisions));
  filters.push_back(std::make_unique<StartCheckFilter>(
    aDependencies.mContext, aDependencies.mClock, aDependencies.mScheduler));
  filters.push_back(std::make_unique<ForwardFilter>(
    aDependencies.mClock, aDependencies.mClient, aDependencies.mScheduler));
  filters.push_back(std::make_unique<AnswerFilter>(aDependencies.mDecisions));
  return filters;
}

}

RequestPath::RequestPath(const InstanceIdentity& aSelf,
                         const RequestPathDependencies& aDependencies,
                         const RequestPathOptions& aOptions)
  : mClock(aDependencies.mClock)
  , mMetrics(aDependencies.mMetrics)
  , mIdPrefix(aSelf.mName + '-' + std::to_string(aSelf.mIncarnation) + '-')
  , mChain(BuildFilters(aSelf, aDependencies, aOptions))
{
}

void
RequestPath::Handle(HttpExchangePtr aExchange)
{
  const Clock::Monotonic arrival = mClock.MonotonicNow();
  auto context =
    std::make_shared<RequestContext>(std::move(aExchange), NextId(), arrival);
  context->AddAnswerHook(
    [this, arrival](const HttpResponse& aResponse, Ran aRan) {
      mMetrics.CountRequest(
        aResponse.mStatus, aRan, mClock.MonotonicNow() - arrival);
    });
  mChain.Run(std::move(context));
}

std::string
RequestPath::NextId()
{
  return mIdPrefix + std::to_string(++mNextId);
}

}

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Base/Decision.h"
#include "Filters/RequestClaims.h"
#include "Filters/RequestContext.h"
#include "Filters/RequestFilter.h"
#include "Filters/RequestRules.h"
#include "Filters/RequestScheduler.h"
#include "Support/FakeExchange.h"
#include "Support/ManualClock.h"
#include "Transport/HttpClient.h"

namespace almondspoke::testing {

/** \brief Rules with policies set by the test. */
class FakeRules : public RequestRules
{
public:
  bool AreKnown() const override { return mKnown; }
  RequestPolicy PolicyOf(std::string_view aKind) const override
  {
    const auto found = mPolicies.find(std::string(aKind));
    return found == mPolicies.end() ? RequestPolicy{} : found->second;
  }

  bool mKnown = true;
  std::map<std::string, RequestPolicy> mPolicies;
};

/** \brief Stores the recorded decisions. */
class FakeDecisions : public DecisionSink
{
public:
  void Record(Decision aDecision) override
  {
    mDecisions.push_back(std::move(aDecision));
  }

  std::vector<Decision> mDecisions;
};

/** \brief A claim that records the calls to it. */
class FakeClaim : public RequestClaim
{
public:
  Result<void> CheckStart() override
  {
    if (mStartError) {
      return *mStartError;
    }
    return Success();
  }
  void RecordAnswer(const HttpResponse& aResponse,
                    std::function<void()> aDone) override
  {
    mRecorded = aResponse;
    aDone();
  }
  void Release() override { mReleased = true; }

  std::optional<Error> mStartError;
  std::optional<HttpResponse> mRecorded;
  bool mReleased = false;
};

/** \brief Returns the configured results in order; repeats the last one. */
class FakeClaims : public RequestClaims
{
public:
  void Claim(const std::string& aKey,
             std::uint64_t aBodyHash,
             Done aDone) override
  {
    mKeys.push_back(aKey);
    mHashes.push_back(aBodyHash);
    if (mError) {
      aDone(*mError);
      return;
    }
    ClaimResult result = mResults.front();
    if (mResults.size() > 1) {
      mResults.erase(mResults.begin());
    }
    aDone(std::move(result));
  }

  std::optional<Error> mError;
  std::vector<ClaimResult> mResults;
  std::vector<std::string> mKeys;
  std::vector<std::uint64_t> mHashes;
};

/** \brief Stores the submitted request; the test calls its handlers. */
class FakeScheduler : public RequestScheduler
{
public:
  bool HasEndpoint(const ServiceName&) const override { return mHasEndpoint; }
  Result<Ticket> Submit(ScheduledRequest aRequest,
                        DispatchHandler aDispatch,
                        RefuseHandler aRefuse) override
  {
    if (mRefusal) {
      return *mRefusal;
    }
    mRequest = std::move(aRequest);
    mDispatch = std::move(aDispatch);
    mRefuse = std::move(aRefuse);
    mWaiting = true;
    return kTicket;
  }
  bool Cancel(Ticket aTicket) override
  {
    mCancelled = aTicket == kTicket;
    return std::exchange(mWaiting, false);
  }
  bool Finish(Ticket aTicket, const AttemptReport& aReport) override
  {
    mFinished = aTicket;
    mReports.push_back(aReport);
    return std::exchange(mRetryNext, false);
  }

  static constexpr Ticket kTicket = 7;

  bool mHasEndpoint = true;
  std::optional<Error> mRefusal;
  std::optional<ScheduledRequest> mRequest;
  DispatchHandler mDispatch;
  RefuseHandler mRefuse;
  bool mWaiting = false;
  bool mCancelled = false;
  bool mRetryNext = false;
  Ticket mFinished = 0;
  std::vector<AttemptReport> mReports;
};

/** \brief Stores the attempts; the test completes them. */
class FakeHttpClient : public HttpClient
{
public:
  AttemptId Start(HttpAttempt aAttempt, Done aDone) override
  {
    mAttempts.push_back(std::move(aAttempt));
    mDone.push_back(std::move(aDone));
    return mAttempts.size();
  }
  void Cancel(AttemptId aAttempt) override { mCancelled = aAttempt; }

  std::vector<HttpAttempt> mAttempts;
  std::vector<Done> mDone;
  AttemptId mCancelled = 0;
};

/** \brief A request context with a fake exchange; counts how often a filter
 * passes it on. */
struct FilterCase
{
  explicit FilterCase(HttpFields aFields = {},
                      std::string aBody = "work",
                      std::string aTarget = "/v1/services/booking/quote?a=1",
                      std::string aMethod = "POST")
    : mExchange(std::make_shared<FakeExchange>(HttpRequest{ std::move(aMethod),
                                                            std::move(aTarget),
                                                            std::move(aFields),
                                                            std::move(aBody) }))
    , mContext(std::make_shared<RequestContext>(mExchange,
                                                "r1",
                                                mClock.MonotonicNow()))
  {
    mContext->mService = "booking";
    mContext->mKind = "booking";
    mContext->mBody = std::make_shared<const std::string>("work");
    mContext->mDeadline = mClock.MonotonicNow() + std::chrono::seconds(10);
  }

  RequestFilter::Next Next()
  {
    return [this](const RequestContextPtr&) { ++mPassed; };
  }

  /** Kind of the error in the answer; nullopt without an error answer. */
  std::optional<ErrorKind> AnsweredKind() const
  {
    if (!mExchange->mResponse) {
      return std::nullopt;
    }
    const auto error = ErrorFromJson(mExchange->mResponse->mBody);
    return error ? std::make_optional(error->Kind()) : std::nullopt;
  }

  ManualClock mClock;
  std::shared_ptr<FakeExchange> mExchange;
  RequestContextPtr mContext;
  int mPassed = 0;
};

}

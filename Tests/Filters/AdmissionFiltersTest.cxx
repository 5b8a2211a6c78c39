#include <catch2/catch.hpp>

#include "FilterFakes.h"
#include "Filters/AdmitFilter.h"
#include "Filters/ClassifyFilter.h"
#include "Filters/FilterChain.h"

using namespace almondspoke;
using namespace almondspoke::testing;

TEST_CASE("Classify filter: rules override the caller's urgency, and the "
          "caller overrides the rules' timeout")
{
  FilterCase one;
  ClassifyFilter filter(one.mClock, std::chrono::seconds(30));
  const auto classify = [&](FilterCase& aCase) {
    filter.Apply(aCase.mContext, aCase.Next());
    return aCase.mContext->mDeadline - aCase.mContext->Arrival();
  };
  CHECK(classify(one) == std::chrono::seconds(30));
  CHECK(one.mContext->mUrgency == kUrgencyNormal);

  FilterCase byRule;
  byRule.mContext->mPolicy.mTimeout = std::chrono::seconds(2);
  byRule.mContext->mPolicy.mUrgency = kUrgencyLast;
  byRule.mContext->mDeclaredUrgency = kUrgencyFirst;
  CHECK(classify(byRule) == std::chrono::seconds(2));
  CHECK(byRule.mContext->mUrgency == kUrgencyLast);

  FilterCase byCaller;
  byCaller.mContext->mPolicy.mTimeout = std::chrono::seconds(2);
  byCaller.mContext->mDeclaredTimeout = std::chrono::seconds(5);
  byCaller.mContext->mDeclaredUrgency = kUrgencyFirst;
  CHECK(classify(byCaller) == std::chrono::seconds(5));
  CHECK(byCaller.mContext->mUrgency == kUrgencyFirst);
}

TEST_CASE("Classify filter: the endpoint gets the caller's end-to-end fields")
{
  FilterCase one(HttpFields{ { "Host", "a" },
                             { "Content-Type", "text/plain" },
                             { "Connection", "close" },
                             { "Idempotency-Key", "k" } });
  ClassifyFilter filter(one.mClock, std::chrono::seconds(30));
  filter.Apply(one.mContext, one.Next());
  const HttpFields& fields = one.mContext->mForwardFields;
  REQUIRE(fields.size() == 3);
  CHECK(fields[0].mName == "Content-Type");
  CHECK(fields[1].mName == "Idempotency-Key");
  CHECK(fields[2].mValue == "r1");
  CHECK(*one.mContext->mBody == "work");
}

TEST_CASE("Classify filter: a deadline that has passed is refused")
{
  FilterCase one;
  ClassifyFilter filter(one.mClock, std::chrono::seconds(30));
  one.mContext->mDeclaredTimeout = std::chrono::milliseconds(10);
  one.mClock.Advance(std::chrono::milliseconds(10));
  filter.Apply(one.mContext, one.Next());
  CHECK(one.AnsweredKind() == ErrorKind::DeadlineUnreachable);
}

TEST_CASE("Admit filter: refuses requests until the rules are known")
{
  FakeRules rules;
  rules.mKnown = false;
  AdmitFilter filter(rules, 1048576);
  FilterCase one;
  filter.Apply(one.mContext, one.Next());
  CHECK(one.AnsweredKind() == ErrorKind::NotReady);
}

TEST_CASE("Admit filter: limits the memory of requests in progress")
{
  FakeRules rules;
  AdmitFilter filter(rules, 150000);
  const auto apply = [&](FilterCase& aCase) {
    aCase.mContext->mBody =
      std::make_shared<const std::string>(std::string(100000, 'b'));
    filter.Apply(aCase.mContext, aCase.Next());
  };
  FilterCase first;
  apply(first);
  CHECK(first.mPassed == 1);
  FilterCase second;
  apply(second);
  CHECK(second.AnsweredKind() == ErrorKind::QueueFull);
  first.mContext->Answer({}, Ran::Yes);
  CHECK(filter.ReservedBytes() == 0);
  FilterCase third;
  apply(third);
  CHECK(third.mPassed == 1);
}

TEST_CASE("Filter chain: runs filters in order and fails unanswered requests")
{
  /** \brief Records its call and passes the request on. */
  class Step : public RequestFilter
  {
  public:
    Step(std::string aName, std::string& aTrace)
      : mName(std::move(aName))
      , mTrace(aTrace)
    {
    }
    void Apply(RequestContextPtr aContext, Next aNext) override
    {
      mTrace += mName;
      aNext(std::move(aContext));
    }

  private:
    std::string mName;
    std::string& mTrace;
  };

  std::string trace;
  std::vector<std::unique_ptr<RequestFilter>> filters;
  filters.push_back(std::make_unique<Step>("a", trace));
  filters.push_back(std::make_unique<Step>("b", trace));
  FilterChain chain(std::move(filters));
  FilterCase one;
  chain.Run(one.mContext);
  CHECK(trace == "ab");
  CHECK(one.AnsweredKind() == ErrorKind::Internal);
}

#include <catch2/catch.hpp>

#include "FilterFakes.h"
#include "Filters/IdentifyFilter.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

/** \brief A malformed request and the expected error. */
struct Refusal
{
  std::string mName;
  std::string mMethod;
  std::string mTarget;
  HttpFields mFields;
  ErrorKind mKind;
};

const std::string kTarget = "/v1/services/booking/quote";

const std::vector<Refusal> kRefusals = {
  { "method", "GET", kTarget, {}, ErrorKind::MethodNotAllowed },
  { "service with a slash only",
    "POST",
    "/v1/services//x",
    {},
    ErrorKind::InvalidArgument },
  { "service with other characters",
    "POST",
    "/v1/services/a%20b/x",
    {},
    ErrorKind::InvalidArgument },
  { "service of 65 characters",
    "POST",
    "/v1/services/" + std::string(65, 's'),
    {},
    ErrorKind::InvalidArgument },
  { "empty key",
    "POST",
    kTarget,
    { { "Idempotency-Key", "" } },
    ErrorKind::KeyInvalid },
  { "key with a space",
    "POST",
    kTarget,
    { { "Idempotency-Key", "a b" } },
    ErrorKind::KeyInvalid },
  { "key of 10 KB",
    "POST",
    kTarget,
    { { "Idempotency-Key", std::string(10240, 'k') } },
    ErrorKind::KeyInvalid },
  { "idempotent that is no boolean",
    "POST",
    kTarget,
    { { "Almondspoke-Idempotent", "yes" } },
    ErrorKind::InvalidArgument },
  { "unknown urgency",
    "POST",
    kTarget,
    { { "Almondspoke-Urgency", "now" } },
    ErrorKind::InvalidArgument },
  { "timeout of zero",
    "POST",
    kTarget,
    { { "Almondspoke-Timeout-Ms", "0" } },
    ErrorKind::InvalidArgument },
  { "negative timeout",
    "POST",
    kTarget,
    { { "Almondspoke-Timeout-Ms", "-1" } },
    ErrorKind::InvalidArgument },
  { "enormous timeout",
    "POST",
    kTarget,
    { { "Almondspoke-Timeout-Ms", "99999999999999999999" } },
    ErrorKind::InvalidArgument },
  { "timeout with a unit",
    "POST",
    kTarget,
    { { "Almondspoke-Timeout-Ms", "5s" } },
    ErrorKind::InvalidArgument },
  { "kind with other characters",
    "POST",
    kTarget,
    { { "Almondspoke-Kind", "a/b" } },
    ErrorKind::InvalidArgument },
  { "empty team",
    "POST",
    kTarget,
    { { "Almondspoke-Team", "" } },
    ErrorKind::InvalidArgument },
};

}

TEST_CASE("Identify filter: malformed requests are refused")
{
  const FakeRules rules;
  IdentifyFilter filter(rules);
  for (const Refusal& refusal : kRefusals) {
    INFO(refusal.mName);
    FilterCase one(refusal.mFields, "work", refusal.mTarget, refusal.mMethod);
    filter.Apply(one.mContext, one.Next());
    CHECK(one.mPassed == 0);
    CHECK(one.AnsweredKind() == refusal.mKind);
    CHECK(one.mExchange->mResponse->mBody.size() < 500);
  }
}

TEST_CASE("Identify filter: reads the header fields")
{
  const FakeRules rules;
  IdentifyFilter filter(rules);
  FilterCase one(HttpFields{ { "idempotency-key", "zagreb:1" },
                             { "Almondspoke-Idempotent", "true" },
                             { "Almondspoke-Urgency", "last" },
                             { "Almondspoke-Kind", "preview" },
                             { "Almondspoke-Team", "north" },
                             { "Almondspoke-Timeout-Ms", "250" } });
  filter.Apply(one.mContext, one.Next());
  REQUIRE(one.mPassed == 1);
  CHECK(one.mContext->mService == "booking");
  CHECK(one.mContext->mTarget == "/quote?a=1");
  CHECK(one.mContext->mKey == "zagreb:1");
  CHECK(one.mContext->mIdempotent);
  CHECK(one.mContext->mDeclaredUrgency == kUrgencyLast);
  CHECK(one.mContext->mKind == "preview");
  CHECK(one.mContext->mTeam == "north");
  CHECK(one.mContext->mDeclaredTimeout == std::chrono::milliseconds(250));
}

TEST_CASE("Identify filter: a target without a path becomes the root path")
{
  const FakeRules rules;
  IdentifyFilter filter(rules);
  FilterCase bare({}, "", "/v1/services/booking");
  filter.Apply(bare.mContext, bare.Next());
  CHECK(bare.mContext->mTarget == "/");
  CHECK(bare.mContext->mKind == "booking");
  FilterCase query({}, "", "/v1/services/booking?x=1");
  filter.Apply(query.mContext, query.Next());
  CHECK(query.mContext->mTarget == "/?x=1");
}

TEST_CASE("Identify filter: whether work may be repeated")
{
  struct Row
  {
    RepeatRule mRule;
    const char* mDeclared;
    bool mIdempotent;
  };
  const std::vector<Row> rows = {
    { RepeatRule::ByCaller, nullptr, false },
    { RepeatRule::ByCaller, "true", true },
    { RepeatRule::ByCaller, "false", false },
    { RepeatRule::Allowed, nullptr, true },
    { RepeatRule::Allowed, "true", true },
    { RepeatRule::Allowed, "false", false },
    { RepeatRule::Never, nullptr, false },
    { RepeatRule::Never, "true", false },
    { RepeatRule::Never, "false", false },
  };
  FakeRules rules;
  IdentifyFilter filter(rules);
  for (const Row& row : rows) {
    rules.mPolicies["booking"].mRepeat = row.mRule;
    HttpFields fields;
    if (row.mDeclared != nullptr) {
      fields.push_back({ "Almondspoke-Idempotent", row.mDeclared });
    }
    FilterCase one(fields);
    filter.Apply(one.mContext, one.Next());
    CHECK(one.mContext->mIdempotent == row.mIdempotent);
  }
}

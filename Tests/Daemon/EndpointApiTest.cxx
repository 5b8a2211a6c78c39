#include <catch2/catch.hpp>

#include "Daemon/EndpointApi.h"
#include "Membership/EndpointTable.h"
#include "Support/FakeExchange.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

struct Fixture
{
  HttpResponse Send(const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody = {})
  {
    auto exchange = std::make_shared<FakeExchange>(
      HttpRequest{ aMethod, aTarget, {}, aBody });
    mApi.Handle(exchange);
    return *exchange->mResponse;
  }

  ManualClock mClock;
  EndpointTable mTable{ mClock, {}, "zagreb", 1 };
  EndpointApi mApi{ mTable, { { "127.0.0.0", 8 } } };
};

const std::string kBody =
  R"({"service":"s","address":"127.0.0.1:80","slots":8,"connections":64,)"
  R"("ttlMs":3000,"incarnation":5})";

/** \brief A rejected announcement and its expected error. */
struct Refusal
{
  std::string mBody;
  ErrorKind mKind;
};

const std::vector<Refusal> kRefusals = {
  { "", ErrorKind::InvalidArgument },
  { "{", ErrorKind::InvalidArgument },
  { "[]", ErrorKind::InvalidArgument },
  { "{}", ErrorKind::InvalidArgument },
  { R"({"service":"s"})", ErrorKind::InvalidArgument },
  { R"({"service":7,"address":"127.0.0.1:80"})", ErrorKind::InvalidArgument },
  { R"({"service":"a b","address":"127.0.0.1:80"})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"nowhere"})", ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:0"})", ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:99999"})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"10.0.0.1:80"})",
    ErrorKind::AddressNotAllowed },
  { R"({"service":"s","address":"127.0.0.1:80","slots":-1})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","slots":0})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","slots":1e30})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","slots":99999999999999999999})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","cores":-0.5})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","memoryBytes":-1})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","ttlMs":1})",
    ErrorKind::InvalidArgument },
  { R"({"service":"s","address":"127.0.0.1:80","unknown":1})",
    ErrorKind::InvalidArgument },
};

}

TEST_CASE(
  "Endpoint API: invalid announcements are rejected with the right error")
{
  Fixture fixture;
  for (const Refusal& refusal : kRefusals) {
    INFO(refusal.mBody);
    const HttpResponse response =
      fixture.Send("PUT", "/v1/endpoints/e", refusal.mBody);
    const auto error = ErrorFromJson(response.mBody);
    REQUIRE(error);
    CHECK(error->Kind() == refusal.mKind);
  }
  CHECK(fixture.mTable.AllEndpoints().empty());
  const auto status = [&](const char* aMethod, const std::string& aTarget) {
    return fixture.Send(aMethod, aTarget, kBody).mStatus;
  };
  CHECK(status("PUT", "/v1/endpoints/a%20b") == 400);
  CHECK(status("PUT", "/v1/endpoints/" + std::string(65, 'n')) == 400);
  CHECK(status("GET", "/v1/endpoints/e") == 405);
  CHECK(status("DELETE", "/v1/endpoints/e/usage") == 405);
  CHECK(status("DELETE", "/v1/endpoints/e") == 404);
  CHECK(status("PUT", "/v1/endpoints/e") == 200);
  CHECK(status("DELETE", "/v1/endpoints/e?incarnation=x") == 400);
}

TEST_CASE("Endpoint API: announce, renew, report, leave")
{
  Fixture fixture;
  REQUIRE(fixture.Send("PUT", "/v1/endpoints/e", kBody).mStatus == 200);
  REQUIRE(fixture.mTable.EndpointsOf("s").size() == 1);
  const Endpoint endpoint = fixture.mTable.EndpointsOf("s").front();
  CHECK(endpoint.mAnnouncement.mSlots == 8);
  CHECK(endpoint.mAnnouncement.mConnections == 64);
  CHECK(endpoint.mDataCentre == "zagreb");
  CHECK(fixture
          .Send("PUT",
                "/v1/endpoints/e/usage",
                R"({"coresUsed":1.5,"memoryUsedBytes":7,"measuredAtMs":9})")
          .mStatus == 200);
  CHECK(fixture.mTable.EndpointsOf("s").front().mUsage->mCoresUsed == 1.5);
  CHECK(fixture.Send("DELETE", "/v1/endpoints/e?incarnation=4").mStatus == 409);
  CHECK(fixture.Send("DELETE", "/v1/endpoints/e?incarnation=5").mStatus == 200);
  CHECK(fixture.mTable.EndpointsOf("s").empty());
  // A late renewal of the same incarnation does not add the endpoint again.
  CHECK(fixture.Send("PUT", "/v1/endpoints/e", kBody).mStatus == 200);
  CHECK(fixture.mTable.EndpointsOf("s").empty());
}

// Operators' requests about data centres at the control address.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Base/EventLog.h"
#include "Support/DiscardingSink.h"
#include "Support/FakeExchange.h"
#include "Support/ManualClock.h"
#include "platform/ControlApi.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DiscardingSink;
using almondspoke::testing::FakeExchange;
using nlohmann::json;

namespace {

/** \brief Records requests about data centres and answers all alike. */
class FakeService : public ControlService
{
public:
  void Report(const WorkerReport&) override {}
  void OnUnreadableReport(const WorkerId&, const std::string&) override {}
  void OnWorkerLeft(const WorkerId&) override {}
  void PutManifest(const Manifest&, Done aDone) override { aDone(Success()); }
  void ReadManifest(ManifestDone aDone) override
  {
    aDone(Error(ErrorKind::NotFound, "none"));
  }
  void SetEvacuated(const std::string& aDataCentre,
                    bool aIsEvacuated,
                    Done aDone) override
  {
    mName = aDataCentre;
    mIsEvacuated = aIsEvacuated;
    ++mRequests;
    aDone(mAnswer);
  }
  void ReadDataCentres(DataCentresDone aDone) override
  {
    if (!mAnswer) {
      aDone(mAnswer.error());
      return;
    }
    aDone(
      std::vector<DataCentreStatus>{ { "riga", true }, { "t\xff", false } });
  }

  Result<void> mAnswer = Success();
  std::string mName;
  bool mIsEvacuated = false;
  int mRequests = 0;
};

struct ApiFixture
{
  HttpResponse Send(const std::string& aMethod, const std::string& aTarget)
  {
    HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    const auto exchange = std::make_shared<FakeExchange>(request);
    mApi.Handle(exchange);
    REQUIRE(exchange->mResponse);
    return *exchange->mResponse;
  }

  testing::ManualClock mClock;
  DiscardingSink mSink;
  EventLog mLog{ mClock, mSink };
  FakeService mService;
  platform::ControlApi mApi{ mService, mLog };
};

/** \brief A request and what it asks for; no name if it is not one. */
struct RequestCase
{
  const char* mMethod;
  const char* mTarget;
  const char* mName;
  bool mIsEvacuated;
};

}

TEST_CASE("Control API: requests to evacuate and readmit a data centre")
{
  const std::vector<RequestCase> cases = {
    { "POST", "/evacuate/riga-a/start", "riga-a", true },
    { "POST", "/evacuate/riga-a/stop", "riga-a", false },
    { "POST", "/evacuate/riga-a/start?x=1", "riga-a", true },
    { "POST", "/evacuate/riga%20a%2Fb/start", "riga a/b", true },
    { "POST", "/evacuate/r%C4%ABga/stop", "r\xc4\xabga", false },
    { "POST", "/evacuate/50%/start", "50%", true },
    { "POST", "/evacuate/start/start", "start", true },
    { "POST", "/evacuate//start", "", true },
    { "PUT", "/v1/data-centres/riga-a/evacuation", "riga-a", true },
    { "DELETE", "/v1/data-centres/riga%2Da/evacuation", "riga-a", false },
    { "GET", "/evacuate/riga-a/start", nullptr, false },
    { "POST", "/evacuate/riga-a/pause", nullptr, false },
    { "POST", "/evacuate/start", nullptr, false },
    { "POST", "/v1/data-centres/riga-a/evacuation", nullptr, false },
    { "GET", "/v1/data-centres/riga-a", nullptr, false },
  };
  for (const RequestCase& row : cases) {
    INFO(row.mMethod << " " << row.mTarget);
    ApiFixture fixture;
    const HttpResponse response = fixture.Send(row.mMethod, row.mTarget);
    const bool isRequest = row.mName != nullptr;
    CHECK(response.mStatus == (isRequest ? 200 : 404));
    CHECK(fixture.mService.mRequests == (isRequest ? 1 : 0));
    if (isRequest) {
      CHECK(fixture.mService.mName == row.mName);
      CHECK(fixture.mService.mIsEvacuated == row.mIsEvacuated);
    }
  }
}

// 400, 409, 412, 413 and 422 would end the operator's attempts.
TEST_CASE("Control API: what cannot be stored now is answered 503")
{
  for (const ErrorTraits& traits : AllErrorTraits()) {
    INFO(traits.mName);
    ApiFixture fixture;
    fixture.mService.mAnswer = Error(traits.mKind, "the reason");
    const bool isUnknown = traits.mKind == ErrorKind::NotFound;
    for (const auto& [method, target] :
         std::vector<std::pair<std::string, std::string>>{
           { "POST", "/evacuate/riga/start" },
           { "POST", "/evacuate/riga/stop" },
           { "PUT", "/v1/data-centres/riga/evacuation" },
           { "DELETE", "/v1/data-centres/riga/evacuation" },
           { "GET", "/v1/data-centres" } }) {
      const HttpResponse response = fixture.Send(method, target);
      CHECK(response.mStatus == (isUnknown ? 404 : 503));
      CHECK(response.mBody.find("the reason") != std::string::npos);
      const std::string* retryAfter =
        FindField(response.mFields, "Retry-After");
      CHECK((retryAfter != nullptr) == !isUnknown);
    }
  }
}

TEST_CASE("Control API: a message may quote bytes that are not UTF-8")
{
  ApiFixture fixture;
  fixture.mService.mAnswer =
    Error(ErrorKind::NotFound, "no data centre '\xff' (known: riga, tartu)");
  const HttpResponse response = fixture.Send("POST", "/evacuate/%FF/start");
  CHECK(response.mStatus == 404);
  CHECK(fixture.mService.mName == "\xff");
  const std::string message = json::parse(response.mBody)["error"];
  CHECK(message.find("riga, tartu") != std::string::npos);
  CHECK(fixture.Send("POST", "/\xff").mStatus == 404);
}

TEST_CASE("Control API: lists the data centres")
{
  ApiFixture fixture;
  const HttpResponse response = fixture.Send("GET", "/v1/data-centres");
  CHECK(response.mStatus == 200);
  const json list = json::parse(response.mBody)["dataCentres"];
  REQUIRE(list.size() == 2);
  CHECK(list[0]["name"] == "riga");
  CHECK(list[0]["state"] == "evacuated");
  CHECK(list[1]["state"] == "in-service");
}

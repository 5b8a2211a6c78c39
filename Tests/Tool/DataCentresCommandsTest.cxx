#include <string>

#include <catch2/catch.hpp>

#include "Base/Error.h"
#include "Tool/FakeHttpClient.h"
#include "Tool/ToolFixture.h"

using namespace almondspoke;
using almondspoke::testing::FakeHttpClient;
using almondspoke::testing::ToolFixture;

namespace {

struct DataCentresFixture
{
  DataCentresFixture()
  {
    mTool.mEnvironment["ALMONDSPOKE_OPERATORS"] = "127.0.0.1:1";
  }

  FakeHttpClient mHttp;
  ToolFixture mTool{ mHttp };
};

}

TEST_CASE("Tool data-centres: evacuates and readmits by the encoded name")
{
  DataCentresFixture fixture;
  fixture.mHttp.QueueResponse(200, "{}");
  fixture.mHttp.QueueResponse(200, "{}");
  CHECK(fixture.mTool.Run({ "data-centres", "evacuate", "riga a/b" }) == 0);
  CHECK(fixture.mTool.Out() == "name      state\n"
                               "riga a/b  evacuated\n");
  CHECK(fixture.mTool.Run({ "data-centres", "readmit", "riga a/b" }) == 0);
  REQUIRE(fixture.mHttp.mRequests.size() == 2);
  CHECK(fixture.mHttp.mRequests[0].mMethod == "PUT");
  CHECK(fixture.mHttp.mRequests[1].mMethod == "DELETE");
  for (const tool::HttpRequest& request : fixture.mHttp.mRequests) {
    CHECK(request.mUrl ==
          "http://127.0.0.1:1/v1/data-centres/riga%20a%2Fb/evacuation");
  }
}

TEST_CASE("Tool data-centres: errors keep their message and exit code")
{
  DataCentresFixture fixture;
  for (const auto& [kind, status, exitCode] :
       std::vector<std::tuple<ErrorKind, int, int>>{
         { ErrorKind::NotFound, 404, 1 },
         { ErrorKind::NoQuorum, 503, 6 },
         { ErrorKind::OutcomeUnknown, 503, 4 } }) {
    const Error error(kind, "the reason");
    fixture.mHttp.QueueResponse(status, error.ToJson());
    CHECK(fixture.mTool.Run({ "data-centres", "evacuate", "r" }) == exitCode);
    CHECK(fixture.mTool.Err().find("the reason") != std::string::npos);
    CHECK(fixture.mTool.Out().empty());
  }
}

TEST_CASE("Tool data-centres: lists names and states")
{
  DataCentresFixture fixture;
  fixture.mHttp.QueueResponse(
    200, R"({"dataCentres":[{"name":"riga","state":"evacuated"}]})");
  CHECK(fixture.mTool.Run({ "data-centres", "list" }) == 0);
  CHECK(fixture.mTool.Out() == "name  state\n"
                               "riga  evacuated\n");
  fixture.mHttp.QueueResponse(200, "[]");
  CHECK(fixture.mTool.Run({ "data-centres", "list" }) == 4);
}

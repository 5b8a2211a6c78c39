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

TEST_CASE("Tool data-centres: lists names and states")
{
  DataCentresFixture fixture;
  fixture.mHttp.QueueResponse(
    200, R"({"dataCentres":[{"name":"riga","state":"evacuated"}]})");
  CHECK(fixture.mTool.Run({ "data-centres", "list" }) == 0);
  CHECK(fixture.mTool.Out() == "name  state\n"
                               "riga  evacuated\n");
  // Exit codes: not a list, and the error of the coordinator.
  fixture.mHttp.QueueResponse(200, "[]");
  CHECK(fixture.mTool.Run({ "data-centres", "list" }) == 4);
  const Error unknown(ErrorKind::NotFound, "the reason");
  fixture.mHttp.QueueResponse(404, unknown.ToJson());
  CHECK(fixture.mTool.Run({ "data-centres", "evacuate", "r" }) == 1);
  CHECK(fixture.mTool.Err().find("the reason") != std::string::npos);
}

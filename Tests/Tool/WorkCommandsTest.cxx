#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Base/Error.h"
#include "Tool/FakeHttpClient.h"
#include "Tool/ToolFixture.h"

using namespace almondspoke;
using almondspoke::testing::FakeHttpClient;
using almondspoke::testing::ToolFixture;

namespace {

constexpr const char* kJob = R"({"service":"preview","tasks":[{"body":"x"}]})";
constexpr const char* kComplete =
  R"({"key":"zagreb:@7-new-id","state":"complete",)"
  R"("results":[{"status":200,"body":"done"}]})";

/** Returns the value of a header field, or "" if it is not set. */
std::string
Field(const tool::HttpRequest& aRequest, const std::string& aName)
{
  for (const tool::HttpField& field : aRequest.mFields) {
    if (field.mName == aName) {
      return field.mValue;
    }
  }
  return "";
}

struct WorkFixture
{
  WorkFixture() { mTool.mEnvironment["ALMONDSPOKE_CALLERS"] = "127.0.0.1:1"; }

  FakeHttpClient mHttp;
  ToolFixture mTool{ mHttp };
};

}

TEST_CASE("Tool submit: requests a key prefix and polls with one key")
{
  WorkFixture fixture;
  fixture.mHttp.QueueResponse(200,
                              R"({"home":"zagreb","keyPrefix":"zagreb:@7-"})");
  fixture.mHttp.QueueResponse(
    202, R"({"key":"zagreb:@7-new-id","state":"running"})");
  fixture.mHttp.QueueResponse(200, kComplete);
  fixture.mTool.mIn.str(kJob);
  REQUIRE(fixture.mTool.Run({ "submit", "-" }) == 0);
  CHECK(fixture.mTool.Out() == "key               state\n"
                               "zagreb:@7-new-id  complete\n"
                               "status  body\n"
                               "200     done\n");
  CHECK(fixture.mTool.Err().empty());
  REQUIRE(fixture.mHttp.mRequests.size() == 3);
  for (std::size_t index = 1; index < 3; ++index) {
    const tool::HttpRequest& request = fixture.mHttp.mRequests[index];
    CHECK(request.mMethod == "POST");
    CHECK(request.mUrl == "http://127.0.0.1:1/v1/jobs?wait=5000");
    CHECK(Field(request, "Idempotency-Key") == "zagreb:@7-new-id");
    CHECK(request.mBody == kJob);
  }
}

TEST_CASE("Tool submit: a lost answer is an unknown outcome and names the key")
{
  WorkFixture fixture;
  fixture.mHttp.mQueuedResponses.emplace_back(
    Error(ErrorKind::OutcomeUnknown, "timed out"));
  fixture.mTool.mIn.str(kJob);
  CHECK(fixture.mTool.Run({ "submit", "-", "--key", "zagreb:7" }) == 4);
  CHECK(fixture.mTool.Err().find("jobs show zagreb:7") != std::string::npos);
}

TEST_CASE("Tool submit: progress is shown on terminals only")
{
  WorkFixture fixture;
  for (const bool isTerminal : { true, false }) {
    fixture.mHttp.QueueResponse(202, R"({"key":"k","state":"running"})");
    fixture.mHttp.QueueResponse(200, kComplete);
    fixture.mTool.mIn.clear();
    fixture.mTool.mIn.str(kJob);
    fixture.mTool.mIsTerminal = isTerminal;
    CHECK(fixture.mTool.Run({ "submit", "-", "--key", "k" }) == 0);
    CHECK((fixture.mTool.Err().find("waiting for k") != std::string::npos) ==
          isTerminal);
  }
}

TEST_CASE("Tool submit: input that is not a job is not sent")
{
  WorkFixture fixture;
  for (const char* text : { "", "[]", "{", "null" }) {
    fixture.mTool.mIn.clear();
    fixture.mTool.mIn.str(text);
    CHECK(fixture.mTool.Run({ "submit", "-" }) == 2);
  }
  CHECK(fixture.mHttp.mRequests.empty());
}

TEST_CASE("Tool: every error kind from an instance gives its exit code")
{
  WorkFixture fixture;
  for (const ErrorTraits& traits : AllErrorTraits()) {
    CAPTURE(traits.mName);
    const Error error(traits.mKind, "the reason");
    fixture.mHttp.QueueResponse(traits.mHttpStatus, error.ToJson());
    CHECK(fixture.mTool.Run({ "jobs", "show", "k" }) == traits.mExitCode);
    CHECK(fixture.mTool.Err() ==
          "almondspoke: " + std::string(traits.mName) + ": the reason\n");
    CHECK(fixture.mTool.Out().empty());
  }
}

TEST_CASE("Tool jobs: the key is encoded as one segment of the path")
{
  WorkFixture fixture;
  fixture.mHttp.QueueResponse(200, kComplete);
  CHECK(fixture.mTool.Run({ "jobs", "cancel", "zagreb:a/b ?", "--json" }) == 0);
  CHECK(fixture.mHttp.mRequests[0].mMethod == "DELETE");
  CHECK(fixture.mHttp.mRequests[0].mUrl ==
        "http://127.0.0.1:1/v1/jobs/zagreb:a%2Fb%20%3F");
  CHECK(nlohmann::json::parse(fixture.mTool.Out()) ==
        nlohmann::json::parse(kComplete));
}

TEST_CASE("Tool call: options become header fields and the body is unchanged")
{
  WorkFixture fixture;
  fixture.mHttp.QueueResponse(200, std::string("a\0b", 3));
  fixture.mTool.mIn.str("stump");
  CHECK(fixture.mTool.Run({ "call",
                            "booking",
                            "/quotes/7",
                            "--data",
                            "-",
                            "--key",
                            "k",
                            "--idempotent",
                            "false",
                            "--kind",
                            "quote",
                            "--team",
                            "team-north",
                            "--urgency",
                            "first",
                            "--deadline-ms",
                            "800" }) == 0);
  CHECK(fixture.mTool.Out() == std::string("a\0b", 3));
  const tool::HttpRequest& request = fixture.mHttp.mRequests[0];
  CHECK(request.mUrl == "http://127.0.0.1:1/v1/services/booking/quotes/7");
  CHECK(request.mBody == "stump");
  CHECK(Field(request, "Idempotency-Key") == "k");
  CHECK(Field(request, "Almondspoke-Idempotent") == "false");
  CHECK(Field(request, "Almondspoke-Kind") == "quote");
  CHECK(Field(request, "Almondspoke-Team") == "team-north");
  CHECK(Field(request, "Almondspoke-Urgency") == "first");
  CHECK(Field(request, "Almondspoke-Timeout-Ms") == "800");
}

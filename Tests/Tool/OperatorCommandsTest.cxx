#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Base/DecisionLog.h"
#include "Controllers/ConfigurationController.h"
#include "Controllers/OperatorServer.h"
#include "Support/FakeReplicator.h"
#include "Support/FakeViews.h"
#include "Support/FakeVotersService.h"
#include "Support/ManualClock.h"
#include "Tool/CurlHttpClient.h"
#include "Tool/FakeHttpClient.h"
#include "Tool/OperatorClient.h"
#include "Tool/ToolFixture.h"

using namespace almondspoke;
using almondspoke::testing::FakeEndpointView;
using almondspoke::testing::FakeHttpClient;
using almondspoke::testing::FakeInstanceView;
using almondspoke::testing::FakeReplicator;
using almondspoke::testing::FakeVotersService;
using almondspoke::testing::ManualClock;
using almondspoke::testing::ToolFixture;

namespace {

constexpr const char* kText = "reserve deposit 5% # desk\n";
constexpr const char* kOtherText = "reserve deposit 6% # desk\n";

/** \brief Runs the tool against the operators' interface of one instance over
 * the loopback interface. */
class OperatorsFixture
{
public:
  OperatorsFixture()
  {
    mInstances.mInstances = {
      { { "zagreb-1", "zagreb", 1 }, InstanceHealth::Alive, false, 4 },
      { { "sisak-1", "sisak", 2 }, InstanceHealth::Suspected, true, 3 }
    };
    Endpoint endpoint;
    endpoint.mAnnouncement.mName = "runner-1";
    endpoint.mAnnouncement.mService = "booking";
    endpoint.mAnnouncement.mAddress = "127.0.0.1:9";
    endpoint.mAnnouncement.mSlots = 8;
    endpoint.mDataCentre = "zagreb";
    mEndpoints.mEndpoints = { endpoint };
    REQUIRE(mServer.Start());
    mUrl = "http://127.0.0.1:" + std::to_string(mServer.Port());
    mTool.mEnvironment["ALMONDSPOKE_OPERATORS"] = mUrl;
    mTool.mEnvironment["USER"] = "ana";
  }

  int RunWithInput(const std::string& aInput,
                   const std::vector<std::string>& aArguments)
  {
    mTool.mIn.clear();
    mTool.mIn.str(aInput);
    return mTool.Run(aArguments);
  }

  int Apply(const char* aText, const std::string& aBase, const std::string& aId)
  {
    return RunWithInput(
      aText, { "rules", "apply", "-", "--base", aBase, "--request-id", aId });
  }

  ManualClock mClock;
  RulesPublisher mPublisher{ mClock };
  ConfigurationStateMachine mMachine{ {}, mPublisher };
  FakeReplicator mReplicator{ mMachine };
  ConfigurationController mController{ mReplicator,
                                       mMachine,
                                       mPublisher,
                                       mClock };
  FakeInstanceView mInstances;
  FakeEndpointView mEndpoints;
  DecisionLog mDecisions{ mClock, 100 };
  FakeVotersService mVoters;
  OperatorServer mServer{ {},         mController, mVoters,
                          mInstances, mEndpoints,  mDecisions };
  tool::CurlHttpClient mHttp;
  ToolFixture mTool{ mHttp };
  std::string mUrl;
};

}

TEST_CASE("Operators: apply, show, diff, rollback, history and explain")
{
  OperatorsFixture fixture;
  ToolFixture& tool = fixture.mTool;
  REQUIRE(fixture.Apply(kText, "0", "a") == 0);
  CHECK(tool.Out() == "version 1 is accepted\n");

  CHECK(fixture.RunWithInput(kOtherText, { "rules", "diff", "-" }) == 0);
  CHECK(tool.Out() ==
        "- reserve deposit 5% # desk\n+ reserve deposit 6% # desk\n");
  CHECK(tool.Err() == "2 lines differ from version 1\n");

  REQUIRE(fixture.Apply(kOtherText, "1", "b") == 0);
  CHECK(tool.Run({ "rules", "show" }) == 0);
  CHECK(tool.Out() == kOtherText);
  CHECK(tool.Err() == "version 2\n");

  CHECK(tool.Run({ "rules", "rollback", "1", "--base", "2" }) == 0);
  CHECK(tool.Run({ "rules", "show", "--json" }) == 0);
  const auto shown = nlohmann::json::parse(tool.Out());
  CHECK(shown["version"] == 3);
  CHECK(shown["text"] == kText);

  CHECK(tool.Run({ "rules", "history", "--json" }) == 0);
  const auto history = nlohmann::json::parse(tool.Out())["changes"];
  REQUIRE(history.size() == 3);
  CHECK(history[0]["rollbackOf"] == 1);
  CHECK(history[0]["author"] == "ana");
  CHECK(history[2]["requestId"] == "a");

  CHECK(tool.Run({ "rules", "explain", "deposit" }) == 0);
  CHECK(tool.Out() ==
        "deposit goes before all others until it has 5% of the slots, "
        "whatever else floods in; idle ones are kept free but for "
        "up to half, which serve other kinds with a reserve. "
        "[line 1: desk]\n");
  CHECK(tool.Run({ "rules", "show", "--version", "9" }) == 1);
}

TEST_CASE(
  "Operators: a version conflict gives exit code 5 and the other change")
{
  OperatorsFixture fixture;
  REQUIRE(fixture.Apply(kText, "0", "a") == 0);
  CHECK(fixture.Apply(kOtherText, "0", "b") == 5);
  CHECK(fixture.mTool.Err() ==
        "almondspoke: version-conflict: version 1 on the same base 0 was made "
        "by 'ana' (request id 'a'); version 1 is in force\n");
  CHECK(fixture.Apply(kText, "0", "a") == 0);
  CHECK(fixture.mTool.Out() == "version 1 is accepted\n");
}

TEST_CASE(
  "Operators: without a quorum a change fails or its outcome is unknown")
{
  OperatorsFixture fixture;
  fixture.mReplicator.mFailure = Error(ErrorKind::NoQuorum, "no majority");
  CHECK(fixture.Apply(kText, "0", "a") == 6);
  CHECK(fixture.mTool.Err().find("no-quorum") != std::string::npos);
  fixture.mReplicator.mFailure = Error(ErrorKind::OutcomeUnknown, "no answer");
  CHECK(fixture.Apply(kText, "0", "a") == 4);
  CHECK(fixture.mTool.Err().find("--request-id a") != std::string::npos);
}

TEST_CASE("Operators: lists, status and decisions")
{
  OperatorsFixture fixture;
  ToolFixture& tool = fixture.mTool;
  CHECK(tool.Run({ "instances", "list" }) == 0);
  CHECK(tool.Out() ==
        "name      dataCentre  health     draining  rulesVersion\n"
        "zagreb-1  zagreb      alive      false     4\n"
        "sisak-1   sisak       suspected  true      3\n");
  CHECK(tool.Run({ "endpoints", "list", "--json" }) == 0);
  CHECK(nlohmann::json::parse(tool.Out())["endpoints"][0]["slots"] == 8);
  CHECK(tool.Run({ "endpoints", "list", "--service", "none", "--json" }) == 0);
  CHECK(nlohmann::json::parse(tool.Out())["endpoints"].empty());
  CHECK(tool.Run({ "status", "--json" }) == 0);
  CHECK(nlohmann::json::parse(tool.Out())["ready"] == false);

  fixture.mDecisions.Record(
    { "r1", "pick", { "runner-1", "runner-2" }, "runner-1", "free slot", 0 });
  CHECK(tool.Run({ "explain", "r1", "--json" }) == 0);
  const auto decision = nlohmann::json::parse(tool.Out())["decisions"][0];
  CHECK(decision["choice"] == "runner-1");
  CHECK(decision["candidates"].size() == 2);
  CHECK(tool.Run({ "explain", "r2" }) == 1);
  CHECK(tool.Err().find("'r2'") != std::string::npos);
}

TEST_CASE("Operators: invalid input gets an error and the server keeps running")
{
  OperatorsFixture fixture;
  const auto send = [&fixture](const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aBody) {
    tool::HttpRequest request;
    request.mMethod = aMethod;
    request.mUrl = fixture.mUrl + aPath;
    request.mBody = aBody;
    const auto response = fixture.mHttp.Send(request);
    REQUIRE(response);
    return response.value();
  };
  CHECK(send("GET", "/rpc", "").mStatus == 405);
  CHECK(ErrorFromJson(send("POST", "/other", "").mBody)->Kind() ==
        ErrorKind::NotFound);
  const auto rpc = [](const char* aMethod, const char* aParameters) {
    return std::string(R"({"jsonrpc":"2.0","id":1,"method":")") + aMethod +
           R"(","params":)" + aParameters + "}";
  };
  const std::string bodies[] = {
    "",
    "{",
    "7",
    "[]",
    "{}",
    R"({"jsonrpc":"2.0","id":1,"method":"rules.apply"})",
    rpc("no.such", "{}"),
    rpc("rules.apply", "[1,2]"),
    rpc("rules.apply", R"({"requestId":7})"),
    rpc("rules.show", R"({"version":-1})"),
    rpc("rules.check", R"({"text":null})"),
    std::string(100000, '['),
  };
  for (const std::string& body : bodies) {
    CAPTURE(body.substr(0, 80));
    const tool::HttpResponse response = send("POST", "/rpc", body);
    CHECK(response.mStatus == 200);
    const auto answer = nlohmann::json::parse(response.mBody, nullptr, false);
    REQUIRE(answer.is_object());
    CHECK(answer.contains("error"));
  }
  // The message is that of the error kind, without the library's own message.
  const auto refused = nlohmann::json::parse(
    send("POST", "/rpc", rpc("rules.show", R"({"version":-1})")).mBody);
  const nlohmann::json& error = refused.at("error");
  CHECK(error.at("message") == error.at("data").at("error").at("message"));
  CHECK(fixture.mTool.Run({ "status" }) == 0);
}

TEST_CASE("Operators: voters are shown, added and removed")
{
  OperatorsFixture fixture;
  ToolFixture& tool = fixture.mTool;
  CoreStatus& status = fixture.mVoters.mStatus;
  status.mLeader = "zagreb-1";
  status.mConfiguration.mVersion = 4;
  status.mConfiguration.mVoters = { { "zagreb-1", 1 }, { "zagreb-2", 2 } };
  status.mConfiguration.mPendingVoters = { "sisak-1" };
  CHECK(tool.Run({ "voters", "show", "--json" }) == 0);
  const auto shown = nlohmann::json::parse(tool.Out());
  CHECK(shown["version"] == 4);
  CHECK(shown["voters"][0]["leads"] == true);
  CHECK(shown["voters"][1]["state"] == "voter");
  CHECK(shown["voters"][2]["state"] == "joining");
  CHECK(tool.Run({ "voters", "show" }) == 0);
  CHECK(tool.Out().find("sisak-1") != std::string::npos);
  CHECK(tool.Err() == "version 4\n");

  fixture.mVoters.mAnswer = std::uint64_t{ 5 };
  CHECK(tool.Run({ "voters", "add", "riga-1", "--base", "4" }) == 0);
  CHECK(tool.Out() == "version 5 is accepted\n");
  CHECK(tool.Run({ "voters", "remove", "riga-1", "--base", "5" }) == 0);
  const auto& changes = fixture.mVoters.mChanges;
  REQUIRE(changes.size() == 2);
  CHECK(changes[0] == VoterChange{ "new-id", "ana", "riga-1", false, 4 });
  CHECK(changes[0].mAuthor == "ana");
  CHECK(changes[1] == VoterChange{ "new-id", "ana", "riga-1", true, 5 });

  fixture.mVoters.mGroup = "submissions-riga";
  const std::vector<std::string> inGroup = { "--group", "submissions-riga" };
  CHECK(tool.Run({ "voters", "show", "--json", inGroup[0], inGroup[1] }) == 0);
  CHECK(nlohmann::json::parse(tool.Out())["group"] == "submissions-riga");
  CHECK(
    tool.Run(
      { "voters", "add", "riga-2", "--base", "5", inGroup[0], inGroup[1] }) ==
    0);
  CHECK(changes.size() == 3);
  CHECK(tool.Run({ "voters", "show" }) != 0);
  CHECK(tool.Err().find("no group 'configuration'") != std::string::npos);
  fixture.mVoters.mGroup = "configuration";

  CHECK(tool.Run({ "voters", "add", "riga-1" }) == 2);
  CHECK(tool.Err().find("`almondspoke voters show`") != std::string::npos);
  fixture.mVoters.mAnswer = Error(ErrorKind::OutcomeUnknown, "late");
  CHECK(tool.Run({ "voters", "add", "riga-1", "--base", "4" }) == 4);
  CHECK(tool.Err().find("--request-id new-id") != std::string::npos);
}

TEST_CASE("Operators: an address in use is reported as invalid settings")
{
  OperatorsFixture fixture;
  OperatorServerOptions options;
  options.mPort = fixture.mServer.Port();
  OperatorServer second(options,
                        fixture.mController,
                        fixture.mVoters,
                        fixture.mInstances,
                        fixture.mEndpoints,
                        fixture.mDecisions);
  const Result<void> started = second.Start();
  REQUIRE_FALSE(started);
  CHECK(started.error().Kind() == ErrorKind::InvalidSettings);
  CHECK(started.error().Message().find(std::to_string(options.mPort)) !=
        std::string::npos);
}

TEST_CASE("Operators: a stopped instance is reported as unreachable")
{
  OperatorsFixture fixture;
  fixture.mServer.Stop();
  CHECK(fixture.Apply(kText, "0", "a") == 6);
  CHECK(fixture.mTool.Err().find("peer-unreachable") != std::string::npos);
}

TEST_CASE("Operators: an invalid JSON-RPC response gives an unknown outcome")
{
  for (const char* body : { "", "{}", "not json", R"({"result":7})" }) {
    CAPTURE(body);
    FakeHttpClient http;
    http.QueueResponse(200, body);
    tool::OperatorClient client(
      http, "http://127.0.0.1:1", std::chrono::seconds(1));
    const auto result = client.Call("status", nlohmann::ordered_json::object());
    REQUIRE_FALSE(result);
    CHECK(result.error().Kind() == ErrorKind::OutcomeUnknown);
  }
}

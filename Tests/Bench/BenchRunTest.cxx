#include <atomic>
#include <fstream>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Bench/BenchRun.h"
#include "Support/ChildProcess.h"
#include "Support/ContextThreads.h"
#include "Support/ReservedPorts.h"
#include "Tool/FakeHttpClient.h"
#include "Tool/ToolFixture.h"
#include "Transport/HttpServer.h"

using namespace almondspoke;
using namespace almondspoke::bench;
using namespace almondspoke::testing;

namespace {

/** \brief Simulates an instance that responds to each request immediately and
 * writes a start log like that of a stand-in. */
class FakeInstance : public HttpHandler
{
public:
  explicit FakeInstance(std::string aStartLog)
    : mStartLog(std::move(aStartLog))
  {
    REQUIRE_FALSE(mServer.Open().has_error());
  }
  ~FakeInstance() override { mThreads.Stop(); }
  FakeInstance(const FakeInstance&) = delete;
  FakeInstance& operator=(const FakeInstance&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

  void Handle(HttpExchangePtr aExchange) override
  {
    const HttpRequest& request = aExchange->Request();
    if (request.mMethod == "GET") {
      aExchange->Respond(JsonResponse(200, "{}"));
      return;
    }
    const std::string id = "id-" + std::to_string(++mRequests);
    const std::string* key = FindField(request.mFields, "Idempotency-Key");
    const bool isRefused = mRequests % 4 == 0;
    if (!isRefused || mStartsRefusedRequests) {
      std::ofstream(mStartLog, std::ios::app)
        << id + "/1 " + (key == nullptr ? "-" : *key) + " runner-1 1\n";
    }
    HttpResponse response =
      isRefused ? ErrorResponse(Error(ErrorKind::QueueFull, "full"))
                : JsonResponse(200, "{}");
    response.mFields.push_back({ "Almondspoke-Request-Id", id });
    aExchange->Respond(std::move(response));
  }

  /** Records a start for requests that it reports as not run. */
  std::atomic<bool> mStartsRefusedRequests{ false };
  std::atomic<int> mRequests{ 0 };

private:
  const std::string mStartLog;
  // One thread, so that lines of the log are not interleaved.
  ContextThreads mThreads{ 1 };
  HttpServer mServer{ mThreads.Context(), HttpServerOptions{}, *this };
};

std::string
WriteExperiment(const TemporaryFolder& aFolder)
{
  std::string path = aFolder.File("e.ini");
  std::ofstream(path) << "[experiment]\nname = tiny\nduration = 300ms\n"
                         "[stream quotes]\nservice = desk\nrate = 200\n"
                         "repeat = idempotent\n"
                         "[stream deposits]\nservice = desk\nrate = 200\n"
                         "repeat = keyed\n";
  return path;
}

RunResult
RunTiny(const TemporaryFolder& aFolder, const FakeInstance& aInstance)
{
  Experiment experiment = LoadExperiment(WriteExperiment(aFolder)).value();
  experiment.mTargets = { aInstance.Address() };
  experiment.mStartLogs = { aFolder.File("started") };
  const std::ofstream empty(aFolder.File("started"), std::ios::app);
  Result<RunResult> result =
    RunExperiment(experiment, "run", [](const RunProgress&) {});
  REQUIRE_FALSE(result.has_error());
  return std::move(result.value());
}

}

TEST_CASE(
  "Bench: each arrival has exactly one result that matches the start log")
{
  const TemporaryFolder folder;
  FakeInstance instance(folder.File("started"));
  const RunResult result = RunTiny(folder, instance);
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  for (const StreamCounts& stream : result.mStreams) {
    offered += stream.mOffered;
    const auto error = stream.mErrors.find("queue-full");
    REQUIRE(error != stream.mErrors.end());
    CHECK(error->second.mRan == Ran::No);
    refused += error->second.mCount;
  }
  CHECK(offered == static_cast<std::uint64_t>(instance.mRequests));
  CHECK(offered == refused + result.CompletedInRun());
  REQUIRE(result.mAudit);
  CHECK(result.mAudit->mStarts == result.CompletedInRun());
  CHECK_FALSE(result.IsContradicted());
}

TEST_CASE("Bench: a started request reported as `ran: no` is detected")
{
  const TemporaryFolder folder;
  FakeInstance instance(folder.File("started"));
  instance.mStartsRefusedRequests = true;
  const RunResult result = RunTiny(folder, instance);
  std::uint64_t refused = 0;
  for (const StreamCounts& stream : result.mStreams) {
    refused += stream.mErrors.at("queue-full").mCount;
  }
  REQUIRE(refused > 0);
  CHECK(result.mAudit->mFalseNotRun == refused);
  CHECK(result.IsContradicted());
}

TEST_CASE("Bench: an unreachable instance is skipped")
{
  const TemporaryFolder folder;
  FakeInstance instance(folder.File("started"));
  Experiment experiment = LoadExperiment(WriteExperiment(folder)).value();
  const std::string closed =
    "127.0.0.1:" + std::to_string(ReservePorts(1).front());
  experiment.mTargets = { closed, instance.Address() };
  const auto result =
    RunExperiment(experiment, "run", [](const RunProgress&) {});
  REQUIRE_FALSE(result.has_error());
  for (const StreamCounts& stream : result.value().mStreams) {
    CHECK(stream.mErrors.count("instance-unreachable") == 0);
  }

  experiment.mTargets = { closed };
  const auto unreachable =
    RunExperiment(experiment, "run", [](const RunProgress&) {});
  REQUIRE(unreachable.has_error());
  CHECK(unreachable.error().Kind() == ErrorKind::EndpointUnreachable);
}

TEST_CASE("Bench command: exit codes, JSON and the progress line")
{
  const TemporaryFolder folder;
  const std::string log = folder.File("started");
  const std::ofstream empty(log, std::ios::app);
  FakeInstance instance(log);
  FakeHttpClient http;
  ToolFixture tool(http);
  const std::string file = WriteExperiment(folder);

  CHECK(tool.Run({ "bench" }) == 2);
  CHECK(tool.Run({ "bench", "/no/such.ini" }) == 2);
  CHECK(tool.Run({ "bench", file }) == 2);
  CHECK(tool.Err().find("no targets (allowed: ") != std::string::npos);

  const std::vector<std::string> run = { "bench",       file,
                                         "--targets",   instance.Address(),
                                         "--start-log", log };
  CHECK(tool.Run(run) == 0);
  CHECK(tool.Err().empty());
  CHECK(tool.Out().find("0 untrue `ran: no`") != std::string::npos);

  std::vector<std::string> json = run;
  json.emplace_back("--json");
  tool.mIsTerminal = true;
  CHECK(tool.Run(json) == 0);
  CHECK(tool.Err().find("\rtiny: ") != std::string::npos);
  CHECK(nlohmann::json::parse(tool.Out()).at("experiment") == "tiny");

  instance.mStartsRefusedRequests = true;
  CHECK(tool.Run(run) == 1);
  CHECK(tool.Err().find("the start logs contradict the answers") !=
        std::string::npos);
}

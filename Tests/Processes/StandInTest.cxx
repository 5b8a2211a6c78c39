#include <algorithm>
#include <csignal>
#include <regex>

#include <catch2/catch.hpp>

#include "Support/BlockingClient.h"
#include "Support/ChildProcess.h"
#include "Support/Eventually.h"
#include "Support/ReservedPorts.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

/** \brief A single worker that the test calls as the dispatcher does. */
struct Worker
{
  explicit Worker(const std::vector<std::string>& aFlags = { "--enforce" })
    : mProcess(Command(aFlags), mFolder.File("log"))
  {
    Eventually([this] {
      std::smatch match;
      const std::string output = mProcess.Output();
      if (std::regex_search(output, match, std::regex("listening (\\S+)\n"))) {
        mAddress = match[1];
      }
      return !mAddress.empty();
    });
  }

  std::future<AttemptResult> Begin(const std::string& aTarget,
                                   const std::string& aBody = "{}",
                                   HttpFields aFields = {})
  {
    return mClient.Begin(BlockingClient::MakeAttempt(
      mAddress, "POST", aTarget, aBody, std::move(aFields)));
  }

  AttemptResult Post(const std::string& aTarget,
                     const std::string& aBody = "{}",
                     HttpFields aFields = {})
  {
    return Begin(aTarget, aBody, std::move(aFields)).get();
  }

  std::string Started() const { return ReadFile(mFolder.File("started")); }

  std::vector<std::string> Command(const std::vector<std::string>& aFlags) const
  {
    std::vector<std::string> command{ ALMONDSPOKE_STANDIN_PATH,
                                      "--name",
                                      "worker-1",
                                      "--cores",
                                      "4",
                                      "--memory",
                                      "1000",
                                      "--start-log",
                                      mFolder.File("started"),
                                      "--concurrency-file",
                                      mFolder.File("highest") };
    command.insert(command.end(), aFlags.begin(), aFlags.end());
    return command;
  }

  TemporaryFolder mFolder;
  ChildProcess mProcess;
  BlockingClient mClient;
  std::string mAddress;
};

}

TEST_CASE("Stand-in: a worker refuses expired leases and what goes beyond its "
          "cores and memory, without running them")
{
  Worker worker;
  REQUIRE_FALSE(worker.mAddress.empty());
  auto running =
    worker.Begin("/tasks/a1?workMs=60000", R"({"cores":3,"memoryBytes":600})");
  REQUIRE(Eventually([&] { return !worker.Started().empty(); }));
  const std::string started = worker.Started();
  CHECK(started.find("a1 - worker-1 ") == 0);

  const auto isRefused = [](const AttemptResult& aResult) {
    return aResult.mOutcome == TransferOutcome::RefusedNotRun;
  };
  CHECK(isRefused(worker.Post(
    "/tasks/a7", "{}", { { "Almondspoke-Lease-Remaining-Ms", "0" } })));
  CHECK(isRefused(worker.Post("/tasks/a2", R"({"cores":2})")));
  CHECK(isRefused(worker.Post("/tasks/a3", R"({"memoryBytes":500})")));
  CHECK(isRefused(worker.Post(
    "/tasks/a4", "{}", { { "Almondspoke-Lease-Expiry-Ms", "1" } })));
  CHECK(isRefused(worker.Post(
    "/tasks/a5", "{}", { { "Almondspoke-Lease-Expiry-Ms", "soon" } })));
  CHECK(worker.Started() == started);

  CHECK(worker.Post("/tasks/a6", R"({"cores":1,"memoryBytes":400})")
          .mResponse.mStatus == 200);
  CHECK(worker.Started() != started);
  CHECK(ReadFile(worker.mFolder.File("highest")) == "2\n");

  CHECK(worker.Post("/tasks/a1/checkpoint").mResponse.mStatus == 200);
  CHECK(worker.Post("/tasks/a1/throttle").mResponse.mStatus == 200);
  CHECK(worker.Post("/tasks/a1/other").mResponse.mStatus == 404);
  CHECK(worker.Post("/tasks/a9/stop").mResponse.mStatus == 404);
  CHECK(worker.Post("/tasks/a1/stop").mResponse.mStatus == 200);
  CHECK(running.get().mResponse.mStatus == 409);
}

TEST_CASE(
  "Stand-in: a task whose lease ends while it waits to start is refused "
  "without running")
{
  Worker worker({ "--enforce", "--start-delay-ms", "300" });
  REQUIRE_FALSE(worker.mAddress.empty());
  CHECK(worker
          .Post("/tasks/late",
                "{}",
                { { "Almondspoke-Lease-Remaining-Ms", "100" } })
          .mOutcome == TransferOutcome::RefusedNotRun);
  CHECK(worker.Started().empty());
  CHECK(worker
          .Post("/tasks/timely",
                "{}",
                { { "Almondspoke-Lease-Remaining-Ms", "60000" } })
          .mResponse.mStatus == 200);
  CHECK(worker.Started().find("timely ") == 0);
}

TEST_CASE("Stand-in: a task that is sent twice shows twice in the start log")
{
  Worker worker;
  REQUIRE_FALSE(worker.mAddress.empty());
  auto first = worker.Begin("/tasks/a1?workMs=60000");
  auto second = worker.Begin("/tasks/a1?workMs=60000");
  CHECK(Eventually([&] {
    const std::string log = worker.Started();
    return std::count(log.begin(), log.end(), '\n') == 2;
  }));
  CHECK(Eventually([&] {
    worker.Post("/tasks/a1/stop");
    const auto isDone = [](const std::future<AttemptResult>& aOne) {
      return aOne.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    };
    return isDone(first) && isDone(second);
  }));
}

TEST_CASE("Stand-in: SIGTERM refuses new work and finishes its own")
{
  Worker worker;
  REQUIRE_FALSE(worker.mAddress.empty());
  auto running = worker.Begin("/tasks/a1?workMs=2000", "work");
  REQUIRE(Eventually([&] { return !worker.Started().empty(); }));
  worker.mProcess.Signal(SIGTERM);
  CHECK(Eventually([&] {
    return worker.Post("/tasks/later").mOutcome ==
           TransferOutcome::RefusedNotRun;
  }));
  CHECK(running.get().mResponse.mBody == "work");
  CHECK(worker.mProcess.Wait() == 0);
}

TEST_CASE("Stand-in: a forwarded port delays, and falls silent for the open "
          "connections only")
{
  Worker worker;
  REQUIRE_FALSE(worker.mAddress.empty());
  const std::string forwarded =
    "127.0.0.1:" + std::to_string(ReservePorts(1).front());
  ChildProcess forwarder(
    { ALMONDSPOKE_STANDIN_PATH,
      "--forward",
      std::string(forwarded).append("=").append(worker.mAddress),
      "--delay-us",
      "2000" },
    worker.mFolder.File("forwarder"));
  REQUIRE(
    Eventually([&] { return forwarder.Output() == "forwarding 1 links\n"; }));
  const auto attempt = [&] {
    return BlockingClient::MakeAttempt(forwarded, "POST", "/tasks/a1");
  };
  const auto begin = std::chrono::steady_clock::now();
  CHECK(worker.mClient.Call(attempt()).mResponse.mStatus == 200);
  CHECK(std::chrono::steady_clock::now() - begin >=
        std::chrono::milliseconds(4));

  forwarder.Signal(SIGUSR1);
  CHECK(Eventually([&] {
    HttpAttempt silent = attempt();
    silent.mDeadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    return worker.mClient.Call(std::move(silent)).mOutcome ==
           TransferOutcome::MayHaveRun;
  }));
  HttpAttempt fresh = attempt();
  fresh.mUseNewConnection = true;
  const AttemptResult answered = worker.mClient.Call(std::move(fresh));
  CHECK(answered.mResponse.mStatus == 200);
}

TEST_CASE("Stand-in: fails if it cannot forward a port")
{
  for (const char* value : { "127.0.0.1:1", "localhost:1=127.0.0.1:2", "=" }) {
    const TemporaryFolder folder;
    ChildProcess process({ ALMONDSPOKE_STANDIN_PATH, "--forward", value },
                         folder.File("log"));
    CHECK(process.Wait() == 2);
    CHECK(process.Output() == "almondspoke-standin: invalid value '" +
                                std::string(value) +
                                "' of --forward (allowed: IP:PORT=IP:PORT)\n");
  }
}

TEST_CASE("Stand-in: with --queue, work beyond the slots waits in order and "
          "withdrawn work never starts")
{
  Worker worker({ "--queue", "--slots", "1" });
  REQUIRE_FALSE(worker.mAddress.empty());
  const auto starts = [&](const std::string& aAttempt) {
    return worker.Started().find(aAttempt + ' ') != std::string::npos;
  };
  const auto isHighest = [&](const std::string& aCount) {
    return Eventually(
      [&] { return ReadFile(worker.mFolder.File("highest")) == aCount; });
  };
  auto first = worker.Begin("/tasks/a1?workMs=60000");
  REQUIRE(Eventually([&] { return starts("a1"); }));
  auto withdrawn = worker.Begin("/tasks/a2");
  const auto withdrawnId = worker.mClient.Last();
  REQUIRE(isHighest("2\n"));
  auto last = worker.Begin("/tasks/a3");
  REQUIRE(isHighest("3\n"));
  worker.mClient.Client().Cancel(withdrawnId);
  withdrawn.get();
  CHECK_FALSE(starts("a3"));
  // The withdrawal reaches the stand-in over a separate connection.
  REQUIRE(Eventually([&] {
    worker.Post("/tasks/a1/stop");
    return starts("a3");
  }));
  CHECK(last.get().mResponse.mStatus == 200);
}

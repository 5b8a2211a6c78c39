#include <csignal>

#include <catch2/catch.hpp>

#include "Processes/Installation.h"
#include "Support/ReservedPorts.h"
#include "Support/TestConnection.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

std::optional<ErrorKind>
KindOf(const HttpResponse& aResponse)
{
  const auto error = ErrorFromJson(aResponse.mBody);
  return error ? std::make_optional(error->Kind()) : std::nullopt;
}

const HttpFields kIdempotent = { { "Almondspoke-Idempotent", "true" } };

}

TEST_CASE("Request: bodies of 0 B to 16 MB are passed on unchanged")
{
  Installation installation(1);
  installation.AddStandIn("runner-1");
  REQUIRE(installation.AllReady());
  std::string tooLarge;
  tooLarge.resize(16777217, 'x');
  for (const std::size_t size : { 0, 1, 1000, 65536, 1048577, 16777216 }) {
    INFO(size << " bytes");
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
      body[i] = static_cast<char>(i * 37 + i / 256);
    }
    const HttpResponse response = installation.Post(0, "/echo", body);
    CHECK(response.mStatus == 200);
    CHECK((response.mBody == body));
  }
  CHECK(KindOf(installation.Post(0, "/echo", tooLarge)) ==
        ErrorKind::BodyTooLarge);
}

TEST_CASE("Request: what an endpoint does decides the answer, and nothing "
          "that may have run is sent again")
{
  struct Row
  {
    std::string mFate;
    HttpFields mFields;
    ErrorKind mKind;
    long mStarts;
  };
  Installation installation(1);
  installation.AddStandIn("runner-1");
  installation.AddStandIn("runner-2");
  REQUIRE(installation.AllReady());
  const std::vector<Row> rows = {
    { "close", {}, ErrorKind::ConnectionLost, 1 },
    { "close", kIdempotent, ErrorKind::ConnectionLost, 2 },
    { "refuse", {}, ErrorKind::EndpointRefused, 0 },
    { "fail", {}, ErrorKind::TaskFailed, 1 },
    { "fail", kIdempotent, ErrorKind::TaskFailed, 1 },
    { "silent",
      { { "Almondspoke-Timeout-Ms", "300" } },
      ErrorKind::EndpointTimeout,
      1 },
  };
  for (const Row& row : rows) {
    INFO(row.mFate);
    const long before = installation.Started();
    const HttpResponse response =
      installation.Post(0, "/x?fate=" + row.mFate, "work", row.mFields);
    CHECK(KindOf(response) == row.mKind);
    CHECK(installation.Started() - before == row.mStarts);
  }
}

TEST_CASE("Request: idempotent work at an endpoint that has gone silent is "
          "answered by another one")
{
  constexpr int kLearned = 30;
  constexpr int kMostRequests = 50;
  const std::string counter = "service_attempts_stopped_total";
  Installation installation(1);
  installation.AddStandIn("runner-1");
  REQUIRE(installation.AllReady());
  for (int i = 0; i < kLearned; ++i) {
    REQUIRE(installation.Post(0, "/x", "work", kIdempotent).mStatus == 200);
  }
  CHECK(installation.Metric(0, counter) == 0);
  installation.AddStandIn("runner-2", { "--silent", "1" });
  REQUIRE(installation.AllReady());
  int sent = 0;
  while (installation.Metric(0, counter) == 0 && sent < kMostRequests) {
    ++sent;
    CHECK(installation.Post(0, "/x", "work", kIdempotent).mStatus == 200);
  }
  CHECK(installation.Metric(0, counter) == 1);
}

TEST_CASE("Request: a key's work starts once, whatever is resubmitted")
{
  Installation installation(1);
  installation.AddStandIn("runner-1");
  REQUIRE(installation.AllReady());
  const HttpFields key = { { "Idempotency-Key", "zagreb:1" } };
  constexpr int kResubmissions = 10;
  std::vector<std::future<AttemptResult>> pending;
  pending.reserve(kResubmissions);
  for (int i = 0; i < kResubmissions; ++i) {
    pending.push_back(installation.Begin(0, "/x?workMs=200", "work", key));
  }
  for (auto& one : pending) {
    CHECK(one.get().mResponse.mBody == "work");
  }
  CHECK(installation.Post(0, "/x?workMs=200", "work", key).mBody == "work");
  CHECK(installation.Started() == 1);
  CHECK(KindOf(installation.Post(0, "/x?workMs=200", "other", key)) ==
        ErrorKind::KeyConflict);
  const HttpFields lost = { { "Idempotency-Key", "zagreb:2" } };
  for (int i = 0; i < 2; ++i) {
    CHECK(KindOf(installation.Post(0, "/x?fate=close", "work", lost)) ==
          ErrorKind::ConnectionLost);
  }
  CHECK(installation.Started() == 2);
}

TEST_CASE("Request: queued work is not started after its caller disconnects")
{
  Installation installation(1);
  installation.AddStandIn("runner-1", { "--slots", "1" });
  REQUIRE(installation.AllReady());
  auto running = installation.Begin(0, "/x?workMs=1500", "first");
  REQUIRE(Eventually([&] { return installation.Started() == 1; }));
  const std::string& address = installation.Address(0);
  TestConnection leaving(static_cast<std::uint16_t>(
    std::stoi(address.substr(address.find(':') + 1))));
  leaving.Send("POST /v1/services/echo/x HTTP/1.1\r\nHost: a\r\n"
               "Content-Length: 4\r\n\r\nwork");
  auto queued = installation.Begin(0, "/x", "second");
  REQUIRE(Eventually(
    [&] { return installation.Metric(0, "requests_in_progress") == 4; }));
  leaving.Close();
  CHECK(running.get().mResponse.mBody == "first");
  CHECK(queued.get().mResponse.mBody == "second");
  CHECK(installation.Started() == 2);
}

TEST_CASE("Request: an endpoint that dies leaves the outcome unknown")
{
  Installation installation(1);
  ChildProcess& runner = installation.AddStandIn("runner-1");
  REQUIRE(installation.AllReady());
  auto pending = installation.Begin(0, "/x?workMs=30000", "work");
  REQUIRE(Eventually([&] { return installation.Started() == 1; }));
  runner.Signal(SIGKILL);
  CHECK(KindOf(pending.get().mResponse) == ErrorKind::ConnectionLost);
}

TEST_CASE("Request: an endpoint that leaves gets no new work and finishes its "
          "own")
{
  Installation installation(1);
  ChildProcess& leaving = installation.AddStandIn("runner-1");
  REQUIRE(installation.AllReady());
  auto pending = installation.Begin(0, "/x?workMs=1500", "work");
  REQUIRE(Eventually([&] { return installation.Started() == 1; }));
  leaving.Signal(SIGTERM);
  CHECK(Eventually([&] {
    return KindOf(installation.Post(0, "/x", "new")) == ErrorKind::NoEndpoint;
  }));
  CHECK(pending.get().mResponse.mBody == "work");
  CHECK(leaving.Wait() == 0);
}

TEST_CASE("Request: the only live instance of three keeps serving without a "
          "majority, within its share of the slots")
{
  constexpr int kRequests = 8;
  Installation installation(3);
  installation.AddStandIn("runner-1", { "--slots", "8" });
  REQUIRE(installation.AllReady());
  for (const int killed : { 0, 1 }) {
    installation.Instance(killed).Signal(SIGKILL);
    installation.Instance(killed).Wait();
  }
  CHECK(Eventually([&] {
    return installation.Metric(2, "slots_without_grantor") == 1 &&
           installation.Metric(2, "endpoint_slots") == 2;
  }));
  std::vector<std::future<AttemptResult>> pending;
  pending.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    pending.push_back(
      installation.Begin(2, "/x?workMs=200", "body " + std::to_string(i)));
  }
  for (int i = 0; i < kRequests; ++i) {
    CHECK(pending[i].get().mResponse.mBody == "body " + std::to_string(i));
  }
  CHECK(KindOf(installation.Post(
          2, "/x", "work", { { "Idempotency-Key", "zagreb:late" } })) ==
        ErrorKind::KeyStateUnknown);
  CHECK(installation.Started() == kRequests);
}

TEST_CASE("Start: invalid settings end the program with exit code 2 before it "
          "listens")
{
  TemporaryFolder folder;
  const std::string settings = folder.File("a.ini");
  const std::string valid =
    "[instance]\nname = a\ndata-centre = zagreb\n[endpoints]\n"
    "allowed-networks = 127.0.0.0/8\n[listen]\ncallers = 127.0.0.1:" +
    std::to_string(ReservePorts(1)[0]) + '\n';
  const auto run = [&](const std::string& aMore) {
    WriteFile(settings, valid + aMore);
    ChildProcess daemon({ ALMONDSPOKED_PATH, "--settings", settings },
                        folder.File("log" + std::to_string(aMore.size())));
    CHECK(daemon.Wait() == 2);
    return daemon.Output();
  };
  CHECK(run("unknown = 1\n").find("a.ini:8: unknown key 'unknown'") !=
        std::string::npos);
  CHECK(run("[drain]\nbalancer-delay = 5\n").find("units ms, s, m, h") !=
        std::string::npos);
  CHECK(run("[instance]\ndata-folder = /no/such\n").find("a.ini:9:") !=
        std::string::npos);
  Installation other(1);
  CHECK(run("operators = " + other.Address(0) + '\n')
          .find("a.ini:8: cannot listen on " + other.Address(0)) !=
        std::string::npos);
}

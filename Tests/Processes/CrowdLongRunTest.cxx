#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Processes/CrowdChecks.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

/** \brief What each connection of a crowd sends in the long run. */
struct Shape
{
  std::string mName;
  std::string mBytes;
};

std::vector<Shape>
HttpShapes(const std::string& aTarget, std::size_t aBodyBytes)
{
  constexpr std::size_t kLong = 2 * kMebibyte;
  const std::string start = PostStart(aTarget);
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  const auto complete = [&start](const std::string& aBody) {
    return start + "Content-Length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  };
  const std::string values = "[" + Repeated("{},", aBodyBytes / 3 - 1) + "{}]";
  return {
    { "one chunk that stops short", UnfinishedPost(aTarget, aBodyBytes) },
    { "chunks of one byte", chunked + Repeated("1\r\nx\r\n", aBodyBytes - 1) },
    { "an announced body that stops short",
      start + "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n" +
        std::string(aBodyBytes - 1, 'x') },
    { "blank lines", Repeated("\r\n", kLong / 2) },
    { "header fields", start + Repeated("X-A: b\r\n", kLong / 8) },
    { "a target", "GET /" + std::string(kLong, 'a') },
    { "a chunk extension", chunked + "1;" + std::string(kLong, 'e') },
    { "trailers", chunked + "0\r\n" + Repeated("X-A: b\r\n", kLong / 8) },
    { "nested lists", Repeated(complete(std::string(aBodyBytes / 2, '[')), 4) },
    { "very many values", Repeated(complete(values), 4) },
    { "requests without a body",
      Repeated("GET " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n\r\n",
               20000) },
    { "small bodies",
      Repeated(complete(R"({"spec":"x","steps":[{"count":1,"cpu":500}]})"),
               5000) },
    { "waiting best-effort jobs",
      Repeated(
        complete(
          R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":500}]})"),
        200) },
    { "no request", std::string(kLong, '\x01') },
  };
}

std::vector<Shape>
PeerShapes()
{
  constexpr std::size_t kLong = 2 * kMebibyte;
  const std::string hello = HelloOf("127.0.0.9:9");
  const auto frames = [](PeerChannel aChannel, const std::string& aPayload) {
    return Repeated(EncodePeerFrame({ aChannel, 0, aPayload }), 2000);
  };
  return {
    { "an unfinished frame", UnfinishedFrame(kLong) },
    { "an unfinished frame after a hello", hello + UnfinishedFrame(kLong) },
    { "empty frames", hello + std::string(kLong, '\0') },
    { "frames of calls that are none", hello + frames(PeerChannel::Rpc, "x") },
    { "frames of consensus that are none",
      hello + frames(PeerChannel::Consensus, std::string(1000, 'x')) },
    { "frames to no component",
      hello + frames(PeerChannel::Endpoints, std::string(1000, 'x')) },
  };
}

}

// The long run, started by hand: each shape at each address, at the size of the
// smallest machines, with all connections and more.
TEST_CASE("Crowds: all shapes at all addresses of the smallest machines",
          "[.long]")
{
  constexpr ProcessLimits kSmallestMachines{ 120, 256, 3075, 0 };
  constexpr std::size_t kBodyBytes = 262144;
  constexpr int kConnections = 1500;
  DispatchProcesses processes(kSmallestMachines);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  const auto play = [&](const std::string& aWhere,
                        LoopbackAddress aAddress,
                        const std::vector<Shape>& aShapes,
                        HeldPeak& aPeak) {
    for (const Shape& shape : aShapes) {
      {
        SocketCrowd crowd(aAddress, kConnections, shape.mBytes);
        SendFor(crowd, aPeak);
        CHECK(processes.AnswersOrdinaryRequests());
      }
      WARN(aWhere << ", " << shape.mName << ": gateway "
                  << gateway.Bytes() / kMebibyte << " MiB, coordinator "
                  << coordinator.Bytes() / kMebibyte << " MiB at most");
      CheckHeld(
        processes.Gateway(), gateway, kSmallestMachines.mGatewayMegabytes);
      CheckHeld(processes.Coordinator(),
                coordinator,
                kSmallestMachines.mCoordinatorMegabytes);
    }
  };
  play("callers",
       { processes.CallersPort() },
       HttpShapes("/p/j", kBodyBytes),
       gateway);
  play("readiness",
       { processes.ReadinessPort() },
       HttpShapes("/", kBodyBytes),
       gateway);
  play("gateway's metrics",
       { processes.GatewayMetricsPort() },
       HttpShapes("/metrics", kBodyBytes),
       gateway);
  play("control",
       { processes.ControlPort() },
       HttpShapes("/instances/x/heartbeat", kBodyBytes),
       coordinator);
  play("coordinator's metrics",
       { processes.CoordinatorMetricsPort() },
       HttpShapes("/metrics", kBodyBytes),
       coordinator);
  play("gateway's peers",
       { processes.PeerPort(), kSecondLoopback },
       PeerShapes(),
       gateway);
  play(
    "coordinator's peers", { processes.PeerPort() }, PeerShapes(), coordinator);
}

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <signal.h>

#include <catch2/catch.hpp>

#include "Processes/CrowdChecks.h"
#include "Processes/DispatchProcesses.h"
#include "Processes/Installation.h"
#include "Processes/SocketCrowd.h"

using namespace almondspoke;
using namespace almondspoke::testing;

// Crowds and bounds are fixed: the bounds are the limits that the settings, or
// the system, give the processes.

namespace {

constexpr std::size_t kGatewayMegabytes = 64;
constexpr std::size_t kCoordinatorMegabytes = 96;
constexpr ProcessLimits kSmallMachines{ kGatewayMegabytes,
                                        kCoordinatorMegabytes,
                                        0,
                                        0 };

/** Descriptors in the cases whose crowds take all connections. */
constexpr std::size_t kFewDescriptors = 400;
constexpr ProcessLimits kFewConnections{ kGatewayMegabytes,
                                         kCoordinatorMegabytes,
                                         kFewDescriptors,
                                         0 };
constexpr int kMoreThanAllConnections = 300;

std::string
LargeJobs(int aCount)
{
  constexpr std::size_t kSpecBytes = 4000;
  constexpr std::size_t kSteps = 20;
  std::string steps = Repeated(R"({"count":1,"cpu":500},)", kSteps);
  steps.pop_back();
  std::string jobs;
  for (int i = 0; i < aCount; ++i) {
    const std::string body = R"({"spec":")" + std::string(kSpecBytes, 's') +
                             R"(","steps":[)" + steps + "]}";
    jobs += PostStart("/p/j" + std::to_string(i)) +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
  }
  return jobs;
}

/** Whether an ordinary request is answered while a crowd keeps its connections
 * open. The tries end before connections that are idle are closed. */
template<typename Request>
bool
IsAnsweredBeside(SocketCrowd& aCrowd, Request aRequest)
{
  constexpr int kTries = 8;
  for (int i = 0; i < kTries; ++i) {
    aCrowd.Reopen();
    aCrowd.Send();
    if (aRequest()) {
      return true;
    }
  }
  return false;
}

constexpr std::chrono::seconds kTryTimeout{ 3 };

/** Takes all connections of an address without sending anything. */
void
CheckAnsweredBesideSilence(const DispatchProcesses& aProcesses,
                           std::uint16_t aPort,
                           const std::string& aTarget,
                           ChildProcess& aProcess)
{
  REQUIRE(aProcesses.IsReady());
  SocketCrowd crowd({ aPort }, kMoreThanAllConnections, "");
  const std::string address = "127.0.0.1:" + std::to_string(aPort);
  CHECK(IsAnsweredBeside(crowd, [&] {
    return DispatchProcesses::GetAnew(address, aTarget, kTryTimeout) == 200;
  }));
  CHECK(OpenDescriptors(aProcess.Id()) <= kFewDescriptors);
  CHECK(aProcess.IsRunning());
}

/** Sends jobs without reading their answers, and after that bodies that are
 * never completed. */
void
CheckJobsAndBodies(DispatchProcesses& aProcesses,
                   int aConnections,
                   std::size_t aMegabytes)
{
  constexpr int kJobs = 50;
  constexpr std::size_t kBodyBytes = 262144;
  HeldPeak gateway(aProcesses.Gateway().Id(), GatewayAddresses(aProcesses));
  {
    SocketCrowd jobs(
      { aProcesses.CallersPort() }, aConnections, LargeJobs(kJobs));
    SendAll({ &jobs }, gateway);
    CHECK(aProcesses.AnswersOrdinaryRequests());
  }
  CHECK(aProcesses.AnswersOrdinaryRequests());
  SocketCrowd bodies({ aProcesses.CallersPort() },
                     aConnections,
                     UnfinishedPost("/p/j", kBodyBytes));
  SendAll({ &bodies }, gateway);
  CHECK(aProcesses.AnswersOrdinaryRequests());
  CheckHeld(aProcesses.Gateway(), gateway, aMegabytes);
}

/** Sends to the addresses of a process that does not run at that time. */
void
SendToFrozen(ChildProcess& aProcess,
             const std::vector<SocketCrowd*>& aCrowds,
             HeldPeak& aPeak)
{
  aProcess.Signal(SIGSTOP);
  SendAll(aCrowds, aPeak);
  aProcess.Signal(SIGCONT);
}

/** Sends while a process runs a tenth of the time. */
void
SendToStarved(ChildProcess& aProcess,
              const std::vector<SocketCrowd*>& aCrowds,
              HeldPeak& aPeak)
{
  constexpr int kTurns = 60;
  constexpr std::chrono::milliseconds kStopped{ 90 };
  constexpr std::chrono::milliseconds kRunning{ 10 };
  for (int i = 0; i < kTurns; ++i) {
    aProcess.Signal(SIGSTOP);
    for (SocketCrowd* crowd : aCrowds) {
      crowd->Send();
    }
    std::this_thread::sleep_for(kStopped);
    aPeak.Sample();
    aProcess.Signal(SIGCONT);
    std::this_thread::sleep_for(kRunning);
  }
}

}

TEST_CASE("Crowds: frames between instances that are never completed")
{
  constexpr int kConnections = 60;
  constexpr std::size_t kBytes = 2 * kMebibyte;
  DispatchProcesses processes(kSmallMachines);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  SocketCrowd toGateway({ processes.PeerPort(), kSecondLoopback },
                        kConnections,
                        UnfinishedFrame(kBytes));
  SendAll({ &toGateway }, gateway);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Gateway(), gateway, kGatewayMegabytes);
  SocketCrowd toCoordinator(
    { processes.PeerPort() }, kConnections, UnfinishedFrame(kBytes));
  SendAll({ &toCoordinator }, coordinator);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Coordinator(), coordinator, kCoordinatorMegabytes);
}

TEST_CASE("Crowds: unfinished frames of senders that name themselves")
{
  constexpr int kConnections = 60;
  constexpr std::size_t kBytes = 2 * kMebibyte;
  DispatchProcesses processes(kSmallMachines);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  const std::string bytes = HelloOf("127.0.0.9:9") + UnfinishedFrame(kBytes);
  SocketCrowd toGateway(
    { processes.PeerPort(), kSecondLoopback }, kConnections, bytes);
  SendAll({ &toGateway }, gateway);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Gateway(), gateway, kGatewayMegabytes);
  SocketCrowd toCoordinator({ processes.PeerPort() }, kConnections, bytes);
  SendAll({ &toCoordinator }, coordinator);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Coordinator(), coordinator, kCoordinatorMegabytes);
}

TEST_CASE("Crowds: connections to the port between instances")
{
  constexpr int kConnections = 450;
  DispatchProcesses processes(kFewConnections);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  SocketCrowd toGateway({ processes.PeerPort(), kSecondLoopback },
                        kConnections,
                        HelloOf("127.0.0.9:9"));
  SendAll({ &toGateway }, gateway);
  CHECK(OpenDescriptors(processes.Gateway().Id()) <= kFewDescriptors);
  SocketCrowd toCoordinator(
    { processes.PeerPort() }, kConnections, HelloOf("127.0.0.9:9"));
  SendAll({ &toCoordinator }, coordinator);
  CHECK(OpenDescriptors(processes.Coordinator().Id()) <= kFewDescriptors);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Gateway(), gateway, kGatewayMegabytes);
  CheckHeld(processes.Coordinator(), coordinator, kCoordinatorMegabytes);
}

TEST_CASE("Crowds: many jobs in one write and what they leave behind")
{
  DispatchProcesses processes(kSmallMachines);
  REQUIRE(processes.IsReady());
  constexpr int kConnections = 300;
  CheckJobsAndBodies(processes, kConnections, kGatewayMegabytes);
}

TEST_CASE("Crowds: many jobs while the coordinator is frozen")
{
  constexpr ProcessLimits kSmallestMachines{ 120, 256, 3075, 0 };
  constexpr int kConnections = 1500;
  constexpr int kJobs = 50;
  DispatchProcesses processes(kSmallestMachines);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  {
    SocketCrowd jobs(
      { processes.CallersPort() }, kConnections, LargeJobs(kJobs));
    processes.Coordinator().Signal(SIGSTOP);
    SendAll({ &jobs }, gateway);
    processes.Coordinator().Signal(SIGCONT);
  }
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Gateway(), gateway, kSmallestMachines.mGatewayMegabytes);
  CheckJobsAndBodies(
    processes, kConnections, kSmallestMachines.mGatewayMegabytes);
}

TEST_CASE("Crowds: silent connections take all places of the callers")
{
  DispatchProcesses processes(kFewConnections);
  CheckAnsweredBesideSilence(
    processes, processes.CallersPort(), "/p/", processes.Gateway());
}

TEST_CASE("Crowds: silent connections take all places of the workers")
{
  DispatchProcesses processes(kFewConnections);
  CheckAnsweredBesideSilence(
    processes, processes.ControlPort(), "/config/get", processes.Coordinator());
}

TEST_CASE("Crowds: silent connections take all places of the probes")
{
  DispatchProcesses processes(kFewConnections);
  CheckAnsweredBesideSilence(
    processes, processes.ReadinessPort(), "/", processes.Gateway());
}

TEST_CASE("Crowds: requests without end whose answers nobody reads")
{
  constexpr std::size_t kRequests = 20000;
  DispatchProcesses processes(kFewConnections);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  {
    SocketCrowd crowd(
      { processes.CallersPort() },
      kMoreThanAllConnections,
      Repeated("GET /p/ HTTP/1.1\r\nHost: h.example\r\n\r\n", kRequests));
    CHECK(IsAnsweredBeside(crowd, [&] {
      gateway.Sample();
      return DispatchProcesses::GetAnew(
               processes.Callers(), "/p/", kTryTimeout) == 200;
    }));
    gateway.Sample();
  }
  CheckHeld(processes.Gateway(), gateway, kGatewayMegabytes);
  SocketCrowd crowd(
    { processes.ControlPort() },
    kMoreThanAllConnections,
    Repeated("GET /config/get HTTP/1.1\r\nHost: h.example\r\n\r\n", kRequests));
  CHECK(IsAnsweredBeside(crowd, [&] {
    coordinator.Sample();
    return DispatchProcesses::GetAnew(
             processes.Control(), "/config/get", kTryTimeout) == 200;
  }));
  coordinator.Sample();
  CheckHeld(processes.Coordinator(), coordinator, kCoordinatorMegabytes);
}

TEST_CASE("Crowds: a gateway that is frozen or starved")
{
  constexpr std::size_t kBodyBytes = 262144;
  DispatchProcesses processes(kSmallMachines);
  REQUIRE(processes.IsReady());
  HeldPeak held(processes.Gateway().Id(), GatewayAddresses(processes));
  {
    const std::string body = UnfinishedPost("/p/j", kBodyBytes);
    SocketCrowd callers({ processes.CallersPort() }, 600, body);
    SocketCrowd readiness({ processes.ReadinessPort() }, 200, body);
    SocketCrowd metrics({ processes.GatewayMetricsPort() }, 200, body);
    SocketCrowd peers({ processes.PeerPort(), kSecondLoopback },
                      300,
                      UnfinishedFrame(kBodyBytes));
    const std::vector<SocketCrowd*> crowds{
      &callers, &readiness, &metrics, &peers
    };
    SendToFrozen(processes.Gateway(), crowds, held);
    SendToStarved(processes.Gateway(), crowds, held);
  }
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Gateway(), held, kGatewayMegabytes);
}

TEST_CASE("Crowds: a coordinator that is frozen or starved")
{
  constexpr std::size_t kBodyBytes = 262144;
  DispatchProcesses processes(kSmallMachines);
  REQUIRE(processes.IsReady());
  HeldPeak held(processes.Coordinator().Id(), CoordinatorAddresses(processes));
  {
    const std::string body =
      UnfinishedPost("/instances/x/heartbeat", kBodyBytes);
    SocketCrowd control({ processes.ControlPort() }, 900, body);
    SocketCrowd metrics({ processes.CoordinatorMetricsPort() }, 200, body);
    SocketCrowd peers(
      { processes.PeerPort() }, 300, UnfinishedFrame(kBodyBytes));
    const std::vector<SocketCrowd*> crowds{ &control, &metrics, &peers };
    SendToFrozen(processes.Coordinator(), crowds, held);
    SendToStarved(processes.Coordinator(), crowds, held);
  }
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Coordinator(), held, kCoordinatorMegabytes);
}

TEST_CASE("Crowds: processes without limits in their settings")
{
  constexpr std::size_t kMachineMegabytes = 192;
  constexpr int kConnections = 300;
  ProcessLimits limits;
  limits.mMaxDataBytes = BytesOf(kMachineMegabytes);
  DispatchProcesses processes(limits);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  SocketCrowd reports({ processes.ControlPort() },
                      kConnections,
                      UnfinishedPost("/instances/x/heartbeat", 4 * kMebibyte));
  SendAll({ &reports }, coordinator);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Coordinator(), coordinator, kMachineMegabytes);
  SocketCrowd jobs({ processes.CallersPort() },
                   kConnections,
                   UnfinishedPost("/p/j", kMebibyte));
  SendAll({ &jobs }, gateway);
  CHECK(processes.AnswersOrdinaryRequests());
  CheckHeld(processes.Gateway(), gateway, kMachineMegabytes);
}

TEST_CASE("Crowds: an instance without limits in its settings")
{
  constexpr std::size_t kMachineMegabytes = 512;
  constexpr int kConnections = 1500;
  constexpr std::size_t kBodyBytes = 512 * kKibibyte;
  Installation installation(1, {}, BytesOf(kMachineMegabytes));
  installation.AddStandIn("echo");
  REQUIRE(installation.AllReady());
  const std::string& address = installation.Address(0);
  const auto port = static_cast<std::uint16_t>(
    std::stoi(address.substr(address.find(':') + 1)));
  HeldPeak held(installation.Instance(0).Id(), { { port } });
  SocketCrowd crowd(
    { port }, kConnections, UnfinishedPost("/v1/services/echo/x", kBodyBytes));
  SendAll({ &crowd }, held);
  CHECK(Eventually([&] { return installation.Get(0, "/readyz") == 200; }));
  CHECK(Eventually(
    [&] { return installation.Post(0, "/x", "small").mStatus == 200; }));
  CheckHeld(installation.Instance(0), held, kMachineMegabytes);
}

TEST_CASE("Crowds: frames and operators' calls at an instance")
{
  constexpr std::size_t kMegabytes = 96;
  constexpr int kConnections = 60;
  constexpr std::size_t kFrameBytes = 2 * kMebibyte;
  constexpr std::size_t kCallBytes = 7 * kMebibyte;
  const int operators = ReservePorts(1).front();
  Installation installation(
    1,
    "[limits]\nbody = 4MiB\nunfinished-requests = 24MiB\n[listen]\noperators = "
    "127.0.0.1:" +
      std::to_string(operators) + "\n");
  installation.AddStandIn("echo");
  REQUIRE(installation.AllReady());
  const LoopbackAddress operatorAddress{ static_cast<std::uint16_t>(
    operators) };
  HeldPeak held(installation.Instance(0).Id(),
                { operatorAddress, { installation.PeerPort(0) } });
  SocketCrowd frames(
    { installation.PeerPort(0) }, kConnections, UnfinishedFrame(kFrameBytes));
  SendAll({ &frames }, held);
  CheckHeld(installation.Instance(0), held, kMegabytes);
  SocketCrowd calls(
    operatorAddress, kConnections, UnfinishedPost("/rpc", kCallBytes));
  SendAll({ &calls }, held);
  CHECK(Eventually(
    [&] { return installation.Post(0, "/x", "small").mStatus == 200; }));
  CheckHeld(installation.Instance(0), held, kMegabytes);
}

TEST_CASE("Crowds: processes that are stopped beside a crowd")
{
  constexpr std::size_t kRequests = 20000;
  DispatchProcesses processes(kFewConnections);
  REQUIRE(processes.IsReady());
  HeldPeak gateway(processes.Gateway().Id(), GatewayAddresses(processes));
  HeldPeak coordinator(processes.Coordinator().Id(),
                       CoordinatorAddresses(processes));
  SocketCrowd callers(
    { processes.CallersPort() }, kMoreThanAllConnections, LargeJobs(50));
  SocketCrowd workers(
    { processes.ControlPort() },
    kMoreThanAllConnections,
    Repeated("GET /config/get HTTP/1.1\r\nHost: h.example\r\n\r\n", kRequests));
  SendFor(callers, gateway);
  SendFor(workers, coordinator);
  processes.Gateway().Signal(SIGTERM);
  processes.Coordinator().Signal(SIGTERM);
  SendFor(callers, gateway);
  SendFor(workers, coordinator);
  CHECK(processes.Gateway().Wait() == 0);
  CHECK(processes.Coordinator().Wait() == 0);
  CHECK(gateway.Bytes() <= BytesOf(kGatewayMegabytes));
  CHECK(coordinator.Bytes() <= BytesOf(kCoordinatorMegabytes));
}

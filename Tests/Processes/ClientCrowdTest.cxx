#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Processes/ClientCrowd.h"
#include "Processes/DispatchProcesses.h"
#include "Processes/Installation.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

constexpr std::size_t kKibPerMebibyte = kMebibyte / kKibibyte;

/** The settings of the processes state these limits in MB. */
constexpr std::size_t kGatewayMegabytes = 48;
constexpr std::size_t kCoordinatorMegabytes = 64;
constexpr std::size_t kDaemonMegabytes = 96;

void
CheckProcess(ChildProcess& aProcess, std::size_t aMegabytes)
{
  REQUIRE(aProcess.IsRunning());
  CHECK(PeakMemoryKib(aProcess.Id()) <= aMegabytes * kKibPerMebibyte);
  CHECK(OpenDescriptors(aProcess.Id()) <= kMaxOpenDescriptors);
}

}

// Guards against unfinished requests that together exceed the memory of a
// gateway.
TEST_CASE("Clients: a gateway keeps within its memory and answers")
{
  DispatchProcesses processes({ kGatewayMegabytes, kCoordinatorMegabytes });
  REQUIRE(processes.IsReady());
  for (const ClientBehaviour& behaviour :
       ClientBehaviours("/p/job", kMebibyte)) {
    INFO(behaviour.mName);
    const ClientCrowd crowd(processes.CallersPort(), behaviour);
    CHECK(processes.AnswersOrdinaryRequests());
    CheckProcess(processes.Gateway(), kGatewayMegabytes);
    CheckProcess(processes.Coordinator(), kCoordinatorMegabytes);
  }
  // What the crowds sent may still be read for a moment. The leader takes or
  // refuses the job, depending on what it knows of the worker.
  CHECK(Eventually([&] {
    const int status = processes.Call(
      processes.Callers(), "POST", "/p/j", PaddedTo(kMebibyte, kJob));
    return status == 200 || status == 429;
  }));
  CheckProcess(processes.Gateway(), kGatewayMegabytes);
}

// Guards against unfinished requests that together exceed the memory of a
// coordinator.
TEST_CASE("Clients: a coordinator keeps within its memory and answers")
{
  constexpr std::size_t kMaxBodyBytes = 4 * kMebibyte;
  DispatchProcesses processes({ kGatewayMegabytes, kCoordinatorMegabytes });
  REQUIRE(processes.IsReady());
  for (const ClientBehaviour& behaviour :
       ClientBehaviours("/instances/x/heartbeat", kMaxBodyBytes)) {
    INFO(behaviour.mName);
    const ClientCrowd crowd(processes.ControlPort(), behaviour);
    CHECK(processes.AnswersOrdinaryRequests());
    CheckProcess(processes.Coordinator(), kCoordinatorMegabytes);
  }
  CHECK(Eventually([&] {
    return processes.Call(processes.Control(),
                          "POST",
                          "/instances/w/heartbeat",
                          PaddedTo(kMaxBodyBytes, kReport)) == 200;
  }));
  CheckProcess(processes.Coordinator(), kCoordinatorMegabytes);
}

// Guards against limits of a manifest that do not reach the gateways.
TEST_CASE("Clients: the limits of the manifest apply to callers only")
{
  DispatchProcesses processes({ kGatewayMegabytes, kCoordinatorMegabytes });
  REQUIRE(processes.IsReady());
  std::string manifest = kManifest;
  manifest.replace(manifest.find(":7,"), 3, ":8,");
  manifest.replace(manifest.rfind("{}"), 2, R"({"max_body_bytes":65536})");
  REQUIRE(processes.Call(
            processes.Control(), "POST", "/config/put", manifest) == 200);
  const std::string large = PaddedTo(65537, kJob);
  CHECK(Eventually([&] {
    return processes.Call(processes.Callers(), "POST", "/p/j", large) == 413;
  }));
  CHECK(processes.Call(processes.Control(),
                       "POST",
                       "/instances/w/heartbeat",
                       PaddedTo(65537, kReport)) == 200);
}

// Guards against unfinished requests that together exceed the memory of an
// instance of the product's own interface.
TEST_CASE("Clients: an instance keeps within its memory and answers")
{
  constexpr std::size_t kMaxBodyBytes = 4 * kMebibyte;
  Installation installation(
    1, "[limits]\nbody = 4MiB\nunfinished-requests = 24MiB\n");
  installation.AddStandIn("echo");
  REQUIRE(installation.AllReady());
  const std::string& address = installation.Address(0);
  const auto port = static_cast<std::uint16_t>(
    std::stoi(address.substr(address.find(':') + 1)));
  for (const ClientBehaviour& behaviour :
       ClientBehaviours("/v1/services/echo/x", kMaxBodyBytes)) {
    INFO(behaviour.mName);
    const ClientCrowd crowd(port, behaviour);
    CHECK(Eventually([&] { return installation.Get(0, "/readyz") == 200; }));
    CHECK(Eventually(
      [&] { return installation.Post(0, "/x", "small").mStatus == 200; }));
    CheckProcess(installation.Instance(0), kDaemonMegabytes);
  }
  CHECK(Eventually([&] {
    return installation.Post(0, "/x", std::string(kMaxBodyBytes, 'x'))
             .mStatus == 200;
  }));
  CheckProcess(installation.Instance(0), kDaemonMegabytes);
}

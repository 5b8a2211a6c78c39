#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Processes/ClientCrowd.h"
#include "Processes/Installation.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

constexpr std::size_t kKibPerMebibyte = 1024;
constexpr std::size_t kMebibyte = 1024UL * 1024UL;

/** The settings of the processes state these limits in MB. */
constexpr std::size_t kGatewayMegabytes = 48;
constexpr std::size_t kCoordinatorMegabytes = 64;
constexpr std::size_t kDaemonMegabytes = 96;

constexpr const char* kManifest =
  R"({"version":7,"routes":[{"name":"r1","host":"h.example",
  "path_prefix":"/p/","timeout_ms":1500,"target_latency_ms":60,"priority":1,
  "service":"s"}],"services":[{"name":"s"}],"limits":{}})";

constexpr const char* kReport =
  R"({"service":"s","address":"127.0.0.1:1","zone":"zagreb","version":"v1",
  "slots":8,"state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},
  "labels":[],"clock_ms":1,"sequence":1,"born":1})";

constexpr const char* kJob = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";

std::string
PaddedTo(std::size_t aBytes, const std::string& aText)
{
  return aText + std::string(aBytes - aText.size(), ' ');
}

/** \brief A gateway and a coordinator of a dispatch installation, as processes.
 */
class DispatchProcesses
{
public:
  DispatchProcesses()
  {
    const std::vector<int> ports = ReservePorts(4);
    const auto address = [&ports](std::size_t aIndex) {
      return "127.0.0.1:" + std::to_string(ports[aIndex]);
    };
    mCallers = address(1);
    mReadiness = address(2);
    mControl = address(3);
    mCallersPort = static_cast<std::uint16_t>(ports[1]);
    mControlPort = static_cast<std::uint16_t>(ports[3]);
    const std::string common =
      "data-centre = zagreb\npeer-port = " + std::to_string(ports[0]) +
      "\nseeds = 127.0.0.1:1\n";
    std::filesystem::create_directories(mFolder.File("data"));
    Start(mCoordinator,
          "coordinator",
          "[node]\nname = c\nrole = coordinator\naddress = 127.0.0.1\n" +
            common + "control = " + mControl +
            "\ndata-folder = " + mFolder.File("data") +
            "\nmay-found = true\ntolerated-losses = 0\nmemory-mb = " +
            std::to_string(kCoordinatorMegabytes) + "\n");
    Start(mGateway,
          "gateway",
          "[node]\nname = g\nrole = gateway\naddress = 127.0.0.2\n" + common +
            "callers = " + mCallers + "\nreadiness = " + mReadiness +
            "\nmemory-mb = " + std::to_string(kGatewayMegabytes) + "\n");
    mReady = Eventually([this] {
               return Call(mControl, "POST", "/config/put", kManifest) == 200;
             }) &&
             AnswersOrdinaryRequests();
  }

  int Call(const std::string& aAddress,
           const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aBody = {})
  {
    const AttemptResult result = mClient.Call(
      aAddress, aMethod, aTarget, aBody, { { "Host", "h.example" } });
    return result.mOutcome == TransferOutcome::Answered
             ? result.mResponse.mStatus
             : 0;
  }

  bool AnswersOrdinaryRequests()
  {
    return Eventually([this] { return Call(mReadiness, "GET", "/") == 200; }) &&
           Eventually([this] { return Call(mCallers, "GET", "/p/") == 200; }) &&
           Eventually([this] {
             return Call(mControl, "POST", "/instances/w/heartbeat", kReport) ==
                    200;
           }) &&
           Eventually(
             [this] { return Call(mControl, "GET", "/config/get") == 200; });
  }

  bool IsReady() const { return mReady; }
  ChildProcess& Gateway() { return *mGateway; }
  ChildProcess& Coordinator() { return *mCoordinator; }
  std::uint16_t CallersPort() const { return mCallersPort; }
  std::uint16_t ControlPort() const { return mControlPort; }
  const std::string& Callers() const { return mCallers; }
  const std::string& Control() const { return mControl; }

private:
  void Start(std::optional<ChildProcess>& aProcess,
             const std::string& aName,
             const std::string& aSettings)
  {
    WriteFile(mFolder.File(aName + ".ini"), aSettings);
    aProcess.emplace(std::vector<std::string>{ ALMONDSPOKED_PATH,
                                               "--settings",
                                               mFolder.File(aName + ".ini") },
                     mFolder.File(aName + ".log"));
  }

  TemporaryFolder mFolder;
  BlockingClient mClient;
  std::string mCallers;
  std::string mReadiness;
  std::string mControl;
  std::uint16_t mCallersPort = 0;
  std::uint16_t mControlPort = 0;
  std::optional<ChildProcess> mCoordinator;
  std::optional<ChildProcess> mGateway;
  bool mReady = false;
};

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
  DispatchProcesses processes;
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
  DispatchProcesses processes;
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
  DispatchProcesses processes;
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

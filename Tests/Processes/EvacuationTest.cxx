// Evacuation of a data centre, with coordinators that run as processes.
#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Support/BlockingClient.h"
#include "Support/ChildProcess.h"
#include "Support/Eventually.h"
#include "Support/ReservedPorts.h"

using namespace almondspoke;
using almondspoke::testing::BlockingClient;
using almondspoke::testing::ChildProcess;
using almondspoke::testing::Eventually;
using almondspoke::testing::ReservePorts;
using almondspoke::testing::TemporaryFolder;
using almondspoke::testing::WriteFile;

namespace {

constexpr int kCoordinators = 3;

/** \brief Three coordinators, each on a loopback address of its own, since all
 * use the same ports. */
class Coordinators
{
public:
  Coordinators()
    : mPorts(ReservePorts(2))
    , mProcesses(kCoordinators)
  {
    for (int i = 0; i < kCoordinators; ++i) {
      Start(i, true);
    }
  }

  void Start(int aNumber, bool aMayFound)
  {
    const std::string name = "c" + std::to_string(aNumber);
    const std::string folder = mFolder.File(name + ".data");
    std::filesystem::create_directories(folder);
    WriteFile(mFolder.File(name + ".ini"),
              "[node]\nrole = coordinator\nname = " + name +
                "\ndata-centre = zagreb\naddress = " + HostOf(aNumber) +
                "\npeer-port = " + std::to_string(mPorts[0]) +
                "\nseeds = " + ControlOf(0) + ", " + ControlOf(1) + ", " +
                ControlOf(2) + "\ncontrol = " + ControlOf(aNumber) +
                "\ndata-folder = " + folder +
                "\ntolerated-losses = 1\ndata-centres = zagreb, sisak\n" +
                "may-found = " + (aMayFound ? "true" : "false") + "\n");
    mProcesses[static_cast<std::size_t>(aNumber)].emplace(
      std::vector<std::string>{
        ALMONDSPOKED_PATH, "--settings", mFolder.File(name + ".ini") },
      mFolder.File(name + ".log"));
  }

  void KillAll()
  {
    for (auto& process : mProcesses) {
      process->Signal(SIGKILL);
      process->Wait();
      process.reset();
    }
  }

  /** Returns the status of the response; zero if there is none. */
  int Send(int aNumber, const std::string& aMethod, const std::string& aTarget)
  {
    const AttemptResult result =
      mClient.Call(ControlOf(aNumber), aMethod, aTarget);
    mBody = result.mResponse.mBody;
    const bool isAnswered = result.mOutcome == TransferOutcome::Answered ||
                            result.mOutcome == TransferOutcome::RefusedNotRun;
    return isAnswered ? result.mResponse.mStatus : 0;
  }
  bool IsStored(int aNumber,
                const std::string& aMethod,
                const std::string& aTarget)
  {
    return Eventually([&] { return Send(aNumber, aMethod, aTarget) == 200; });
  }

  /** Returns the state of a data centre as a coordinator tells it; empty if it
   * does not within the time. */
  std::string StateOf(int aNumber, const std::string& aDataCentre)
  {
    if (!IsStored(aNumber, "GET", "/v1/data-centres")) {
      return {};
    }
    const nlohmann::json body = nlohmann::json::parse(mBody);
    for (const auto& entry : body.at("dataCentres")) {
      if (entry["name"] == aDataCentre) {
        return entry["state"];
      }
    }
    return "unknown";
  }

  std::string mBody;

private:
  static std::string HostOf(int aNumber)
  {
    return "127.0.0." + std::to_string(aNumber + 1);
  }
  std::string ControlOf(int aNumber) const
  {
    return HostOf(aNumber) + ":" + std::to_string(mPorts[1]);
  }

  const std::vector<int> mPorts;
  TemporaryFolder mFolder;
  std::vector<std::optional<ChildProcess>> mProcesses;
  BlockingClient mClient;
};

}

TEST_CASE(
  "Evacuation: what any coordinator has acknowledged is known after all "
  "were killed")
{
  Coordinators coordinators;
  REQUIRE(coordinators.IsStored(0, "POST", "/evacuate/sisak/start"));
  REQUIRE(
    coordinators.IsStored(1, "PUT", "/v1/data-centres/zagreb/evacuation"));
  REQUIRE(coordinators.IsStored(1, "POST", "/evacuate/sisak/start"));
  REQUIRE(coordinators.IsStored(2, "POST", "/evacuate/zagreb/stop"));
  CHECK(coordinators.Send(1, "POST", "/evacuate/nowhere/start") == 404);
  CHECK(coordinators.mBody.find("sisak, zagreb") != std::string::npos);
  coordinators.KillAll();
  for (int i = 0; i < kCoordinators; ++i) {
    coordinators.Start(i, false);
  }
  for (int i = 0; i < kCoordinators; ++i) {
    CHECK(coordinators.StateOf(i, "sisak") == "evacuated");
    CHECK(coordinators.StateOf(i, "zagreb") == "in-service");
  }
  REQUIRE(
    coordinators.IsStored(0, "DELETE", "/v1/data-centres/sisak/evacuation"));
  CHECK(coordinators.StateOf(2, "sisak") == "in-service");
}

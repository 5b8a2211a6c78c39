#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Support/BlockingClient.h"
#include "Support/ChildProcess.h"
#include "Support/Eventually.h"
#include "Support/ReservedPorts.h"

namespace almondspoke::testing {

inline constexpr const char* kManifest =
  R"({"version":7,"routes":[{"name":"r1","host":"h.example",
  "path_prefix":"/p/","timeout_ms":1500,"target_latency_ms":60,"priority":1,
  "service":"s"}],"services":[{"name":"s"}],"limits":{}})";

inline constexpr const char* kReport =
  R"({"service":"s","address":"127.0.0.1:1","zone":"zagreb","version":"v1",
  "slots":8,"state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},
  "labels":[],"clock_ms":1,"sequence":1,"born":1})";

inline constexpr const char* kJob =
  R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";

inline std::string
PaddedTo(std::size_t aBytes, const std::string& aText)
{
  return aText + std::string(aBytes - aText.size(), ' ');
}

/** \brief Memory and descriptors of the processes of a test. */
struct ProcessLimits
{
  /** Of the settings; zero if the settings state none. */
  std::size_t mGatewayMegabytes = 0;
  std::size_t mCoordinatorMegabytes = 0;
  std::size_t mMaxDescriptors = 0;
  /** As for ChildProcess, for each process. */
  std::size_t mMaxDataBytes = 0;
};

/** \brief A gateway and a coordinator of a dispatch installation, as processes.
 *
 * The gateway listens for callers and probes on 127.0.0.1, and for other
 * instances on 127.0.0.2; the coordinator listens on 127.0.0.1. */
class DispatchProcesses
{
public:
  explicit DispatchProcesses(const ProcessLimits& aLimits)
    : mLimits(aLimits)
  {
    const std::vector<int> ports = ReservePorts(6);
    const auto take = [&ports](std::size_t aIndex) {
      return static_cast<std::uint16_t>(ports[aIndex]);
    };
    mPeerPort = take(0);
    mCallersPort = take(1);
    mReadinessPort = take(2);
    mControlPort = take(3);
    mGatewayMetricsPort = take(4);
    mCoordinatorMetricsPort = take(5);
    const std::string common =
      "data-centre = zagreb\npeer-port = " + std::to_string(mPeerPort) +
      "\nseeds = 127.0.0.1:1\n";
    std::filesystem::create_directories(mFolder.File("data"));
    Start(mCoordinator,
          "coordinator",
          "[node]\nname = c\nrole = coordinator\naddress = 127.0.0.1\n" +
            common + "control = " + Control() +
            "\nmetrics = " + AddressOf(mCoordinatorMetricsPort) +
            "\ndata-folder = " + mFolder.File("data") +
            "\nmay-found = true\ntolerated-losses = 0\n" +
            LimitSettings(aLimits.mCoordinatorMegabytes));
    Start(mGateway,
          "gateway",
          "[node]\nname = g\nrole = gateway\naddress = 127.0.0.2\n" + common +
            "callers = " + Callers() +
            "\nmetrics = " + AddressOf(mGatewayMetricsPort) +
            "\nreadiness = " + AddressOf(mReadinessPort) + "\n" +
            LimitSettings(aLimits.mGatewayMegabytes));
    mReady = Eventually([this] {
               return Call(Control(), "POST", "/config/put", kManifest) == 200;
             }) &&
             AnswersOrdinaryRequests();
  }

  /** \return the status of the answer; zero if there is none. */
  int Call(const std::string& aAddress,
           const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aBody = {})
  {
    return StatusOf(mClient.Call(
      aAddress, aMethod, aTarget, aBody, { { "Host", "h.example" } }));
  }

  /** A GET on a connection of its own.
   * \return the status of the answer; zero if there is none in time. */
  static int GetAnew(const std::string& aAddress,
                     const std::string& aTarget,
                     std::chrono::seconds aTimeout)
  {
    BlockingClient client;
    HttpAttempt attempt = BlockingClient::MakeAttempt(
      aAddress, "GET", aTarget, {}, { { "Host", "h.example" } });
    attempt.mDeadline = std::chrono::steady_clock::now() + aTimeout;
    return StatusOf(client.Call(std::move(attempt)));
  }

  bool AnswersOrdinaryRequests()
  {
    return Eventually(
             [this] { return Call(Readiness(), "GET", "/") == 200; }) &&
           Eventually(
             [this] { return Call(Callers(), "GET", "/p/") == 200; }) &&
           Eventually([this] {
             return Call(
                      Control(), "POST", "/instances/w/heartbeat", kReport) ==
                    200;
           }) &&
           Eventually(
             [this] { return Call(Control(), "GET", "/config/get") == 200; });
  }

  bool IsReady() const { return mReady; }
  ChildProcess& Gateway() { return *mGateway; }
  ChildProcess& Coordinator() { return *mCoordinator; }
  std::uint16_t PeerPort() const { return mPeerPort; }
  std::uint16_t CallersPort() const { return mCallersPort; }
  std::uint16_t ReadinessPort() const { return mReadinessPort; }
  std::uint16_t ControlPort() const { return mControlPort; }
  std::uint16_t GatewayMetricsPort() const { return mGatewayMetricsPort; }
  std::uint16_t CoordinatorMetricsPort() const
  {
    return mCoordinatorMetricsPort;
  }
  std::string Callers() const { return AddressOf(mCallersPort); }
  std::string Readiness() const { return AddressOf(mReadinessPort); }
  std::string Control() const { return AddressOf(mControlPort); }

private:
  static int StatusOf(const AttemptResult& aResult)
  {
    return aResult.mOutcome == TransferOutcome::Answered
             ? aResult.mResponse.mStatus
             : 0;
  }

  static std::string AddressOf(std::uint16_t aPort)
  {
    return "127.0.0.1:" + std::to_string(aPort);
  }

  std::string LimitSettings(std::size_t aMegabytes) const
  {
    std::string settings;
    if (aMegabytes > 0) {
      settings += "memory-mb = " + std::to_string(aMegabytes) + "\n";
    }
    if (mLimits.mMaxDescriptors > 0) {
      settings +=
        "max-descriptors = " + std::to_string(mLimits.mMaxDescriptors) + "\n";
    }
    return settings;
  }

  void Start(std::optional<ChildProcess>& aProcess,
             const std::string& aName,
             const std::string& aSettings)
  {
    WriteFile(mFolder.File(aName + ".ini"), aSettings);
    aProcess.emplace(std::vector<std::string>{ ALMONDSPOKED_PATH,
                                               "--settings",
                                               mFolder.File(aName + ".ini") },
                     mFolder.File(aName + ".log"),
                     mLimits.mMaxDataBytes);
  }

  const ProcessLimits mLimits;
  TemporaryFolder mFolder;
  BlockingClient mClient;
  std::uint16_t mPeerPort = 0;
  std::uint16_t mCallersPort = 0;
  std::uint16_t mReadinessPort = 0;
  std::uint16_t mControlPort = 0;
  std::uint16_t mGatewayMetricsPort = 0;
  std::uint16_t mCoordinatorMetricsPort = 0;
  std::optional<ChildProcess> mCoordinator;
  std::optional<ChildProcess> mGateway;
  bool mReady = false;
};

}

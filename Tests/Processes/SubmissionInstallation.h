#pragma once

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <list>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Processes/WorkerCommand.h"
#include "StandIn/LinkForwarder.h"
#include "Support/BlockingClient.h"
#include "Support/ChildProcess.h"
#include "Support/ContextThreads.h"
#include "Support/Eventually.h"
#include "Support/MetricsText.h"
#include "Support/ReservedPorts.h"

namespace almondspoke::testing {

/** \brief Five instances in two data centres, each with its submission group,
 * that run as processes on the loopback address. The test forwards the links
 * between the data centres and can cut them.
 *
 * Instances 0, 1 and 2 are in zagreb, 3 and 4 in riga; instance 2 is the
 * witness of riga's group. */
class SubmissionInstallation
{
public:
  static constexpr int kInstances = 5;

  SubmissionInstallation()
    : mPorts(ReservePorts(2 * kInstances + kInstances * kInstances))
    , mProcesses(kInstances)
  {
    for (int i = 0; i < kInstances; ++i) {
      std::filesystem::create_directories(DataFolder(i));
      WriteSettings(i);
    }
    for (int i = 0; i < kInstances; ++i) {
      Start(i);
    }
  }
  ~SubmissionInstallation() { mLinkThreads.Stop(); }
  SubmissionInstallation(const SubmissionInstallation&) = delete;
  SubmissionInstallation& operator=(const SubmissionInstallation&) = delete;

  void Start(int aInstance)
  {
    mProcesses[aInstance] = std::make_unique<ChildProcess>(
      std::vector<std::string>{
        ALMONDSPOKED_PATH, "--settings", mFolder.File(Name(aInstance)) },
      mFolder.File(Name(aInstance) + ".log"));
  }

  void Kill(int aInstance)
  {
    Process(aInstance).Signal(SIGKILL);
    Process(aInstance).Wait();
  }

  ChildProcess& Process(int aInstance) { return *mProcesses[aInstance]; }

  /** Starts a worker of the service "work" in a data centre. */
  void AddWorker(const std::string& aDataCentre,
                 const std::string& aWorkMs,
                 const std::string& aCores = "8")
  {
    const std::string name = "worker-" + std::to_string(mWorkers.size());
    std::vector<std::string> command =
      WorkerCommand(name, aWorkMs, StartLog(), aCores);
    StartStandIn(std::move(command), name, aDataCentre);
  }

  /** Starts a runner of the service "work" in a data centre. */
  void AddRunner(const std::string& aDataCentre, std::uint32_t aSlots)
  {
    const std::string name = "runner-" + std::to_string(mWorkers.size());
    std::vector<std::string> command = { ALMONDSPOKE_STANDIN_PATH,
                                         "--name",
                                         name,
                                         "--service",
                                         "work",
                                         "--slots",
                                         std::to_string(aSlots),
                                         "--work-ms",
                                         "0",
                                         "--start-log",
                                         StartLog() };
    StartStandIn(std::move(command), name, aDataCentre);
  }

  /** Waits until each instance holds the leases to claim keys of both homes and
   * knows the workers of its data centre. */
  bool WaitUntilReady()
  {
    for (int i = 0; i < kInstances; ++i) {
      if (!WaitUntilReady(i)) {
        return false;
      }
    }
    return true;
  }
  bool WaitUntilReady(int aInstance)
  {
    return Eventually([&] {
      return Metric(aInstance, "executor_leases") == 2 &&
             Metric(aInstance, "endpoints") >=
               mWorkersOf[DataCentreOf(aInstance)];
    });
  }

  /** Returns the value of a metric, or -1 if the instance doesn't respond. */
  long Metric(int aInstance, const std::string& aName)
  {
    return MetricValue(Call(aInstance, "GET", "/metrics").mResponse.mBody,
                       aName)
      .value_or(-1);
  }

  static std::string JobBody(int aTasks)
  {
    nlohmann::json body = { { "service", "work" },
                            { "tasks", nlohmann::json::array() } };
    for (int i = 0; i < aTasks; ++i) {
      body["tasks"].push_back({ { "body", "task " + std::to_string(i) } });
    }
    return body.dump();
  }

  HttpResponse Submit(int aInstance,
                      const std::string& aKey,
                      const std::string& aBody,
                      int aWaitMs = 0)
  {
    return BeginSubmit(aInstance, aKey, aBody, aWaitMs).get().mResponse;
  }
  std::future<AttemptResult> BeginSubmit(int aInstance,
                                         const std::string& aKey,
                                         const std::string& aBody,
                                         int aWaitMs)
  {
    return mClient.Begin(
      BlockingClient::MakeAttempt(CallerAddress(aInstance),
                                  "POST",
                                  "/v1/jobs?wait=" + std::to_string(aWaitMs),
                                  aBody,
                                  { { "Idempotency-Key", aKey } }));
  }

  HttpResponse Show(int aInstance, const std::string& aKey, int aWaitMs = 0)
  {
    return Call(aInstance,
                "GET",
                "/v1/jobs/" + aKey + "?wait=" + std::to_string(aWaitMs))
      .mResponse;
  }

  HttpResponse Cancel(int aInstance, const std::string& aKey)
  {
    return Call(aInstance, "DELETE", "/v1/jobs/" + aKey).mResponse;
  }

  HttpResponse Request(int aInstance,
                       const std::string& aKey,
                       const std::string& aBody)
  {
    return mClient
      .Call(CallerAddress(aInstance),
            "POST",
            "/v1/services/work/x",
            aBody,
            { { "Idempotency-Key", aKey } })
      .mResponse;
  }

  /** Cuts or restores the links between the data centres. */
  void SetCut(bool aCut)
  {
    mConditions->mCutForward = aCut;
    mConditions->mCutBackward = aCut;
  }

  /** Returns the number of tasks that the workers have started; only those of
   * aKey unless that is empty. */
  long Started(const std::string& aKey = {}) const
  {
    long count = 0;
    for (const auto& [attempt, starts] : Starts()) {
      const std::string escaped = aKey.substr(0, aKey.find(':')) + "%3A" +
                                  aKey.substr(aKey.find(':') + 1) + "%23";
      if (aKey.empty() || attempt.compare(0, escaped.size(), escaped) == 0) {
        count += starts;
      }
    }
    return count;
  }

  /** Returns the highest number of times that any attempt was started. */
  long MostStarts() const
  {
    long most = 0;
    for (const auto& [attempt, starts] : Starts()) {
      most = std::max(most, starts);
    }
    return most;
  }

  /** Returns the field `state` of a job's answer. */
  static std::string StateOf(const HttpResponse& aResponse)
  {
    const auto body = nlohmann::json::parse(aResponse.mBody, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
  }
  /** Returns the fields `kind` and `ran` of an error, separated by a space. */
  static std::string ErrorOf(const HttpResponse& aResponse)
  {
    const auto body = nlohmann::json::parse(aResponse.mBody, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
      return "";
    }
    return body["error"].value("kind", "") + ' ' +
           body["error"].value("ran", "");
  }

  /** Begins a request to the service "work" with the body "work". */
  std::future<AttemptResult> BeginRequest(int aInstance,
                                          const std::string& aTarget,
                                          HttpFields aFields)
  {
    return mClient.Begin(
      BlockingClient::MakeAttempt(CallerAddress(aInstance),
                                  "POST",
                                  "/v1/services/work" + aTarget,
                                  "work",
                                  std::move(aFields)));
  }

private:
  /** Starts a stand-in that announces itself at all instances of a data
   * centre. */
  void StartStandIn(std::vector<std::string> aCommand,
                    const std::string& aName,
                    const std::string& aDataCentre)
  {
    for (int i = 0; i < kInstances; ++i) {
      if (DataCentreOf(i) == aDataCentre) {
        aCommand.insert(aCommand.end(), { "--instance", CallerAddress(i) });
      }
    }
    mWorkers.emplace_back(aCommand, mFolder.File(aName + ".log"));
    ++mWorkersOf[aDataCentre];
  }

  static std::string DataCentreOf(int aInstance)
  {
    constexpr int kFirstOfRiga = 3;
    return aInstance < kFirstOfRiga ? "zagreb" : "riga";
  }
  static std::string Name(int aInstance)
  {
    return DataCentreOf(aInstance) + '-' + std::to_string(aInstance);
  }
  std::string CallerAddress(int aInstance) const
  {
    return "127.0.0.1:" + std::to_string(mPorts[aInstance]);
  }
  std::string DataFolder(int aInstance) const
  {
    return mFolder.File(Name(aInstance) + ".data");
  }
  std::string StartLog() const { return mFolder.File("started"); }

  AttemptResult Call(int aInstance,
                     const std::string& aMethod,
                     const std::string& aTarget)
  {
    return mClient.Call(CallerAddress(aInstance), aMethod, aTarget);
  }

  std::map<std::string, long> Starts() const
  {
    std::map<std::string, long> starts;
    std::istringstream log(ReadFile(StartLog()));
    for (std::string line; std::getline(log, line);) {
      ++starts[line.substr(0, line.find(' '))];
    }
    return starts;
  }

  /** Returns the port at which one instance reaches another; starts a forwarder
   * for links between data centres. */
  int PortTo(int aFrom, int aTo)
  {
    const int port = mPorts[kInstances + aTo];
    if (DataCentreOf(aFrom) == DataCentreOf(aTo)) {
      return port;
    }
    using Endpoint = asio::ip::tcp::endpoint;
    const auto host = asio::ip::address_v4::loopback();
    const int linkPort = mPorts[(2 + aFrom) * kInstances + aTo];
    mLinks.push_back(std::make_unique<LinkForwarder>(
      mLinkThreads.Context(),
      Endpoint(host, static_cast<std::uint16_t>(linkPort)),
      Endpoint(host, static_cast<std::uint16_t>(port)),
      mConditions));
    if (!mLinks.back()->Start()) {
      throw std::runtime_error("cannot listen on the port of a link forwarder");
    }
    return linkPort;
  }

  void WriteSettings(int aInstance)
  {
    const auto address = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    std::string settings = "[instance]\nname = " + Name(aInstance);
    settings += "\ndata-centre = " + DataCentreOf(aInstance);
    settings += "\ndata-folder = " + DataFolder(aInstance);
    settings +=
      "\n[listen]\nthreads = 2\ncallers = " + CallerAddress(aInstance);
    settings += "\npeers = " + address(mPorts[kInstances + aInstance]);
    settings += "\n[endpoints]\nallowed-networks = 127.0.0.0/8\n[instances]\n";
    for (int i = 0; i < kInstances; ++i) {
      settings += Name(i) + " = " + DataCentreOf(i) + ' ' +
                  address(PortTo(aInstance, i)) + ' ' + CallerAddress(i) +
                  " disk\n";
    }
    settings += "[groups]\nsubmissions-zagreb = zagreb-0, zagreb-1, zagreb-2\n"
                "submissions-riga = riga-3, riga-4, zagreb-2\n"
                "[drain]\nbalancer-delay = 200ms\n";
    WriteFile(mFolder.File(Name(aInstance)), settings);
  }

  TemporaryFolder mFolder;
  const std::vector<int> mPorts;
  ContextThreads mLinkThreads{ 1 };
  std::shared_ptr<LinkConditions> mConditions =
    std::make_shared<LinkConditions>();
  std::vector<std::unique_ptr<LinkForwarder>> mLinks;
  BlockingClient mClient;
  std::vector<std::unique_ptr<ChildProcess>> mProcesses;
  std::list<ChildProcess> mWorkers;
  std::map<std::string, long> mWorkersOf;
};

}

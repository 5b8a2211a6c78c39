#pragma once

#include <algorithm>
#include <filesystem>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Support/BlockingClient.h"
#include "Support/ChildProcess.h"
#include "Support/Eventually.h"
#include "Support/MetricsText.h"
#include "Support/ReservedPorts.h"

namespace almondspoke::testing {

/** \brief Instances and stand-in endpoints of one data centre that run as
 * processes on the loopback address. */
class Installation
{
public:
  /** Starts instances and waits until they are ready.
   * \param aMoreSettings lines added to each settings file.
   * \param aMaxDataBytes as for ChildProcess, for each instance */
  explicit Installation(int aInstances,
                        const std::string& aMoreSettings = {},
                        std::size_t aMaxDataBytes = 0)
  {
    const std::vector<int> ports = ReservePorts(2 * aInstances);
    std::string instances;
    std::string voters;
    for (int i = 0; i < aInstances; ++i) {
      const std::string name = "instance-" + std::to_string(i);
      instances +=
        name + " = zagreb 127.0.0.1:" + std::to_string(ports[aInstances + i]) +
        " 127.0.0.1:" + std::to_string(ports[i]) + " disk\n";
      voters += (voters.empty() ? "" : ", ") + name;
    }
    for (int i = 0; i < aInstances; ++i) {
      mAddresses.push_back("127.0.0.1:" + std::to_string(ports[i]));
      const std::string name = "instance-" + std::to_string(i);
      std::string settings = "[instance]\ndata-centre = zagreb\nname = ";
      settings += name;
      std::filesystem::create_directories(mFolder.File(name + ".data"));
      settings += "\ndata-folder = " + mFolder.File(name + ".data");
      settings += "\n[listen]\nthreads = 2\ncallers = ";
      settings += mAddresses[i];
      settings += "\npeers = 127.0.0.1:";
      settings += std::to_string(ports[aInstances + i]);
      settings += "\n[instances]\n" + instances;
      settings += "[groups]\nsubmissions-zagreb = " + voters;
      settings += "\n[endpoints]\nallowed-networks = 127.0.0.0/8\n";
      settings += aMoreSettings;
      WriteFile(mFolder.File(name + ".ini"), settings);
      mInstances.emplace_back(
        std::vector<std::string>{
          ALMONDSPOKED_PATH, "--settings", mFolder.File(name + ".ini") },
        mFolder.File(name + ".log"),
        aMaxDataBytes);
      mPeerPorts.push_back(static_cast<std::uint16_t>(ports[aInstances + i]));
    }
    for (int i = 0; i < aInstances; ++i) {
      mAllReady = mAllReady &&
                  Eventually([&] { return Get(i, "/readyz") == 200; }) &&
                  Eventually([&] { return HasLease(i); });
    }
  }

  /** Starts a stand-in that announces itself at all instances, and waits until
   * each of them knows it. */
  ChildProcess& AddStandIn(const std::string& aName,
                           const std::vector<std::string>& aFlags = {})
  {
    std::vector<std::string> command{
      ALMONDSPOKE_STANDIN_PATH, "--name", aName, "--start-log", StartLog()
    };
    for (const std::string& address : mAddresses) {
      command.insert(command.end(), { "--instance", address });
    }
    command.insert(command.end(), aFlags.begin(), aFlags.end());
    mStandIns.emplace_back(command, mFolder.File(aName + ".log"));
    const auto known = static_cast<long>(mStandIns.size());
    for (std::size_t i = 0; i < mAddresses.size(); ++i) {
      mAllReady = mAllReady && Eventually([&] {
                    return Metric(static_cast<int>(i), "endpoints") == known;
                  });
    }
    return mStandIns.back();
  }

  int Get(int aInstance, const std::string& aTarget)
  {
    const AttemptResult result =
      mClient.Call(mAddresses[aInstance], "GET", aTarget);
    return result.mOutcome == TransferOutcome::Answered
             ? result.mResponse.mStatus
             : 0;
  }

  /** True if an instance holds the lease that it needs to claim keys. */
  bool HasLease(int aInstance)
  {
    return Metric(aInstance, "executor_leases") == 1;
  }

  /** Returns the value of a metric, or nothing if the instance doesn't respond.
   */
  std::optional<long> Metric(int aInstance, const std::string& aName)
  {
    return MetricValue(
      mClient.Call(mAddresses[aInstance], "GET", "/metrics").mResponse.mBody,
      aName);
  }

  /** Begins a request to "echo", the default service of the stand-ins. */
  std::future<AttemptResult> Begin(int aInstance,
                                   const std::string& aTarget,
                                   const std::string& aBody,
                                   HttpFields aFields = {})
  {
    return mClient.Begin(
      BlockingClient::MakeAttempt(mAddresses[aInstance],
                                  "POST",
                                  "/v1/services/echo" + aTarget,
                                  aBody,
                                  std::move(aFields)));
  }

  HttpResponse Post(int aInstance,
                    const std::string& aTarget,
                    const std::string& aBody,
                    HttpFields aFields = {})
  {
    return Begin(aInstance, aTarget, aBody, std::move(aFields)).get().mResponse;
  }

  /** Returns the number of tasks that the stand-ins have started. */
  long Started() const
  {
    const std::string log = ReadFile(StartLog());
    return std::count(log.begin(), log.end(), '\n');
  }

  std::string StartLog() const { return mFolder.File("started"); }
  const std::string& Address(int aInstance) const
  {
    return mAddresses[aInstance];
  }
  std::uint16_t PeerPort(int aInstance) const { return mPeerPorts[aInstance]; }
  ChildProcess& Instance(int aInstance)
  {
    return *std::next(mInstances.begin(), aInstance);
  }
  BlockingClient& Client() { return mClient; }
  bool AllReady() const { return mAllReady; }

private:
  TemporaryFolder mFolder;
  BlockingClient mClient;
  std::vector<std::string> mAddresses;
  std::vector<std::uint16_t> mPeerPorts;
  std::list<ChildProcess> mInstances;
  std::list<ChildProcess> mStandIns;
  bool mAllReady = true;
};

}

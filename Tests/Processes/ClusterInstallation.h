#pragma once

#include <csignal>
#include <filesystem>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Processes/FaultyDisk.h"
#include "StandIn/LinkForwarder.h"
#include "Support/BlockingClient.h"
#include "Support/ChildProcess.h"
#include "Support/ContextThreads.h"
#include "Support/Eventually.h"
#include "Support/MetricsText.h"
#include "Support/ReservedPorts.h"

namespace almondspoke::testing {

/** \brief One entry instance of a ClusterInstallation. */
struct ClusterNode
{
  std::string mName;
  std::string mDataCentre;
  bool mHasDisk = true;
  /** True for an initial voter of the configuration group. */
  bool mVotes = mHasDisk;
};

/** \brief What can be made to fail in a ClusterInstallation. */
enum class ClusterFaults
{
  /** The links between data centres. */
  Links,
  /** All links and the disks. */
  LinksAndDisks
};

/** \brief State of the disk that holds an instance's data folder. */
enum class DiskState
{
  Healthy,
  Full,
  FailingSync
};

/** \brief A cluster of instances that run as processes on the loopback address.
 * The test forwards the links between data centres and can cut them. */
class ClusterInstallation
{
public:
  using Json = nlohmann::json;

  explicit ClusterInstallation(std::vector<ClusterNode> aNodes,
                               std::string aMoreSettings = {},
                               ClusterFaults aFaults = ClusterFaults::Links)
    : mNodes(std::move(aNodes))
    , mMoreSettings(std::move(aMoreSettings))
    , mFaults(aFaults)
    , mPorts(ReservePorts((3 + Size()) * Size()))
    , mProcesses(mNodes.size())
  {
    for (int i = 0; i < Size(); ++i) {
      std::filesystem::create_directories(DataFolder(i));
      WriteSettings(i);
    }
    for (int i = 0; i < Size(); ++i) {
      Start(i);
    }
  }
  ~ClusterInstallation() { mLinkThreads.Stop(); }
  ClusterInstallation(const ClusterInstallation&) = delete;
  ClusterInstallation& operator=(const ClusterInstallation&) = delete;

  int Size() const { return static_cast<int>(mNodes.size()); }
  const std::string& Name(int aNode) const { return mNodes[aNode].mName; }

  void Start(int aNode)
  {
    std::vector<std::string> command;
    if (mFaults == ClusterFaults::LinksAndDisks) {
      command = { "/usr/bin/env",
                  "ALMONDSPOKE_FAULTY_DISK=" + DiskFault(aNode),
                  "ASAN_OPTIONS=verify_asan_link_order=0",
                  FaultyDiskVariable() };
    }
    command.insert(command.end(),
                   { ALMONDSPOKED_PATH, "--settings", SettingsFile(aNode) });
    mProcesses[aNode] = std::make_unique<ChildProcess>(command, LogFile(aNode));
  }
  void Kill(int aNode)
  {
    mProcesses[aNode]->Signal(SIGKILL);
    mProcesses[aNode]->Wait();
  }
  ChildProcess& Process(int aNode) { return *mProcesses[aNode]; }
  std::string Log(int aNode) const { return ReadFile(LogFile(aNode)); }

  /** Replaces the extra settings of one instance; takes effect at its next
   * start. */
  void ChangeSettings(int aNode, const std::string& aMoreSettings)
  {
    std::string settings = ReadFile(SettingsFile(aNode));
    settings.resize(settings.size() - mMoreSettings.size());
    WriteFile(SettingsFile(aNode), settings + aMoreSettings);
  }

  /** Removes all data of an instance, which must not be running. */
  void WipeData(int aNode)
  {
    std::filesystem::remove_all(DataFolder(aNode));
    std::filesystem::create_directories(DataFolder(aNode));
  }

  /** Copies the data folder of an instance. RollBackData() restores the copy;
   * the instance must not be running then. */
  void SaveData(int aNode)
  {
    CopyFolder(DataFolder(aNode), DataFolder(aNode) + ".copy");
  }
  void RollBackData(int aNode)
  {
    CopyFolder(DataFolder(aNode) + ".copy", DataFolder(aNode));
  }

  /** Sets the state of an instance's disk. Needs ClusterFaults::LinksAndDisks.
   */
  void SetDisk(int aNode, DiskState aState)
  {
    const auto set = [](const std::string& aFile, bool aPresent) {
      if (aPresent) {
        WriteFile(aFile, "");
      } else {
        std::filesystem::remove(aFile);
      }
    };
    set(DiskFault(aNode) + ".full", aState == DiskState::Full);
    set(DiskFault(aNode) + ".failing", aState == DiskState::FailingSync);
  }

  /** Cuts or restores all links between a data centre and the others. */
  void SetCut(const std::string& aDataCentre, bool aCut)
  {
    for (const auto& [nodes, conditions] : mConditions) {
      const bool from = mNodes[nodes.first].mDataCentre == aDataCentre;
      const bool to = mNodes[nodes.second].mDataCentre == aDataCentre;
      if (from != to) {
        Cut(*conditions, aCut);
      }
    }
  }

  /** Cuts or restores all links of one instance. Links inside its data centre
   * are included with ClusterFaults::LinksAndDisks only. */
  void SetCut(int aNode, bool aCut)
  {
    for (const auto& [nodes, conditions] : mConditions) {
      if (nodes.first == aNode || nodes.second == aNode) {
        Cut(*conditions, aCut);
      }
    }
  }

  bool WaitUntilReady()
  {
    for (int i = 0; i < Size(); ++i) {
      if (!Eventually([&] { return Get(i, "/readyz") == 200; })) {
        return false;
      }
    }
    return true;
  }

  int Get(int aNode, const std::string& aTarget)
  {
    return GetResponse(aNode, aTarget).mStatus;
  }

  /** Returns the response to a GET request; its status is 0 if there is none.
   * Retries once, since a pooled connection may lead to an instance that was
   * killed. */
  HttpResponse GetResponse(int aNode, const std::string& aTarget)
  {
    for (int attempt = 0; attempt < 2; ++attempt) {
      AttemptResult result = mClient.Call(CallerAddress(aNode), "GET", aTarget);
      if (result.mOutcome == TransferOutcome::Answered) {
        return std::move(result.mResponse);
      }
    }
    HttpResponse none;
    none.mStatus = 0;
    return none;
  }

  HttpResponse Post(int aNode)
  {
    return mClient
      .Call(CallerAddress(aNode), "POST", "/v1/services/echo/x", "work")
      .mResponse;
  }

  /** Returns the value of a metric, or nothing if the instance doesn't respond.
   */
  std::optional<long> Metric(int aNode, const std::string& aName)
  {
    return MetricValue(GetResponse(aNode, "/metrics").mBody, aName);
  }

  std::optional<long> Version(int aNode)
  {
    return Metric(aNode, "rules_version");
  }

  bool WaitForVersion(int aNode, long aVersion)
  {
    return Eventually([&] { return Version(aNode) == aVersion; });
  }
  bool WaitForVersionOnAll(long aVersion)
  {
    for (int i = 0; i < Size(); ++i) {
      if (!WaitForVersion(i, aVersion)) {
        return false;
      }
    }
    return true;
  }

  /** Waits until an instance other than aExcept leads the configuration group.
   * \return its index, or -1 on a timeout. */
  int WaitForLeader(int aExcept = -1)
  {
    constexpr long kLeaderRole = 6;
    int leader = -1;
    Eventually([&] {
      for (int i = 0; i < Size() && leader < 0; ++i) {
        if (i != aExcept && Metric(i, "configuration_role") == kLeaderRole) {
          leader = i;
        }
      }
      return leader >= 0;
    });
    return leader;
  }

  /** Returns the HTTP request that calls a method of the operators'
   * interface. */
  HttpAttempt OperatorAttempt(int aNode,
                              const std::string& aMethod,
                              const Json& aParameters) const
  {
    const Json request = { { "jsonrpc", "2.0" },
                           { "id", 1 },
                           { "method", aMethod },
                           { "params", aParameters } };
    return BlockingClient::MakeAttempt(
      "127.0.0.1:" + std::to_string(mPorts[3 * aNode + 1]),
      "POST",
      "/rpc",
      request.dump(),
      { { "Content-Type", "application/json" } });
  }
  /** Calls a method of the operators' interface. The future holds the HTTP
   * response. */
  std::future<AttemptResult> BeginCall(int aNode,
                                       const std::string& aMethod,
                                       const Json& aParameters)
  {
    return mClient.Begin(OperatorAttempt(aNode, aMethod, aParameters));
  }
  static Json ResponseOf(std::future<AttemptResult> aPending)
  {
    const std::string body = aPending.get().mResponse.mBody;
    return Json::accept(body) ? Json::parse(body) : Json::object();
  }
  Json Call(int aNode, const std::string& aMethod, const Json& aParameters)
  {
    return ResponseOf(BeginCall(aNode, aMethod, aParameters));
  }

  static Json Change(long aBase,
                     const std::string& aRequestId,
                     const std::string& aAuthor,
                     const std::string& aText)
  {
    return { { "baseVersion", aBase },
             { "requestId", aRequestId },
             { "author", aAuthor },
             { "text", aText } };
  }

  /** Applies rules. Retries with the same request id while the outcome is
   * unknown or the group has no leader. */
  Json Apply(int aNode, long aBase, const std::string& aRequestId)
  {
    return ApplyChange(aNode,
                       Change(aBase, aRequestId, "ana", RulesText(aBase)));
  }
  Json ApplyChange(int aNode, const Json& aChange)
  {
    Json response;
    Eventually([&] {
      response = Call(aNode, "rules.apply", aChange);
      const std::string kind = KindOf(response);
      return kind != "no-quorum" && kind != "outcome-unknown" &&
             !response.empty();
    });
    UNSCOPED_INFO("response of " << Name(aNode) << ": " << response);
    return response;
  }

  static std::string RulesText(long aNumber)
  {
    return "weight kind-" + std::to_string(aNumber) + " 2 # asked by ana\n";
  }

  /** Returns the version of an accepted change; 0 for an error. */
  static long VersionOf(const Json& aResponse)
  {
    return aResponse.contains("result")
             ? aResponse["result"]["version"].get<long>()
             : 0;
  }
  /** Returns the error kind of a refused change; empty if it was accepted. */
  static std::string KindOf(const Json& aResponse)
  {
    if (!aResponse.contains("error") || !aResponse["error"].contains("data")) {
      return "";
    }
    return aResponse["error"]["data"]["error"]["kind"].get<std::string>();
  }

  /** Returns the address at which an instance serves callers and endpoints. */
  std::string CallerAddress(int aNode) const
  {
    return "127.0.0.1:" +
           std::to_string(mPorts[3 * static_cast<std::size_t>(aNode)]);
  }
  /** Returns the path of a file in the temporary folder of the cluster. */
  std::string File(const std::string& aName) const
  {
    return mFolder.File(aName);
  }
  BlockingClient& Client() { return mClient; }

private:
  static void Cut(LinkConditions& aConditions, bool aCut)
  {
    aConditions.mCutForward = aCut;
    aConditions.mCutBackward = aCut;
  }
  static void CopyFolder(const std::string& aFrom, const std::string& aTo)
  {
    std::filesystem::remove_all(aTo);
    std::filesystem::copy(aFrom, aTo, std::filesystem::copy_options::recursive);
  }
  /** Returns the path prefix of the files that make the disk of an instance
   * fail; see FaultyDisk.cxx. */
  std::string DiskFault(int aNode) const
  {
    return mFolder.File(Name(aNode) + ".disk");
  }
  std::string DataFolder(int aNode) const
  {
    return mFolder.File(Name(aNode) + ".data");
  }
  std::string SettingsFile(int aNode) const
  {
    return mFolder.File(Name(aNode) + ".ini");
  }
  std::string LogFile(int aNode) const
  {
    return mFolder.File(Name(aNode) + ".log");
  }

  /** Returns the port at which one instance reaches another; starts a forwarder
   * if the link can be cut. */
  int PortTo(int aFrom, int aTo)
  {
    const int port = mPorts[3 * aTo + 2];
    const std::string& from = mNodes[aFrom].mDataCentre;
    const std::string& to = mNodes[aTo].mDataCentre;
    const bool isDirect = from == to && mFaults == ClusterFaults::Links;
    if (isDirect || aFrom == aTo) {
      return port;
    }
    auto& conditions = mConditions[{ aFrom, aTo }];
    conditions = std::make_shared<LinkConditions>();
    using Endpoint = asio::ip::tcp::endpoint;
    const auto host = asio::ip::address_v4::loopback();
    const int linkPort = mPorts[(3 + aFrom) * Size() + aTo];
    mLinks.push_back(std::make_unique<LinkForwarder>(
      mLinkThreads.Context(),
      Endpoint(host, static_cast<std::uint16_t>(linkPort)),
      Endpoint(host, static_cast<std::uint16_t>(port)),
      conditions));
    if (!mLinks.back()->Start()) {
      throw std::runtime_error("cannot listen on the port of a link forwarder");
    }
    return linkPort;
  }

  void WriteSettings(int aNode)
  {
    const auto address = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    std::string instances;
    std::string voters;
    for (int i = 0; i < Size(); ++i) {
      instances += Name(i) + " = " + mNodes[i].mDataCentre + ' ' +
                   address(PortTo(aNode, i)) + ' ' + CallerAddress(i) +
                   (mNodes[i].mHasDisk ? " disk\n" : "\n");
      if (mNodes[i].mVotes) {
        voters += (voters.empty() ? "" : ", ") + Name(i);
      }
    }
    std::string settings = "[instance]\nname = " + Name(aNode);
    settings += "\ndata-centre = " + mNodes[aNode].mDataCentre;
    if (mNodes[aNode].mHasDisk) {
      settings += "\ndata-folder = " + DataFolder(aNode);
    }
    settings += "\n[listen]\nthreads = 2\ncallers = " + CallerAddress(aNode);
    settings += "\noperators = " + address(mPorts[3 * aNode + 1]);
    settings += "\npeers = " + address(mPorts[3 * aNode + 2]);
    settings += "\n[endpoints]\nallowed-networks = 127.0.0.0/8\n[instances]\n";
    settings += instances + "[groups]\nconfiguration = " + voters + '\n';
    WriteFile(SettingsFile(aNode), settings + mMoreSettings);
  }

  /** Indexes of two instances: from, to. */
  using NodePair = std::pair<int, int>;

  const std::vector<ClusterNode> mNodes;
  const std::string mMoreSettings;
  const ClusterFaults mFaults;
  TemporaryFolder mFolder;
  const std::vector<int> mPorts;
  ContextThreads mLinkThreads{ 1 };
  std::map<NodePair, std::shared_ptr<LinkConditions>> mConditions;
  std::vector<std::unique_ptr<LinkForwarder>> mLinks;
  BlockingClient mClient;
  std::vector<std::unique_ptr<ChildProcess>> mProcesses;
};

}

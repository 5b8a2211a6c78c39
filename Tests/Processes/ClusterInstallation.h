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

/** \brief State of the disk under an instance's data folder. */
enum class DiskState
{
  Sound,
  Full,
  FailingSync
};

/** \brief Instances that know each other, as processes on loopback. The links
 * between data centres run through the test and can be cut. */
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

  /** Replaces the settings that follow those of the instances, at one instance,
   * from its next start on. */
  void ChangeSettings(int aNode, const std::string& aMoreSettings)
  {
    std::string settings = ReadFile(SettingsFile(aNode));
    settings.resize(settings.size() - mMoreSettings.size());
    WriteFile(SettingsFile(aNode), settings + aMoreSettings);
  }

  /** Removes all that an instance has stored; it does not run. */
  void WipeData(int aNode)
  {
    std::filesystem::remove_all(DataFolder(aNode));
    std::filesystem::create_directories(DataFolder(aNode));
  }

  /** Copies all that an instance has stored, or puts a copy back; it does not
   * run when a copy is put back. */
  void SaveData(int aNode)
  {
    CopyFolder(DataFolder(aNode), DataFolder(aNode) + ".copy");
  }
  void RollBackData(int aNode)
  {
    CopyFolder(DataFolder(aNode) + ".copy", DataFolder(aNode));
  }

  /** With ClusterFaults::LinksAndDisks only. */
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

  /** Cuts or mends all links between a data centre and the others. */
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

  /** Cuts or mends all links of one instance; those inside its data centre with
   * ClusterFaults::LinksAndDisks only. */
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

  /** Status 0 without an answer. Asks again once, since a kept connection may
   * be one to an instance that was killed. */
  HttpResponse GetResponse(int aNode, const std::string& aTarget)
  {
    for (int attempt = 0; attempt < 2; ++attempt) {
      AttemptResult result = mClient.Call(Callers(aNode), "GET", aTarget);
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
    return mClient.Call(Callers(aNode), "POST", "/v1/services/echo/x", "work")
      .mResponse;
  }

  /** Value of a metric; nothing if the instance does not answer. */
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

  /** The instance that leads the configuration group, once there is one other
   * than aExcept. */
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

  /** A call of a method of the operators' interface. */
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
  /** Calls a method of the operators' interface; the whole response. */
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

  /** Applies rules, sending them again under the same id while the outcome is
   * not known or the group has no leader. */
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

  /** Version of an accepted change; zero for an error. */
  static long VersionOf(const Json& aResponse)
  {
    return aResponse.contains("result")
             ? aResponse["result"]["version"].get<long>()
             : 0;
  }
  /** Error kind of a refused change. */
  static std::string KindOf(const Json& aResponse)
  {
    if (!aResponse.contains("error") || !aResponse["error"].contains("data")) {
      return "";
    }
    return aResponse["error"]["data"]["error"]["kind"].get<std::string>();
  }

  /** Address for callers and endpoints. */
  std::string Callers(int aNode) const
  {
    return "127.0.0.1:" +
           std::to_string(mPorts[3 * static_cast<std::size_t>(aNode)]);
  }
  /** Path of a file that is removed with the installation. */
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
  /** Files of this name with a suffix make the disk of an instance fail. */
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

  /** Port at which one instance reaches another. */
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
      throw std::runtime_error("a link's port was taken");
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
                   address(PortTo(aNode, i)) + ' ' + Callers(i) +
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
    settings += "\n[listen]\nthreads = 2\ncallers = " + Callers(aNode);
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

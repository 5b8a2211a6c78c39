#pragma once

#include <algorithm>
#include <cstddef>
#include <list>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "Processes/ClusterInstallation.h"
#include "Processes/WorkerCommand.h"

namespace almondspoke::testing {

/** \brief A ClusterInstallation whose links and disks can be made to fail, with
 * workers of the service "work" that log each task that they start. */
class FaultInstallation : public ClusterInstallation
{
public:
  static constexpr std::chrono::seconds kCallTimeout{ 2 };

  FaultInstallation(const std::vector<ClusterNode>& aNodes,
                    const std::string& aGroups)
    : ClusterInstallation(aNodes, aGroups, ClusterFaults::LinksAndDisks)
    , mNodes(aNodes)
    , mGroups(aGroups)
  {
  }

  /** Starts a worker in a data centre. */
  void AddWorker(const std::string& aDataCentre, const std::string& aWorkMs)
  {
    const std::string name = "worker-" + std::to_string(mWorkers.size());
    std::vector<std::string> command =
      WorkerCommand(name, aWorkMs, File("started"));
    for (int node = 0; node < Size(); ++node) {
      if (mNodes[node].mDataCentre == aDataCentre) {
        command.insert(command.end(), { "--instance", CallerAddress(node) });
      }
    }
    mWorkers.emplace_back(command, File(name + ".log"));
    ++mWorkersOf[aDataCentre];
  }

  /** Waits until each instance is ready, holds the leases to claim keys of all
   * homes, votes in its groups and knows the workers of its data centre. */
  bool WaitUntilServing(int aHomes)
  {
    for (int node = 0; node < Size(); ++node) {
      const bool serves = Eventually([&] {
        return Get(node, "/readyz") == 200 &&
               Metric(node, "executor_leases") == aHomes &&
               Metric(node, "submission_groups_voting") == GroupsOf(node) &&
               Metric(node, "endpoints") ==
                 mWorkersOf[mNodes[node].mDataCentre];
      });
      if (!serves) {
        UNSCOPED_INFO(Name(node) << " is not ready to serve");
        for (int shown = 0; shown < Size(); ++shown) {
          UNSCOPED_INFO(Describe(shown));
        }
        return false;
      }
    }
    return true;
  }

  /** Submits a keyed request, or a job if the target is /v1/jobs. The status is
   * 0 if there is no response. */
  HttpResponse Submit(int aNode,
                      const std::string& aTarget,
                      const std::string& aKey,
                      const std::string& aBody)
  {
    HttpAttempt attempt =
      BlockingClient::MakeAttempt(CallerAddress(aNode),
                                  "POST",
                                  aTarget,
                                  aBody,
                                  { { "Idempotency-Key", aKey } });
    // Short, so that a frozen instance doesn't block the caller for long.
    attempt.mDeadline = std::chrono::steady_clock::now() + kCallTimeout;
    AttemptResult result = Client().Call(std::move(attempt));
    if (result.mOutcome != TransferOutcome::Answered) {
      result.mResponse.mStatus = 0;
    }
    return std::move(result.mResponse);
  }

  /** Returns the highest number of times that any attempt was started. */
  long MostStarts() const
  {
    std::map<std::string, long> starts;
    long most = 0;
    std::istringstream log(ReadFile(File("started")));
    for (std::string line; std::getline(log, line);) {
      most = std::max(most, ++starts[line.substr(0, line.find(' '))]);
    }
    return most;
  }

private:
  /** Describes the state of an instance for failure messages. */
  std::string Describe(int aNode)
  {
    constexpr std::size_t kLogTail = 2000;
    std::string shown = Name(aNode);
    if (Get(aNode, "/healthz") != 200) {
      const std::string log = Log(aNode);
      shown += Process(aNode).IsRunning() ? ": no answer, " : ": has ended, ";
      return shown + log.substr(log.size() - std::min(log.size(), kLogTail));
    }
    shown += ": readyz " + std::to_string(Get(aNode, "/readyz"));
    for (const char* name : { "executor_leases",
                              "submission_groups_voting",
                              "submission_groups_led",
                              "endpoints" }) {
      const long value = Metric(aNode, name).value_or(-1);
      shown += std::string(", ") + name + ' ' + std::to_string(value);
    }
    return shown + ", " + Call(aNode, "instances.list", Json::object()).dump();
  }

  /** Returns the number of submission groups that contain an instance. */
  long GroupsOf(int aNode) const
  {
    long count = 0;
    std::istringstream groups(mGroups);
    for (std::string line; std::getline(groups, line);) {
      count += line.find(Name(aNode)) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  const std::vector<ClusterNode> mNodes;
  const std::string mGroups;
  std::list<ChildProcess> mWorkers;
  std::map<std::string, long> mWorkersOf;
};

}

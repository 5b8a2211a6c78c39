#include <algorithm>
#include <functional>
#include <thread>

#include <catch2/catch.hpp>

#include "Processes/FaultInstallation.h"
#include "Processes/FaultTraffic.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

using Cluster = ClusterInstallation;
using Json = Cluster::Json;

constexpr long kFollowerRole = 3;
constexpr long kLeaderRole = 6;
constexpr long kFailedRole = 7;

/** Longer than the lease of an executor. */
constexpr std::chrono::seconds kLongerThanLease{ 4 };

const std::string kRequests = "/v1/services/work/x";

std::vector<ClusterNode>
ThreeVoters()
{
  return { { "zagreb-1", "zagreb" },
           { "zagreb-2", "zagreb" },
           { "zagreb-3", "zagreb" } };
}

const std::string kZagrebGroup =
  "submissions-zagreb = zagreb-1, zagreb-2, zagreb-3\n";

bool
WaitUntilVoter(Cluster& aCluster, int aNode)
{
  return Eventually([&] {
    const long role = aCluster.Metric(aNode, "configuration_role").value_or(-1);
    return role == kFollowerRole || role == kLeaderRole;
  });
}

std::vector<ClusterNode>
TwoDataCentres()
{
  return { { "zagreb-1", "zagreb" },
           { "zagreb-2", "zagreb" },
           { "zagreb-3", "zagreb" },
           { "riga-1", "riga" },
           { "riga-2", "riga" } };
}

/** Returns the leader of the configuration group. If that is aExcept, restarts
 * it first, so that another instance leads. */
int
LeaderOtherThan(FaultInstallation& aCluster, int aExcept)
{
  int leader = aCluster.WaitForLeader();
  while (leader == aExcept) {
    aCluster.Kill(aExcept);
    REQUIRE(aCluster.WaitForLeader(aExcept) >= 0);
    aCluster.Start(aExcept);
    REQUIRE(aCluster.WaitUntilServing(2));
    leader = aCluster.WaitForLeader();
  }
  REQUIRE(leader >= 0);
  return leader;
}

/** \brief A fault to inject into a running installation, and how to end it. */
struct Fault
{
  const char* mName;
  std::function<void(FaultInstallation&)> mBegin;
  std::function<void(FaultInstallation&)> mEnd;
};

/** Injects each fault twice into one installation, under traffic. */
void
RunFaults(const std::vector<Fault>& aFaults)
{
  FaultInstallation cluster(
    TwoDataCentres(),
    "submissions-zagreb = zagreb-1, zagreb-2, zagreb-3\n"
    "submissions-riga = riga-1, riga-2, zagreb-3\n");
  cluster.AddWorker("zagreb", "150");
  cluster.AddWorker("riga", "150");
  REQUIRE(cluster.WaitUntilServing(2));
  FaultTraffic traffic(cluster);
  for (int round = 0; round < 2; ++round) {
    for (const Fault& fault : aFaults) {
      INFO(fault.mName << ", round " << round);
      traffic.Start();
      CHECK(traffic.WaitForMore());
      fault.mBegin(cluster);
      CHECK(traffic.WaitForMore());
      fault.mEnd(cluster);
      CHECK(traffic.WaitForMore());
      traffic.Stop();
      REQUIRE(cluster.WaitUntilServing(2));
      CHECK_THAT(traffic.FindViolations(),
                 Catch::Equals(std::vector<std::string>()));
      CHECK(cluster.MostStarts() == 1);
    }
  }
}

}

TEST_CASE("Faults: killed and frozen instances, twice under traffic",
          "[faults]")
{
  int leader = 0;
  RunFaults({
    { "an executor is killed",
      [](FaultInstallation& aCluster) { aCluster.Kill(0); },
      [](FaultInstallation& aCluster) { aCluster.Start(0); } },
    { "the leader is killed",
      [&](FaultInstallation& aCluster) {
        leader = aCluster.WaitForLeader();
        aCluster.Kill(leader);
      },
      [&](FaultInstallation& aCluster) { aCluster.Start(leader); } },
    { "an instance is frozen beyond its lease",
      [](FaultInstallation& aCluster) {
        aCluster.Process(1).Signal(SIGSTOP);
        std::this_thread::sleep_for(kLongerThanLease);
      },
      [](FaultInstallation& aCluster) {
        aCluster.Process(1).Signal(SIGCONT);
      } },
  });
}

TEST_CASE("Faults: data folders and disks, twice under traffic", "[faults]")
{
  const auto restart = [](FaultInstallation& aCluster) {
    aCluster.Kill(1);
    aCluster.SetDisk(1, DiskState::Healthy);
    aCluster.Start(1);
  };
  RunFaults({
    { "a data folder is lost",
      [](FaultInstallation& aCluster) {
        aCluster.Kill(1);
        aCluster.WipeData(1);
      },
      [](FaultInstallation& aCluster) { aCluster.Start(1); } },
    { "a data folder is rolled back",
      [](FaultInstallation& aCluster) { aCluster.SaveData(2); },
      [](FaultInstallation& aCluster) {
        aCluster.Kill(2);
        aCluster.RollBackData(2);
        aCluster.Start(2);
      } },
    { "a disk is full",
      [](FaultInstallation& aCluster) { aCluster.SetDisk(1, DiskState::Full); },
      restart },
    { "each sync fails",
      [](FaultInstallation& aCluster) {
        aCluster.SetDisk(1, DiskState::FailingSync);
      },
      restart },
  });
}

TEST_CASE("Faults: cuts inside a data centre and between them, twice under "
          "traffic",
          "[faults]")
{
  RunFaults({
    { "an instance is cut off",
      [](FaultInstallation& aCluster) { aCluster.SetCut(0, true); },
      [](FaultInstallation& aCluster) { aCluster.SetCut(0, false); } },
    { "the data centres are cut off from each other",
      [](FaultInstallation& aCluster) { aCluster.SetCut("riga", true); },
      [](FaultInstallation& aCluster) { aCluster.SetCut("riga", false); } },
  });
}

TEST_CASE("Faults: two instances at once, twice under traffic", "[faults]")
{
  // Each pair leaves a majority of the voters of every group: one of each
  // data centre, none of them the instance that votes in both.
  constexpr int kZagreb1 = 0;
  constexpr int kZagreb2 = 1;
  constexpr int kVotesInBoth = 2;
  constexpr int kRiga1 = 3;
  constexpr int kRiga2 = 4;
  int leader = 0;
  int wiped = 0;
  RunFaults({
    { "an executor is killed while an instance elsewhere is cut off",
      [](FaultInstallation& aCluster) {
        aCluster.SetCut(kRiga1, true);
        aCluster.Kill(kZagreb1);
      },
      [](FaultInstallation& aCluster) {
        aCluster.Start(kZagreb1);
        aCluster.SetCut(kRiga1, false);
      } },
    { "an instance is frozen beyond its lease while a disk elsewhere is full",
      [](FaultInstallation& aCluster) {
        aCluster.SetDisk(kRiga2, DiskState::Full);
        aCluster.Process(kZagreb2).Signal(SIGSTOP);
        std::this_thread::sleep_for(kLongerThanLease);
      },
      [](FaultInstallation& aCluster) {
        aCluster.Kill(kRiga2);
        aCluster.SetDisk(kRiga2, DiskState::Healthy);
        aCluster.Process(kZagreb2).Signal(SIGCONT);
        aCluster.Start(kRiga2);
      } },
    { "a data folder is lost while the leader elsewhere is killed",
      [&](FaultInstallation& aCluster) {
        leader = LeaderOtherThan(aCluster, kVotesInBoth);
        wiped = leader < kVotesInBoth ? kRiga1 : kZagreb1;
        aCluster.Kill(wiped);
        aCluster.Kill(leader);
        aCluster.WipeData(wiped);
        aCluster.Start(wiped);
      },
      [&](FaultInstallation& aCluster) { aCluster.Start(leader); } },
  });
}

TEST_CASE(
  "Faults: an instance whose disk fails stops voting, reports it, keeps "
  "serving and rejoins once the disk works",
  "[faults]")
{
  FaultInstallation cluster(ThreeVoters(), kZagrebGroup);
  cluster.AddWorker("zagreb", "0");
  REQUIRE(cluster.WaitUntilServing(1));
  long version = 0;
  struct Row
  {
    const char* mName;
    DiskState mDisk;
    const char* mLogged;
  };
  for (const Row& row :
       { Row{ "full", DiskState::Full, "No space left on device" },
         Row{
           "failing-sync", DiskState::FailingSync, "Input/output error" } }) {
    INFO(row.mName);
    const std::string name = row.mName;
    const int failed = cluster.WaitForLeader();
    REQUIRE(failed >= 0);
    const int other = (failed + 1) % 3;
    const int third = (failed + 2) % 3;
    cluster.SetDisk(failed, row.mDisk);
    CHECK(Cluster::VersionOf(cluster.Apply(other, version, name)) ==
          version + 1);
    ++version;
    // Claims a key, so that the replica of the submission group writes as well.
    cluster.Submit(other, kRequests, "zagreb:" + name, "deposit");
    // The instance reports the failure and acknowledges nothing.
    CHECK(Eventually([&] {
      return cluster.Metric(failed, "configuration_role") == kFailedRole &&
             cluster.Metric(failed, "submission_groups_failed") == 1;
    }));
    CHECK(cluster.Log(failed).find("takes no further part") !=
          std::string::npos);
    CHECK(cluster.Log(failed).find(row.mLogged) != std::string::npos);
    const Json refused =
      cluster.Call(failed,
                   "rules.apply",
                   Cluster::Change(version, name + "-refused", "ivo", ""));
    CHECK(Cluster::KindOf(refused) == "no-quorum");
    // The others continue, and the instance serves by their decisions.
    REQUIRE(cluster.WaitForLeader(failed) >= 0);
    CHECK(Cluster::VersionOf(cluster.Apply(third, version, name + "-more")) ==
          version + 1);
    ++version;
    CHECK(cluster.WaitForVersionOnAll(version));
    CHECK(cluster.Get(failed, "/readyz") == 200);
    for (const int node : { failed, other, third }) {
      INFO("at " << cluster.Name(node));
      const std::string key = "zagreb:" + name + cluster.Name(node);
      HttpResponse answer;
      CHECK(Eventually([&] {
        answer = cluster.Submit(node, kRequests, key, "deposit");
        return answer.mStatus == 200;
      }));
      INFO(answer.mBody);
    }
    // After a restart it rejoins without an operator's action and votes.
    cluster.Kill(failed);
    cluster.SetDisk(failed, DiskState::Healthy);
    cluster.Start(failed);
    REQUIRE(cluster.WaitUntilServing(1));
    REQUIRE(WaitUntilVoter(cluster, failed));
    CHECK(cluster.Metric(failed, "submission_groups_failed") == 0);
    CHECK(cluster.Version(failed) == version);
  }
  CHECK(cluster.MostStarts() == 1);
}

// Guards against review/1: after each voter's disk had refused a write for a
// while, the group was gone although all processes ran on sound disks.
TEST_CASE("Faults: instances whose disks fail in turn rejoin without a restart",
          "[faults]")
{
  FaultInstallation cluster(ThreeVoters(), kZagrebGroup);
  cluster.AddWorker("zagreb", "0");
  REQUIRE(cluster.WaitUntilServing(1));
  long version = 0;
  for (const DiskState state : { DiskState::Full, DiskState::FailingSync }) {
    for (int failed = 0; failed < 3; ++failed) {
      INFO("disk state " << static_cast<int>(state) << " at "
                         << cluster.Name(failed));
      const int other = (failed + 1) % 3;
      const std::string id = "change-" + std::to_string(version);
      cluster.SetDisk(failed, state);
      CHECK(Cluster::VersionOf(cluster.Apply(other, version, id)) ==
            version + 1);
      ++version;
      // Claims a key, so that the replica of the submission group writes as
      // well. It may lead the group, and the request is refused then.
      cluster.Submit(other, kRequests, "zagreb:" + id, "deposit");
      CHECK(Eventually([&] {
        return cluster.Metric(failed, "configuration_role") == kFailedRole &&
               cluster.Metric(failed, "submission_groups_failed") == 1;
      }));
      cluster.SetDisk(failed, DiskState::Healthy);
      REQUIRE(WaitUntilVoter(cluster, failed));
      REQUIRE(cluster.WaitUntilServing(1));
      CHECK(cluster.Metric(failed, "submission_groups_failed") == 0);
      CHECK(Cluster::VersionOf(cluster.Apply(failed, version, id + "-after")) ==
            version + 1);
      ++version;
      CHECK(cluster.WaitForVersionOnAll(version));
      HttpResponse answer;
      CHECK(Eventually([&] {
        answer = cluster.Submit(
          failed, kRequests, "zagreb:" + id + "-after", "deposit");
        return answer.mStatus == 200;
      }));
      INFO(answer.mBody);
    }
  }
  CHECK(cluster.MostStarts() == 1);
}

TEST_CASE("Faults: a second voter is killed right after the repair of the "
          "first, and no acknowledged change is missing",
          "[faults]")
{
  FaultInstallation cluster(ThreeVoters(), kZagrebGroup);
  REQUIRE(cluster.WaitUntilServing(1));
  long version = 0;
  const auto change = [&](int aNode) {
    const std::string id = "change-" + std::to_string(version);
    CHECK(Cluster::VersionOf(cluster.Apply(aNode, version, id)) == version + 1);
    ++version;
  };
  change(0);
  for (const char* const row : { "kept", "lost", "rolled back" }) {
    const std::string data = row;
    INFO("data of the first " << data);
    const int leader = cluster.WaitForLeader();
    REQUIRE(leader >= 0);
    const int first = (leader + 1) % 3;
    const int third = (leader + 2) % 3;
    // Later changes are acknowledged by the first voter and the leader only.
    cluster.Kill(third);
    cluster.SaveData(first);
    const std::size_t logged = cluster.Log(first).size();
    for (int i = 0; i < 3; ++i) {
      change(first);
    }
    cluster.Kill(first);
    if (data == "lost") {
      cluster.WipeData(first);
    } else if (data == "rolled back") {
      cluster.RollBackData(first);
    }
    cluster.Start(first);
    cluster.Start(third);
    REQUIRE(WaitUntilVoter(cluster, first));
    // The voter votes only after it was readmitted.
    const bool readmitted =
      cluster.Log(first).find("rejoining under a new incarnation", logged) !=
      std::string::npos;
    CHECK(readmitted == (data == "rolled back"));
    REQUIRE(cluster.WaitForVersionOnAll(version));
    cluster.Kill(cluster.WaitForLeader());
    change(cluster.Get(first, "/healthz") == 200 ? first : third);
    for (int node = 0; node < cluster.Size(); ++node) {
      if (!cluster.Process(node).IsRunning()) {
        cluster.Start(node);
      }
    }
    REQUIRE(cluster.WaitUntilServing(1));
    REQUIRE(cluster.WaitForVersionOnAll(version));
    for (int node = 0; node < cluster.Size(); ++node) {
      REQUIRE(WaitUntilVoter(cluster, node));
    }
  }
  // Each change has the version that was acknowledged.
  for (long base = 0; base < version; ++base) {
    const std::string id = "change-" + std::to_string(base);
    CHECK(Cluster::VersionOf(cluster.Apply(0, base, id)) == base + 1);
  }
}

TEST_CASE("Voters: an instance replaces a lost voter of a submission group",
          "[faults]")
{
  const std::string group = "submissions-zagreb";
  std::vector<ClusterNode> nodes = ThreeVoters();
  nodes.push_back({ "zagreb-4", "zagreb", true, false });
  FaultInstallation cluster(nodes, kZagrebGroup);
  cluster.AddWorker("zagreb", "0");
  REQUIRE(cluster.WaitUntilServing(1));
  constexpr int kLost = 0;
  constexpr int kNew = 3;
  const auto voters = [&](int aNode) {
    return cluster.Call(aNode, "voters.show", { { "group", group } })["result"];
  };
  const auto change = [&](int aNode, const char* aMethod, int aSubject) {
    const Json before = voters(aNode);
    cluster.Call(aNode,
                 aMethod,
                 { { "group", group },
                   { "baseVersion", before["version"] },
                   { "requestId", "change-" + before["version"].dump() },
                   { "author", "ana" },
                   { "name", cluster.Name(aSubject) } });
  };
  const auto isVoter = [&](int aNode, int aSubject) {
    const Json shown = voters(aNode);
    const Json members = shown.value("voters", Json::array());
    return std::any_of(members.begin(), members.end(), [&](const Json& aVoter) {
      return aVoter["name"] == cluster.Name(aSubject) &&
             aVoter["state"] == "voter";
    });
  };
  const auto answers = [&](int aNode, const std::string& aKey) {
    HttpResponse answer;
    const bool answered = Eventually([&] {
      answer = cluster.Submit(aNode, kRequests, "zagreb:" + aKey, "deposit");
      return answer.mStatus == 200;
    });
    UNSCOPED_INFO(cluster.Name(aNode) << " answers " << answer.mBody);
    return answered;
  };
  // Submitted at an instance that isn't killed, so that the answer is recorded.
  CHECK(answers(2, "before"));

  cluster.Kill(kLost);
  cluster.Kill(kNew);
  cluster.ChangeSettings(kNew, group + " = zagreb-2, zagreb-3, zagreb-4\n");
  cluster.Start(kNew);
  REQUIRE(Eventually([&] {
    change(1, "voters.add", kNew);
    return isVoter(1, kNew);
  }));
  REQUIRE(Eventually([&] {
    change(2, "voters.remove", kLost);
    return !isVoter(1, kLost);
  }));
  CHECK(isVoter(1, kNew));
  CHECK(cluster.Metric(kNew, "submission_groups_voting") == 1);

  // The group now tolerates the loss of another initial voter.
  cluster.Kill(1);
  CHECK(answers(kNew, "before"));
  CHECK(answers(kNew, "after"));
  CHECK(answers(2, "after"));
  // The removed voter restarts with its old settings and has no vote.
  cluster.Start(kLost);
  CHECK(answers(kLost, "after"));
  CHECK(answers(kLost, "last"));
  CHECK(cluster.Metric(kLost, "submission_groups_voting") == 0);
  CHECK(cluster.MostStarts() == 1);
}

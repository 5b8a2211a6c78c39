#include <algorithm>

#include <catch2/catch.hpp>

#include "Processes/ClusterInstallation.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

using Json = ClusterInstallation::Json;

/** Three voters and a learner in two data centres. */
std::vector<ClusterNode>
FourNodes()
{
  return { { "zagreb-1", "zagreb" },
           { "zagreb-2", "zagreb" },
           { "riga-1", "riga" },
           { "riga-2", "riga", false } };
}

std::vector<ClusterNode>
ThreeVoters()
{
  return { { "zagreb-1", "zagreb" },
           { "zagreb-2", "zagreb" },
           { "zagreb-3", "zagreb" } };
}

std::string
VersionField(const HttpResponse& aResponse)
{
  const std::string* field =
    FindField(aResponse.mFields, "Almondspoke-Rules-Version");
  return field == nullptr ? "none" : *field;
}

}

TEST_CASE("Configuration: a change made at one instance takes effect on all")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  for (int node = 0; node < cluster.Size(); ++node) {
    INFO("at " << cluster.Name(node));
    const Json response =
      cluster.Apply(node, node, "change-" + std::to_string(node));
    CHECK(ClusterInstallation::VersionOf(response) == node + 1);
    CHECK(cluster.WaitForVersionOnAll(node + 1));
  }
  for (int node = 0; node < cluster.Size(); ++node) {
    CHECK(VersionField(cluster.Post(node)) == "4");
    CHECK(cluster.Call(node, "rules.show", Json::object())["result"]["text"] ==
          ClusterInstallation::RulesText(3));
    // Each instance reports its own state and what it knows of the others.
    CHECK(Eventually([&] {
      const Json instances = cluster.Call(
        node, "instances.list", Json::object())["result"]["instances"];
      return instances.size() == 4 &&
             std::all_of(
               instances.begin(), instances.end(), [](const Json& aOne) {
                 return aOne["health"] == "alive" && aOne["rulesVersion"] == 4;
               });
    }));
  }
}

TEST_CASE("Configuration: of two changes based on one version one succeeds and "
          "the other is told the author")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = std::to_string(round);
    REQUIRE(cluster.WaitForVersionOnAll(round));
    const std::string text = ClusterInstallation::RulesText(round);
    const Json ana = ClusterInstallation::Change(round, "a" + id, "ana", text);
    const Json ivo = ClusterInstallation::Change(round, "i" + id, "ivo", text);
    auto first = cluster.BeginCall(round % 4, "rules.apply", ana);
    auto second = cluster.BeginCall((round + 1) % 4, "rules.apply", ivo);
    Json won = ClusterInstallation::ResponseOf(std::move(first));
    Json lost = ClusterInstallation::ResponseOf(std::move(second));
    const bool anaWon = ClusterInstallation::VersionOf(won) != 0;
    if (!anaWon) {
      std::swap(won, lost);
    }
    INFO(won << " and " << lost);
    CHECK(ClusterInstallation::VersionOf(won) == round + 1);
    CHECK(ClusterInstallation::KindOf(lost) == "version-conflict");
    CHECK(lost["error"]["message"].get<std::string>().find(
            anaWon ? "'ana'" : "'ivo'") != std::string::npos);
    // A retry at any instance gets the first answer and changes nothing.
    for (int node = 0; node < cluster.Size(); ++node) {
      const Json again = cluster.Call(node, "rules.apply", anaWon ? ana : ivo);
      CHECK(ClusterInstallation::VersionOf(again) == round + 1);
    }
  }
  CHECK(cluster.WaitForVersionOnAll(kRounds));
}

TEST_CASE("Configuration: the leader is killed and comes back")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  long version = 0;
  for (int round = 0; round < 3; ++round) {
    const int leader = cluster.WaitForLeader();
    REQUIRE(leader >= 0);
    cluster.Kill(leader);
    const int other = (leader + 1) % cluster.Size();
    CHECK(ClusterInstallation::VersionOf(cluster.Apply(
            other, version, "kill-" + std::to_string(round))) == version + 1);
    ++version;
    cluster.Start(leader);
    REQUIRE(cluster.WaitUntilReady());
    CHECK(cluster.WaitForVersionOnAll(version));
  }
}

TEST_CASE("Configuration: all are killed after many changes and keep the "
          "version")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  constexpr long kChanges = 60;
  for (long version = 0; version < kChanges; ++version) {
    REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(
              static_cast<int>(version % 4),
              version,
              "change-" + std::to_string(version))) == version + 1);
  }
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Kill(node);
  }
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Start(node);
  }
  REQUIRE(cluster.WaitUntilReady());
  for (int node = 0; node < cluster.Size(); ++node) {
    INFO("at " << cluster.Name(node));
    // A ready instance knows the version, so the test doesn't wait for it.
    CHECK(cluster.Version(node) == kChanges);
    CHECK(cluster.Call(node, "rules.show", Json::object())["result"]["text"] ==
          ClusterInstallation::RulesText(kChanges - 1));
  }
  // The recorded answers survived as well.
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(3, 0, "change-0")) == 1);
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(3, kChanges, "after")) ==
        kChanges + 1);
}

TEST_CASE(
  "Configuration: an instance that cannot know the version is not ready")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(0, 0, "first")) == 1);
  const auto requestId = [&] {
    const HttpResponse response = cluster.Post(0);
    const std::string* id =
      FindField(response.mFields, "Almondspoke-Request-Id");
    return id == nullptr ? "none" : *id;
  };
  const std::string before = requestId();
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Kill(node);
  }
  // This voter has all its data, but a newer version may be in force by now.
  cluster.Start(0);
  REQUIRE(Eventually([&] { return cluster.Get(0, "/healthz") == 200; }));
  CHECK(cluster.GetResponse(0, "/readyz").mStatus == 503);
  const auto error = ErrorFromJson(cluster.Post(0).mBody);
  REQUIRE(error);
  CHECK(error->Kind() == ErrorKind::NotReady);
  CHECK(requestId() != before);
  for (int node = 1; node < cluster.Size(); ++node) {
    cluster.Start(node);
  }
  REQUIRE(cluster.WaitUntilReady());
  CHECK(cluster.Version(0) == 1);
}

TEST_CASE("Configuration: a voter without its data is readmitted")
{
  ClusterInstallation cluster(ThreeVoters());
  REQUIRE(cluster.WaitUntilReady());
  REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(0, 0, "first")) == 1);
  REQUIRE(cluster.WaitForVersionOnAll(1));
  const int leader = cluster.WaitForLeader();
  const int wiped = (leader + 1) % 3;
  const int third = (leader + 2) % 3;
  cluster.Kill(wiped);
  cluster.WipeData(wiped);
  cluster.Start(wiped);
  constexpr long kFollowerRole = 3;
  REQUIRE(Eventually([&] {
    return cluster.Metric(wiped, "configuration_role") == kFollowerRole;
  }));
  CHECK(cluster.WaitForVersion(wiped, 1));
  // With the third voter down, a majority needs the vote of this instance.
  cluster.Kill(third);
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(wiped, 1, "second")) == 2);
  CHECK(cluster.WaitForVersion(wiped, 2));
}

TEST_CASE("Configuration: no instance goes down in version")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  std::vector<long> highest(cluster.Size(), 0);
  const auto observe = [&](int aNode) {
    const std::optional<long> version = cluster.Version(aNode);
    // A restarted instance may not know the version until it is ready.
    if (version && cluster.Get(aNode, "/readyz") == 200) {
      CHECK(cluster.Version(aNode).value_or(highest[aNode]) >= highest[aNode]);
      highest[aNode] = std::max(highest[aNode], *version);
    }
  };
  for (int version = 0; version < 12; ++version) {
    const int killed = version % cluster.Size();
    cluster.Kill(killed);
    const int at = (killed + 1) % cluster.Size();
    CHECK(ClusterInstallation::VersionOf(cluster.Apply(
            at, version, "change-" + std::to_string(version))) == version + 1);
    cluster.Start(killed);
    REQUIRE(Eventually([&] {
      for (int node = 0; node < cluster.Size(); ++node) {
        observe(node);
      }
      return cluster.Get(killed, "/readyz") == 200 &&
             cluster.Version(killed) == version + 1;
    }));
  }
}

TEST_CASE("Configuration: an instance with a disk that alone has served a "
          "version is not "
          "ready with an older one after a restart")
{
  ClusterInstallation cluster({ { "zagreb-1", "zagreb" },
                                { "zagreb-2", "zagreb" },
                                { "zagreb-3", "zagreb" },
                                { "riga-1", "riga", true, false } });
  REQUIRE(cluster.WaitUntilReady());
  constexpr int kBehind = 3;
  REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(0, 0, "first")) == 1);
  REQUIRE(cluster.WaitForVersionOnAll(1));
  cluster.SetCut("riga", true);
  REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(0, 1, "second")) == 2);
  REQUIRE(cluster.WaitForVersion(0, 2));
  for (int node = 0; node < kBehind; ++node) {
    cluster.Kill(node);
  }
  // The only peer that it reaches has an older version.
  REQUIRE(cluster.Version(kBehind) == 1);
  const std::size_t logged = cluster.Log(0).size();
  cluster.Start(0);
  cluster.SetCut("riga", false);
  const bool hasAskedPeers = Eventually([&] {
    return cluster.Log(0).find("the group was not reached", logged) !=
           std::string::npos;
  });
  INFO(cluster.Log(0).substr(logged));
  REQUIRE(hasAskedPeers);
  CHECK(cluster.Get(0, "/readyz") == 503);
  const auto error = ErrorFromJson(cluster.Post(0).mBody);
  REQUIRE(error);
  CHECK(error->Kind() == ErrorKind::NotReady);
  cluster.Start(1);
  cluster.Start(2);
  REQUIRE(cluster.WaitUntilReady());
  CHECK(cluster.Version(0) == 2);
}

TEST_CASE("Configuration: a leader that is told to stop transfers leadership "
          "first")
{
  ClusterInstallation cluster(ThreeVoters(), "[drain]\nbalancer-delay = 2s\n");
  REQUIRE(cluster.WaitUntilReady());
  const int leader = cluster.WaitForLeader();
  REQUIRE(leader >= 0);
  cluster.Process(leader).Signal(SIGTERM);
  REQUIRE(Eventually([&] { return cluster.Get(leader, "/readyz") == 503; }));
  const int next = cluster.WaitForLeader(leader);
  REQUIRE(next >= 0);
  CHECK(Eventually([&] {
    const Json instances = cluster.Call(
      next, "instances.list", Json::object())["result"]["instances"];
    return instances[leader]["draining"] == true ||
           instances[leader]["health"] == "left";
  }));
  CHECK(cluster.Process(leader).Wait() == 0);
  CHECK(cluster.Log(leader).find("hands leadership over") != std::string::npos);
  CHECK(Eventually([&] {
    return cluster.Call(
             next,
             "instances.list",
             Json::object())["result"]["instances"][leader]["health"] == "left";
  }));
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(next, 0, "after")) == 1);
}

TEST_CASE("Configuration: a data centre that is cut off keeps serving, refuses "
          "changes and catches up")
{
  ClusterInstallation cluster(FourNodes());
  REQUIRE(cluster.WaitUntilReady());
  REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(0, 0, "before")) == 1);
  REQUIRE(cluster.WaitForVersionOnAll(1));
  cluster.SetCut("riga", true);
  for (const int node : { 2, 3 }) {
    INFO("at " << cluster.Name(node));
    REQUIRE(Eventually(
      [&] { return cluster.Metric(node, "configuration_has_leader") == 0; }));
    const Json refused = cluster.Call(
      node,
      "rules.apply",
      ClusterInstallation::Change(1, "cut-" + cluster.Name(node), "ivo", ""));
    CHECK(ClusterInstallation::KindOf(refused) == "no-quorum");
  }
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(0, 1, "other")) == 2);
  CHECK(cluster.WaitForVersion(1, 2));
  for (const int node : { 2, 3 }) {
    CHECK(cluster.Version(node) == 1);
    INFO(cluster.GetResponse(node, "/readyz").mBody);
    CHECK(cluster.Get(node, "/readyz") == 200);
    CHECK(VersionField(cluster.Post(node)) == "1");
  }
  // An instance that restarts there gets the version from its neighbour.
  cluster.Kill(3);
  cluster.Start(3);
  REQUIRE(Eventually([&] { return cluster.Get(3, "/readyz") == 200; }));
  CHECK(cluster.Version(3) == 1);

  cluster.SetCut("riga", false);
  CHECK(cluster.WaitForVersionOnAll(2));
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(3, 2, "mended")) == 3);
  CHECK(cluster.WaitForVersionOnAll(3));
}

TEST_CASE("Voters: an instance replaces a voter that is permanently lost")
{
  ClusterInstallation cluster({ { "zagreb-1", "zagreb" },
                                { "zagreb-2", "zagreb" },
                                { "riga-1", "riga" },
                                { "riga-2", "riga", true, false },
                                { "riga-3", "riga", false } });
  REQUIRE(cluster.WaitUntilReady());
  constexpr int kSpare = 3;
  constexpr int kDiskless = 4;
  const auto voters = [&](int aNode) {
    return cluster.Call(aNode, "voters.show", Json::object())["result"];
  };
  const auto change = [&](int aNode, const char* aMethod, int aSubject) {
    const Json before = voters(aNode);
    return cluster.Call(aNode,
                        aMethod,
                        { { "baseVersion", before["version"] },
                          { "requestId", "change-" + before["version"].dump() },
                          { "author", "ana" },
                          { "name", cluster.Name(aSubject) } });
  };
  const auto isVoter = [&](int aNode, int aSubject) {
    const Json members = voters(aNode)["voters"];
    for (const Json& row : members) {
      if (row["name"] == cluster.Name(aSubject) && row["state"] == "voter") {
        return true;
      }
    }
    return false;
  };
  CHECK(ClusterInstallation::KindOf(change(kSpare, "voters.add", kDiskless)) ==
        "invalid-argument");
  REQUIRE(ClusterInstallation::VersionOf(cluster.Apply(0, 0, "first")) == 1);

  cluster.Kill(0);
  REQUIRE(cluster.WaitForLeader(0) >= 0);
  // The request goes to an instance without a vote; the leader decides.
  REQUIRE(Eventually([&] {
    change(kDiskless, "voters.add", kSpare);
    return isVoter(kDiskless, kSpare);
  }));
  REQUIRE(Eventually([&] {
    change(kDiskless, "voters.remove", 0);
    return !isVoter(kDiskless, 0);
  }));
  CHECK(voters(kDiskless)["voters"].size() == 3);

  // The group now tolerates the loss of another initial voter.
  cluster.Kill(1);
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(kSpare, 1, "second")) ==
        2);
  // The new voter restarts from its disk, and a majority needs its vote.
  cluster.Kill(kSpare);
  cluster.Start(kSpare);
  CHECK(ClusterInstallation::VersionOf(cluster.Apply(kSpare, 2, "third")) == 3);
}

#include <algorithm>

#include <catch2/catch.hpp>

#include "CoreGroup.h"

using namespace almondspoke;
using almondspoke::testing::CoreGroup;
using std::chrono::seconds;

namespace {

std::size_t
VotersAt(CoreGroup& aGroup, const InstanceName& aObserver)
{
  return aGroup.Status(aObserver).mConfiguration.mVoters.size();
}

/** Restarts the replicas of a group with a target number of voters. */
void
StartWithTargetVoters(CoreGroup& aGroup, std::size_t aVoters)
{
  aGroup.mTargetVoterCount = aVoters;
  for (const char* name : { "a", "b", "c" }) {
    aGroup.Start(name);
  }
}

}

TEST_CASE(
  "Voters: an unresponsive voter is replaced by a learner automatically")
{
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 3);
  const InstanceName leader = group.AwaitLeader();
  group.Start("d");
  group.Advance(seconds(3));
  CHECK_FALSE(group.IsVoter("d", leader));
  const InstanceName lost = leader == "a" ? "b" : "a";
  group.Isolate(lost);
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter("d", leader); }));
  CHECK(VotersAt(group, leader) == 3);
  CHECK_FALSE(group.IsVoter(lost, leader));
  REQUIRE(group.Propose(leader, "after"));

  group.HealNetwork();
  group.Advance(seconds(5));
  CHECK(VotersAt(group, leader) == 3);
  CHECK(group.At(lost).mApplied.back() == "after");
}

TEST_CASE("Voters: a voter that is unresponsive for a short time is kept")
{
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 3);
  const InstanceName leader = group.AwaitLeader();
  group.Start("d");
  group.Advance(seconds(3));
  group.Isolate(leader == "a" ? "b" : "a");
  group.Advance(seconds(2));
  group.HealNetwork();
  group.Advance(seconds(5));
  CHECK_FALSE(group.IsVoter("d", leader));
}

TEST_CASE("Voters: learners are promoted up to the target number")
{
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 5);
  const InstanceName leader = group.AwaitLeader();
  for (const char* name : { "d", "e", "f" }) {
    group.Start(name);
  }
  REQUIRE(group.AdvanceUntil([&] { return VotersAt(group, leader) == 5; }));
  group.Advance(seconds(5));
  CHECK(VotersAt(group, leader) == 5);
}

TEST_CASE("Voters: neither of two voters is removed if one is lost")
{
  CoreGroup group({ "a", "b" });
  group.mTargetVoterCount = 2;
  group.Start("a");
  group.Start("b");
  const InstanceName leader = group.AwaitLeader();
  group.Isolate(leader == "a" ? "b" : "a");
  group.Advance(seconds(10));
  CHECK(VotersAt(group, leader) == 2);
}

TEST_CASE("Voters: replicas that must not bootstrap a group do not")
{
  CoreGroup group({ "a", "b", "c" });
  group.mMayBootstrap = false;
  for (const char* name : { "a", "b", "c" }) {
    group.Stop(name);
    group.At(name).mStorage.Wipe();
    group.Start(name);
  }
  group.Advance(seconds(30));
  CHECK(group.Leader().empty());
  CHECK(group.Status("a").mRole == ReplicaRole::Unadmitted);
}

// Guards against a group that is never created because one of its first voters
// was killed before the bootstrap and then started without permission to
// bootstrap.
TEST_CASE("Voters: a first voter that restarts before the bootstrap takes part")
{
  const std::string restarted = GENERATE("a", "b", "c");
  const bool isStorageLost = GENERATE(false, true);
  INFO(restarted << (isStorageLost ? " without its storage" : ""));
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 3);
  group.Isolate(restarted);
  group.Advance(seconds(2));
  CHECK(group.Leader().empty());
  group.Stop(restarted);
  if (isStorageLost) {
    group.At(restarted).mStorage.Wipe();
  }
  group.mMayBootstrap = false;
  group.Start(restarted);
  group.HealNetwork();
  // The only voter that bootstraps cannot tell a lost storage from a group that
  // it has lost.
  if (isStorageLost && restarted == "a") {
    group.Advance(seconds(30));
    CHECK(group.Leader().empty());
    return;
  }
  const InstanceName leader = group.AwaitLeader();
  REQUIRE_FALSE(leader.empty());
  CHECK(group.AdvanceUntil([&] { return group.IsVoter(restarted, leader); }));
  REQUIRE(group.Propose(leader, "first"));
  group.Advance(seconds(2));
  for (const char* name : { "a", "b", "c" }) {
    INFO(name);
    const auto& applied = group.At(name).mApplied;
    CHECK(std::count(applied.begin(), applied.end(), "first") == 1);
  }
}

TEST_CASE("Voters: a replica that was admitted never bootstraps a second group")
{
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 3);
  const InstanceName leader = group.AwaitLeader();
  REQUIRE(group.Propose(leader, "kept"));
  group.Advance(seconds(1));
  group.mMayBootstrap = false;
  for (const char* name : { "a", "b" }) {
    group.Stop(name);
    group.At(name).mStorage.Wipe();
    group.Start(name);
  }
  group.Isolate("c");
  group.Advance(seconds(30));
  CHECK(group.Leader().empty());
  CHECK(group.Status("a").mRole == ReplicaRole::Unadmitted);
}

TEST_CASE(
  "Voters: a replica with a lost disk rejoins as a learner if it must not "
  "bootstrap a group")
{
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 3);
  const InstanceName leader = group.AwaitLeader();
  REQUIRE(group.Propose(leader, "kept"));
  const InstanceName wiped = leader == "a" ? "b" : "a";
  group.Stop(wiped);
  group.At(wiped).mStorage.Wipe();
  group.mMayBootstrap = false;
  group.Start(wiped);
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter(wiped, leader); }));
  const auto& applied = group.At(wiped).mApplied;
  CHECK(std::find(applied.begin(), applied.end(), "kept") != applied.end());
}

TEST_CASE(
  "Voters: after a restart of all and the loss of one disk, another voter "
  "leads after the verify timeout")
{
  CoreGroup group({ "a", "b", "c" });
  StartWithTargetVoters(group, 3);
  const InstanceName leader = group.AwaitLeader();
  REQUIRE(group.Propose(leader, "kept"));
  group.Advance(seconds(1));
  for (const char* name : { "a", "b", "c" }) {
    group.Stop(name);
  }
  group.At("a").mStorage.Wipe();
  group.mMayBootstrap = false;
  group.mTimings.mVerifyTimeout = std::chrono::milliseconds(400);
  for (const char* name : { "a", "b", "c" }) {
    group.Start(name);
  }
  group.Advance(seconds(3));
  const InstanceName next = group.Leader();
  REQUIRE_FALSE(next.empty());
  CHECK(next != "a");
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter("a", next); }));
  const auto& applied = group.At("a").mApplied;
  CHECK(std::find(applied.begin(), applied.end(), "kept") != applied.end());
}

#include <algorithm>

#include <catch2/catch.hpp>

#include "CoreGroup.h"

using namespace almondspoke;
using almondspoke::testing::CoreGroup;
using almondspoke::testing::MemoryJournalStorage;
using almondspoke::testing::OtherThan;
using almondspoke::testing::ThirdOf;
using std::chrono::seconds;

// Guards against review/1: a replica whose disk refused one write stayed out of
// the group for good, so that three such disks in turn ended it.
TEST_CASE("Storage: three voters whose disks are full in turn all rejoin")
{
  CoreGroup group({ "a", "b", "c" });
  REQUIRE_FALSE(group.AwaitLeader().empty());
  for (const char* name : { "a", "b", "c" }) {
    MemoryJournalStorage& disk = group.At(name).mStorage;
    disk.SetCapacity(disk.Used());
    REQUIRE(group.Propose(group.AwaitLeader(), "while full"));
    REQUIRE(group.AdvanceUntil(
      [&] { return group.Status(name).mRole == ReplicaRole::Failed; }));
    group.Advance(seconds(1));
    CHECK_FALSE(group.Reopen(name));
    disk.Repair();
    REQUIRE(group.Reopen(name));
    REQUIRE_FALSE(group.AwaitLeader().empty());
    REQUIRE(group.Propose(group.AwaitLeader(), "after " + std::string(name)));
    REQUIRE(group.AdvanceUntil([&] {
      return group.At(name).mApplied == group.At(group.AwaitLeader()).mApplied;
    }));
    CHECK(group.IsVoter(name, group.AwaitLeader()));
  }
}

// Guards against a group that stands still after a majority of its disks was
// full at once.
TEST_CASE("Storage: two voters whose disks are full at once lose nothing")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  REQUIRE(group.Propose(leader, "kept"));
  group.Advance(seconds(1));
  const InstanceName first = OtherThan(leader);
  const InstanceName second = ThirdOf(leader, first);
  for (const InstanceName& name : { first, second }) {
    MemoryJournalStorage& disk = group.At(name).mStorage;
    disk.SetCapacity(disk.Used());
  }
  REQUIRE(group.Propose(leader, "without a majority"));
  group.Advance(seconds(3));
  CHECK(group.Leader().empty());
  CHECK(group.At(leader).mApplied.back() != "without a majority");
  for (const InstanceName& name : { first, second }) {
    group.At(name).mStorage.Repair();
    REQUIRE(group.Reopen(name));
  }
  REQUIRE_FALSE(group.AwaitLeader().empty());
  REQUIRE(group.Propose(group.AwaitLeader(), "after"));
  for (const InstanceName& name : { first, second }) {
    CHECK(group.AdvanceUntil([&] {
      const auto& applied = group.At(name).mApplied;
      return std::count(applied.begin(), applied.end(), "kept") == 1 &&
             std::count(applied.begin(), applied.end(), "after") == 1;
    }));
  }
}

// Guards against a replica that is lost when its disk fills again while it
// verifies its storage.
TEST_CASE("Storage: a disk that fails again while its replica rejoins")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName full = OtherThan(leader);
  group.At(full).mStorage.SetSyncFails(true);
  REQUIRE(group.Propose(leader, "one"));
  REQUIRE(group.Status(full).mRole == ReplicaRole::Failed);
  group.Isolate(full);
  group.At(full).mStorage.Repair();
  REQUIRE(group.Reopen(full));
  REQUIRE(group.Status(full).mRole == ReplicaRole::Verifying);
  group.At(full).mStorage.SetCapacity(0);
  group.HealNetwork();
  REQUIRE(group.Propose(leader, "two"));
  REQUIRE(group.AdvanceUntil(
    [&] { return group.Status(full).mRole == ReplicaRole::Failed; }));
  group.At(full).mStorage.Repair();
  REQUIRE(group.Reopen(full));
  CHECK(group.AdvanceUntil([&] {
    return group.At(full).mApplied == group.At(group.AwaitLeader()).mApplied;
  }));
}

// Guards against a leader that never takes part again after its disk failed.
TEST_CASE("Storage: a leader whose disk failed rejoins and leads again")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Advance(seconds(1));
  group.At(leader).mStorage.SetSyncFails(true);
  group.Propose(leader, "not durable here");
  REQUIRE(group.Status(leader).mRole == ReplicaRole::Failed);
  const InstanceName next = group.AwaitLeader();
  REQUIRE(next != leader);
  group.At(leader).mStorage.Repair();
  REQUIRE(group.Reopen(leader));
  REQUIRE(group.Propose(next, "after"));
  REQUIRE(group.AdvanceUntil(
    [&] { return group.At(leader).mApplied == group.At(next).mApplied; }));
  group.Stop(next);
  group.Stop(ThirdOf(leader, next));
  group.Start(ThirdOf(leader, next));
  CHECK_FALSE(group.AwaitLeader().empty());
}

// Guards against believing what a failed sync left behind: it can be read, and
// yet a loss of power takes it.
TEST_CASE("Storage: what a replica acknowledges after a failed sync survives a "
          "loss of power")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName follower = OtherThan(leader);
  group.Isolate(ThirdOf(leader, follower));
  group.At(follower).mStorage.SetSyncFails(true);
  REQUIRE(group.Propose(leader, "acknowledged later"));
  REQUIRE(group.Status(follower).mRole == ReplicaRole::Failed);
  CHECK(group.At(leader).mApplied.back() != "acknowledged later");
  group.At(follower).mStorage.Repair();
  REQUIRE(group.Reopen(follower));
  REQUIRE(group.AdvanceUntil([&] {
    const auto& applied = group.At(leader).mApplied;
    return std::count(applied.begin(), applied.end(), "acknowledged later") ==
           1;
  }));
  // The only other copy goes, and with it the leader that knows of it.
  group.Stop(leader);
  group.Stop(follower);
  group.HealNetwork();
  group.Start(follower);
  const InstanceName next = group.AwaitLeader();
  REQUIRE_FALSE(next.empty());
  const auto& applied = group.At(next).mApplied;
  CHECK(std::count(applied.begin(), applied.end(), "acknowledged later") == 1);
}

// Guards against a second vote in one term after a disk failure.
TEST_CASE("Storage: a replica that rejoins after a disk failure does not vote "
          "twice in a term")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName first = group.AwaitLeader();
  const InstanceName voter = OtherThan(first);
  const InstanceName third = ThirdOf(first, voter);
  group.Advance(seconds(1));
  group.Stop(first);
  REQUIRE_FALSE(group.AwaitLeader().empty());
  const Term term = group.Status(voter).mTerm;
  const InstanceName leader = group.AwaitLeader();
  const InstanceName other = leader == voter ? third : voter;
  group.At(other).mStorage.SetSyncFails(true);
  group.Propose(leader, "fails");
  REQUIRE(group.Status(other).mRole == ReplicaRole::Failed);
  group.Isolate(other);
  group.At(other).mStorage.Repair();
  REQUIRE(group.Reopen(other));
  REQUIRE(group.AdvanceUntil(
    [&] { return group.Status(other).mRole != ReplicaRole::Verifying; }));

  ConsensusMessage request;
  request.mKind = MessageKind::Vote;
  request.mIncarnation = 100;
  request.mBootstrapId = 0;
  request.mTargetIncarnation = group.Status(other).mSelf.mIncarnation;
  request.mTerm = term;
  request.mLogTerm = term + 1;
  request.mIndex = 1000;
  request.mSecondFlag = true;
  std::size_t granted = 0;
  group.HealNetwork();
  group.mDropMessage = [&](const OutgoingMessage& aOutgoing) {
    const bool grants = aOutgoing.mMessage.mKind == MessageKind::VoteReply &&
                        aOutgoing.mMessage.mTerm == term &&
                        !aOutgoing.mMessage.mFlag;
    granted += grants && aOutgoing.mTo == "rival" ? 1 : 0;
    return false;
  };
  group.Core(other).Receive(group.mNow, "rival", std::move(request));
  group.Collect(other);
  group.Advance(seconds(1));
  CHECK(granted == 0);
}

// Guards against a replica that goes on with storage that lost what it had
// confirmed, and against a state machine that goes back meanwhile.
TEST_CASE("Storage: a failed disk that comes back older is discarded, and the "
          "state machine does not go back")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName old = OtherThan(leader);
  group.Advance(seconds(3));
  const auto copy = group.At(old).mStorage.Copy();
  REQUIRE(group.Propose(leader, "after the copy"));
  group.Advance(seconds(1));
  const std::vector<std::string> applied = group.At(old).mApplied;
  const StorageIncarnation before = group.Status(old).mSelf.mIncarnation;
  group.At(old).mStorage.SetSyncFails(true);
  REQUIRE(group.Propose(leader, "fails"));
  REQUIRE(group.Status(old).mRole == ReplicaRole::Failed);
  group.Isolate(old);
  group.At(old).mStorage.SetFiles(copy);
  group.At(old).mStorage.Repair();
  REQUIRE(group.Reopen(old));
  CHECK(group.Status(old).mSelf.mIncarnation != before);
  CHECK(group.At(old).mApplied == applied);
  group.HealNetwork();
  REQUIRE(group.AdvanceUntil([&] {
    return group.IsVoter(old, group.AwaitLeader()) &&
           group.At(old).mApplied == group.At(leader).mApplied;
  }));
}

// Guards against a snapshot of a state that the log does not reach yet.
TEST_CASE("Storage: a replica that lost a long log to its disk catches up by "
          "snapshot without repeating an entry")
{
  ConsensusLimits limits;
  limits.mCompactionEntries = 20;
  limits.mMaxRetainedEntries = 2;
  limits.mMaxSnapshotChunkBytes = 16;
  CoreGroup group({ "a", "b", "c" }, limits);
  const InstanceName leader = group.AwaitLeader();
  const InstanceName lost = OtherThan(leader);
  for (int command = 0; command < 100; ++command) {
    REQUIRE(group.Propose(leader, std::to_string(command)));
  }
  group.Advance(seconds(1));
  group.At(lost).mStorage.SetSyncFails(true);
  REQUIRE(group.Propose(leader, "fails"));
  REQUIRE(group.Status(lost).mRole == ReplicaRole::Failed);
  group.At(lost).mStorage.SetFiles({});
  group.At(lost).mStorage.Repair();
  REQUIRE(group.Reopen(lost));
  for (int command = 100; command < 200; ++command) {
    group.Propose(group.AwaitLeader(), std::to_string(command));
  }
  CHECK(group.AdvanceUntil([&] {
    return group.At(lost).mApplied == group.At(group.AwaitLeader()).mApplied;
  }));
}

#include <catch2/catch.hpp>

#include "CoreGroup.h"

using namespace almondspoke;
using almondspoke::testing::CoreGroup;
using almondspoke::testing::OtherThan;
using almondspoke::testing::ThirdOf;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Storage: a voter that lost its disk does not vote until readmitted")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName wiped = OtherThan(leader);
  const InstanceName third = ThirdOf(leader, wiped);
  REQUIRE(group.Propose(leader, "kept"));
  group.Advance(seconds(1));

  group.Stop(wiped);
  group.At(wiped).mStorage.SetFiles({});
  group.Stop(leader);
  group.Start(wiped);
  // The third replica alone is not a majority, and the wiped one must not vote.
  group.Advance(seconds(30));
  CHECK(group.Leader().empty());
  CHECK(group.Status(wiped).mRole == ReplicaRole::Unadmitted);
  CHECK_FALSE(group.Core(third).IsLeading());

  group.Start(leader);
  REQUIRE_FALSE(group.AwaitLeader().empty());
  REQUIRE(group.AdvanceUntil(
    [&] { return group.IsVoter(wiped, group.AwaitLeader()); }));
  CHECK(group.AdvanceUntil(
    [&] { return group.At(wiped).mApplied == group.At(third).mApplied; }));
  CHECK(group.Status(third).mConfiguration.mVoters.size() == 3);
}

TEST_CASE(
  "Storage: after one lost disk is readmitted, a second loss is tolerated")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName wiped = OtherThan(leader);
  const InstanceName third = ThirdOf(leader, wiped);
  REQUIRE(group.Propose(leader, "kept"));
  group.Stop(wiped);
  group.At(wiped).mStorage.SetFiles({});
  group.Start(wiped);
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter(wiped, leader); }));

  group.Stop(leader);
  group.At(leader).mStorage.SetFiles({});
  const InstanceName next = group.AwaitLeader();
  REQUIRE_FALSE(next.empty());
  CHECK(group.Propose(next, "after"));
  const auto& applied = group.At(wiped).mApplied;
  CHECK(std::count(applied.begin(), applied.end(), "kept") == 1);
  group.Start(leader);
  CHECK(group.AdvanceUntil([&] { return group.IsVoter(leader, next); }));
}

TEST_CASE("Storage: a voter with an older copy of its disk is readmitted under "
          "a new incarnation")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName old = OtherThan(leader);
  group.Advance(seconds(3));
  const auto copy = group.At(old).mStorage.Copy();
  const StorageIncarnation before = group.Status(old).mSelf.mIncarnation;
  REQUIRE(group.Propose(leader, "after the copy"));
  group.Advance(seconds(3));

  group.Stop(old);
  group.At(old).mStorage.SetFiles(copy);
  group.Start(old);
  REQUIRE(group.AdvanceUntil(
    [&] { return group.Status(old).mSelf.mIncarnation != before; }));
  CHECK_FALSE(group.IsVoter(old, leader));
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter(old, leader); }));
  CHECK(group.AdvanceUntil(
    [&] { return group.At(old).mApplied == group.At(leader).mApplied; }));
}

TEST_CASE(
  "Storage: a voter with an older copy cannot elect a leader that lacks "
  "an acknowledged entry")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName old = OtherThan(leader);
  const InstanceName lagging = ThirdOf(leader, old);
  group.Advance(seconds(3));
  const auto copy = group.At(old).mStorage.Copy();
  group.Isolate(lagging);
  REQUIRE(group.Propose(leader, "acknowledged"));
  REQUIRE(group.At(leader).mApplied.back() == "acknowledged");

  // The restored copy and the lagging voter form a majority that lacks the
  // entry.
  group.Stop(old);
  group.At(old).mStorage.SetFiles(copy);
  group.HealNetwork();
  group.Isolate(leader);
  group.Start(old);
  group.Advance(seconds(4));
  CHECK(group.Leader().empty());

  group.HealNetwork();
  REQUIRE(group.AdvanceUntil([&] {
    const auto& applied = group.At(lagging).mApplied;
    return std::count(applied.begin(), applied.end(), "acknowledged") == 1;
  }));
}

TEST_CASE("Storage: two restarted voters continue without the third")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  REQUIRE(group.Propose(leader, "kept"));
  group.Advance(seconds(1));
  for (const char* name : { "a", "b", "c" }) {
    group.Stop(name);
  }
  group.Start("a");
  group.Start("b");
  const InstanceName next = group.AwaitLeader();
  REQUIRE_FALSE(next.empty());
  const auto& applied = group.At(next).mApplied;
  CHECK(std::count(applied.begin(), applied.end(), "kept") == 1);
}

TEST_CASE("Storage: a leader whose sync fails transfers leadership and "
          "acknowledges nothing")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Advance(seconds(1));
  const std::size_t applied = group.At(leader).mApplied.size();
  group.At(leader).mStorage.SetSyncFails(true);
  group.Propose(leader, "not durable here");
  CHECK(group.Status(leader).mRole == ReplicaRole::Failed);
  CHECK(group.At(leader).mApplied.size() == applied);
  group.Advance(seconds(2));
  const InstanceName next = group.Leader();
  CHECK_FALSE(next.empty());
  CHECK(next != leader);
  CHECK(group.Status(leader).mRole == ReplicaRole::Failed);
}

TEST_CASE("Storage: a follower whose disk is full becomes inactive")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName full = OtherThan(leader);
  group.Advance(seconds(1));
  group.At(full).mStorage.SetCapacity(group.At(full).mStorage.Used() + 5);
  REQUIRE(group.Propose(leader, "larger than the remaining capacity"));
  CHECK(group.Status(full).mRole == ReplicaRole::Failed);
  CHECK(group.At(leader).mApplied.back() ==
        "larger than the remaining capacity");

  group.Stop(full);
  group.At(full).mStorage.SetCapacity(~std::size_t{ 0 });
  group.Start(full);
  CHECK(group.AdvanceUntil(
    [&] { return group.At(full).mApplied == group.At(leader).mApplied; }));
}

TEST_CASE("Storage: a learner catches up by snapshot and becomes a voter")
{
  ConsensusLimits limits;
  limits.mCompactionEntries = 20;
  limits.mMaxRetainedEntries = 2;
  limits.mMaxSnapshotChunkBytes = 16;
  CoreGroup group({ "a", "b", "c" }, limits);
  const InstanceName leader = group.AwaitLeader();
  for (int command = 0; command < 200; ++command) {
    REQUIRE(group.Propose(leader, std::to_string(command)));
  }
  REQUIRE(group.Status(leader).mSnapshot > 100);
  group.Start("d");
  REQUIRE(group.AdvanceUntil(
    [&] { return group.At("d").mApplied == group.At(leader).mApplied; }));
  CHECK(group.Status("d").mSnapshot > 0);
  CHECK(group.Status("d").mRole == ReplicaRole::Learner);

  REQUIRE(group.AddVoter(leader, "d"));
  group.Collect(leader);
  CHECK(group.AdvanceUntil([&] { return group.IsVoter("d", leader); }));
  CHECK(group.Status(leader).mConfiguration.mVoters.size() == 4);
}

TEST_CASE("Membership: a voter is replaced by another instance, the leader "
          "included")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Start("d");
  REQUIRE(group.AddVoter(leader, "d"));
  group.Collect(leader);
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter("d", leader); }));
  REQUIRE(group.RemoveVoter(leader, leader));
  group.Collect(leader);
  REQUIRE(group.AdvanceUntil([&] {
    const InstanceName next = group.Leader();
    return !next.empty() && next != leader;
  }));
  const InstanceName next = group.Leader();
  CHECK(group.Status(next).mConfiguration.mVoters.size() == 3);
  CHECK(group.AdvanceUntil(
    [&] { return group.Status(leader).mRole == ReplicaRole::Learner; }));
}

TEST_CASE("Membership: invalid changes are rejected with a specific error")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName follower = OtherThan(leader);
  group.Advance(milliseconds(100));
  CHECK(group.AddVoter(follower, "x").error().Kind() == ErrorKind::NotLeader);
  const auto known = group.AddVoter(leader, "a");
  CHECK(known.error().Kind() == ErrorKind::InvalidArgument);
  CHECK(known.error().Message() ==
        "'a' is already a voter or is being added as one");
  const auto absent = group.RemoveVoter(leader, "x");
  CHECK(absent.error().Message() == "'x' is not a voter");
  CHECK(group.AddVoter(leader, "x"));
  CHECK(group.AddVoter(leader, "y").error().Kind() == ErrorKind::NoQuorum);
}

TEST_CASE("Membership: a change by an operator is applied once, even if it is "
          "repeated at the next leader")
{
  CoreGroup group({ "a", "b", "c" });
  group.Start("d");
  InstanceName leader = group.AwaitLeader();
  const std::uint64_t base = group.Status(leader).mConfiguration.mVersion;
  const VoterChange add = { "add-d", "ana", "d", false, base };
  const auto change = [&](const VoterChange& aChange) {
    auto version = group.Core(leader).ChangeVoters(group.mNow, aChange);
    group.Collect(leader);
    group.Advance(milliseconds(100));
    return version;
  };
  CHECK(change(add).value() == base + 1);
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter("d", leader); }));
  const VoterChange remove = { "remove-d", "ivo", "d", true, base + 2 };
  CHECK(change(remove).value() == base + 3);

  group.Stop(leader);
  group.Advance(milliseconds(500));
  leader = group.AwaitLeader();
  CHECK(change(add).value() == base + 1);
  CHECK(change(remove).value() == base + 3);
  const GroupConfiguration members = group.Status(leader).mConfiguration;
  CHECK(members.mVersion == base + 3);
  CHECK(members.FindVoter("d") == nullptr);

  const auto reused = change({ "add-d", "ana", "e", false, base + 3 });
  CHECK(reused.error().Kind() == ErrorKind::KeyConflict);
  const auto late = change({ "late", "eva", "d", false, base });
  CHECK(late.error().Kind() == ErrorKind::VersionConflict);
  CHECK(late.error().Message().find("'ivo' (request id 'remove-d')") !=
        std::string::npos);
}

TEST_CASE("Membership: a new voter counts while another is permanently lost")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName first = group.AwaitLeader();
  group.Start("d");
  group.Start("e", false);
  group.Advance(seconds(2));
  group.Stop(first);
  const InstanceName leader = group.AwaitLeader();
  group.Advance(seconds(2));
  REQUIRE(group.AddVoter(leader, "d"));
  group.Collect(leader);
  REQUIRE(group.AdvanceUntil([&] { return group.IsVoter("d", leader); }));
  REQUIRE(group.RemoveVoter(leader, first));
  group.Collect(leader);
  group.Advance(seconds(1));
  CHECK(group.Status(leader).mConfiguration.mVoters.size() == 3);
}

TEST_CASE("Membership: the last voter cannot be removed")
{
  CoreGroup group({ "a" });
  REQUIRE(group.AwaitLeader() == "a");
  const std::uint64_t base = group.Status("a").mConfiguration.mVersion;
  const auto refused =
    group.Core("a").ChangeVoters(group.mNow, { "r", "ana", "a", true, base });
  CHECK(refused.error().Message() == "'a' is the last voter");
}

TEST_CASE("Storage: a diskless learner is never promoted")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Start("d", false);
  REQUIRE(group.AddVoter(leader, "d"));
  group.Collect(leader);
  group.Advance(seconds(20));
  CHECK(group.At("d").mApplied == group.At(leader).mApplied);
  CHECK_FALSE(group.IsVoter("d", leader));
}

TEST_CASE("Core: proposals beyond the limit are rejected")
{
  ConsensusLimits limits;
  limits.mMaxUncommittedEntries = 10;
  CoreGroup group({ "a", "b", "c" }, limits);
  const InstanceName leader = group.AwaitLeader();
  group.Isolate(leader);
  for (int command = 0; command < 10; ++command) {
    REQUIRE(group.Core(leader).Propose(group.mNow, "x"));
  }
  const auto refused = group.Core(leader).Propose(group.mNow, "x");
  CHECK(refused.error().Kind() == ErrorKind::QueueFull);
}

TEST_CASE("Membership: a learner is promoted only once it has caught up")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  REQUIRE(group.Propose(leader, "kept"));
  group.mDropMessage = [](const OutgoingMessage& aOutgoing) {
    return aOutgoing.mTo == "d" &&
           aOutgoing.mMessage.mKind == MessageKind::Append;
  };
  group.Start("d");
  REQUIRE(group.AddVoter(leader, "d"));
  group.Collect(leader);
  group.Advance(seconds(10));
  CHECK_FALSE(group.IsVoter("d", leader));
  group.mDropMessage = nullptr;
  CHECK(group.AdvanceUntil([&] { return group.IsVoter("d", leader); }));
}

TEST_CASE("Core: an entry of an earlier term is not committed by replica "
          "count alone")
{
  ConsensusLimits limits;
  limits.mMaxBatchEntries = 1;
  CoreGroup group({ "a", "b", "c" }, limits);
  const InstanceName first = group.AwaitLeader();
  const InstanceName second = OtherThan(first);
  const InstanceName third = ThirdOf(first, second);
  group.Advance(seconds(1));
  group.Isolate(third);
  group.CutLink(second, first);
  REQUIRE(group.Propose(first, "earlier"));
  const LogIndex index = group.Status(first).mLast;
  REQUIRE(group.Status(second).mLast == index);
  group.Stop(first);
  group.HealNetwork();
  // The third replica receives this entry and none after it.
  group.mDropMessage = [&](const OutgoingMessage& aOutgoing) {
    return aOutgoing.mTo == third &&
           aOutgoing.mMessage.mKind == MessageKind::Append &&
           aOutgoing.mMessage.mIndex == index &&
           group.Status(third).mLast >= index;
  };
  REQUIRE(group.AdvanceUntil([&] {
    return group.Core(second).IsLeading() && group.Status(third).mLast >= index;
  }));
  group.Advance(milliseconds(300));
  CHECK(group.Status(second).mCommitIndex < index);
  group.mDropMessage = nullptr;
  CHECK(group.AdvanceUntil(
    [&] { return group.Status(second).mCommitIndex > index; }));
}

TEST_CASE("Storage: a voter with an older copy does not vote again in a term "
          "that its peers have reached")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName first = group.AwaitLeader();
  const InstanceName voter = OtherThan(first);
  const InstanceName third = ThirdOf(first, voter);
  group.Advance(seconds(1));
  const auto copy = group.At(voter).mStorage.Copy();
  group.Stop(first);
  REQUIRE_FALSE(group.AwaitLeader().empty());
  const Term term = group.Status(voter).mTerm;
  // All stop, so that no running replica knows who voted.
  group.Stop(voter);
  group.Stop(third);
  group.At(voter).mStorage.SetFiles(copy);
  group.Start(voter);
  group.Start(third);
  group.Start(first);
  REQUIRE(group.AdvanceUntil(
    [&] { return group.Status(voter).mRole == ReplicaRole::Follower; }));
  REQUIRE(group.Status(voter).mTerm == term);

  ConsensusMessage request;
  request.mKind = MessageKind::Vote;
  request.mIncarnation = 100;
  request.mTargetIncarnation = group.Status(voter).mSelf.mIncarnation;
  request.mTerm = term;
  request.mLogTerm = term;
  request.mIndex = 1000;
  request.mSecondFlag = true;
  bool granted = false;
  group.mDropMessage = [&](const OutgoingMessage& aOutgoing) {
    const ConsensusMessage& message = aOutgoing.mMessage;
    granted = granted || (message.mKind == MessageKind::VoteReply &&
                          message.mTerm == term && !message.mFlag);
    return false;
  };
  group.Core(voter).Receive(group.mNow, third, std::move(request));
  group.Collect(voter);
  group.Deliver();
  CHECK_FALSE(granted);
}

TEST_CASE("Core: a leader counts its own copy only once it is durable")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName other = OtherThan(leader);
  group.Advance(seconds(1));
  group.Isolate(ThirdOf(leader, other));
  group.At(leader).mWritesStalled = true;
  const LogIndex before = group.Status(leader).mCommitIndex;
  REQUIRE(group.Propose(leader, "x"));
  REQUIRE(group.Status(other).mSynced == before + 1);
  group.Advance(milliseconds(300));
  CHECK(group.Status(leader).mCommitIndex == before);
  CHECK(group.Status(other).mCommitIndex == before);
}

TEST_CASE("Core: a heartbeat commits only an entry of the term that it names")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName other = OtherThan(leader);
  group.Advance(seconds(1));
  group.mDropMessage = [&](const OutgoingMessage& aOutgoing) {
    return aOutgoing.mTo == other &&
           aOutgoing.mMessage.mKind == MessageKind::Heartbeat;
  };
  REQUIRE(group.Propose(leader, "x"));
  const CoreStatus before = group.Status(other);
  REQUIRE(before.mCommitIndex < before.mLast);
  ConsensusMessage heartbeat;
  heartbeat.mKind = MessageKind::Heartbeat;
  heartbeat.mBootstrapId = 1;
  group.mDropMessage = [&](const OutgoingMessage& aOutgoing) {
    if (aOutgoing.mTo != other ||
        aOutgoing.mMessage.mKind != MessageKind::Heartbeat) {
      return false;
    }
    heartbeat = aOutgoing.mMessage;
    return true;
  };
  group.Advance(milliseconds(300));
  REQUIRE(heartbeat.mCommitIndex == before.mLast);
  heartbeat.mLogTerm += 1;
  group.Core(other).Receive(group.mNow, leader, ConsensusMessage(heartbeat));
  CHECK(group.Status(other).mCommitIndex == before.mCommitIndex);
  heartbeat.mLogTerm -= 1;
  group.Core(other).Receive(group.mNow, leader, ConsensusMessage(heartbeat));
  CHECK(group.Status(other).mCommitIndex == before.mLast);
}

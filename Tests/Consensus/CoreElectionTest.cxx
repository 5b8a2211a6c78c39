#include <catch2/catch.hpp>

#include "CoreGroup.h"

using namespace almondspoke;
using almondspoke::testing::CoreGroup;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

InstanceName
OtherThan(const InstanceName& aName)
{
  return aName == "a" ? "b" : "a";
}

}

TEST_CASE("Election: the only voter of a group becomes its leader")
{
  CoreGroup group({ "a" });
  REQUIRE(group.AwaitLeader() == "a");
  CHECK(group.Propose("a", "x"));
  CHECK(group.At("a").mApplied.back() == "x");
}

TEST_CASE("Election: a group forms only once all initial voters have started")
{
  CoreGroup group({ "a", "b", "c" });
  group.Isolate("c");
  group.Advance(seconds(30));
  CHECK(group.Leader().empty());
  CHECK(group.Status("a").mRole == ReplicaRole::Unadmitted);
  group.HealNetwork();
  CHECK_FALSE(group.AwaitLeader().empty());
}

TEST_CASE("Election: a new leader is elected within a second")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName first = group.AwaitLeader();
  REQUIRE_FALSE(first.empty());
  group.Advance(seconds(5));
  group.Stop(first);
  const auto stopped = group.mNow;
  const InstanceName second = group.AwaitLeader();
  CHECK(second != first);
  // Simulated time, which excludes delays of the machine.
  CHECK(group.mNow - stopped <= milliseconds(1000));
}

TEST_CASE("Election: a split vote is retried before the election timeout")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName first = group.AwaitLeader();
  group.Advance(seconds(5));
  const Term term = group.Status(first).mTerm;
  group.Stop(first);
  // Both others start an election in the same step and vote for themselves.
  const ConsensusTimings timings;
  group.Advance(timings.mElectionTimeoutMax, timings.mElectionTimeoutMax);
  REQUIRE(group.Leader().empty());
  group.Advance(timings.mElectionRetryTimeoutMax, milliseconds(1));
  REQUIRE_FALSE(group.Leader().empty());
  CHECK(group.Status(group.Leader()).mTerm == term + 2);
}

TEST_CASE("Election: a voter isolated for an hour rejoins without an election")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName isolated = OtherThan(leader);
  group.Advance(seconds(2));
  const Term term = group.Status(leader).mTerm;
  group.Isolate(isolated);
  group.Advance(hours(1), milliseconds(100));

  CHECK(group.Status(isolated).mTerm == term);
  group.Read(isolated, 1);
  group.Advance(seconds(2));
  CHECK_FALSE(group.At(isolated).mReads.at(1));
  CHECK_FALSE(group.Propose(isolated, "lost"));

  group.HealNetwork();
  group.Advance(seconds(10));
  CHECK(group.Leader() == leader);
  CHECK(group.Status(leader).mTerm == term);
  CHECK(group.Status(isolated).mLeader == leader);
}

TEST_CASE("Election: a leader without a quorum steps down and acknowledges "
          "nothing")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Isolate(leader);
  const std::size_t applied = group.At(leader).mApplied.size();
  group.Propose(leader, "never acknowledged");
  group.Read(leader, 7);
  group.Advance(seconds(2));

  CHECK_FALSE(group.Core(leader).IsLeading());
  CHECK_FALSE(group.Core(leader).LeaseExpiry());
  CHECK(group.At(leader).mApplied.size() == applied);
  CHECK_FALSE(group.At(leader).mReads.at(7));
}

TEST_CASE(
  "Election: a leader that receives no replies loses its lease and steps "
  "down")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  for (const char* other : { "a", "b", "c" }) {
    if (other != leader) {
      group.CutLink(other, leader);
    }
  }
  group.Advance(milliseconds(450));
  CHECK_FALSE(group.Status(leader).mLeaseHeld);
  REQUIRE(group.AdvanceUntil([&] {
    const InstanceName next = group.Leader();
    return !next.empty() && next != leader;
  }));
  CHECK_FALSE(group.Core(leader).IsLeading());
}

TEST_CASE("Election: leadership is transferred without waiting for a timeout")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Advance(seconds(1));
  REQUIRE(group.Propose(leader, "x"));
  REQUIRE(group.Core(leader).TransferLeadership(group.mNow));
  CHECK_FALSE(group.Core(leader).Propose(group.mNow, "refused"));
  CHECK_FALSE(group.Core(leader).LeaseExpiry());
  group.Collect(leader);
  group.Deliver();
  group.Advance(milliseconds(100));
  const InstanceName next = group.Leader();
  CHECK_FALSE(next.empty());
  CHECK(next != leader);
}

TEST_CASE("Election: a leader steps down if its transfer fails")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  group.Advance(seconds(1));
  group.Isolate(leader);
  REQUIRE(group.Core(leader).TransferLeadership(group.mNow));
  group.Collect(leader);
  group.Advance(seconds(1));
  CHECK_FALSE(group.Core(leader).IsLeading());
}

TEST_CASE("Election: a vote survives a restart while no peer is reachable")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName voter = OtherThan(leader);
  const Term next = group.Status(leader).mTerm + 1;
  group.Advance(seconds(1));
  group.Isolate(voter);
  group.Advance(seconds(1));

  ConsensusMessage request;
  request.mKind = MessageKind::Vote;
  request.mIncarnation = 100;
  request.mTargetIncarnation = group.Status(voter).mSelf.mIncarnation;
  request.mTerm = next;
  request.mLogTerm = next;
  request.mIndex = 1000;
  const auto requestVote = [&](const InstanceName& aCandidate) {
    ConsensusMessage copy = request;
    group.Core(voter).Receive(group.mNow, aCandidate, std::move(copy));
    // The first effects contain the write; the second contain the messages that
    // wait for it.
    std::vector<OutgoingMessage> replies;
    for (int round = 0; round < 2; ++round) {
      CoreEffects effects = group.Core(voter).TakeEffects(group.mNow);
      if (!effects.mWrites.empty()) {
        REQUIRE(group.At(voter).mJournal->Write(effects.mWrites));
        group.Core(voter).DiskCompleted(group.mNow,
                                        effects.mWrites.back().mSequence);
      }
      replies.insert(
        replies.end(), effects.mMessages.begin(), effects.mMessages.end());
    }
    REQUIRE(replies.size() == 1);
    REQUIRE(replies[0].mMessage.mKind == MessageKind::VoteReply);
    return !replies[0].mMessage.mFlag;
  };
  REQUIRE(requestVote("x"));
  group.Stop(voter);
  group.Start(voter);
  group.Advance(seconds(6));
  CHECK_FALSE(requestVote("y"));
  CHECK(requestVote("x"));
}

TEST_CASE("Election: a voter that hears a leader ignores other candidates")
{
  CoreGroup group({ "a", "b", "c" });
  const InstanceName leader = group.AwaitLeader();
  const InstanceName voter = OtherThan(leader);
  group.Advance(seconds(1));
  const Term term = group.Status(voter).mTerm;

  ConsensusMessage request;
  request.mKind = MessageKind::Vote;
  request.mIncarnation = 100;
  request.mTargetIncarnation = group.Status(voter).mSelf.mIncarnation;
  request.mTerm = term + 1;
  request.mLogTerm = term + 1;
  request.mIndex = 1000;
  group.Core(voter).Receive(group.mNow, "x", std::move(request));
  CHECK(group.Core(voter).TakeEffects(group.mNow).mMessages.empty());
  CHECK(group.Status(voter).mTerm == term);
  group.Advance(seconds(5));
  CHECK(group.Leader() == leader);
}

#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "JobsFixture.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;
using Behaviour = FakeTaskSender::Behaviour;

namespace {

void
KeepFirstWorker(JobsFixture& aFixture, std::uint32_t aSlots)
{
  aFixture.mEndpoints.mEndpoints.resize(1);
  aFixture.mEndpoints.mEndpoints[0].mAnnouncement.mSlots = aSlots;
  aFixture.mEndpoints.Notify();
}

}

TEST_CASE("Placement: a large job does not block small ones")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const Reply large = fixture.mA.Submit("zagreb:large", JobBody(580));
  const Reply small = fixture.mA.Submit("zagreb:small", JobBody(2));
  // 8 tasks run at a time. The small job is placed as the next tasks end.
  int ended = 0;
  while (!small->mAnswer && ended < 580) {
    const std::string attempt =
      fixture.mSender.mHeld.front().mAttempt.mAttemptId;
    fixture.mSender.End(attempt, FakeTaskSender::Answered(200, ""));
    ++ended;
  }
  CHECK(ended <= 16);
  CHECK_FALSE(large->mAnswer);
}

TEST_CASE("Placement: a large job does not starve behind small ones")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const Reply large = fixture.mA.Submit("zagreb:large", JobBody(40), 600s);
  int next = 0;
  const auto keepTenSmallJobsQueued = [&] {
    while (fixture.mA.mRunner.QueuedJobCount() < 11) {
      fixture.mA.Submit("zagreb:" + std::to_string(next++), JobBody(1), 0ms);
    }
  };
  int ended = 0;
  while (!large->mAnswer && ended < 1000) {
    keepTenSmallJobsQueued();
    const std::string attempt =
      fixture.mSender.mHeld.front().mAttempt.mAttemptId;
    fixture.mSender.End(attempt, FakeTaskSender::Answered(200, ""));
    ++ended;
  }
  CHECK(large->mAnswer);
  // It gets one in eleven placements, since it shares with ten small jobs.
  CHECK(ended < 400);
}

TEST_CASE("Placement: a task that requires a whole worker is placed eventually")
{
  JobsFixture fixture;
  KeepFirstWorker(fixture, 8);
  fixture.mSender.mBehaviour = Behaviour::Hold;
  int next = 0;
  const auto submitSmall = [&] {
    fixture.mA.Submit("zagreb:" + std::to_string(next++), JobBody(1), 0ms);
  };
  for (int job = 0; job < 20; ++job) {
    submitSmall();
  }
  const Reply whole =
    fixture.mA.Submit("zagreb:whole", JobBody(1, R"(,"cores":4)"), 600s);
  int ended = 0;
  while (fixture.mSender.mStarts.count("zagreb:whole#0") == 0 && ended < 500) {
    const std::string attempt =
      fixture.mSender.mHeld.front().mAttempt.mAttemptId;
    fixture.mSender.End(attempt, FakeTaskSender::Answered(200, ""));
    submitSmall();
    fixture.Run(100ms);
    ++ended;
  }
  CHECK(fixture.mSender.mStarts.count("zagreb:whole#0") == 1);
  CHECK(ended < 100);
}

TEST_CASE("Placement: more urgent jobs are placed first")
{
  JobsFixture fixture;
  KeepFirstWorker(fixture, 1);
  fixture.mSender.mBehaviour = Behaviour::Hold;
  fixture.mA.Submit("zagreb:1", JobBody(3));
  const Reply urgent =
    fixture.mA.Submit("zagreb:2", JobBody(2, "", R"(,"urgency":"first")"));
  std::vector<std::string> order;
  while (!fixture.mSender.mHeld.empty()) {
    order.push_back(fixture.mSender.mHeld.front().mAttempt.mAttemptId);
    fixture.mSender.End(order.back(), FakeTaskSender::Answered(200, ""));
  }
  CHECK(
    order ==
    std::vector<std::string>{
      "zagreb:1#0", "zagreb:2#0", "zagreb:2#1", "zagreb:1#1", "zagreb:1#2" });
}

TEST_CASE(
  "Placement: a refused task is sent to another worker, and to the same "
  "one only after a delay")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviourOf["w1"] = Behaviour::Refuse;
  fixture.mSender.mBehaviourOf["w2"] = Behaviour::Refuse;
  fixture.mA.Submit("zagreb:1", JobBody(1));
  CHECK(fixture.mSender.mSends["w1"] == 1);
  CHECK(fixture.mSender.mSends["w2"] == 1);
  fixture.Run(50ms);
  CHECK(fixture.mSender.mSends["w1"] + fixture.mSender.mSends["w2"] == 2);
  fixture.mSender.mBehaviourOf.clear();
  fixture.Run(200ms);
  CHECK(fixture.mSender.mStarts.size() == 1);
}

TEST_CASE(
  "Placement: workers filled by others are sent few tasks, and jobs wait")
{
  struct Row
  {
    const char* mName;
    /** Tasks of this instance succeed at worker w2 meanwhile. */
    bool mIsProgressing;
  };
  const auto row = GENERATE(values<Row>({
    { "the other worker runs tasks", true },
    { "nothing succeeds anywhere", false },
  }));
  CAPTURE(row.mName);
  JobsFixture fixture;
  // With three workers, at most one is backed off.
  fixture.mEndpoints.Add("w3", "r3", { 4, 1000, 0 });
  fixture.mSender.mBehaviourOf["w1"] = Behaviour::Refuse;
  fixture.mSender.mBehaviourOf["w3"] = Behaviour::Refuse;
  fixture.mSender.mBehaviourOf["w2"] =
    row.mIsProgressing ? Behaviour::Hold : Behaviour::Refuse;
  fixture.mEndpoints.mEndpoints[1].mAnnouncement.mCores = 2;
  fixture.mEndpoints.Notify();
  // The large job does not fit on w2.
  const Reply large =
    fixture.mA.Submit("zagreb:2", JobBody(1, R"(,"cores":4)"), 600s);
  fixture.mA.Submit("zagreb:3", JobBody(400), 600s);
  for (int step = 0; step < 200; ++step) {
    if (!fixture.mSender.mHeld.empty()) {
      fixture.mSender.End(fixture.mSender.mHeld.front().mAttempt.mAttemptId,
                          FakeTaskSender::Answered(200, ""));
    }
    fixture.Run(100ms);
  }
  CHECK(fixture.mSender.mSends["w1"] + fixture.mSender.mSends["w3"] <= 32);
  CHECK(fixture.mSender.MaxStarts() <= 1);
  REQUIRE(large->mAnswer.has_value() != row.mIsProgressing);
  if (large->mAnswer) {
    CHECK(large->ErrorName() == "endpoint-refused");
    CHECK(large->ErrorRan() == "no");
  }
}

TEST_CASE("Placement: a task of an overcommitted worker is throttled, then "
          "checkpointed, then stopped")
{
  JobsFixture fixture;
  KeepFirstWorker(fixture, 8);
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const Reply reply = fixture.mA.Submit("zagreb:1", JobBody(1));
  for (int report = 1; report <= 3; ++report) {
    fixture.mEndpoints.mEndpoints[0].mUsage =
      UsageReport{ 9, 0, 0, std::int64_t{ report } * 1000 };
    fixture.mEndpoints.Notify();
    fixture.Run(200ms);
  }
  CHECK(fixture.mSender.mActions ==
        std::vector<std::string>{
          "throttle zagreb:1#0", "checkpoint zagreb:1#0", "stop zagreb:1#0" });
  // A stopped task may have run, so its job must not be run again.
  REQUIRE(reply->mAnswer);
  CHECK(reply->ErrorRan() == "unknown");
  CHECK(fixture.mSender.MaxStarts() == 1);
}

TEST_CASE(
  "Placement: task sizes are estimated from what tasks of the kind used")
{
  struct Row
  {
    const char* mDeclared;
    Resources mUsed;
    std::size_t mPlacedBefore;
    std::size_t mPlacedAfter;
  };
  const auto row = GENERATE(values<Row>({
    // Two workers of 4 cores, 1,000 bytes and 8 slots.
    { R"(,"cores":0.2)", { 2, 0, 0 }, 16, 4 },
    { R"(,"cores":4)", { 0.4, 0, 0 }, 2, 16 },
    { R"(,"cores":0.1,"memoryBytes":50)", { 0.1, 500, 0 }, 16, 4 },
    { R"(,"cores":0.1,"memoryBytes":1000)", { 0.1, 100, 0 }, 2, 16 },
    // One resource has no sample, or its samples are close to the declared
    // size.
    { R"(,"cores":1,"memoryBytes":10)", { 0, 15, 0 }, 8, 8 },
  }));
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const std::string body = JobBody(32, row.mDeclared, R"(,"kind":"deposit")");
  const Reply first = fixture.mA.Submit("zagreb:1", body);
  CHECK(fixture.mSender.mHeld.size() == row.mPlacedBefore);
  while (!fixture.mSender.mHeld.empty()) {
    TaskOutcome outcome = FakeTaskSender::Answered(200, "");
    outcome.mUsed = row.mUsed;
    fixture.mSender.End(fixture.mSender.mHeld.front().mAttempt.mAttemptId,
                        outcome);
  }
  CHECK(first->State() == "complete");
  fixture.mA.Submit("zagreb:2", body);
  CHECK(fixture.mSender.mHeld.size() == row.mPlacedAfter);
}

TEST_CASE("Placement: each placement is recorded with a choice and a reason")
{
  JobsFixture fixture;
  fixture.mA.Submit("zagreb:1", JobBody(3));
  int placed = 0;
  for (const Decision& decision : fixture.mA.mDecisions.mDecisions) {
    if (decision.mStage == "place") {
      ++placed;
      CHECK_FALSE(decision.mChoice.empty());
      CHECK_FALSE(decision.mReason.empty());
    }
  }
  CHECK(placed == 3);
}

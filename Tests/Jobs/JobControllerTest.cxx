#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "JobsFixture.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;
using Behaviour = FakeTaskSender::Behaviour;
using Network = FakeSubmissionGroup::Network;

TEST_CASE("Jobs: the answer of a job has the results of all tasks in order")
{
  const int tasks = GENERATE(1, 2, 17, 580);
  JobsFixture fixture;
  const Reply reply = fixture.mA.Submit("zagreb:1", JobBody(tasks));
  REQUIRE(reply->mAnswer);
  CHECK(reply->mAnswer->mStatus == 200);
  CHECK(reply->State() == "complete");
  const auto results = reply->Body().at("results");
  REQUIRE(results.size() == static_cast<std::size_t>(tasks));
  for (int index = 0; index < tasks; ++index) {
    CHECK(results[index].at("body") == "done " + std::to_string(index));
  }
  CHECK(fixture.mSender.MaxStarts() == 1);
  CHECK(fixture.mSender.mStarts.size() == static_cast<std::size_t>(tasks));
  CHECK(fixture.mA.mRunner.AllocatedSlots() == 0);
  CHECK(fixture.mA.mController.IsIdle());
}

TEST_CASE("Jobs: a resubmission starts no task and gets the first answer")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const std::string body = JobBody(3);
  const Reply first = fixture.mA.Submit("zagreb:1", body);
  const Reply here = fixture.mA.Submit("zagreb:1", body);
  const Reply there = fixture.mB.Submit("zagreb:1", body);
  const Reply now = fixture.mB.Submit("zagreb:1", body, 0ms);
  CHECK_FALSE(first->mAnswer);
  CHECK_FALSE(here->mAnswer);
  CHECK_FALSE(there->mAnswer);
  REQUIRE(now->mAnswer);
  CHECK(now->mAnswer->mStatus == 202);
  CHECK(now->State() == "running");
  CHECK(fixture.mA.Submit("zagreb:1", JobBody(4))->ErrorName() ==
        "key-conflict");
  CHECK(fixture.mB.Submit("zagreb:1", JobBody(4))->ErrorName() ==
        "key-conflict");

  fixture.mSender.AnswerAll();
  fixture.Run(200ms);
  const Reply after = fixture.mB.Submit("zagreb:1", body);
  for (const Reply& reply : { first, here, there, after }) {
    REQUIRE(reply->mAnswer);
    CHECK(reply->mAnswers == 1);
    CHECK(reply->mAnswer->mBody == first->mAnswer->mBody);
    CHECK(reply->State() == "complete");
  }
  CHECK(fixture.mB.Submit("zagreb:1", JobBody(4))->ErrorName() ==
        "key-conflict");
  CHECK(fixture.mSender.MaxStarts() == 1);
  CHECK(fixture.mSender.mStarts.size() == 3);
}

TEST_CASE("Jobs: late and duplicate outcomes are ignored")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const Reply reply = fixture.mA.Submit("zagreb:1", JobBody(2));
  fixture.mSender.End("zagreb:1#1", FakeTaskSender::Answered(200, "one"));
  fixture.mSender.mEnded.at("zagreb:1#1")(
    FakeTaskSender::Answered(200, "again"));
  CHECK_FALSE(reply->mAnswer);
  fixture.mSender.End("zagreb:1#0", FakeTaskSender::Answered(200, "zero"));
  REQUIRE(reply->mAnswer);
  fixture.mSender.mEnded.at("zagreb:1#0")(
    FakeTaskSender::Answered(500, "late"));
  CHECK(reply->mAnswers == 1);
  CHECK(reply->Body().at("results")[0].at("body") == "zero");
  CHECK(reply->Body().at("results")[1].at("body") == "one");
  CHECK(fixture.mA.mRunner.AllocatedSlots() == 0);
}

TEST_CASE("Jobs: each worker fault gives a correct answer and no second start")
{
  struct Row
  {
    Behaviour mFirstWorker;
    Behaviour mSecondWorker;
    std::string mState;
    std::string mError;
    std::string mRan;
  };
  const auto row = GENERATE(values<Row>({
    { Behaviour::Refuse, Behaviour::Answer, "complete", "", "" },
    { Behaviour::NotSent, Behaviour::Answer, "complete", "", "" },
    { Behaviour::FailTask, Behaviour::Hold, "failed", "task-failed", "yes" },
    { Behaviour::Crash,
      Behaviour::Hold,
      "failed",
      "outcome-unknown",
      "unknown" },
    { Behaviour::Refuse,
      Behaviour::Refuse,
      "failed",
      "endpoint-refused",
      "no" },
    { Behaviour::NotSent,
      Behaviour::NotSent,
      "failed",
      "endpoint-refused",
      "no" },
    { Behaviour::Refuse,
      Behaviour::Crash,
      "failed",
      "outcome-unknown",
      "unknown" },
    { Behaviour::Hold,
      Behaviour::Hold,
      "failed",
      "endpoint-timeout",
      "unknown" },
  }));
  JobsFixture fixture;
  fixture.mSender.mBehaviourOf["w1"] = row.mFirstWorker;
  fixture.mSender.mBehaviourOf["w2"] = row.mSecondWorker;
  const std::string body = JobBody(4, "", R"(,"timeoutMs":20000)");
  const Reply reply = fixture.mA.Submit("zagreb:1", body);
  fixture.Run(30s);
  REQUIRE(reply->mAnswer);
  CHECK(reply->mAnswers == 1);
  CHECK(reply->State() == row.mState);
  CHECK(fixture.mSender.MaxStarts() <= 1);
  CHECK(fixture.mA.mRunner.AllocatedSlots() == 0);
  CHECK(fixture.mSender.mRunning.empty());
  CHECK(fixture.mA.mController.IsIdle());
  if (row.mError.empty()) {
    return;
  }
  CHECK(reply->ErrorName() == row.mError);
  CHECK(reply->ErrorRan() == row.mRan);
  CHECK_FALSE(reply->Body().contains("results"));
  if (row.mRan == "no") {
    CHECK(fixture.mSender.mStarts.empty());
    return;
  }
  // A resubmission gets the same answer and starts no task.
  fixture.mSender.mBehaviour = Behaviour::Answer;
  fixture.mSender.mBehaviourOf.clear();
  const auto starts = fixture.mSender.mStarts;
  CHECK(fixture.mB.Submit("zagreb:1", body)->mAnswer->mBody ==
        reply->mAnswer->mBody);
  CHECK(fixture.mSender.mStarts == starts);
}

TEST_CASE("Jobs: a job that provably did not start can be submitted again")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Refuse;
  const std::string body = JobBody(2, "", R"(,"timeoutMs":5000)");
  const Reply refused = fixture.mA.Submit("zagreb:1", body);
  fixture.Run(6s);
  REQUIRE(refused->mAnswer);
  CHECK(refused->ErrorRan() == "no");
  CHECK(fixture.mSender.mStarts.empty());
  // A refused job has no claim left and is not reported as cancelled.
  const Reply shown = fixture.mB.Show("zagreb:1");
  REQUIRE(shown->mAnswer);
  CHECK(shown->State() == "failed");
  CHECK(shown->ErrorName() == "unknown-job");
  CHECK(shown->ErrorRan() == "no");
  fixture.mSender.mBehaviour = Behaviour::Answer;
  fixture.Run(70s);
  const Reply again = fixture.mB.Submit("zagreb:1", body);
  REQUIRE(again->mAnswer);
  CHECK(again->State() == "complete");
}

TEST_CASE("Jobs: a frozen executor starts no task after its lease has expired")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  fixture.mEndpoints.mEndpoints.pop_back();
  fixture.mEndpoints.mEndpoints[0].mAnnouncement.mSlots = 1;
  fixture.mEndpoints.Notify();
  const std::string body = JobBody(3);
  const Reply reply = fixture.mA.Submit("zagreb:1", body, 60s);
  CHECK(fixture.mSender.mStarts.size() == 1);
  fixture.mIsInstanceAFrozen = true;
  fixture.Run(5s);
  const Reply other = fixture.mB.Submit("zagreb:1", body);
  REQUIRE(other->mAnswer);
  CHECK(other->ErrorName() == "executor-lost");
  CHECK(other->ErrorRan() == "unknown");

  // The executor resumes, and the outcome of its first task arrives.
  fixture.mIsInstanceAFrozen = false;
  fixture.mSender.AnswerAll();
  fixture.Run(2s);
  CHECK(fixture.mSender.mStarts.size() == 1);
  REQUIRE(reply->mAnswer);
  CHECK(reply->ErrorRan() == "unknown");
  CHECK(fixture.mB.Show("zagreb:1")->ErrorName() == "executor-lost");
  CHECK(fixture.mA.Submit("zagreb:1", body)->ErrorName() == "executor-lost");
  CHECK(fixture.mSender.mStarts.size() == 1);
  // With its new epoch, it accepts jobs again.
  fixture.mSender.mBehaviour = Behaviour::Answer;
  CHECK(fixture.mA.Submit("zagreb:2", body)->State() == "complete");
}

TEST_CASE(
  "Jobs: each task is sent with the epoch and remaining time of the lease")
{
  JobsFixture fixture;
  fixture.mA.Submit("zagreb:1", JobBody(1));
  const TaskAttempt& attempt = fixture.mSender.mLastAttempt;
  CHECK(attempt.mAttemptId == "zagreb:1#0");
  CHECK(attempt.mEpoch == *fixture.mA.mLease.CurrentEpoch());
  CHECK(attempt.mLeaseRemaining == 2500ms);
  CHECK(attempt.mTimeout == 60s);
}

TEST_CASE("Jobs: an executor cut off from its group finishes running tasks and "
          "starts no others")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const std::string body = JobBody(2);
  const Reply reply = fixture.mA.Submit("zagreb:1", body, 60s);
  fixture.mGroup.mNetwork = Network::Refuses;
  fixture.Run(5s);
  fixture.mSender.AnswerAll();
  // The caller gets the correct answer although recording it failed.
  REQUIRE(reply->mAnswer);
  CHECK(reply->State() == "complete");
  const Reply refused = fixture.mA.Submit("zagreb:2", body);
  CHECK(refused->ErrorName() == "key-state-unknown");
  CHECK(refused->ErrorRan() == "unknown");
  CHECK(fixture.mSender.mStarts.size() == 2);

  fixture.mGroup.mNetwork = Network::Works;
  fixture.Run(1s);
  const Reply later = fixture.mB.Submit("zagreb:1", body);
  REQUIRE(later->mAnswer);
  CHECK(later->ErrorRan() == "unknown");
  CHECK(fixture.mSender.MaxStarts() == 1);
}

TEST_CASE("Jobs: the caller gets the correct answer if recording it fails")
{
  const auto network =
    GENERATE(Network::Refuses, Network::LosesAnswers, Network::LosesCommands);
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const std::string body = JobBody(2);
  const Reply reply = fixture.mA.Submit("zagreb:1", body);
  fixture.mGroup.mNetwork = network;
  fixture.mSender.AnswerAll();
  REQUIRE(reply->mAnswer);
  CHECK(reply->State() == "complete");
  fixture.mGroup.mNetwork = Network::Works;
  fixture.Run(100ms);
  const Reply later = fixture.mB.Submit("zagreb:1", body);
  REQUIRE(later->mAnswer);
  CHECK(later->mAnswer->mBody == reply->mAnswer->mBody);
  CHECK(fixture.mSender.MaxStarts() == 1);
}

TEST_CASE("Jobs: no task starts before its claim is durable")
{
  struct Row
  {
    Network mNetwork;
    std::string mRan;
  };
  const auto row = GENERATE(values<Row>({
    { Network::Refuses, "unknown" },
    { Network::LosesAnswers, "unknown" },
    { Network::LosesCommands, "unknown" },
    { Network::Holds, "" },
  }));
  JobsFixture fixture;
  fixture.mGroup.mNetwork = row.mNetwork;
  const std::string body = JobBody(2);
  const Reply reply = fixture.mA.Submit("zagreb:1", body);
  CHECK(fixture.mSender.mStarts.empty());
  fixture.mGroup.mNetwork = Network::Works;
  if (row.mRan.empty()) {
    CHECK_FALSE(reply->mAnswer);
    fixture.mGroup.ReleaseHeld();
    REQUIRE(reply->mAnswer);
    CHECK(reply->State() == "complete");
    return;
  }
  REQUIRE(reply->mAnswer);
  CHECK(reply->ErrorRan() == row.mRan);
  fixture.Run(100ms);
  CHECK(fixture.mSender.mStarts.empty());
  CHECK(fixture.mB.Submit("zagreb:1", body)->State() == "complete");
  CHECK(fixture.mSender.MaxStarts() == 1);
}

TEST_CASE("Jobs: 10,000 cancellations release all tasks, slots and jobs")
{
  constexpr int kJobs = 10'000;
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  std::vector<Reply> replies;
  replies.reserve(kJobs);
  for (int job = 0; job < kJobs; ++job) {
    replies.push_back(
      fixture.mA.Submit("zagreb:" + std::to_string(job), JobBody(2)));
  }
  CHECK(fixture.mSender.mRunning.size() == 8);
  CHECK(fixture.mA.mRunner.AllocatedSlots() == 8);
  int afterStart = 0;
  for (int job = 0; job < kJobs; ++job) {
    const std::string key = "zagreb:" + std::to_string(job);
    const bool started = fixture.mSender.mStarts.count(key + "#0") != 0 ||
                         fixture.mSender.mStarts.count(key + "#1") != 0;
    const Reply cancelled = fixture.mA.Cancel(key);
    REQUIRE(cancelled->mAnswer);
    REQUIRE(cancelled->State() == "cancelled");
    REQUIRE(cancelled->ErrorRan() == (started ? "unknown" : "no"));
    REQUIRE(replies[static_cast<std::size_t>(job)]->mAnswers == 1);
    afterStart += started ? 1 : 0;
  }
  CHECK(afterStart >= 4);
  CHECK(fixture.mSender.mRunning.empty());
  CHECK(fixture.mA.mRunner.AllocatedSlots() == 0);
  CHECK(fixture.mA.mRunner.QueuedJobCount() == 0);
  CHECK(fixture.mA.mController.IsIdle());
  const std::size_t starts = fixture.mSender.mStarts.size();
  CHECK(fixture.mB.Submit("zagreb:9999", JobBody(2))->State() == "cancelled");
  CHECK(fixture.mSender.mStarts.size() == starts);
  CHECK(fixture.mSender.MaxStarts() == 1);
}

TEST_CASE(
  "Jobs: a cancellation at another instance is forwarded to the executor")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const Reply reply = fixture.mA.Submit("zagreb:1", JobBody(2));
  fixture.mB.mRpc.mFailures.emplace("a", ErrorKind::PeerUnreachable);
  CHECK(fixture.mB.Cancel("zagreb:1")->ErrorRan() == "unknown");
  CHECK_FALSE(reply->mAnswer);
  fixture.mB.mRpc.mFailures.clear();
  CHECK(fixture.mB.Cancel("zagreb:1")->State() == "cancelled");
  REQUIRE(reply->mAnswer);
  CHECK(fixture.mSender.mRunning.empty());
  CHECK(fixture.mB.Cancel("zagreb:1")->State() == "cancelled");
  CHECK(fixture.mB.Cancel("zagreb:2")->ErrorName() == "unknown-job");
  fixture.mSender.mBehaviour = Behaviour::Answer;
  fixture.mA.Submit("zagreb:3", JobBody(1));
  CHECK(fixture.mB.Cancel("zagreb:3")->State() == "complete");
}

TEST_CASE("Jobs: a cancellation during the send stops the task")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  Reply cancelled;
  fixture.mSender.mBeforeStart = [&](const TaskAttempt&) {
    if (!cancelled) {
      cancelled = fixture.mA.Cancel("zagreb:1");
    }
  };
  fixture.mA.Submit("zagreb:1", JobBody(3));
  REQUIRE(cancelled->mAnswer);
  CHECK(cancelled->ErrorRan() == "unknown");
  CHECK(fixture.mSender.mRunning.empty());
  CHECK(fixture.mSender.mStarts.size() == 1);
  CHECK(fixture.mA.mRunner.AllocatedSlots() == 0);
}

TEST_CASE("Jobs: a draining instance finishes its jobs and refuses new ones")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const std::string body = JobBody(20);
  const Reply running = fixture.mA.Submit("zagreb:1", body);
  fixture.mA.mController.StartDraining();
  CHECK(fixture.mA.Submit("zagreb:2", body)->ErrorName() == "draining");
  CHECK(fixture.mA.Submit("zagreb:2", body)->ErrorRan() == "no");
  const Reply again = fixture.mA.Submit("zagreb:1", body);
  CHECK_FALSE(fixture.mA.mController.IsIdle());
  fixture.Run(10s);
  while (!fixture.mSender.mHeld.empty()) {
    fixture.mSender.AnswerAll();
  }
  REQUIRE(running->mAnswer);
  CHECK(running->State() == "complete");
  CHECK(again->mAnswer->mBody == running->mAnswer->mBody);
  CHECK(fixture.mA.mController.IsIdle());
  CHECK(fixture.mA.Submit("zagreb:1", body)->State() == "complete");
}

TEST_CASE(
  "Jobs: the error for a task that fits on no worker names the resource")
{
  struct Row
  {
    std::string mMembers;
    std::string mMissing;
  };
  const auto row = GENERATE(values<Row>({
    { R"(,"cores":5)", "cores" },
    { R"(,"memoryBytes":1001)", "memoryBytes" },
    { R"(,"accelerators":1)", "accelerators" },
  }));
  JobsFixture fixture;
  const Reply reply = fixture.mA.Submit("zagreb:1", JobBody(2, row.mMembers));
  REQUIRE(reply->mAnswer);
  CHECK(reply->mAnswer->mStatus == 422);
  CHECK(reply->ErrorName() == "resources-unsatisfiable");
  CHECK(reply->Body().at("error").at("message").get<std::string>().find(
          row.mMissing) != std::string::npos);
  CHECK(fixture.mGroup.mState.Counts().mClaims == 0);
}

TEST_CASE("Jobs: job state, waiting and the key prefix of the home")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  CHECK(fixture.mA.Show("zagreb:1")->ErrorName() == "unknown-job");
  const Reply first = fixture.mA.Submit("zagreb:1", JobBody(1), 1s);
  fixture.Run(2s);
  REQUIRE(first->mAnswer);
  CHECK(first->mAnswer->mStatus == 202);
  CHECK(fixture.mA.Show("zagreb:1")->State() == "running");
  CHECK(fixture.mB.Show("zagreb:1")->State() == "running");
  const Reply waiting = fixture.mB.Show("zagreb:1", 10s);
  fixture.mSender.AnswerAll();
  fixture.Run(200ms);
  REQUIRE(waiting->mAnswer);
  CHECK(waiting->State() == "complete");

  Reply home = std::make_shared<PendingReply>();
  fixture.mB.mController.Home(JobInstance::StoreIn(home));
  CHECK(home->Body().at("home") == "zagreb");
  CHECK(home->Body().at("keyPrefix") == "zagreb:@1-");
}

TEST_CASE("Jobs: a draining instance detects a key used with another body")
{
  JobsFixture fixture;
  fixture.mA.Submit("zagreb:1", JobBody(2));
  fixture.mB.mController.StartDraining();
  CHECK(fixture.mB.Submit("zagreb:1", JobBody(3))->ErrorName() ==
        "key-conflict");
  CHECK(fixture.mB.Submit("zagreb:1", JobBody(2))->State() == "complete");
  CHECK(fixture.mB.Submit("zagreb:2", JobBody(2))->ErrorName() == "draining");
  fixture.mGroup.mNetwork = Network::Refuses;
  const Reply unknown = fixture.mB.Submit("zagreb:1", JobBody(2));
  CHECK(unknown->ErrorName() == "key-state-unknown");
  CHECK(unknown->ErrorRan() == "unknown");
  CHECK_FALSE(unknown->Body().contains("state"));
}

TEST_CASE(
  "Jobs: a caller keeps waiting for a job of another executor while the "
  "group is unreachable")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = Behaviour::Hold;
  const std::string body = JobBody(1);
  fixture.mA.Submit("zagreb:1", body);
  const Reply other = fixture.mB.Submit("zagreb:1", body, 60s);
  fixture.mGroup.mNetwork = Network::Refuses;
  fixture.Run(500ms);
  CHECK_FALSE(other->mAnswer);
  fixture.mGroup.mNetwork = Network::Works;
  fixture.mSender.AnswerAll();
  fixture.Run(500ms);
  REQUIRE(other->mAnswer);
  CHECK(other->State() == "complete");
}

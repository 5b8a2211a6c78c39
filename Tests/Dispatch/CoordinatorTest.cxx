#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using std::chrono::milliseconds;

namespace {

/** Like the ids of real callers: too long for the small string optimization. */
const std::string kLongId = "5c0e7a21d94b36f85c0e7a21d94b36f8";

/** Starts a leader with workers and waits for its recovery. */
void
StartRecoveredLeader(DispatchFixture& aFixture,
                     int aWorkers,
                     std::uint32_t aMilliCores)
{
  aFixture.AddWorkers(aWorkers, aMilliCores);
  aFixture.StartLeader();
  aFixture.Run(milliseconds(100));
  REQUIRE(aFixture.CurrentCoordinator().IsRecoveryComplete());
}

}

TEST_CASE(
  "Dispatch: each task of a job runs once and the reply follows at its end")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 3, 32'000);
  const CallId call =
    fixture.Submit(fixture.CallOf("urgent", "j1", 8, 10'000, false));
  CHECK_FALSE(fixture.ReplyTo(call));
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Accepted);
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.StartsOf("j1") == 8);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Dispatch: submitting a job again does not duplicate it")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 3, 32'000);
  const JobCall job = fixture.CallOf("urgent", "j1", 2, 10'000, false);
  const CallId first = fixture.Submit(job);
  fixture.Run(milliseconds(20));
  const CallId second = fixture.Submit(job);
  fixture.Run(milliseconds(200));
  const CallId third = fixture.Submit(job);
  REQUIRE(fixture.ReplyTo(first));
  REQUIRE(fixture.ReplyTo(second));
  REQUIRE(fixture.ReplyTo(third));
  CHECK(fixture.ReplyTo(third)->mState == JobState::Completed);
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
}

TEST_CASE("Dispatch: invalid and unsupported jobs are rejected and run nothing")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 32'000);
  JobCall call = fixture.CallOf("urgent", "j1", 1, 10'000, false);
  JobReplyKind expected = JobReplyKind::UnknownQueue;
  SECTION("no queue with the path")
  {
    call.mPath = "/other/j1";
  }
  SECTION("no queue with the host")
  {
    call.mHost = "elsewhere";
  }
  SECTION("no steps")
  {
    call.mJob.mSteps.clear();
    expected = JobReplyKind::Malformed;
  }
  SECTION("a step without tasks")
  {
    call.mJob.mSteps.front().mCount = 0;
    expected = JobReplyKind::Malformed;
  }
  SECTION("a step that depends on itself")
  {
    call.mJob.mSteps.front().mDependsOn = { 0 };
    expected = JobReplyKind::Malformed;
  }
  SECTION("too many tasks")
  {
    call.mJob.mSteps.front().mCount = 1'000'000;
    expected = JobReplyKind::Malformed;
  }
  SECTION("an unsupported feature")
  {
    call.mJob.mUnsupportedFeature = "gang";
    expected = JobReplyKind::Unavailable;
  }
  const CallId id = fixture.Call(call);
  REQUIRE(fixture.ReplyTo(id));
  CHECK(fixture.ReplyTo(id)->mKind == expected);
  fixture.Run(milliseconds(100));
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
}

TEST_CASE("Dispatch: a step starts only after the steps it depends on")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 4, 32'000);
  JobCall call = fixture.CallOf("urgent", "j1", 2, 10'000, false);
  StepSpec second = call.mJob.mSteps.front();
  second.mDependsOn = { 0 };
  call.mJob.mSteps.push_back(second);
  const CallId id = fixture.Submit(call, milliseconds(100));
  fixture.Run(milliseconds(90));
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
  fixture.Run(milliseconds(60));
  CHECK(fixture.mFleet.StartsOf("j1") == 4);
  fixture.Run(milliseconds(150));
  REQUIRE(fixture.ReplyTo(id));
  CHECK(fixture.ReplyTo(id)->mState == JobState::Completed);
}

TEST_CASE(
  "Dispatch: higher priority jobs start first, within the workers' capacity")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  fixture.Submit(fixture.CallOf("patient", "p1", 2, 10'000, false),
                 milliseconds(20));
  JobCall patient = fixture.CallOf("patient", "p2", 2, 10'000, false);
  patient.mJob.mSteps.front().mEstimateMs = 20;
  fixture.Submit(patient, milliseconds(20));
  const CallId urgent = fixture.Submit(
    fixture.CallOf("urgent", "u1", 2, 10'000, false), milliseconds(20));
  fixture.Run(milliseconds(45));
  CHECK(fixture.mFleet.StartsOf("u1") == 2);
  CHECK(fixture.mFleet.StartsOf("p2") == 0);
  fixture.Run(milliseconds(100));
  CHECK(fixture.ReplyTo(urgent)->mState == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE(
  "Dispatch: a job that cannot start in time is refused early and never runs")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  JobCall large = fixture.CallOf("patient", "long", 2, 10'000, false);
  large.mJob.mSteps.front().mEstimateMs = 1000;
  fixture.Submit(large, milliseconds(1000));
  const CallId call =
    fixture.Submit(fixture.CallOf("urgent", "u1", 1, 10'000, false));
  // The objective is 1.6 x 50 ms + 60 ms; a fifth of it is 28 ms.
  fixture.Run(milliseconds(45));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Refused);
  CHECK(fixture.ReplyTo(call)->mRetryAfterMs >= 200);
  fixture.Run(milliseconds(2000));
  CHECK(fixture.mFleet.StartsOf("u1") == 0);
}

TEST_CASE("Dispatch: jobs beyond the capacity are refused on arrival")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  std::size_t refused = 0;
  for (int i = 0; i < 100; ++i) {
    const CallId call = fixture.Submit(
      fixture.CallOf("urgent", "j" + std::to_string(i), 4, 10'000, false));
    const auto reply = fixture.ReplyTo(call);
    refused += reply && reply->mKind == JobReplyKind::Refused ? 1 : 0;
  }
  CHECK(refused >= 90);
  fixture.Run(milliseconds(1000));
  for (CallId call = 1; call <= 100; ++call) {
    REQUIRE(fixture.ReplyTo(call));
    const bool ran =
      fixture.mFleet.StartsOf("j" + std::to_string(call - 1)) > 0;
    const bool wasRefused =
      fixture.ReplyTo(call)->mKind == JobReplyKind::Refused;
    CHECK(ran != wasRefused);
  }
}

TEST_CASE("Dispatch: a failed run is retried on another worker, up to the "
          "queue's limit")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  SECTION("one worker fails all runs")
  {
    fixture.mFleet.RunBehaviorOf("w0").mFails = true;
    const CallId call =
      fixture.Submit(fixture.CallOf("urgent", "j1", 2, 10'000, false));
    fixture.Run(milliseconds(400));
    REQUIRE(fixture.ReplyTo(call));
    CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  }
  SECTION("all workers fail all runs")
  {
    fixture.mFleet.RunBehaviorOf("w0").mFails = true;
    fixture.mFleet.RunBehaviorOf("w1").mFails = true;
    const CallId call =
      fixture.Submit(fixture.CallOf("urgent", "j1", 1, 10'000, false));
    fixture.Run(milliseconds(400));
    REQUIRE(fixture.ReplyTo(call));
    CHECK(fixture.ReplyTo(call)->mState == JobState::Failed);
    CHECK(fixture.mFleet.StartsOf("j1") == 2);
  }
}

TEST_CASE(
  "Dispatch: a worker that fails its runs immediately does not attract tasks")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 8, 20'000);
  fixture.mFleet.RunBehaviorOf("w0").mFails = true;
  std::size_t failed = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "j" + std::to_string(i);
    const CallId call = fixture.Submit(
      fixture.CallOf("urgent", id, 1, 10'000, false), milliseconds(20));
    fixture.Run(milliseconds(30));
    failed += fixture.mFleet.StartsOf(id) > 1 ? 1 : 0;
    fixture.Run(milliseconds(40));
    REQUIRE(fixture.ReplyTo(call));
    CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  }
  CHECK(failed <= 8);
}

TEST_CASE(
  "Dispatch: a run without progress is stopped and retried on another worker")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  fixture.mFleet.RunBehaviorOf("w0").mHangs = true;
  fixture.mFleet.RunBehaviorOf("w1").mHangs = false;
  JobCall job = fixture.CallOf("patient", "j1", 2, 10'000, false);
  job.mJob.mSteps.front().mEstimateMs = 100;
  const CallId call = fixture.Submit(job, milliseconds(100));
  fixture.Run(milliseconds(1200));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Dispatch: a task that exceeds its estimate is not stopped")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  JobCall job = fixture.CallOf("patient", "j1", 2, 10'000, false);
  job.mJob.mSteps.front().mEstimateMs = 100;
  const CallId call = fixture.Submit(job, milliseconds(400));
  fixture.Run(milliseconds(600));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
}

TEST_CASE("Dispatch: resources of an unanswered order stay reserved until it "
          "can have no effect")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  fixture.mFleet.NetworkFaultsOf("w0").mLateStartFraction = 1;
  fixture.mFleet.NetworkFaultsOf("w1").mLateStartFraction = 1;
  const CallId call =
    fixture.Submit(fixture.CallOf("patient", "j1", 2, 10'000, false));
  fixture.Run(milliseconds(200));
  fixture.mFleet.NetworkFaultsOf("w0").mLateStartFraction = 0;
  fixture.mFleet.NetworkFaultsOf("w1").mLateStartFraction = 0;
  fixture.Run(milliseconds(15'000));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Dispatch: runs on an unreachable worker are retried only after its "
          "lease has expired")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  JobCall job = fixture.CallOf("patient", kLongId, 2, 10'000, true);
  job.mJob.mSteps.front().mEstimateMs = 600;
  fixture.Submit(job, milliseconds(600));
  fixture.Run(milliseconds(100));
  const std::string cut = fixture.mFleet.RunningOn("w0") > 0 ? "w0" : "w1";
  SECTION("orders do not arrive")
  {
    fixture.mFleet.NetworkFaultsOf(cut).mUnreachable = true;
  }
  SECTION("answers are lost")
  {
    fixture.mFleet.NetworkFaultsOf(cut).mAnswersLost = true;
  }
  fixture.Run(milliseconds(4000));
  CHECK(fixture.mFleet.Errors().empty());
  CHECK(fixture.Log().find("event=run-lost job=" + kLongId + " step=0") !=
        std::string::npos);
  JobCall query = job;
  query.mKind = JobCallKind::Query;
  const CallId state = fixture.Call(query);
  CHECK(fixture.ReplyTo(state)->mState == JobState::Completed);
}

TEST_CASE("Dispatch: runs on a worker that restarts under its id are retried")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  JobCall job = fixture.CallOf("patient", "j1", 2, 10'000, false);
  job.mJob.mSteps.front().mEstimateMs = 300;
  const CallId call = fixture.Submit(job, milliseconds(300));
  fixture.Run(milliseconds(100));
  fixture.mReports[0] = fixture.mFleet.Restart("w0");
  fixture.CurrentCoordinator().OnReport(fixture.mReports[0]);
  fixture.Run(milliseconds(800));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.StartsOf("j1") == 4);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Dispatch: a draining worker gets no new runs")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  fixture.mReports[0].mDraining = true;
  ++fixture.mReports[0].mSequence;
  fixture.CurrentCoordinator().OnReport(fixture.mReports[0]);
  fixture.Submit(fixture.CallOf("patient", "j1", 4, 10'000, false));
  fixture.Run(milliseconds(20));
  CHECK(fixture.mFleet.RunningOn("w0") == 0);
  CHECK(fixture.mFleet.RunningOn("w1") == 2);
}

TEST_CASE(
  "Dispatch: ends are acknowledged even if the worker has no further runs")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  fixture.Submit(fixture.CallOf("patient", "j1", 1, 10'000, false));
  fixture.Run(milliseconds(400));
  const WorkerSession& worker = fixture.CurrentCoordinator().Workers().at("w0");
  CHECK(worker.mLastProcessedEnd == 1);
  fixture.Run(milliseconds(2000));
  CHECK(worker.mLastAcknowledgedEnd == 1);
  const std::size_t holds = fixture.mFleet.HoldsOf("w0");
  fixture.Run(milliseconds(5000));
  CHECK(fixture.mFleet.HoldsOf("w0") == holds);
}

TEST_CASE("Dispatch: tasks that have not started are dropped if the caller "
          "disconnects early")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  fixture.Submit(fixture.CallOf("patient", "long", 2, 10'000, false),
                 milliseconds(60));
  const JobCall job = fixture.CallOf("patient", "j1", 2, 10'000, false);
  fixture.Submit(job);
  fixture.CurrentCoordinator().OnCallerLeft({ job.mHost, job.mPath, true });
  fixture.Run(milliseconds(500));
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
}

TEST_CASE("Dispatch: a new leader adopts existing runs and repeats none")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 4, 20'000);
  JobCall job = fixture.CallOf("patient", "j1", 4, 10'000, false);
  job.mJob.mSteps.front().mEstimateMs = 300;
  fixture.Submit(job, milliseconds(300));
  fixture.Run(milliseconds(100));
  fixture.StartLeader();
  job.mEarlierSends = 1;
  const CallId call = fixture.Call(job);
  fixture.Run(milliseconds(400));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.StartsOf("j1") == 4);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE(
  "Dispatch: a job that an earlier leader may have started is never refused")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  JobCall large = fixture.CallOf("patient", "long", 2, 10'000, false);
  large.mJob.mSteps.front().mEstimateMs = 800;
  fixture.Submit(large, milliseconds(800));
  JobCall job = fixture.CallOf("urgent", "j1", 1, 10'000, false);
  job.mEarlierSends = 1;
  const CallId call = fixture.Submit(job);
  fixture.Run(milliseconds(2000));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mKind != JobReplyKind::Refused);
}

TEST_CASE(
  "Dispatch: a new leader starts no runs before its recovery is complete")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 2, 20'000);
  fixture.mFleet.NetworkFaultsOf("w0").mUnreachable = true;
  fixture.StartLeader();
  fixture.Run(milliseconds(500));
  CHECK_FALSE(fixture.CurrentCoordinator().IsRecoveryComplete());
  const CallId call =
    fixture.Submit(fixture.CallOf("patient", "j1", 1, 10'000, true));
  fixture.Run(milliseconds(400));
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
  fixture.Run(milliseconds(400));
  CHECK(fixture.CurrentCoordinator().IsRecoveryComplete());
  CHECK(fixture.mFleet.StartsOf("j1") == 1);
  CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Accepted);
}

TEST_CASE("Dispatch: delayed orders of a former leader have no effect")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  fixture.CurrentLeader().mTransport.mDelay = milliseconds(300);
  fixture.Submit(fixture.CallOf("patient", "old", 2, 10'000, false));
  fixture.Run(milliseconds(10));
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  fixture.Submit(fixture.CallOf("patient", "new", 2, 10'000, false),
                 milliseconds(400));
  fixture.Run(milliseconds(400));
  CHECK(fixture.mFleet.StartsOf("old") == 0);
  CHECK(fixture.mFleet.StartsOf("new") == 2);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Dispatch: acceptance and ends of a stored job are confirmed only "
          "after storing them")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  const CallId call = fixture.Submit(
    fixture.CallOf("patient", "j1", 1, 10'000, true), milliseconds(20));
  fixture.Run(milliseconds(5));
  CHECK_FALSE(fixture.ReplyTo(call));
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
  fixture.Run(milliseconds(15));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Accepted);
  fixture.mGroup.mUnknownOutcomeFraction = 1;
  fixture.Run(milliseconds(60));
  const WorkerSession& worker = fixture.CurrentCoordinator().Workers().at("w0");
  CHECK(worker.mLastProcessedEnd == 1);
  CHECK(worker.LastAcknowledgeableEnd() == 0);
  fixture.mGroup.mUnknownOutcomeFraction = 0;
  fixture.Run(milliseconds(1000));
  CHECK(worker.LastAcknowledgeableEnd() == 1);
  CHECK(fixture.mGroup.mState.mJobs.at("j1").mState == JobState::Completed);
}

TEST_CASE(
  "Dispatch: a stored job keeps its completed tasks across a change of leader")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  JobCall job = fixture.CallOf("patient", "j1", 6, 10'000, true);
  fixture.Submit(job, milliseconds(100));
  fixture.Run(milliseconds(180));
  const std::size_t before = fixture.mFleet.StartsOf("j1");
  CHECK(before == 4);
  fixture.StartLeader();
  fixture.Run(milliseconds(1500));
  CHECK(fixture.mFleet.StartsOf("j1") == 6);
  job.mKind = JobCallKind::Query;
  CHECK(fixture.ReplyTo(fixture.Call(job))->mState == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Dispatch: cancellation of a stored job survives a change of leader")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  JobCall job = fixture.CallOf("patient", "j1", 4, 10'000, true);
  job.mJob.mSteps.front().mEstimateMs = 500;
  fixture.Submit(job, milliseconds(500));
  fixture.Run(milliseconds(100));
  job.mKind = JobCallKind::Cancel;
  const CallId cancel = fixture.Call(job);
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.ReplyTo(cancel));
  CHECK(fixture.ReplyTo(cancel)->mState == JobState::Cancelled);
  CHECK(fixture.mFleet.Running() == 0);
  fixture.StartLeader();
  fixture.Run(milliseconds(1500));
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
  job.mKind = JobCallKind::Query;
  CHECK(fixture.ReplyTo(fixture.Call(job))->mState == JobState::Cancelled);
}

TEST_CASE("Dispatch: the number of pending jobs of a queue can be queried")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  for (int i = 0; i < 4; ++i) {
    fixture.Submit(
      fixture.CallOf("patient", "j" + std::to_string(i), 1, 10'000, true),
      milliseconds(500));
  }
  fixture.Run(milliseconds(60));
  JobCall count = fixture.CallOf("patient", "", 1, 1, false);
  count.mKind = JobCallKind::Query;
  const CallId call = fixture.Call(count);
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Count);
  CHECK(fixture.ReplyTo(call)->mPending == 2);
}

TEST_CASE("Dispatch: the log contains each decision about a job under its id")
{
  DispatchFixture fixture;
  StartRecoveredLeader(fixture, 1, 20'000);
  fixture.Submit(fixture.CallOf("urgent", "j1", 1, 10'000, false));
  fixture.Run(milliseconds(200));
  const std::string log = fixture.Log();
  for (const char* event :
       { "job-accepted", "run-ordered", "run-end", "job-ended" }) {
    INFO(event);
    CHECK(log.find("event=" + std::string(event) + " job=j1") !=
          std::string::npos);
  }
}

// What a leader does with evidence about runs: out-of-date lists, runs and ends
// of earlier leaders, refused starts, and cancelled jobs.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using almondspoke::testing::OrderRecorder;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

ActiveRun
ListedRun(const TaskId& aTask, RunNumber aRun)
{
  ActiveRun run;
  run.mRun = { aTask, aRun };
  return run;
}

EndedRun
EndOf(std::uint64_t aNumber, const RunId& aRun, RunEnd aEnd)
{
  EndedRun end;
  end.mNumber = aNumber;
  end.mRun = aRun;
  end.mEnd = aEnd;
  return end;
}

/** Submits a best-effort job of two steps, the second after the first. */
void
SubmitTwoSteps(ScriptedLeader& aLeader, const JobId& aJob)
{
  JobCall call;
  call.mKind = JobCallKind::Submit;
  call.mHost = "desk";
  call.mPath = "/patient/" + aJob;
  call.mEarlierSends = 1;
  call.mWaitMs = 1500;
  call.mJob.mBestEffort = true;
  StepSpec step;
  step.mCount = 1;
  step.mNeeds = { 8000, 64, 0 };
  step.mEstimateMs = 50;
  call.mJob.mSteps.push_back(step);
  step.mDependsOn = { 0 };
  call.mJob.mSteps.push_back(step);
  aLeader.mCoordinator.Call(++aLeader.mLastCall, call);
}

/** Answers the start and the open hold orders so that the run ends well. */
void
FinishRun(ScriptedLeader& aLeader, std::uint64_t aEnd)
{
  REQUIRE_FALSE(aLeader.mOrders.mStarts.empty());
  const RunId run = aLeader.mOrders.mStarts.front().mOrder.mRun;
  aLeader.AnswerStart(OrderOutcome::Done);
  REQUIRE_FALSE(aLeader.mOrders.mHolds.empty());
  aLeader.AnswerHold({}, { EndOf(aEnd, run, RunEnd::Done) });
}

/** \brief A leader with one worker, on which one task of a job runs. */
struct RunningJob
{
  RunningJob()
  {
    mLeader.Begin({ ScriptedLeader::ReportOf("w0") });
    mLeader.AnswerHold();
    mLeader.Submit("job", 1, 8000);
    REQUIRE(mLeader.mOrders.mStarts.size() == 1);
    mRun = mLeader.mOrders.mStarts.front().mOrder.mRun;
    mLeader.AnswerStart(OrderOutcome::Done);
    REQUIRE(mLeader.mOrders.mHolds.size() == 1);
  }

  /** Cancels the job; the worker confirms the stop. */
  void Cancel()
  {
    mLeader.Ask(JobCallKind::Cancel, "/urgent/job");
    mLeader.CompleteStores();
    REQUIRE(mLeader.mOrders.mStops.size() == 1);
    const auto stop = OrderRecorder::TakeFirst(mLeader.mOrders.mStops);
    stop.mDone({ OrderOutcome::Done, 1000 + mLeader.mElapsedMs });
  }
  JobState State()
  {
    return mLeader.Ask(JobCallKind::Query, "/urgent/job").mState;
  }

  ScriptedLeader mLeader;
  RunId mRun;
};

/** Returns a state with a stored job of one task, of which runs have failed. */
DispatchState
StateWithFailures(std::uint32_t aFailures)
{
  DispatchState state;
  state.mFence = ScriptedLeader::kFence;
  state.mWorkers["w0"] = ScriptedLeader::ReportOf("w0");
  RecordBatch batch;
  batch.mFence = state.mFence;
  AcceptRecord accepted;
  accepted.mSubmission.mId = "job";
  StepSpec step;
  step.mCount = 1;
  step.mNeeds = { 8000, 64, 0 };
  step.mEstimateMs = 50;
  accepted.mSubmission.mSteps.push_back(step);
  accepted.mQueue = { "patient", "desk", "/patient/", "pool", 2, 2, 1500 };
  accepted.mQueue.mMaxAttempts = 2;
  batch.mAccepted.push_back(accepted);
  for (std::uint32_t run = 1; run <= aFailures; ++run) {
    batch.mEnds.push_back({ "job", 0, 0, run, false, "" });
  }
  ApplyBatch(state, batch);
  return state;
}

std::size_t
StoredEnds(const ScriptedLeader& aLeader)
{
  std::size_t ends = 0;
  for (const RecordBatch& batch : aLeader.mBatches) {
    ends += batch.mEnds.size();
  }
  return ends;
}

}

// Guards against two runs of a task at the same time: the task became ready
// after a run of it was found, and was started beside that run (review/6).
TEST_CASE("Run evidence: a found run of a later step is claimed when the step "
          "is due")
{
  const TaskId later{ "job", 0, 1, 0 };
  const bool isFoundFirst = GENERATE(true, false);
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  if (isFoundFirst) {
    leader.AnswerHold({ ListedRun(later, 1) });
    SubmitTwoSteps(leader, "job");
  } else {
    SubmitTwoSteps(leader, "job");
    leader.AnswerHold({ ListedRun(later, 1) });
  }
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  CHECK(leader.mOrders.mStarts.front().mOrder.mRun.mTask.mStep == 0);
  CHECK(leader.mOrders.mStops.empty());
  const RunId first = leader.mOrders.mStarts.front().mOrder.mRun;
  leader.AnswerStart(OrderOutcome::Done);
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHold({ ListedRun(later, 1) }, { EndOf(1, first, RunEnd::Done) });
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.mCoordinator.AssignedRuns() == 1);
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHold({}, { EndOf(2, { later, 1 }, RunEnd::Done) });
  CHECK(leader.mOrders.mStarts.empty());
  REQUIRE(leader.mReplies.count(1) == 1);
  CHECK(leader.mReplies.at(1).mState == JobState::Completed);
}

// The found run has been stopped since nobody had asked for its job. The step
// must wait until it is certain that the run is over.
TEST_CASE("Run evidence: a step whose found run is being stopped starts after "
          "that run is over")
{
  const TaskId later{ "job", 0, 1, 0 };
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHold({ ListedRun(later, 1) });
  for (int i = 0; i < 16; ++i) {
    leader.Run(milliseconds(100));
    REQUIRE_FALSE(leader.mOrders.mHolds.empty());
    leader.AnswerHold({ ListedRun(later, 1) });
  }
  REQUIRE_FALSE(leader.mOrders.mStops.empty());
  SubmitTwoSteps(leader, "job");
  FinishRun(leader, 1);
  leader.Run(milliseconds(20));
  CHECK(leader.mOrders.mStarts.empty());
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHold({}, { EndOf(2, { later, 1 }, RunEnd::Stopped) });
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  CHECK(leader.mOrders.mStarts.front().mOrder.mRun.mTask == later);
}

// Guards against an ended job that runs again: the answer to an older hold
// order arrived after the end of the run had been processed (review/7,
// withdrawn).
TEST_CASE("Run evidence: a list that is older than the end of a run does not "
          "bring the run back")
{
  RunningJob job;
  ScriptedLeader& leader = job.mLeader;
  const auto older = OrderRecorder::TakeFirst(leader.mOrders.mHolds);
  job.Cancel();
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  SECTION("the end was listed")
  {
    leader.AnswerHold({}, { EndOf(1, job.mRun, RunEnd::Stopped) });
  }
  SECTION("the run was missing from a list after its stop")
  {
    leader.AnswerHold();
  }
  REQUIRE(leader.mCoordinator.AssignedRuns() == 0);
  HoldResult late;
  late.mOutcome = OrderOutcome::Done;
  late.mClock = 1000 + leader.mElapsedMs;
  late.mRunning = { ListedRun(job.mRun.mTask, job.mRun.mNumber) };
  older.mDone(late);
  CHECK(leader.mCoordinator.AssignedRuns() == 0);
  CHECK(job.State() == JobState::Cancelled);
  leader.Run(milliseconds(200));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(job.State() == JobState::Cancelled);
}

// Guards against an ended job that becomes running again with a run that a
// current list shows.
TEST_CASE("Run evidence: a found run of an ended job is stopped, not claimed")
{
  RunningJob job;
  ScriptedLeader& leader = job.mLeader;
  job.Cancel();
  leader.mOrders.mHolds.resize(1);
  leader.AnswerHold({}, { EndOf(1, job.mRun, RunEnd::Stopped) });
  leader.Submit("other", 1, 8000);
  leader.AnswerStart(OrderOutcome::Done);
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.mOrders.mStops.clear();
  leader.AnswerLastHold();
  leader.Run(milliseconds(10));
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  std::swap(leader.mOrders.mHolds.front(), leader.mOrders.mHolds.back());
  leader.AnswerHold({ ListedRun(job.mRun.mTask, 7) });
  CHECK(job.State() == JobState::Cancelled);
  REQUIRE(leader.mOrders.mStops.size() == 1);
  CHECK(leader.mOrders.mStops.front().mOrder.mRun.mNumber == 7);
}

// Guards against a start beyond the limit of failed runs: a failed end that a
// new leader read first was acknowledged and not counted (stage budget).
TEST_CASE("Run evidence: a failed end of an earlier leader's run is stored and "
          "counted before it is acknowledged")
{
  const TaskId task{ "job", 0, 0, 0 };
  ScriptedLeader leader;
  leader.mCoordinator.BeginLeading(
    ScriptedLeader::kFence, StateWithFailures(1), {});
  leader.AnswerHold({}, { EndOf(1, { task, 2 }, RunEnd::Failed) });
  CHECK(StoredEnds(leader) == 1);
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mStarts.empty());
  for (const auto& hold : leader.mOrders.mHolds) {
    CHECK(hold.mOrder.mAcknowledgedEnds == 0);
  }
  leader.CompleteStores();
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.Ask(JobCallKind::Query, "/patient/job").mState ==
        JobState::Failed);
}

TEST_CASE("Run evidence: a failed end that is listed again counts once")
{
  const TaskId task{ "job", 0, 0, 0 };
  const std::uint32_t storedFailures = GENERATE(0U, 1U);
  ScriptedLeader leader;
  leader.mCoordinator.BeginLeading(
    ScriptedLeader::kFence, StateWithFailures(storedFailures), {});
  leader.AnswerHold({}, { EndOf(1, { task, 1 }, RunEnd::Failed) });
  leader.CompleteStores();
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  leader.AnswerStart(OrderOutcome::Done);
  leader.Run(milliseconds(10));
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  // A worker numbers its ends anew if it lists one again.
  leader.AnswerHold({ ListedRun(task, 2) },
                    { EndOf(2, { task, 1 }, RunEnd::Failed) });
  leader.CompleteStores();
  CHECK(StoredEnds(leader) == 1 - storedFailures);
  CHECK(leader.mOrders.mStops.empty());
  CHECK(leader.Ask(JobCallKind::Query, "/patient/job").mState ==
        JobState::Running);
}

// Guards against a start beyond the limit of failed runs: the failed end of an
// earlier run, listed by a worker that was out of reach, was not counted.
TEST_CASE("Run evidence: failed ends count in whatever order they are read")
{
  const TaskId task{ "job", 0, 0, 0 };
  DispatchState state = StateWithFailures(0);
  RecordBatch later;
  later.mFence = state.mFence;
  later.mEnds.push_back({ "job", 0, 0, 7, false, "" });
  ApplyBatch(state, later);
  ScriptedLeader leader;
  leader.mCoordinator.BeginLeading(ScriptedLeader::kFence, state, {});
  leader.AnswerHold({}, { EndOf(1, { task, 5 }, RunEnd::Failed) });
  REQUIRE(StoredEnds(leader) == 1);
  ApplyBatch(state, leader.mBatches.back());
  CHECK(state.mJobs.at("job").mState == JobState::Failed);
  leader.CompleteStores();
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.Ask(JobCallKind::Query, "/patient/job").mState ==
        JobState::Failed);
}

// Guards against a start after an end `done` that was acknowledged: it was
// dropped since a failed end of the same task was being stored.
TEST_CASE("Run evidence: an end counts while another end of the task is being "
          "stored")
{
  const TaskId task{ "job", 0, 0, 0 };
  DispatchState state = StateWithFailures(0);
  state.mWorkers["w1"] = ScriptedLeader::ReportOf("w1");
  ScriptedLeader leader;
  leader.mCoordinator.BeginLeading(ScriptedLeader::kFence, state, {});
  REQUIRE(leader.mOrders.mHolds.size() == 2);
  leader.AnswerHold({}, { EndOf(1, { task, 1 }, RunEnd::Failed) });
  std::swap(leader.mOrders.mHolds.front(), leader.mOrders.mHolds.back());
  while (!leader.mOrders.mHolds.empty() &&
         leader.mOrders.mHolds.front().mOrder.mTarget.mBoot.mId != "w1") {
    leader.mOrders.mHolds.pop_front();
  }
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHold({}, { EndOf(1, { task, 2 }, RunEnd::Done) });
  CHECK(StoredEnds(leader) == 2);
  leader.CompleteStores();
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.Ask(JobCallKind::Query, "/patient/job").mState ==
        JobState::Completed);
}

// Guards against a cancelled job that runs when its submission is repeated
// after its leader was killed (review/8).
TEST_CASE("Run evidence: a cancelled best-effort job is not started again "
          "under the next leader")
{
  DispatchFixture fixture;
  fixture.AddWorkers(1, 20'000);
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  JobCall job = fixture.CallOf("patient", "j1", 2, 10'000, false);
  job.mJob.mSteps.front().mEstimateMs = 500;
  const CallId submitted = fixture.Submit(job, milliseconds(500));
  fixture.Run(milliseconds(50));
  REQUIRE(fixture.mFleet.StartsOf("j1") == 2);
  JobCall cancel = job;
  cancel.mKind = JobCallKind::Cancel;
  const CallId cancelled = fixture.Call(cancel);
  // The reply waits until the cancellation is stored.
  CHECK_FALSE(fixture.ReplyTo(cancelled));
  CHECK_FALSE(fixture.ReplyTo(submitted));
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.ReplyTo(cancelled));
  CHECK(fixture.ReplyTo(cancelled)->mState == JobState::Cancelled);
  CHECK(fixture.ReplyTo(submitted)->mState == JobState::Cancelled);
  for (int leaders = 0; leaders < 2; ++leaders) {
    fixture.StartLeader();
    fixture.Run(milliseconds(4500));
    const CallId again = fixture.Call(job);
    fixture.Run(milliseconds(100));
    REQUIRE(fixture.ReplyTo(again));
    CHECK(fixture.ReplyTo(again)->mState == JobState::Cancelled);
  }
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
  // It is removed once no repeated submission is expected any more.
  fixture.Run(milliseconds(60'000));
  CHECK(fixture.mGroup.mState.mCancelledBestEffort.size() == 1);
  fixture.Run(milliseconds(20'000));
  CHECK(fixture.mGroup.mState.mCancelledBestEffort.empty());
}

// A submission that arrives while the cancellation is being stored must not
// start what was dropped.
TEST_CASE("Run evidence: a submission during a cancellation starts nothing")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHold();
  leader.Submit("job", 4, 10'000, "patient");
  REQUIRE(leader.mOrders.mStarts.size() == 2);
  leader.AnswerStart(OrderOutcome::Done);
  leader.AnswerStart(OrderOutcome::Done);
  leader.Ask(JobCallKind::Cancel, "/patient/job");
  leader.Submit("job", 4, 10'000, "patient");
  leader.AnswerHold({},
                    { EndOf(1, { { "job", 0, 0, 0 }, 1 }, RunEnd::Done),
                      EndOf(2, { { "job", 0, 0, 1 }, 1 }, RunEnd::Done) });
  leader.Run(milliseconds(100));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.mReplies.count(3) == 0);
  leader.CompleteStores();
  REQUIRE(leader.mReplies.count(3) == 1);
  CHECK(leader.mReplies.at(3).mState == JobState::Cancelled);
}

// Guards against a count that leaves out a job of which nothing has begun
// (stage pending).
TEST_CASE("Run evidence: a job is pending until a run of it is known to have "
          "begun")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHold();
  leader.Submit("job", 1, 8000, "patient");
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  std::uint32_t expected = 1;
  SECTION("the start was not sent")
  {
    leader.AnswerStart(OrderOutcome::NotSent);
  }
  SECTION("the start was not answered")
  {
    leader.AnswerStart(OrderOutcome::Unknown);
  }
  SECTION("the start was confirmed")
  {
    leader.AnswerStart(OrderOutcome::Done);
    expected = 0;
  }
  SECTION("a list shows the run")
  {
    const RunId run = leader.mOrders.mStarts.front().mOrder.mRun;
    leader.Submit("other", 1, 8000);
    std::swap(leader.mOrders.mStarts.front(), leader.mOrders.mStarts.back());
    leader.AnswerStart(OrderOutcome::Done);
    leader.AnswerHold({ ListedRun(run.mTask, run.mNumber) });
    expected = 0;
  }
  const JobReply count = leader.Ask(JobCallKind::Query, "/patient/");
  CHECK(count.mPending == expected);
  CHECK(leader.Ask(JobCallKind::Query, "/patient/job").mState ==
        (expected == 0 ? JobState::Running : JobState::Queued));
}

// Cancellations that come before the submission of their job.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

/** \brief A leader of one worker, and a job that is cancelled before it is
 * handed in. */
class EarlyCancel : public DispatchFixture
{
public:
  EarlyCancel()
  {
    AddWorkers(1, 20'000, "zagreb");
    StartLeader();
    Run(milliseconds(100));
  }

  CallId Cancel(const JobCall& aJob)
  {
    JobCall cancel = aJob;
    cancel.mKind = JobCallKind::Cancel;
    return Call(cancel);
  }
  /** Cancels a job and waits until that is acknowledged as it should be. */
  void CancelAcknowledged(const JobCall& aJob)
  {
    const CallId call = Cancel(aJob);
    // The reply waits until the cancellation is stored.
    CHECK_FALSE(ReplyTo(call));
    Run(milliseconds(50));
    REQUIRE(ReplyTo(call));
    CHECK(ReplyTo(call)->mKind == JobReplyKind::UnknownJob);
  }
  JobReply Ask(const JobCall& aJob)
  {
    JobCall query = aJob;
    query.mKind = JobCallKind::Query;
    return ReplyTo(Call(query)).value();
  }
};

}

// Guards against a task that starts after its job's cancelling was acknowledged
// (review/13): the submission was in a gateway that was frozen.
TEST_CASE("Cancel ahead: a job that was cancelled before it came never starts")
{
  EarlyCancel fixture;
  const bool stored = GENERATE(true, false);
  CAPTURE(stored);
  const JobCall job = fixture.CallOf("patient", "j1", 2, 1000, stored);
  fixture.CancelAcknowledged(job);
  CHECK(fixture.Ask(job).mKind == JobReplyKind::UnknownJob);
  SECTION("the submission is a freeze late")
  {
    fixture.Run(milliseconds(7900));
  }
  SECTION("it is several disruptions late")
  {
    fixture.Run(milliseconds(70'000));
  }
  SECTION("it was cancelled twice")
  {
    const CallId again = fixture.Cancel(job);
    REQUIRE(fixture.ReplyTo(again));
    CHECK(fixture.ReplyTo(again)->mKind == JobReplyKind::UnknownJob);
  }
  SECTION("the leader is lost in between, twice")
  {
    fixture.StartLeader();
    fixture.Run(milliseconds(4000));
    fixture.StartLeader();
    fixture.Run(milliseconds(10));
  }
  const CallId submitted = fixture.Submit(job);
  const CallId repeated = fixture.Submit(job);
  fixture.Run(milliseconds(2000));
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
  for (const CallId call : { submitted, repeated }) {
    REQUIRE(fixture.ReplyTo(call));
    CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Accepted);
    CHECK(fixture.ReplyTo(call)->mState == JobState::Cancelled);
  }
}

TEST_CASE("Cancel ahead: a submission that overtakes the storing waits for it")
{
  EarlyCancel fixture;
  const JobCall job = fixture.CallOf("patient", "j1", 2, 1000, false);
  fixture.Cancel(job);
  const CallId again = fixture.Cancel(job);
  const CallId submitted = fixture.Submit(job);
  CHECK_FALSE(fixture.ReplyTo(again));
  CHECK_FALSE(fixture.ReplyTo(submitted));
  fixture.Run(milliseconds(200));
  CHECK(fixture.ReplyTo(again));
  CHECK(fixture.ReplyTo(submitted)->mState == JobState::Cancelled);
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
}

// Guards against a cancelled job that a local leader starts: it knows what was
// stored before its data centre was cut off.
TEST_CASE(
  "Cancel ahead: a local leader starts no job that was cancelled before")
{
  EarlyCancel fixture;
  const JobCall job = fixture.CallOf("patient", "j1", 1, 1000, false);
  fixture.CancelAcknowledged(job);
  fixture.Disconnect(1);
  fixture.StartLocalLeader("zagreb");
  fixture.Run(milliseconds(1500));
  const CallId call = fixture.SubmitLocally(job);
  fixture.Run(milliseconds(200));
  CHECK(fixture.LocalReplyTo(call)->mState == JobState::Cancelled);
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
}

// Guards against a cancelling that a local leader forgets when it finds a run
// of the job, which the elected leader was about to stop.
TEST_CASE("Cancel ahead: a local leader keeps a cancelling whose run it finds")
{
  ScriptedLeader leader;
  DispatchState state;
  state.mFence = ScriptedLeader::kFence;
  state.mWorkers["w0"] = ScriptedLeader::ReportOf("w0");
  state.mWorkers["w0"].mDataCentre = "zagreb";
  state.mCancelledBestEffort["job"] = 1;
  leader.mCoordinator.BeginLeading(
    ScriptedLeader::kFence, state, {}, { "zagreb", 7 });
  ActiveRun found;
  found.mRun = { { "job", 0, 0, 0 }, 77 };
  leader.AnswerHold({ found });
  REQUIRE(leader.mOrders.mStops.size() == 1);
  EndedRun end;
  end.mNumber = 1;
  end.mRun = found.mRun;
  end.mEnd = RunEnd::Stopped;
  leader.Run(milliseconds(30));
  leader.AnswerHold({}, { end });
  leader.Run(milliseconds(1200));
  leader.Submit("job", 1, 1000);
  CHECK(leader.mReplies.at(leader.mLastCall).mState == JobState::Cancelled);
  CHECK(leader.mOrders.mStarts.empty());
}

// Guards against runs that go on after the cancelling: the next leader was
// asked to cancel the job before its gateway had handed it in there.
TEST_CASE("Cancel ahead: runs that the former leader started are stopped")
{
  EarlyCancel fixture;
  const JobCall job = fixture.CallOf("patient", "j1", 2, 1000, false);
  fixture.Submit(job, milliseconds(5000));
  fixture.Run(milliseconds(50));
  REQUIRE(fixture.mFleet.Running() == 2);
  fixture.StartLeader();
  SECTION("it has read the worker")
  {
    fixture.Run(milliseconds(100));
  }
  SECTION("it has not") {}
  fixture.CancelAcknowledged(job);
  fixture.Run(milliseconds(300));
  CHECK(fixture.mFleet.Running() == 0);
  const CallId again = fixture.Submit(job, milliseconds(5000));
  fixture.Run(milliseconds(500));
  CHECK(fixture.ReplyTo(again)->mState == JobState::Cancelled);
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
}

// Guards against a crowd that fills the memory with cancellations of jobs which
// nobody has sent, and against an acknowledgement that is not remembered.
TEST_CASE("Cancel ahead: what cannot be remembered is not acknowledged")
{
  ScriptedLeader leader;
  leader.Begin({});
  leader.Run(milliseconds(1100));
  constexpr int kCrowd = 12'000;
  std::string longest = "/patient/";
  longest.append(300, 'x');
  CHECK(leader.Ask(JobCallKind::Cancel, longest).mKind ==
        JobReplyKind::Unavailable);
  for (int i = 0; i < kCrowd; ++i) {
    leader.Ask(JobCallKind::Cancel, "/patient/" + std::to_string(i));
  }
  leader.CompleteStores();
  int acknowledged = 0;
  int refused = 0;
  for (const auto& [call, reply] : leader.mReplies) {
    acknowledged += reply.mKind == JobReplyKind::UnknownJob ? 1 : 0;
    refused += reply.mKind == JobReplyKind::Unavailable ? 1 : 0;
  }
  CHECK(acknowledged == 10'000);
  CHECK(refused == 1 + kCrowd - 10'000);
  // They make room again.
  leader.Run(milliseconds(80'000));
  leader.Ask(JobCallKind::Cancel, "/patient/later");
  leader.CompleteStores();
  CHECK(leader.mReplies.at(leader.mLastCall).mKind == JobReplyKind::UnknownJob);
}

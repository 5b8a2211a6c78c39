// A rejection says that a job did not run and will not. It is given only where
// that is true.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kMilliCores = 20'000;
constexpr milliseconds kTaskTime{ 500 };

/** \brief What a change of the manifest does to the queue of a job. */
enum class QueueChange
{
  None,
  Dropped,
  OtherPrefix
};

/** \brief A leader of one worker whose manifest loses the queue "patient". */
class DroppedQueue : public DispatchFixture
{
public:
  DroppedQueue()
  {
    AddWorkers(1, kMilliCores);
    StartLeader();
    Run(milliseconds(100));
  }

  void Make(QueueChange aChange)
  {
    if (aChange == QueueChange::Dropped) {
      ChangeManifest([](Manifest& aManifest) { aManifest.mQueues.pop_back(); });
    }
    if (aChange == QueueChange::OtherPrefix) {
      ChangeManifest([](Manifest& aManifest) {
        aManifest.mQueues[1].mPathPrefix = "/patients/";
      });
    }
  }
  JobReply Ask(JobCallKind aKind, JobCall aJob)
  {
    aJob.mKind = aKind;
    const CallId call = Call(aJob);
    Run(milliseconds(50));
    return ReplyTo(call).value();
  }
  /** A job of two steps. */
  JobCall TwoSteps(bool aStored)
  {
    JobCall job = CallOf("patient", "j1", 2, 1000, aStored);
    job.mWaitMs = 10'000;
    job.mJob.mSteps.front().mEstimateMs = kTaskTime.count();
    job.mJob.mSteps.push_back(job.mJob.mSteps.front());
    job.mJob.mSteps.back().mDependsOn = { 0 };
    return job;
  }
};

/** \brief A way in which a call is rejected. */
struct RejectionCase
{
  const char* mName;
  void (*mEdit)(JobCall&);
  JobReplyKind mKind;
};

}

// Guards against a job that has run and is answered as not accepted
// (review/15): its queue is dropped and its leader is lost.
TEST_CASE(
  "Rejection: a job that an earlier leader may have run is not rejected")
{
  const QueueChange change =
    GENERATE(QueueChange::None, QueueChange::Dropped, QueueChange::OtherPrefix);
  const std::uint32_t leadersLost = GENERATE(1U, 2U);
  CAPTURE(static_cast<int>(change), leadersLost);
  DroppedQueue fixture;
  JobCall job = fixture.TwoSteps(false);
  fixture.Submit(job, kTaskTime);
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.mFleet.StartsOf("j1") == 2);
  fixture.Make(change);
  for (; job.mEarlierSends < leadersLost; ++job.mEarlierSends) {
    fixture.StartLeader();
    fixture.Run(milliseconds(150));
  }
  const CallId again = fixture.Call(job);
  fixture.Run(milliseconds(2000));
  REQUIRE(fixture.ReplyTo(again));
  const JobReply reply = *fixture.ReplyTo(again);
  // Without a queue nothing more of the job starts.
  CHECK(reply.mKind == (change == QueueChange::None ? JobReplyKind::Accepted
                                                    : JobReplyKind::Unknown));
  CHECK(reply.mRetryAfterMs == 0);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Rejection: each rejection gives way to an unknown outcome")
{
  const std::vector<RejectionCase> cases = {
    { "no queue",
      [](JobCall& aCall) { aCall.mPath = "/nowhere/j1"; },
      JobReplyKind::UnknownQueue },
    { "malformed",
      [](JobCall& aCall) { aCall.mJob.mSteps.clear(); },
      JobReplyKind::Malformed },
    { "not supported",
      [](JobCall& aCall) { aCall.mJob.mUnsupportedFeature = "gang"; },
      JobReplyKind::Unavailable },
  };
  for (const RejectionCase& row : cases) {
    for (const std::uint32_t earlierSends : { 0U, 1U }) {
      INFO(row.mName << ", earlier sends " << earlierSends);
      DroppedQueue fixture;
      JobCall job = fixture.CallOf("patient", "j1", 1, 1000, false);
      row.mEdit(job);
      job.mEarlierSends = earlierSends;
      const CallId call = fixture.Call(job);
      REQUIRE(fixture.ReplyTo(call));
      CHECK(fixture.ReplyTo(call)->mKind ==
            (earlierSends == 0 ? row.mKind : JobReplyKind::Unknown));
    }
  }
}

TEST_CASE("Rejection: without a manifest a job sent before is not rejected")
{
  ScriptedLeader scripted;
  Coordinator coordinator(
    {}, scripted.mClock, scripted.mOrders, scripted, scripted, scripted.mLog);
  coordinator.BeginLeading(ScriptedLeader::kFence, {}, {});
  JobCall job;
  job.mKind = JobCallKind::Submit;
  coordinator.Call(1, job);
  job.mEarlierSends = 1;
  coordinator.Call(2, job);
  CHECK(scripted.mReplies.at(1).mKind == JobReplyKind::Unavailable);
  CHECK(scripted.mReplies.at(2).mKind == JobReplyKind::Unknown);
}

// Guards against a refusal for load of a job whose runs were found: its first
// call went to a gateway that was lost, so that no gateway tells of it.
TEST_CASE("Rejection: a job of which runs were found is not refused")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0", 1000) });
  leader.mOrders.mMaySend = true;
  ActiveRun found;
  found.mRun = { { "job", 0, 0, 0 }, 1 };
  leader.AnswerHold({ found });
  leader.Run(milliseconds(50));
  leader.mCoordinator.ObserveDelay(milliseconds(2000));
  leader.mCoordinator.ObserveDelay(milliseconds(2000));
  REQUIRE(leader.mCoordinator.Load().State() == Overload::Full);
  leader.Submit("other", 1, 1000);
  REQUIRE(leader.mReplies.count(leader.mLastCall) == 1);
  CHECK(leader.mReplies.at(leader.mLastCall).mKind == JobReplyKind::Refused);
  leader.Submit("job", 1, 1000);
  CHECK(leader.mReplies.count(leader.mLastCall) == 0);
}

// Guards against a job that can neither be asked for nor cancelled while it
// runs, since its queue was dropped.
TEST_CASE("Rejection: an accepted job is known by its path without its queue")
{
  DroppedQueue fixture;
  const JobCall job = fixture.TwoSteps(true);
  fixture.Submit(job, kTaskTime);
  fixture.Run(milliseconds(100));
  fixture.Make(GENERATE(QueueChange::Dropped, QueueChange::OtherPrefix));
  SECTION("under the same leader") {}
  SECTION("under the next one")
  {
    fixture.StartLeader();
    fixture.Run(milliseconds(50));
  }
  CHECK(fixture.Ask(JobCallKind::Query, job).mState == JobState::Running);
  // Nothing new is taken, and what was taken is not denied.
  CHECK(fixture.Ask(JobCallKind::Submit, job).mKind == JobReplyKind::Unknown);
  JobCall other = fixture.CallOf("patient", "j2", 1, 1000, true);
  CHECK(fixture.Ask(JobCallKind::Submit, other).mKind ==
        JobReplyKind::UnknownQueue);
  CHECK(fixture.Ask(JobCallKind::Cancel, job).mState == JobState::Cancelled);
  fixture.Run(milliseconds(1500));
  CHECK(fixture.mFleet.StartsOf("j1") == 2);
  CHECK(fixture.mFleet.Running() == 0);
}

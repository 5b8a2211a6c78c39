// A worker lists the ends of its runs in parts. A run that stands in neither
// list may have ended in a part that has not been read.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

constexpr int kJobs = 30;
constexpr std::uint32_t kTasksOfJob = 20;
constexpr std::size_t kTasks = 600;

std::string
IdOf(int aJob)
{
  return "job-" + std::to_string(aJob);
}

EndedRun
EndOf(std::uint64_t aNumber, const JobId& aJob, RunNumber aRun)
{
  EndedRun end;
  end.mNumber = aNumber;
  end.mRun = { TaskId{ aJob, 0, 0, 0 }, aRun };
  end.mEnd = RunEnd::Done;
  return end;
}

} // namespace

// Guards against tasks that are started again after they have ended well: a new
// leader took the first 500 ends of a worker for all.
TEST_CASE("End lists: a new leader starts nothing again that has ended in a "
          "later part of the list")
{
  const bool stored = GENERATE(true, false);
  DispatchFixture fixture;
  fixture.AddWorkers(1, 32'000);
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  std::vector<JobCall> calls;
  for (int i = 0; i < kJobs; ++i) {
    calls.push_back(fixture.CallOf("urgent", IdOf(i), kTasksOfJob, 40, stored));
    fixture.Submit(calls.back(), milliseconds(300));
  }
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.mFleet.RunningOn("w0") == kTasks);
  fixture.CurrentLeader().mTransport.mDisconnected.insert("w0");
  fixture.Run(milliseconds(400));
  REQUIRE(fixture.mFleet.RunningOn("w0") == 0);
  fixture.StartLeader();
  for (JobCall& call : calls) {
    call.mEarlierSends = 1;
    fixture.Call(call);
  }
  fixture.Run(milliseconds(1000));
  for (int i = 0; i < kJobs; ++i) {
    INFO(IdOf(i));
    CHECK(fixture.mFleet.StartsOf(IdOf(i)) == kTasksOfJob);
  }
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("End lists: recovery waits for all parts of a worker's list")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHoldInPart({ EndOf(1, "a", 1) });
  CHECK_FALSE(leader.mCoordinator.IsRecoveryComplete());
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  CHECK(leader.mOrders.mHolds.front().mOrder.mAcknowledgedEnds == 1);
  leader.AnswerHold({}, { EndOf(2, "b", 1) });
  CHECK(leader.mCoordinator.IsRecoveryComplete());
}

// Guards against runs that are started again beside runs that work on: a new
// leader awaited the end of the leases from its begin on, and had renewed them.
TEST_CASE("End lists: a new leader awaits the lease that it has granted to a "
          "worker that it has not read")
{
  const WorkerReport report = ScriptedLeader::ReportOf("w0");
  ScriptedLeader leader;
  leader.mOrders.mMaySend = false;
  leader.Begin({ report }, { report });
  leader.Run(milliseconds(500));
  leader.mOrders.mMaySend = true;
  leader.Run(milliseconds(10));
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  const auto hold = testing::OrderRecorder::TakeFirst(leader.mOrders.mHolds);
  CHECK(hold.mOrder.mLeaseEnd > 0);
  hold.mDone({});
  leader.Run(milliseconds(50));
  // The lease is granted once.
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  CHECK(leader.mOrders.mHolds.front().mOrder.mLeaseEnd == 0);
  leader.Run(milliseconds(900));
  CHECK_FALSE(leader.mCoordinator.IsRecoveryComplete());
  leader.Run(milliseconds(150));
  CHECK(leader.mCoordinator.IsRecoveryComplete());
}

TEST_CASE("End lists: a leader counts no run as lost by a part of the list")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHold();
  leader.Submit("job", 1, 8000);
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  const RunId run = leader.mOrders.mStarts.front().mOrder.mRun;
  leader.AnswerStart(OrderOutcome::Done);
  leader.AnswerHoldInPart({ EndOf(1, "other", 1) });
  leader.Run(milliseconds(20));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.mCoordinator.AssignedRuns() == 1);
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHold({}, { EndOf(2, "job", run.mNumber) });
  leader.Run(milliseconds(20));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.mReplies.at(1).mState == JobState::Completed);
}

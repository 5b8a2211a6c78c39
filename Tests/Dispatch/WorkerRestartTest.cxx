// A worker that starts again under its id takes orders that were meant for the
// boot before, since an order names the id only.
#include <catch2/catch.hpp>

#include "Dispatch/ScriptedLeader.h"
#include "Dispatch/WorkerFence.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kLaterBoot = 2;
const TaskId kTask{ "job", 0, 0, 0 };

ActiveRun
ListedRun(RunNumber aRun)
{
  ActiveRun run;
  run.mRun = { kTask, aRun };
  return run;
}

EndedRun
DoneRun(std::uint64_t aNumber, const RunId& aRun)
{
  EndedRun end;
  end.mNumber = aNumber;
  end.mRun = aRun;
  end.mEnd = RunEnd::Done;
  return end;
}

/** \brief A leader of two workers; a start for the first one is on its way. */
struct RestartFixture
{
  RestartFixture()
  {
    mLeader.Begin(
      { ScriptedLeader::ReportOf("w0"), ScriptedLeader::ReportOf("w1") });
    mLeader.AnswerHold();
    mLeader.AnswerHold();
    REQUIRE(mLeader.mCoordinator.IsRecoveryComplete());
    mLeader.Run(milliseconds(200));
    mLeader.Submit("job", 1, 8000);
    REQUIRE(mLeader.mOrders.mStarts.size() == 1);
    const StartOrder& order = mLeader.mOrders.mStarts.front().mOrder;
    mWorker = order.mTarget.mBoot.mId;
    mRun = order.mRun;
    mFence = order.mTarget.mFence;
  }

  WorkerReport LaterReport(std::uint32_t aMilliCores = 20'000) const
  {
    WorkerReport report = ScriptedLeader::ReportOf(mWorker, aMilliCores);
    report.mBoot.mStartTimeMs = kLaterBoot;
    report.mClockMs = 1;
    return report;
  }
  const WorkerSession& Session() const
  {
    return mLeader.mCoordinator.Workers().at(mWorker);
  }

  ScriptedLeader mLeader;
  WorkerId mWorker;
  RunId mRun;
  Fence mFence = 0;
};

}

// Guards against two runs of a task at the same time: the leader took a run on
// the later boot for one that had ended with the boot before.
TEST_CASE("Worker restart: a run that the later boot has taken is not started "
          "elsewhere")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  SECTION("the start is answered, and a list shows the later boot")
  {
    leader.AnswerStartByLaterBoot(OrderOutcome::Done);
    leader.AnswerHoldByLaterBoot(kLaterBoot,
                                 { ListedRun(fixture.mRun.mNumber) });
  }
  SECTION("the start is answered, and a report shows the later boot")
  {
    leader.AnswerStartByLaterBoot(OrderOutcome::Done);
    leader.mOrders.mHolds.clear();
    leader.mCoordinator.OnReport(fixture.LaterReport());
  }
  SECTION("a report shows the later boot before the start is answered")
  {
    leader.mCoordinator.OnReport(fixture.LaterReport());
    leader.AnswerStartByLaterBoot(OrderOutcome::Done);
  }
  SECTION("the answer to the start is lost")
  {
    leader.AnswerStartByLaterBoot(OrderOutcome::Unknown);
    leader.mCoordinator.OnReport(fixture.LaterReport());
  }
  leader.Run(milliseconds(10));
  CHECK(leader.mOrders.mStarts.empty());
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHoldByLaterBoot(kLaterBoot, { ListedRun(fixture.mRun.mNumber) });
  leader.Run(milliseconds(50));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.mCoordinator.AssignedRuns() == 1);
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHoldByLaterBoot(kLaterBoot, {}, { DoneRun(1, fixture.mRun) });
  REQUIRE(leader.mReplies.count(1) == 1);
  CHECK(leader.mReplies.at(1).mState == JobState::Completed);
  CHECK(leader.mOrders.mStarts.empty());
}

// Guards against a start after an end that was noted: the answer that showed
// the later boot also listed the end of its run, and was thrown away.
TEST_CASE("Worker restart: a run that has ended on the later boot is not "
          "started again")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.AnswerStartByLaterBoot(OrderOutcome::Done);
  leader.AnswerHoldByLaterBoot(kLaterBoot, {}, { DoneRun(1, fixture.mRun) });
  CHECK(leader.mOrders.mStarts.empty());
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  CHECK(leader.mOrders.mHolds.front().mOrder.mAcknowledgedEnds == 0);
  leader.AnswerHoldByLaterBoot(kLaterBoot, {}, { DoneRun(1, fixture.mRun) });
  leader.Run(milliseconds(50));
  CHECK(leader.mOrders.mStarts.empty());
  REQUIRE(leader.mReplies.count(1) == 1);
  CHECK(leader.mReplies.at(1).mState == JobState::Completed);
}

// Guards against an end that nobody has read and that the worker forgets: the
// later boot counts its ends anew, so that a former count covers them.
TEST_CASE("Worker restart: ends are not acknowledged while a later boot may "
          "have taken a run")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.AnswerStart(OrderOutcome::Done);
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  leader.AnswerHold({}, { DoneRun(7, fixture.mRun) });
  leader.Submit("next", 2, 12'000);
  REQUIRE(leader.mOrders.mStarts.size() == 2);
  if (leader.mOrders.mStarts.front().mOrder.mTarget.mBoot.mId !=
      fixture.mWorker) {
    std::swap(leader.mOrders.mStarts[0], leader.mOrders.mStarts[1]);
  }
  leader.mOrders.mHolds.clear();
  SECTION("the clock shows the boot that the order was meant for")
  {
    leader.AnswerStart(OrderOutcome::Done);
    REQUIRE(leader.mOrders.mHolds.size() == 1);
    CHECK(leader.mOrders.mHolds.front().mOrder.mAcknowledgedEnds == 7);
  }
  SECTION("the clock shows a later boot")
  {
    leader.AnswerStartByLaterBoot(OrderOutcome::Done);
    REQUIRE(leader.mOrders.mHolds.size() == 1);
    CHECK(leader.mOrders.mHolds.front().mOrder.mAcknowledgedEnds == 0);
  }
}

// Guards against orders to the former boot that the later one carries out.
TEST_CASE("Worker restart: the later boot is called under a higher fence")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.mOrders.mHolds.clear();
  leader.mCoordinator.OnReport(fixture.LaterReport());
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  CHECK(leader.mOrders.mHolds.front().mOrder.mTarget.mFence > fixture.mFence);
}

TEST_CASE("Worker restart: a run that the later boot has not taken is started "
          "elsewhere once its lists are read")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.mCoordinator.OnReport(fixture.LaterReport());
  leader.Run(milliseconds(30));
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHoldByLaterBoot(kLaterBoot);
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mStarts.size() == 2);
}

TEST_CASE("Worker restart: a run of the former boot is started elsewhere at "
          "once")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.AnswerStart(OrderOutcome::Done);
  leader.mCoordinator.OnReport(fixture.LaterReport());
  leader.Run(milliseconds(10));
  CHECK(leader.mOrders.mStarts.size() == 1);
}

TEST_CASE("Worker restart: a later boot that does not answer keeps its runs "
          "only as long as their lease")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.mCoordinator.OnReport(fixture.LaterReport());
  leader.mOrders.mStarts.clear();
  leader.Run(milliseconds(900));
  CHECK(leader.mOrders.mStarts.empty());
  leader.Run(milliseconds(1200));
  CHECK(leader.mOrders.mStarts.size() == 1);
}

TEST_CASE("Worker restart: a boot that has not reported gets no run, since its "
          "size may differ")
{
  RestartFixture fixture;
  ScriptedLeader& leader = fixture.mLeader;
  leader.AnswerStartByLaterBoot(OrderOutcome::Done);
  leader.AnswerHoldByLaterBoot(kLaterBoot);
  leader.AnswerHoldByLaterBoot(kLaterBoot, { ListedRun(fixture.mRun.mNumber) });
  CHECK(fixture.Session().Report().mBoot.mStartTimeMs == kLaterBoot);
  CHECK_FALSE(fixture.Session().IsUsable());
  leader.mCoordinator.OnReport(fixture.LaterReport(9000));
  CHECK(fixture.Session().IsUsable());
  CHECK(fixture.Session().Free().mMilliCores == 1000);
}

TEST_CASE("Worker restart: a new leader settles only after it has read a later "
          "boot of a registered worker")
{
  ScriptedLeader leader;
  leader.Begin(
    { ScriptedLeader::ReportOf("w0"), ScriptedLeader::ReportOf("w1") });
  WorkerReport later = ScriptedLeader::ReportOf("w0");
  later.mBoot.mStartTimeMs = kLaterBoot;
  leader.mOrders.mHolds.pop_front();
  leader.AnswerHold();
  leader.mCoordinator.OnReport(later);
  CHECK_FALSE(leader.mCoordinator.IsRecoveryComplete());
  leader.Run(milliseconds(10));
  CHECK_FALSE(leader.mCoordinator.IsRecoveryComplete());
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  leader.AnswerHoldByLaterBoot(kLaterBoot);
  CHECK(leader.mCoordinator.IsRecoveryComplete());
}

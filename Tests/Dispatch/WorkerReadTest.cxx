// A leader uses a worker only after it has read its lists under its own fence.
#include <catch2/catch.hpp>

#include "Dispatch/ScriptedLeader.h"
#include "Dispatch/WorkerFence.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

/** Returns the listing of the first task of a job. */
ActiveRun
ListedRun(const JobId& aJob, RunNumber aRun)
{
  ActiveRun run;
  run.mRun = { TaskId{ aJob, 0, 0, 0 }, aRun };
  return run;
}

/** Lets a leader start one run, whose end it then waits for by a long poll. */
void
StartOneRun(ScriptedLeader& aLeader)
{
  aLeader.Begin({ ScriptedLeader::ReportOf("w0") });
  aLeader.AnswerHold();
  REQUIRE(aLeader.mCoordinator.IsRecoveryComplete());
  aLeader.Submit("first", 1, 8000);
  REQUIRE(aLeader.mOrders.mStarts.size() == 1);
  aLeader.AnswerStart(OrderOutcome::Done);
  REQUIRE(aLeader.mOrders.mHolds.size() == 1);
  REQUIRE(aLeader.mOrders.mHolds.front().mOrder.mMaxWait.count() > 0);
}

/** \brief Reasons for which a worker's lists must be read again. */
struct DoubtCase
{
  const char* mName;
  OrderOutcome mOutcome;
};

}

TEST_CASE("Worker lists: an answer to an earlier order does not make a worker "
          "usable that another leader may control")
{
  const std::vector<DoubtCase> cases = {
    { "fence of another leader", OrderOutcome::Fenced },
    { "lease ended at the worker", OrderOutcome::LeaseExpired },
    { "less room than known", OrderOutcome::NoRoom },
  };
  for (const DoubtCase& row : cases) {
    INFO(row.mName);
    ScriptedLeader leader;
    StartOneRun(leader);
    leader.Submit("second", 1, 8000);
    REQUIRE(leader.mOrders.mStarts.size() == 1);
    leader.AnswerStart(row.mOutcome);
    // The long poll was sent before and lists nothing of another leader.
    leader.AnswerHold({ ListedRun("first", 1) });
    leader.Run(milliseconds(30));
    CHECK(leader.mOrders.mStarts.empty());
    // Read again, the lists show a run that fills the worker.
    REQUIRE_FALSE(leader.mOrders.mHolds.empty());
    leader.AnswerHold({ ListedRun("first", 1), ListedRun("foreign", 7) });
    leader.Run(milliseconds(30));
    CHECK(leader.mOrders.mStarts.empty());
  }
}

TEST_CASE("Worker lists: a worker is used again once its lists were read under "
          "the raised fence")
{
  ScriptedLeader leader;
  StartOneRun(leader);
  leader.Submit("second", 1, 8000);
  leader.AnswerStart(OrderOutcome::Fenced);
  leader.AnswerHold({ ListedRun("first", 1) });
  leader.Run(milliseconds(30));
  REQUIRE_FALSE(leader.mOrders.mHolds.empty());
  CHECK(leader.mOrders.mHolds.front().mOrder.mTarget.mFence ==
        PackWorkerFence({ ScriptedLeader::kFence, 1, 0 }));
  leader.AnswerHold({ ListedRun("first", 1) });
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  CHECK(leader.mOrders.mStarts.front().mOrder.mRun.mTask.mJob == "second");
}

TEST_CASE("Worker lists: a leader without its lease puts no worker in doubt")
{
  ScriptedLeader leader;
  StartOneRun(leader);
  leader.mOrders.mMaySend = false;
  leader.Submit("second", 1, 8000);
  leader.Run(milliseconds(10));
  CHECK(leader.mOrders.mStarts.empty());
  CHECK(leader.mCoordinator.Workers().at("w0").IsUsable());
  leader.mOrders.mMaySend = true;
  leader.Run(milliseconds(10));
  CHECK(leader.mOrders.mStarts.size() == 1);
}

TEST_CASE("Worker lists: a leader that loses its lease reads no list again "
          "before it holds it")
{
  ScriptedLeader leader;
  StartOneRun(leader);
  leader.mOrders.mMaySend = false;
  leader.AnswerHold({ ListedRun("first", 1) });
  leader.Run(milliseconds(30));
  CHECK(leader.mOrders.mHolds.empty());
  CHECK(leader.mCoordinator.Workers().at("w0").IsUsable());
  leader.mOrders.mMaySend = true;
  leader.Run(milliseconds(20));
  CHECK(leader.mOrders.mHolds.size() == 1);
}

// Guards against two runs of a task and against more than a worker's capacity:
// a list that had been overtaken showed a run as gone that another had shown.
TEST_CASE("Worker lists: a list that was made before a start and arrives after "
          "the run was listed shows it not as gone")
{
  ScriptedLeader leader;
  StartOneRun(leader);
  const auto longPoll =
    almondspoke::testing::OrderRecorder::TakeFirst(leader.mOrders.mHolds);
  // The second run is ordered; its start is not answered yet.
  leader.Submit("second", 1, 8000);
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  // A third start is lost and stopped; the confirmation sends an urgent order.
  leader.Submit("third", 1, 1000);
  REQUIRE(leader.mOrders.mStarts.size() == 2);
  leader.mOrders.mStarts.back().mDone({});
  leader.mOrders.mStarts.pop_back();
  REQUIRE(leader.mOrders.mStops.size() == 1);
  const auto stop =
    almondspoke::testing::OrderRecorder::TakeFirst(leader.mOrders.mStops);
  stop.mDone({ OrderOutcome::Done, 1000 + leader.mElapsedMs });
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  const auto urgent =
    almondspoke::testing::OrderRecorder::TakeFirst(leader.mOrders.mHolds);
  // The long poll is answered first, and lists the second run.
  HoldResult listed;
  listed.mOutcome = OrderOutcome::Done;
  listed.mClock = 1000 + leader.mElapsedMs;
  listed.mRunning = { ListedRun("first", 1), ListedRun("second", 1) };
  longPoll.mDone(listed);
  // The urgent order was answered before the start arrived.
  HoldResult earlier;
  earlier.mOutcome = OrderOutcome::Done;
  earlier.mClock = 1000 + leader.mElapsedMs;
  earlier.mRunning = { ListedRun("first", 1) };
  urgent.mDone(earlier);
  leader.Run(milliseconds(20));
  const auto& runs = leader.mCoordinator.Workers().at("w0").Runs();
  REQUIRE(runs.count(TaskId{ "second", 0, 0, 0 }) == 1);
  CHECK(runs.at(TaskId{ "second", 0, 0, 0 }).mNumber == 1);
}

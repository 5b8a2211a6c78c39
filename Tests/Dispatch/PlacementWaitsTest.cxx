// Which jobs wait for a faster tier, or for the rack of their data.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/PlacementWaits.h"
#include "Dispatch/SpeedFixture.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using namespace std::chrono_literals;
using almondspoke::testing::SpeedFixture;
using almondspoke::testing::TextSink;
using std::chrono::milliseconds;

namespace {

/** \brief A job of the long queue that found a slow worker, and whether it
 * waits. */
struct WaitsCase
{
  const char* mName;
  std::uint32_t mTasks;
  milliseconds mDueIn;
  /** Time between the ends on the fast workers; zero if none were seen. */
  milliseconds mBetweenEnds;
  /** Time up to which the job may wait. */
  milliseconds mLimit;
  bool mWaits;
};

DispatchJob
LongJob(const SpeedFixture& aPool, const WaitsCase& aRow)
{
  DispatchJob job;
  job.mQueue = aPool.mQueues[2];
  job.mDueAt = aPool.mNow + aRow.mDueIn;
  job.mWaitLimit = aPool.mNow + aRow.mLimit;
  job.mReadyTaskCount = aRow.mTasks;
  StepSpec step;
  step.mCount = aRow.mTasks;
  step.mEstimateMs = SpeedFixture::kNominalMs[2];
  job.mSubmission.mSteps.push_back(step);
  job.mSteps.emplace_back(aRow.mTasks);
  return job;
}

}

// Guards against waits that end in a refusal, and against a place being counted
// on by several jobs.
TEST_CASE("Placement waits: a job waits for the fast tier while that gains")
{
  const std::vector<WaitsCase> cases = {
    { "room soon", 4, 1276ms, 10ms, 255ms, true },
    { "ends not known", 4, 1276ms, 0ms, 255ms, false },
    { "in time on the slow ones", 4, 1600ms, 10ms, 255ms, true },
    { "no room before the refusal", 4, 1276ms, 60ms, 255ms, false },
    { "refused soon", 4, 1276ms, 10ms, 60ms, false },
    { "narrow enough for that", 1, 1276ms, 10ms, 90ms, true },
  };
  for (const WaitsCase& row : cases) {
    INFO(row.mName);
    SpeedFixture pool(1);
    for (int i = 0; i < 20; ++i) {
      pool.Add("a", 0.7);
      pool.Add("b", 1.7);
    }
    pool.EndRunsOfAll(60);
    WorkerSession& fast = pool.mWorkers.at("w1");
    WorkerSession& slow = pool.mWorkers.at("w2");
    for (int i = 0; i < 100 && row.mBetweenEnds.count() > 0; ++i) {
      pool.mNow += row.mBetweenEnds;
      pool.mModel.OnEnd(fast, pool.mNow);
    }
    TextSink sink;
    testing::ManualClock clock;
    EventLog log(clock, sink);
    PlacementWaits waits(pool.mModel, log);
    DispatchJob job = LongJob(pool, row);
    const TaskId task{ "job", 0, 0, 0 };
    waits.BeginPass();
    CHECK_FALSE(waits.MustWait(job, task, fast, pool.mNow));
    CHECK(waits.MustWait(job, task, slow, pool.mNow) == row.mWaits);
    CHECK(waits.Counters().mBegun == (row.mWaits ? 1 : 0));
    DispatchJob other = LongJob(pool, row);
    other.mWaitLimit = *job.mWaitLimit - 1ms;
    for (int i = 0; i < 100; ++i) {
      waits.MustWait(other, task, slow, pool.mNow);
    }
    CHECK_FALSE(waits.MustWait(other, task, slow, pool.mNow));
    if (!row.mWaits) {
      continue;
    }
    waits.BeginPass();
    CHECK_FALSE(waits.MustWait(job, task, fast, pool.mNow));
    CHECK(waits.Counters().mEndedByRoom == 1);
    CHECK(waits.MustWait(job, task, slow, pool.mNow));
    CHECK_FALSE(waits.MustWait(job, task, slow, *job.mWaitLimit));
    CHECK(waits.Counters().mBegun ==
          waits.Counters().mEndedByRoom + waits.Counters().mEndedByTime);
  }
}

TEST_CASE("Placement waits: a task waits for its rack if that is faster")
{
  for (const double spread : { 1.0, 1.5 }) {
    RunTimeModel model(spread);
    SpeedFixture pool(1, false);
    WorkerSession& there = pool.Add("a", 1);
    WorkerSession& here = pool.Add("a", 1);
    model.Add(there);
    model.Add(here);
    DispatchJob job = LongJob(pool, { "", 1, 800ms, 0ms, 255ms, false });
    job.mSubmission.mSteps[0].mDataRack = "r1-1";
    job.mQueue.mPool = "pool";
    const TaskId task{ "job", 0, 0, 0 };
    CHECK(model.ExpectedAt(there, WorkOf(job, task)) == 760ms);
    CHECK(model.ExpectedAt(here, WorkOf(job, task)).count() ==
          std::lround(760 * spread));
    TextSink sink;
    testing::ManualClock clock;
    EventLog log(clock, sink);
    PlacementWaits waits(model, log);
    CHECK_FALSE(waits.MustWait(job, task, here, pool.mNow));
    for (int i = 0; i < 50; ++i) {
      pool.mNow += 10ms;
      model.OnEnd(there, pool.mNow);
    }
    job.mDueAt = pool.mNow + 800ms;
    job.mWaitLimit = pool.mNow + 255ms;
    CHECK(waits.MustWait(job, task, here, pool.mNow) == (spread > 1));
    CHECK_FALSE(waits.MustWait(job, task, there, pool.mNow));
    model.Clear();
  }
}

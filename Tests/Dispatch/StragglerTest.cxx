// Runs that are stopped since they are too slow, and those that only seem so.
#include <catch2/catch.hpp>

#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke::dispatch;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

/** \brief What is known of a run, and whether it is stopped then. */
struct StragglerCase
{
  const char* mName;
  /** Time that the order takes to the worker. */
  milliseconds mOrderTime;
  /** Time on the worker, and the percentage that it then shows. */
  milliseconds mRunTime;
  std::uint32_t mPercent;
  /** Time that the list takes to the leader. */
  milliseconds mListTime;
  bool mIsStopped;
};

}

// Guards against a collapse: with orders that waited, runs counted as too slow
// and were stopped and started again.
TEST_CASE(
  "Stragglers: a run is judged by its worker's clock, whatever time its "
  "order and its lists have waited")
{
  const std::vector<StragglerCase> cases = {
    { "slow on the worker",
      milliseconds(0),
      milliseconds(300),
      5,
      milliseconds(0),
      true },
    { "its order has waited",
      milliseconds(300),
      milliseconds(20),
      5,
      milliseconds(0),
      false },
    { "its list has waited",
      milliseconds(0),
      milliseconds(20),
      5,
      milliseconds(300),
      false },
    { "slow, and its list has waited",
      milliseconds(0),
      milliseconds(300),
      5,
      milliseconds(200),
      true },
  };
  for (const StragglerCase& row : cases) {
    INFO(row.mName);
    ScriptedLeader leader;
    leader.Begin({ ScriptedLeader::ReportOf("w0") });
    leader.AnswerHold();
    leader.Submit("job", 1, 8000);
    leader.Run(row.mOrderTime);
    const RunId run = leader.mOrders.mStarts.front().mOrder.mRun;
    leader.AnswerStart(OrderOutcome::Done);
    leader.Run(row.mRunTime);
    const WorkerTime listedAt = 1000 + leader.mElapsedMs;
    leader.Run(row.mListTime);
    leader.AnswerHoldOf(listedAt, { { run, "", row.mPercent } });
    CHECK(leader.mOrders.mStops.size() == (row.mIsStopped ? 1 : 0));
  }
}

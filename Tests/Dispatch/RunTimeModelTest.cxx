// What is learned from run times that vary, and how soon it is forgotten.
#include <catch2/catch.hpp>

#include "Dispatch/ScriptedLeader.h"
#include "Dispatch/SpeedFixture.h"

using namespace almondspoke::dispatch;
using almondspoke::testing::ScriptedLeader;
using almondspoke::testing::SpeedFixture;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 10;

struct PoolCase
{
  const char* mName;
  int mFast;
  int mSlow;
  double mFastFactor;
  double mSlowFactor;
  /** What the estimates are multiplied with to get the mean run time. */
  double mEstimateError;
  bool mHasTiers;
};

const std::vector<PoolCase>&
PoolCases()
{
  static const std::vector<PoolCase> cases = {
    { "even", 30, 0, 1.0, 1.0, 1.0, false },
    { "a tenth apart", 20, 10, 0.95, 1.05, 1.0, false },
    { "a quarter apart", 20, 10, 0.9, 1.12, 1.0, false },
    { "a third slow", 20, 10, 0.7, 1.7, 1.0, true },
    { "a third fast", 10, 20, 0.7, 1.7, 1.0, true },
    { "halves", 15, 15, 0.7, 1.7, 1.0, true },
    { "estimates too low", 20, 10, 0.7, 1.7, 1.4, true },
    { "estimates too high", 20, 10, 0.7, 1.7, 0.71, true },
  };
  return cases;
}

}

// Guards against errors of the estimates being taken for slow workers, and
// against tiers among workers of even speed.
TEST_CASE("Run time model: tells kinds apart, whatever the estimates are")
{
  for (const PoolCase& row : PoolCases()) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO(row.mName << ", seed " << seed);
      SpeedFixture pool(seed);
      for (int i = 0; i < row.mFast; ++i) {
        pool.Add("a", row.mFastFactor * row.mEstimateError);
      }
      for (int i = 0; i < row.mSlow; ++i) {
        pool.Add("b", row.mSlowFactor * row.mEstimateError);
      }
      pool.EndRunsOfAll(60);
      const PoolSpeed& speed = *pool.mModel.FindPool("pool");
      CHECK(speed.OnlyTier().has_value() != row.mHasTiers);
      CHECK((row.mHasTiers || pool.mTierChanges == 0));
      SpeedTier slowestFast = -kMaxSpeedTier;
      SpeedTier fastestSlow = kMaxSpeedTier;
      double ratio = 0;
      for (auto& [id, worker] : pool.mWorkers) {
        const bool isFast = worker.Report().mLabels.front() == "a";
        SpeedTier& bound = isFast ? slowestFast : fastestSlow;
        bound = isFast ? std::max(bound, worker.mSpeed.mTier)
                       : std::min(bound, worker.mSpeed.mTier);
        const double expected = SpeedFixture::kNominalMs[2] * pool.mFactors[id];
        ratio += static_cast<double>(
                   pool.mModel.ExpectedAt(worker, pool.WorkOf(2)).count()) /
                 expected / static_cast<double>(pool.mWorkers.size());
      }
      CHECK((!row.mHasTiers || slowestFast < fastestSlow));
      // The tail adds 3% at most to the bounded mean.
      CHECK(ratio == Approx(1.03).margin(0.1));
    }
  }
}

TEST_CASE("Run time model: a worker that was slow for a time returns to its "
          "tier within 30 runs")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    SpeedFixture pool(seed);
    for (int i = 0; i < 30; ++i) {
      pool.Add("a", 1);
    }
    pool.EndRunsOfAll(30);
    WorkerSession& worker = pool.mWorkers.begin()->second;
    double& factor = pool.mFactors[worker.Report().mBoot.mId];
    factor = 5;
    pool.EndRuns(worker, 10);
    CHECK(worker.mSpeed.mTier > 0);
    factor = 1;
    pool.EndRuns(worker, 30);
    CHECK(worker.mSpeed.mTier == 0);
  }
}

TEST_CASE("Run time model: a few long runs don't move a worker")
{
  SpeedFixture pool(1);
  for (int i = 0; i < 30; ++i) {
    pool.Add("a", 1);
  }
  pool.EndRunsOfAll(30);
  for (auto& [id, worker] : pool.mWorkers) {
    pool.Learn(worker, 0, milliseconds(7 * 51));
    pool.Learn(worker, 2, milliseconds(7 * 760));
    CHECK(worker.mSpeed.mTier == 0);
  }
}

TEST_CASE("Run time model: a later boot begins with the factor of its kind")
{
  SpeedFixture pool(1);
  for (int i = 0; i < 20; ++i) {
    pool.Add("a", 0.7);
    pool.Add("b", 1.7);
  }
  pool.EndRunsOfAll(60);
  WorkerSession& fast = pool.Add("a", 0.7);
  WorkerSession& slow = pool.Add("b", 1.7);
  CHECK(slow.mSpeed.mTier > fast.mSpeed.mTier);
  CHECK(slow.mSpeed.mDeviation == 0);
  CHECK(RunTimeModel::FactorOf(slow) / RunTimeModel::FactorOf(fast) ==
        Approx(1.7 / 0.7).epsilon(0.25));
}

// Guards against a random walk of both factors where a kind runs one queue
// only.
TEST_CASE("Run time model: factors stay where they are while kinds and queues "
          "are served apart")
{
  SpeedFixture pool(1);
  for (int i = 0; i < 20; ++i) {
    pool.Add("a", 0.7);
    pool.Add("b", 1.7);
  }
  pool.EndRunsOfAll(60);
  const auto ratio = [&] {
    double fast = 0;
    double slow = 0;
    for (const auto& [id, worker] : pool.mWorkers) {
      const bool isFast = worker.Report().mLabels.front() == "a";
      (isFast ? fast : slow) += worker.mSpeed.LogFactor() / 20;
    }
    return std::exp(slow - fast);
  };
  for (int i = 0; i < 500; ++i) {
    for (auto& [id, worker] : pool.mWorkers) {
      const bool isFast = worker.Report().mLabels.front() == "a";
      const std::size_t queue = isFast ? 2 : 0;
      pool.Learn(worker, queue, pool.RunTime(queue, pool.mFactors[id]));
    }
  }
  CHECK(ratio() == Approx(1.7 / 0.7).epsilon(0.25));
}

TEST_CASE("Run time model: memory is given back and short tasks teach nothing")
{
  SpeedFixture pool(1);
  WorkerSession& worker = pool.Add("a", 1);
  CHECK_FALSE(
    pool.mModel.Learn(worker, { pool.mQueues[0], 0, 5 }, milliseconds(50)));
  CHECK(worker.mSpeed.LogFactor() == 0);
  CHECK(pool.mModel.ExpectedAt(worker, pool.WorkOf(0)) == milliseconds(51));
  pool.mIndex.Remove(worker);
  CHECK(pool.mModel.FindPool("pool") == nullptr);
  CHECK(pool.mModel.WorkersIn(0) == 0);
}

namespace {

/** \brief A run with an estimate of 50 ms, and what is expected after it. */
struct EndCase
{
  const char* mName;
  bool mLearns;
  /** Time that the order takes to the worker. */
  milliseconds mOrderTime;
  /** Time on the worker. */
  milliseconds mRunTime;
  /** Time that the list takes to the leader. */
  milliseconds mListTime;
  RunEnd mEnd;
  milliseconds mExpected;
};

}

// Guards against the time of orders and lists being learned as run time, and
// against learning from runs that did not do the whole work.
TEST_CASE("Run time model: a leader learns the time on the worker only")
{
  const milliseconds none(0);
  const std::vector<EndCase> cases = {
    { "off", false, none, 100ms, none, RunEnd::Done, 50ms },
    { "twice as long", true, none, 100ms, none, RunEnd::Done, 71ms },
    { "the order waited", true, 300ms, 100ms, none, RunEnd::Done, 71ms },
    { "the list waited", true, none, 100ms, 200ms, RunEnd::Done, 71ms },
    { "failed", true, none, 100ms, none, RunEnd::Failed, 50ms },
    { "stopped", true, none, 100ms, none, RunEnd::Stopped, 50ms },
  };
  for (const EndCase& row : cases) {
    INFO(row.mName);
    CoordinatorOptions options;
    options.mLearnRunTimes = row.mLearns;
    ScriptedLeader leader(options);
    leader.Begin({ ScriptedLeader::ReportOf("w0") });
    leader.AnswerHold();
    leader.Submit("job", 1, 8000);
    leader.Run(row.mOrderTime);
    const RunId run = leader.mOrders.mStarts.front().mOrder.mRun;
    leader.AnswerStart(OrderOutcome::Done);
    leader.Run(row.mRunTime);
    const WorkerTime listedAt = 1000 + leader.mElapsedMs;
    leader.Run(row.mListTime);
    leader.AnswerHoldOf(listedAt, {}, { { 1, run, row.mEnd, "" } });
    Queue queue;
    queue.mName = "urgent";
    const WorkerSession& worker = leader.mCoordinator.Workers().at("w0");
    CHECK(leader.mCoordinator.RunTimes().ExpectedAt(worker, { queue, 0, 50 }) ==
          row.mExpected);
  }
}

#include <chrono>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "Jobs/OvercommitPolicy.h"
#include "Jobs/SizeEstimator.h"

using namespace almondspoke;
using namespace std::chrono_literals;

TEST_CASE("Size estimator: only a large deviation is corrected")
{
  struct Row
  {
    double mRatio;
    int mSamples;
    bool mCorrected;
  };
  const auto row = GENERATE(values<Row>({
    { 10, 7, false },
    { 10, 8, true },
    { 0.1, 8, true },
    { 1.9, 100, false },
    { 0.6, 100, false },
    { 1, 100, false },
  }));
  SizeEstimator sizes;
  const Resources declared{ 2, 1000, 1 };
  for (int sample = 0; sample < row.mSamples; ++sample) {
    Resources used = declared;
    used.mCores *= row.mRatio;
    used.mMemoryBytes = static_cast<std::uint64_t>(1000 * row.mRatio);
    sizes.Observe("preview", declared, used);
    sizes.ObserveRunTime(
      "preview",
      1000ms,
      std::chrono::milliseconds(static_cast<int>(1000 * row.mRatio)));
  }
  const double expected = row.mCorrected ? row.mRatio : 1;
  const Resources estimate = sizes.Estimate("preview", declared);
  CHECK(estimate.mCores == Approx(2 * expected));
  CHECK(static_cast<double>(estimate.mMemoryBytes) ==
        Approx(1000 * expected).margin(1));
  CHECK(estimate.mAccelerators == 1);
  CHECK(static_cast<double>(sizes.EstimateRunTime("preview", 1000ms).count()) ==
        Approx(1000 * expected).margin(1));
  CHECK(sizes.Estimate("other", declared).mCores == 2);
}

TEST_CASE("Size estimator: the correction has hysteresis")
{
  SizeEstimator sizes;
  const Resources declared{ 1, 0, 0 };
  const auto observe = [&](double aRatio, int aTimes) {
    for (int sample = 0; sample < aTimes; ++sample) {
      sizes.Observe("k", declared, { aRatio, 0, 0 });
    }
    return sizes.Estimate("k", declared).mCores;
  };
  CHECK(observe(1.8, 100) == 1);
  CHECK(observe(2.5, 100) == Approx(2.5).epsilon(0.01));
  CHECK(observe(1.8, 100) == Approx(1.8).epsilon(0.01));
  CHECK(observe(1.2, 100) == 1);
  CHECK(observe(1.8, 100) == 1);
}

TEST_CASE("Size estimator: the number of kinds and the effect of outliers are "
          "limited")
{
  SizeEstimator sizes;
  for (int kind = 0; kind < 2000; ++kind) {
    sizes.Observe(std::to_string(kind), { 1, 1, 0 }, { 1, 1, 0 });
  }
  CHECK(sizes.KindCount() == 1000);
  SizeEstimator outlier;
  for (int sample = 0; sample < 50; ++sample) {
    outlier.Observe("k", { 1, 0, 0 }, { 1e300, 0, 0 });
    outlier.Observe("z", { 1, 0, 0 }, { 0, 0, 0 });
  }
  CHECK(outlier.Estimate("k", { 1, 0, 0 }).mCores == Approx(100));
  CHECK(outlier.Estimate("z", { 1, 0, 0 }).mCores == 1);
}

TEST_CASE("Overcommit policy: a task is throttled, then checkpointed, then "
          "stopped")
{
  OvercommitPolicy policy;
  const Resources capacity{ 4, 1000, 0 };
  const std::vector<RunningTask> tasks = { { "urgent", 0, 500 },
                                           { "old", 1, 100 },
                                           { "young", 1, 200 } };
  std::int64_t time = 0;
  const auto report = [&](double aCores, std::uint64_t aMemory) {
    return policy.Decide("w", capacity, { aCores, aMemory, 0, ++time }, tasks);
  };
  CHECK_FALSE(report(4, 1000));
  CHECK_FALSE(report(4.1, 1040));
  const OvercommitAction order[] = { OvercommitAction::Throttle,
                                     OvercommitAction::Checkpoint,
                                     OvercommitAction::Stop,
                                     OvercommitAction::Stop };
  for (const OvercommitAction action : order) {
    const auto step = report(1, 1500);
    REQUIRE(step);
    CHECK(step->mAction == action);
    CHECK(step->mAttemptId == "young");
    // The same report causes no second action.
    CHECK_FALSE(policy.Decide("w", capacity, { 1, 1500, 0, time }, tasks));
  }
  CHECK_FALSE(report(4, 900));
  const auto again = report(8, 0);
  REQUIRE(again);
  CHECK(again->mAction == OvercommitAction::Throttle);
}

TEST_CASE("Overcommit policy: the next task after a stopped one is throttled "
          "first")
{
  OvercommitPolicy policy;
  const Resources capacity{ 4, 1000, 0 };
  std::vector<RunningTask> tasks = { { "a", 1, 1 }, { "b", 1, 2 } };
  std::int64_t time = 0;
  for (int step = 0; step < 3; ++step) {
    policy.Decide("w", capacity, { 9, 0, 0, ++time }, tasks);
  }
  tasks.pop_back();
  const auto step = policy.Decide("w", capacity, { 9, 0, 0, ++time }, tasks);
  REQUIRE(step);
  CHECK(step->mAction == OvercommitAction::Throttle);
  CHECK(step->mAttemptId == "a");
  CHECK_FALSE(policy.Decide("w", capacity, { 9, 0, 0, ++time }, {}));
}

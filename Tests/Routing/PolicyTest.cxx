#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "Routing/AdaptiveLimit.h"
#include "Routing/DeadlineAdmission.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointPicker.h"
#include "Routing/RetryBudget.h"
#include "Routing/RunTimeEstimator.h"

using namespace almondspoke;
using namespace std::chrono_literals;

namespace {

constexpr Clock::Monotonic kStart{ 1h };

}

TEST_CASE("RetryBudget: allows a share of first attempts plus a minimum rate")
{
  RetryBudgetSettings settings;
  settings.mMinTokensPerSecond = 1;
  RetryBudget budget(settings, kStart);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Deposit();
    retries += budget.TryWithdraw(kStart) ? 1 : 0;
  }
  CHECK(retries >= 99);
  CHECK(retries <= 101);
  CHECK_FALSE(budget.TryWithdraw(kStart));
  CHECK(budget.TryWithdraw(kStart + 1s));
  CHECK_FALSE(budget.TryWithdraw(kStart + 1s));
}

TEST_CASE("RetryBudget: unused retries are bounded, also if the clock steps "
          "back")
{
  RetryBudget budget({}, kStart);
  for (int i = 0; i < 100000; ++i) {
    budget.Deposit();
  }
  int retries = 0;
  while (budget.TryWithdraw(kStart - 1h)) {
    ++retries;
  }
  CHECK(retries == 20);
}

TEST_CASE("RetryBudget: backoff grows with jitter up to a maximum")
{
  const RetryBudget budget({}, kStart);
  std::mt19937_64 random(1);
  const std::vector<std::pair<std::uint32_t, std::chrono::microseconds>>
    rows = { { 2, 4ms }, { 3, 8ms }, { 4, 16ms }, { 40, 200ms } };
  for (const auto& [attempt, longest] : rows) {
    std::set<std::int64_t> seen;
    for (int i = 0; i < 100; ++i) {
      const auto backoff = budget.Backoff(attempt, random);
      CHECK(backoff <= longest);
      seen.insert(backoff.count());
    }
    CHECK(seen.size() > 50);
  }
}

TEST_CASE("RunTimeEstimator: estimates the median and the high quantile")
{
  RunTimeEstimator estimator;
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> runTime(100, 300);
  CHECK(estimator.Median(0) == 200ms);
  for (int i = 0; i < 5000; ++i) {
    estimator.Add(0, std::chrono::milliseconds(runTime(random)), std::nullopt);
  }
  CHECK(estimator.Median(0) > 180ms);
  CHECK(estimator.Median(0) < 220ms);
  CHECK(estimator.High(0) > 260ms);
  CHECK(estimator.High(0) < 330ms);
}

TEST_CASE("RunTimeEstimator: trusts declared run times with hysteresis")
{
  struct Row
  {
    std::chrono::milliseconds mMeasured;
    bool mIsTrustedBefore;
    bool mIsTrustedAfter;
  };
  // All rows declare a run time of 100 ms.
  const Row row = GENERATE(values<Row>({
    { 100ms, true, true },
    { 160ms, true, true },
    { 1000ms, true, false },
    { 10ms, true, false },
    { 160ms, false, false },
    { 105ms, false, true },
  }));
  RunTimeEstimator estimator;
  const auto run = [&](std::chrono::milliseconds aMeasured) {
    for (int i = 0; i < 400; ++i) {
      estimator.Add(0, aMeasured, 100ms);
    }
  };
  if (!row.mIsTrustedBefore) {
    run(1000ms);
    REQUIRE_FALSE(estimator.TrustsDeclared(0));
  }
  run(row.mMeasured);
  CAPTURE(row.mMeasured.count(), row.mIsTrustedBefore);
  CHECK(estimator.TrustsDeclared(0) == row.mIsTrustedAfter);
  const auto expected = estimator.Expected(0, 100ms);
  if (row.mIsTrustedAfter) {
    CHECK(expected == 100ms);
  } else {
    CHECK(expected > row.mMeasured * 8 / 10);
    CHECK(expected < row.mMeasured * 12 / 10);
  }
}

TEST_CASE("DeadlineAdmission: refuses work that cannot finish by its deadline")
{
  struct Row
  {
    std::size_t mWorkAhead;
    std::uint32_t mSlots;
    std::chrono::milliseconds mRunTime;
    std::chrono::milliseconds mDeadlineAfter;
    bool mAdmitted;
  };
  const Row row = GENERATE(values<Row>({
    { 0, 8, 100ms, 100ms, true },
    { 0, 8, 100ms, 99ms, false },
    { 80, 8, 100ms, 1100ms, true },
    { 80, 8, 100ms, 1000ms, false },
    { 80, 80, 100ms, 1000ms, true },
    { 1000000, 8, 100ms, 1000ms, false },
  }));
  const DeadlineAdmission admission;
  const AdmissionInput input{
    0, row.mWorkAhead, row.mSlots, row.mRunTime, kStart + row.mDeadlineAfter
  };
  const auto retryAfter = admission.CheckDeadline(input, kStart);
  CAPTURE(row.mWorkAhead, row.mDeadlineAfter.count());
  CHECK(retryAfter.has_value() != row.mAdmitted);
  if (retryAfter) {
    CHECK(*retryAfter >= 20ms);
    CHECK(*retryAfter <= 30s);
  }
}

TEST_CASE("DeadlineAdmission: follows the measured start rate of the kind")
{
  DeadlineAdmission admission;
  AdmissionInput input{ 0, 100, 8, 100ms, kStart + 10s };
  Clock::Monotonic now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += 50ms;
    admission.RecordStart(0, now, 10);
  }
  CHECK(admission.ExpectedWait(input, now) > 4500ms);
  CHECK(admission.ExpectedWait(input, now) < 5500ms);
  // No work has started for 20 s although some is queued.
  CHECK(admission.ExpectedWait(input, now + 20s) > 50s);
}

TEST_CASE("AdaptiveLimit: decreases on faults and overload, and recovers")
{
  AdaptiveLimit limit(8);
  CHECK(limit.Limit() == 8);
  limit.RecordSuccess(10s, 100ms);
  CHECK(limit.Limit() == 8);
  limit.RecordSuccess(10s, 100ms);
  CHECK(limit.Limit() == 6);
  for (int i = 0; i < 100; ++i) {
    limit.RecordFault();
  }
  CHECK(limit.Limit() == 1);
  for (int i = 0; i < 100; ++i) {
    limit.RecordSuccess(100ms, 100ms);
  }
  CHECK(limit.Limit() == 8);
  limit.SetSlots(4);
  CHECK(limit.Limit() == 4);
  limit.SetSlots(16);
  CHECK(limit.Limit() == 16);
}

TEST_CASE("EjectionPolicy: ejects failing and slow endpoints within limits")
{
  struct Row
  {
    const char* mName;
    int mEndpoints;
    int mFailing;
    int mSlow;
    double mUtilisation;
    std::size_t mEjectedEndpoints;
  };
  const Row row = GENERATE(values<Row>({
    { "none", 10, 0, 0, 0.5, 0 },
    { "one fails", 10, 1, 0, 0.5, 1 },
    { "two fail", 10, 2, 0, 0.95, 2 },
    { "more fail than the cap allows", 20, 9, 0, 0.5, 6 },
    { "all fail", 10, 10, 0, 0.5, 0 },
    { "the only one fails", 1, 1, 0, 0.5, 0 },
    { "one of two fails", 2, 1, 0, 0.5, 1 },
    { "one is slow", 10, 0, 1, 0.5, 1 },
    { "one is slow and the fleet is full", 10, 0, 1, 0.9, 0 },
    { "all are slow", 10, 0, 10, 0.5, 0 },
  }));
  EjectionSettings settings;
  settings.mInitialEjectionTime = 1h;
  EjectionPolicy policy(settings);
  std::vector<std::shared_ptr<EndpointHealth>> fleet;
  fleet.reserve(static_cast<std::size_t>(row.mEndpoints));
  std::size_t maxEjected = 0;
  for (int i = 0; i < row.mEndpoints; ++i) {
    fleet.push_back(policy.Add());
  }
  Clock::Monotonic now = kStart;
  for (int round = 0; round < 100; ++round) {
    now += 10ms;
    policy.Tick(now);
    for (int i = 0; i < row.mEndpoints; ++i) {
      const double time = i < row.mSlow ? 3 : 1;
      EndpointHealth& health = *fleet[static_cast<std::size_t>(i)];
      policy.RecordAttempt(
        health, i < row.mFailing, time, row.mUtilisation, now);
      maxEjected = std::max(maxEjected, policy.EjectedCount());
    }
  }
  policy.Tick(now);
  CAPTURE(row.mName);
  CHECK(policy.EjectedCount() == row.mEjectedEndpoints);
  CHECK(maxEjected == row.mEjectedEndpoints);
}

TEST_CASE("EjectionPolicy: readmits endpoints by probes and slow start")
{
  EjectionPolicy policy({});
  const auto broken = policy.Add();
  const auto healthy = policy.Add();
  Clock::Monotonic now = kStart;
  for (int i = 0; i < 3; ++i) {
    policy.RecordAttempt(*broken, true, 0, 0, now);
  }
  REQUIRE(broken->State() == HealthState::Ejected);
  CHECK(policy.AllowedAttempts(*broken, 8, true, now) == 0);
  now += 1s;
  policy.Tick(now);
  REQUIRE(broken->State() == HealthState::Probing);
  CHECK(policy.AllowedAttempts(*broken, 8, true, now) == 1);
  CHECK(policy.AllowedAttempts(*broken, 8, false, now) == 0);

  SECTION("a failed probe doubles the ejection")
  {
    policy.RecordAttempt(*broken, true, 0, 0, now);
    REQUIRE(broken->State() == HealthState::Ejected);
    now += 1999ms;
    policy.Tick(now);
    CHECK(broken->State() == HealthState::Ejected);
    now += 1ms;
    policy.Tick(now);
    CHECK(broken->State() == HealthState::Probing);
  }
  SECTION("passed probes lead to slow start")
  {
    policy.RecordAttempt(*broken, false, 1, 0, now);
    policy.RecordAttempt(*broken, false, 1, 0, now);
    REQUIRE(broken->State() == HealthState::SlowStart);
    CHECK(policy.AllowedAttempts(*broken, 8, false, now) == 1);
    CHECK(policy.AllowedAttempts(*broken, 8, false, now + 1500ms) == 4);
    now += 3s;
    policy.Tick(now);
    CHECK(broken->State() == HealthState::Healthy);
    CHECK(policy.AllowedAttempts(*broken, 8, false, now) == 8);
  }
  SECTION("without idempotent work slow start takes the place of probes")
  {
    now += 30s;
    policy.Tick(now);
    CHECK(broken->State() == HealthState::SlowStart);
  }
}

TEST_CASE("EndpointPicker: each strategy distributes work as its name says")
{
  const std::vector<EndpointName> names = { "busy", "idle", "slow" };
  const std::vector<PickCandidate> candidates = { { &names[0], 8, 7, 1 },
                                                  { &names[1], 8, 1, 1 },
                                                  { &names[2], 8, 0, 3 } };
  struct Row
  {
    RoutingStrategy mStrategy;
    int mMinIdlePicks;
    int mMaxIdlePicks;
  };
  const Row row = GENERATE(values<Row>({
    { RoutingStrategy::LeastLoaded, 300, 300 },
    { RoutingStrategy::Fifo, 300, 300 },
    { RoutingStrategy::RoundRobin, 100, 100 },
    { RoutingStrategy::Random, 60, 140 },
    { RoutingStrategy::PowerOfTwo, 60, 140 },
  }));
  const auto picker = StrategyTraitsOf(row.mStrategy).mMakePicker();
  std::mt19937_64 random(1);
  int idle = 0;
  for (int i = 0; i < 300; ++i) {
    idle += picker->Pick(candidates, random) == 1 ? 1 : 0;
  }
  CAPTURE(StrategyTraitsOf(row.mStrategy).mName);
  CHECK(idle >= row.mMinIdlePicks);
  CHECK(idle <= row.mMaxIdlePicks);
}

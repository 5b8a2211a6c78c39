#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/OrderTimeoutEstimator.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLongest{ 250 };

/** \brief Observed answer times and the expected timeout. */
struct TimeoutCase
{
  const char* mName;
  std::vector<int> mAnswerTimesMs;
  milliseconds mTimeout;
};

}

TEST_CASE("Order timeouts: the timeout follows the slowest recent answer")
{
  const std::vector<TimeoutCase> cases = {
    { "no answers yet", {}, kLongest },
    { "fast answers", { 5, 7, 6 }, milliseconds(60) },
    { "one slow answer determines the timeout",
      { 5, 20, 5 },
      milliseconds(90) },
    { "slow answers, for example on a leader short of CPU time",
      { 150 },
      kLongest },
  };
  for (const TimeoutCase& row : cases) {
    INFO(row.mName);
    OrderTimeoutEstimator times(kLongest);
    const Clock::Monotonic now{ std::chrono::hours(1) };
    for (const int took : row.mAnswerTimesMs) {
      times.ObserveAnswer(milliseconds(took), now);
    }
    CHECK(times.Timeout(now) == row.mTimeout);
  }
}

TEST_CASE("Order timeouts: old answers expire")
{
  OrderTimeoutEstimator times(kLongest);
  const Clock::Monotonic now{ std::chrono::hours(1) };
  times.ObserveAnswer(milliseconds(70), now);
  times.ObserveAnswer(milliseconds(5), now + milliseconds(2000));
  CHECK(times.Timeout(now + milliseconds(2500)) == milliseconds(240));
  CHECK(times.Timeout(now + milliseconds(3100)) == milliseconds(60));
  CHECK(times.Timeout(now + milliseconds(9000)) == kLongest);
}

TEST_CASE(
  "Order timeouts: consecutive timeouts are attributed to a slow network")
{
  OrderTimeoutEstimator times(kLongest);
  const Clock::Monotonic now{ std::chrono::hours(1) };
  times.ObserveAnswer(milliseconds(5), now);
  for (int i = 0; i < 7; ++i) {
    times.ObserveTimeout();
  }
  CHECK(times.Timeout(now) == milliseconds(60));
  times.ObserveTimeout();
  CHECK(times.Timeout(now) == kLongest);
  times.ObserveAnswer(milliseconds(5), now);
  CHECK(times.Timeout(now) == milliseconds(60));
}

TEST_CASE("Order timeouts: a task whose start order is lost runs on another "
          "worker in time")
{
  DispatchFixture fixture;
  fixture.AddWorkers(4, 32'000);
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  // Let the coordinator learn that answers are fast.
  fixture.Submit(fixture.CallOf("urgent", "j0", 4, 10'000, false));
  fixture.Run(milliseconds(200));
  // Placement prefers w0, whose start orders are delayed.
  fixture.mFleet.NetworkFaultsOf("w0").mLateStartFraction = 1.0;
  const CallId call = fixture.Submit(
    fixture.CallOf("urgent", "j1", 1, 10'000, false), milliseconds(100));
  fixture.Run(milliseconds(250));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Dispatch/OrderTimeoutEstimator.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLongest{ 250 };

/** \brief Answers that have been seen, and the timeout that follows. */
struct TimeoutCase
{
  const char* mName;
  std::vector<int> mAnswerTimesMs;
  milliseconds mTimeout;
};

}

TEST_CASE("Answer times: the timeout follows the slowest answer of late")
{
  const std::vector<TimeoutCase> cases = {
    { "nothing is known", {}, kLongest },
    { "fast answers", { 5, 7, 6 }, milliseconds(60) },
    { "one slow answer counts", { 5, 20, 5 }, milliseconds(90) },
    { "a leader short of processor time", { 150 }, kLongest },
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

TEST_CASE("Answer times: old answers are forgotten")
{
  OrderTimeoutEstimator times(kLongest);
  const Clock::Monotonic now{ std::chrono::hours(1) };
  times.ObserveAnswer(milliseconds(70), now);
  times.ObserveAnswer(milliseconds(5), now + milliseconds(2000));
  CHECK(times.Timeout(now + milliseconds(2500)) == milliseconds(240));
  CHECK(times.Timeout(now + milliseconds(3100)) == milliseconds(60));
  CHECK(times.Timeout(now + milliseconds(9000)) == kLongest);
}

TEST_CASE("Answer times: a way that has become slow is not taken for losses")
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

TEST_CASE("Answer times: a task whose start is lost runs elsewhere in time")
{
  DispatchFixture fixture;
  fixture.AddWorkers(4, 32'000);
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  // Fast answers are known.
  fixture.Submit(fixture.CallOf("urgent", "j0", 4, 10'000, false));
  fixture.Run(milliseconds(200));
  // One worker is preferred and loses what is started on it.
  fixture.mFleet.NetworkFaultsOf("w0").mLateStartFraction = 1.0;
  const CallId call = fixture.Submit(
    fixture.CallOf("urgent", "j1", 1, 10'000, false), milliseconds(100));
  fixture.Run(milliseconds(250));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

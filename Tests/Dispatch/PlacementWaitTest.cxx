// How long a task waits for a better place: both sides of each bound.
#include <catch2/catch.hpp>

#include "Dispatch/EndRate.h"
#include "Dispatch/PlacementWait.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kUnknown{ -1 };
constexpr milliseconds kStarts{ -1 };

struct WaitCase
{
  const char* mName;
  milliseconds mDueIn;
  milliseconds mThere;
  milliseconds mHere;
  milliseconds mUntilRoom;
  /** Time that the task waits at most, with a margin of 10 ms. */
  milliseconds mWaits;
};

}

// Guards against waits that make a task late, and against waits without gain,
// in which capacity stays idle.
TEST_CASE("Placement wait: waits only for an earlier end or to be in time")
{
  const std::vector<WaitCase> cases = {
    // Late here, and in time there if there is room soon enough.
    { "in time there", 500ms, 300ms, 600ms, 100ms, 190ms },
    { "in time there, just so", 500ms, 300ms, 600ms, 190ms, 190ms },
    // 1 ms later it is late in both, but ends earlier there.
    { "late in both", 500ms, 300ms, 600ms, 191ms, 300ms },
    { "no earlier end there", 500ms, 300ms, 600ms, 300ms, kStarts },
    { "an earlier end there", 500ms, 300ms, 600ms, 299ms, 300ms },
    { "due already", 0ms, 300ms, 600ms, 299ms, 300ms },
    { "room not known", 500ms, 300ms, 600ms, kUnknown, kStarts },
    // In time here.
    { "in time in both", 700ms, 300ms, 600ms, 50ms, 90ms },
    { "the last moment here", 700ms, 300ms, 600ms, 90ms, 90ms },
    { "too late for here", 700ms, 300ms, 600ms, 91ms, kStarts },
    { "in time here, just so", 610ms, 300ms, 600ms, 1ms, kStarts },
    { "in time here, 1 ms to spare", 611ms, 300ms, 600ms, 1ms, 1ms },
    { "late here by 1 ms", 609ms, 300ms, 600ms, 1ms, 299ms },
    { "not better", 5000ms, 600ms, 600ms, 0ms, kStarts },
    { "better by less than the wait", 5000ms, 590ms, 600ms, 10ms, kStarts },
    { "better by more than the wait", 5000ms, 590ms, 600ms, 9ms, 10ms },
    { "worse", 5000ms, 700ms, 600ms, 0ms, kStarts },
  };
  for (const WaitCase& row : cases) {
    INFO(row.mName);
    PlacementWait::Inputs inputs;
    inputs.mNow = Clock::Monotonic(1h);
    inputs.mDueAt = inputs.mNow + row.mDueIn;
    inputs.mExpectedThere = row.mThere;
    inputs.mExpectedHere = row.mHere;
    inputs.mOrderMargin = 10ms;
    if (row.mUntilRoom != kUnknown) {
      inputs.mUntilRoom = row.mUntilRoom;
    }
    const auto until = PlacementWait::Decide(inputs);
    const auto waits =
      until ? std::chrono::duration_cast<milliseconds>(*until - inputs.mNow)
            : kStarts;
    CHECK(waits == row.mWaits);
  }
}

TEST_CASE("End rate: follows the ends, and is later where nothing ends")
{
  EndRate rate;
  Clock::Monotonic now(1h);
  for (int i = 0; i < 100; ++i) {
    CHECK(rate.UntilNext(now).has_value() == (i >= 16));
    rate.OnEnd(now);
    now += 10ms;
  }
  CHECK(*rate.UntilNext(now - 10ms) <= 10ms);
  CHECK(*rate.UntilNext(now - 10ms) >= 9ms);
  CHECK(*rate.UntilNext(now + 90ms) == 100ms);
}

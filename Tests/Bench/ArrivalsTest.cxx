#include <cmath>

#include <catch2/catch.hpp>

#include "Bench/Arrivals.h"

using namespace almondspoke::bench;
using std::chrono::milliseconds;

namespace {

constexpr int kArrivals = 100000;

StreamSettings
SettingsOf(double aRate)
{
  StreamSettings settings;
  settings.mRate = aRate;
  settings.mRunTime.mTailShare = 0.02;
  settings.mCancelShare = 0.25;
  return settings;
}

}

TEST_CASE("Arrivals: the schedule is determined by the seed")
{
  const StreamSettings settings = SettingsOf(100);
  Arrivals first(settings, 5);
  Arrivals same(settings, 5);
  Arrivals other(settings, 6);
  int different = 0;
  for (int i = 0; i < 1000; ++i) {
    const Arrival arrival = first.Next();
    const Arrival repeated = same.Next();
    CHECK(arrival.mTime == repeated.mTime);
    CHECK(arrival.mRunTime == repeated.mRunTime);
    CHECK(arrival.mIsCancelled == repeated.mIsCancelled);
    different += arrival.mTime != other.Next().mTime ? 1 : 0;
  }
  CHECK(different > 990);
}

TEST_CASE("Arrivals: gaps have the mean and the spread of a Poisson process")
{
  StreamSettings settings = SettingsOf(200);
  settings.mStart = milliseconds(3000);
  Arrivals arrivals(settings, 1);
  double last = 3;
  double sum = 0;
  double squares = 0;
  int cancelled = 0;
  for (int i = 0; i < kArrivals; ++i) {
    const Arrival arrival = arrivals.Next();
    const double time = std::chrono::duration<double>(arrival.mTime).count();
    REQUIRE(time >= last);
    sum += time - last;
    squares += (time - last) * (time - last);
    last = time;
    cancelled += arrival.mIsCancelled ? 1 : 0;
  }
  const double mean = sum / kArrivals;
  const double deviation = std::sqrt(squares / kArrivals - mean * mean);
  CHECK(mean == Approx(1.0 / 200).epsilon(0.02));
  CHECK(deviation == Approx(mean).epsilon(0.02));
  CHECK(cancelled == Approx(kArrivals * 0.25).epsilon(0.03));
}

TEST_CASE("Arrivals: run times keep their ranges, share and mean")
{
  const RunTimeDistribution distribution = SettingsOf(1).mRunTime;
  std::mt19937_64 random(3);
  int tail = 0;
  double sum = 0;
  for (int i = 0; i < kArrivals; ++i) {
    const milliseconds time = DrawRunTime(distribution, random);
    const bool isTail = time >= distribution.mTailMin;
    tail += isTail ? 1 : 0;
    CHECK(time >= distribution.mMin);
    CHECK(time <= (isTail ? distribution.mTailMax : distribution.mMax));
    sum += std::chrono::duration<double>(time).count();
  }
  CHECK(tail == Approx(kArrivals * 0.02).epsilon(0.1));
  CHECK(sum / kArrivals == Approx(distribution.MeanSeconds()).epsilon(0.02));
}

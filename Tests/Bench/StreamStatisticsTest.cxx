#include <catch2/catch.hpp>

#include "Bench/StreamStatistics.h"

using namespace almondspoke;
using namespace almondspoke::bench;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

RequestEnd
Completed(milliseconds aArrival, milliseconds aLatency, milliseconds aIdeal)
{
  RequestEnd end;
  end.mArrival = aArrival;
  end.mLatency = aLatency;
  end.mIdeal = aIdeal;
  end.mIsCompleted = true;
  return end;
}

}

TEST_CASE("Statistics: the ratio is latency over ideal in thousandths")
{
  struct RatioCase
  {
    microseconds mLatency;
    microseconds mIdeal;
    std::uint64_t mRatio;
  };
  const std::vector<RatioCase> cases = {
    { milliseconds(100), milliseconds(100), 1000 },
    { milliseconds(150), milliseconds(100), 1500 },
    { milliseconds(99), milliseconds(100), 990 },
    { microseconds(1), milliseconds(1), 1 },
    { milliseconds(100), microseconds(0), 100000000 },
    { microseconds(-5), milliseconds(1), 0 },
  };
  for (const RatioCase& entry : cases) {
    CAPTURE(entry.mLatency.count(), entry.mIdeal.count());
    CHECK(RatioOf(entry.mLatency, entry.mIdeal) == entry.mRatio);
  }
}

TEST_CASE("Statistics: arrivals of the warm-up count for the run only")
{
  StreamStatistics statistics(milliseconds(1000), milliseconds(10000));
  statistics.RecordArrival(milliseconds(999));
  statistics.RecordArrival(milliseconds(1000));
  statistics.RecordEnd(
    Completed(milliseconds(999), milliseconds(50), milliseconds(50)));
  statistics.RecordEnd(
    Completed(milliseconds(1000), milliseconds(200), milliseconds(100)));
  const StreamCounts counts = statistics.Counts();
  CHECK(counts.mOffered == 1);
  CHECK(counts.mCompleted == 1);
  CHECK(counts.mCompletedInRun == 2);
  CHECK(counts.mRatio.ValueAt(0.5) == 2000);
}

TEST_CASE(
  "Statistics: results are counted by error kind, with a limit on names")
{
  StreamStatistics statistics(milliseconds(0), milliseconds(1000));
  RequestEnd end;
  end.mIsCancelled = true;
  statistics.RecordEnd(end);
  end.mIsCancelled = false;
  end.mRan = Ran::No;
  for (int i = 0; i < 100; ++i) {
    end.mError = "status-" + std::to_string(i);
    statistics.RecordEnd(end);
  }
  const StreamCounts counts = statistics.Counts();
  CHECK(counts.mCancelled == 1);
  CHECK(counts.mErrors.size() == 65);
  CHECK(counts.mErrors.at("status-0").mCount == 1);
  CHECK(counts.mErrors.at("status-0").mRan == Ran::No);
  CHECK(counts.mErrors.at("other").mCount == 36);
  CHECK(counts.mErrors.at("other").mRan == Ran::Unknown);
}

TEST_CASE("Statistics: a late result is counted in the slice of its arrival")
{
  StreamStatistics statistics(milliseconds(0), milliseconds(2000));
  statistics.RecordEnd(
    Completed(milliseconds(1100), milliseconds(9000), milliseconds(100)));
  statistics.RecordEnd(
    Completed(milliseconds(9999), milliseconds(1), milliseconds(1)));
  const StreamCounts counts = statistics.Counts();
  REQUIRE(counts.mSlices.size() == 5);
  CHECK(counts.mSlices[2].Count() == 1);
  CHECK(counts.mSlices[4].Count() == 1);
}

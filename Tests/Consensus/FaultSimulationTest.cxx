#include <atomic>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "FaultSimulation.h"

using almondspoke::testing::FaultSimulation;

namespace {

constexpr std::uint64_t kSeeds = 3000;
constexpr unsigned kThreads = 4;
constexpr std::size_t kErrorsShown = 10;

/** \brief Totals over all seeds. */
struct Summary
{
  std::mutex mMutex;
  std::vector<std::string> mErrors;
  FaultSimulation::Counts mCounts;

  std::size_t Errors()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mErrors.size();
  }

  void Add(const FaultSimulation& aRun)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const FaultSimulation::Counts& counts = aRun.EventCounts();
    mCounts.mAcknowledged += counts.mAcknowledged;
    mCounts.mLeaders += counts.mLeaders;
    mCounts.mCrashes += counts.mCrashes;
    mCounts.mDisksLost += counts.mDisksLost;
    mCounts.mDisksRolledBack += counts.mDisksRolledBack;
    mCounts.mLossesAfterReadmission += counts.mLossesAfterReadmission;
    mCounts.mDiskFailures += counts.mDiskFailures;
    mCounts.mReopened += counts.mReopened;
    mCounts.mReadmissions += counts.mReadmissions;
    mCounts.mReads += counts.mReads;
    mCounts.mSnapshotsInstalled += counts.mSnapshotsInstalled;
    mCounts.mUnrecovered += counts.mUnrecovered;
    mErrors.insert(mErrors.end(), aRun.Errors().begin(), aRun.Errors().end());
  }
};

/** Returns an environment variable as a number, or a default. */
std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::strtoull(value, nullptr, 10);
}

void
RunSeeds(std::uint64_t aFirst, std::uint64_t aCount, Summary& aSummary)
{
  std::atomic<std::uint64_t> next{ 0 };
  std::vector<std::thread> threads;
  for (unsigned thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&] {
      while (true) {
        const std::uint64_t offset = next++;
        if (offset >= aCount || aSummary.Errors() >= kErrorsShown) {
          return;
        }
        FaultSimulation run(aFirst + offset);
        run.Run();
        aSummary.Add(run);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}

TEST_CASE("Core: preserves its safety properties under random faults")
{
  const std::uint64_t only = NumberFromEnvironment("ALMONDSPOKE_SEED", 0);
  const std::uint64_t count =
    only != 0 ? 1 : NumberFromEnvironment("ALMONDSPOKE_SEEDS", kSeeds);
  Summary summary;
  RunSeeds(only != 0 ? only : 1, count, summary);

  const FaultSimulation::Counts& counts = summary.mCounts;
  WARN("seeds " << count << ", acknowledged " << counts.mAcknowledged
                << ", leaders " << counts.mLeaders << ", crashes "
                << counts.mCrashes << ", disks lost " << counts.mDisksLost
                << ", rolled back " << counts.mDisksRolledBack
                << ", lost right after a readmission "
                << counts.mLossesAfterReadmission << ", failed "
                << counts.mDiskFailures << ", reopened " << counts.mReopened
                << ", readmissions " << counts.mReadmissions << ", reads "
                << counts.mReads << ", snapshots " << counts.mSnapshotsInstalled
                << ", not recovered " << counts.mUnrecovered);
  std::string shown;
  for (std::size_t error = 0;
       error < std::min(kErrorsShown, summary.mErrors.size());
       ++error) {
    shown += summary.mErrors[error] + "\n";
  }
  INFO("to reproduce a seed: ALMONDSPOKE_SEED=<seed> "
       "build/Tests/Consensus/test_consensus \"Core: preserves its*\"\n"
       << shown);
  CHECK(summary.mErrors.empty());
  CHECK(counts.mAcknowledged > 0);
}

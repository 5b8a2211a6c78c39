#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "Jobs/WorkerPool.h"
#include "JobsFixture.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  ManualClock mClock;
  FakeEndpointView mEndpoints;
  WorkerPool mPool{ mClock };
  std::unordered_map<std::string, std::uint32_t> mRackCounts;

  PlacementQuery Query(const Resources& aRequired)
  {
    PlacementQuery query;
    query.mService = "preview";
    query.mRequired = aRequired;
    query.mRackCounts = &mRackCounts;
    return query;
  }

  std::string Choose(const Resources& aRequired)
  {
    const Worker* worker = mPool.Choose(Query(aRequired));
    return worker == nullptr ? std::string() : worker->mName;
  }

  void Report(std::size_t aIndex, const UsageReport& aUsage)
  {
    mEndpoints.mEndpoints[aIndex].mUsage = aUsage;
    mPool.Update(mEndpoints.mEndpoints);
  }
};

}

TEST_CASE("Worker pool: tasks of a job are spread over the racks")
{
  Fixture fixture;
  for (int worker = 0; worker < 12; ++worker) {
    fixture.mEndpoints.Add("w" + std::to_string(worker),
                           "r" + std::to_string(worker / 4),
                           { 16, 1000, 0 });
  }
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  const Resources required{ 1, 10, 0 };
  for (int task = 0; task < 30; ++task) {
    const Worker* worker = fixture.mPool.Choose(fixture.Query(required));
    REQUIRE(worker != nullptr);
    ++fixture.mRackCounts[worker->mRack];
    fixture.mPool.Allocate(worker->mName, required);
  }
  for (const auto& [rack, tasks] : fixture.mRackCounts) {
    CHECK(tasks == 10);
  }
}

TEST_CASE("Worker pool: accelerators are kept free for tasks that require them")
{
  Fixture fixture;
  fixture.mEndpoints.Add("plain", "r1", { 4, 1000, 0 });
  fixture.mEndpoints.Add("accelerated", "r2", { 64, 9000, 2 });
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  for (int task = 0; task < 4; ++task) {
    CHECK(fixture.Choose({ 1, 1, 0 }) == "plain");
    fixture.mPool.Allocate("plain", { 1, 1, 0 });
  }
  // Other tasks use the accelerated worker only once the others are full, and
  // its accelerators stay free.
  CHECK(fixture.Choose({ 1, 1, 0 }) == "accelerated");
  CHECK(fixture.Choose({ 1, 1, 2 }) == "accelerated");
  fixture.mPool.Allocate("accelerated", { 1, 1, 2 });
  CHECK(fixture.Choose({ 1, 1, 1 }).empty());
}

TEST_CASE("Worker pool: the resources and slots of a worker are never exceeded")
{
  struct Row
  {
    Resources mRequired;
    std::uint32_t mExpected;
  };
  const auto row = GENERATE(values<Row>({
    { { 1, 0, 0 }, 4 },
    { { 0.1, 0, 0 }, 8 },
    { { 1, 400, 0 }, 2 },
    { { 1, 0, 1 }, 3 },
    { { 4.5, 0, 0 }, 0 },
  }));
  Fixture fixture;
  fixture.mEndpoints.Add("w", "r", { 4, 1000, 3 }, 8);
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  std::uint32_t placed = 0;
  while (!fixture.Choose(row.mRequired).empty()) {
    fixture.mPool.Allocate("w", row.mRequired);
    ++placed;
  }
  CHECK(placed == row.mExpected);
  for (; placed > 0; --placed) {
    fixture.mPool.Release("w", row.mRequired);
  }
  CHECK(fixture.mPool.AllocatedSlots() == 0);
  CHECK(
    fixture.mPool.FreeResources(fixture.mPool.Workers().at("w")).mMemoryBytes ==
    1000);
}

TEST_CASE("Worker pool: the weight of a usage report falls with its age")
{
  Fixture fixture;
  fixture.mEndpoints.Add("w", "r", { 10, 1000, 0 });
  fixture.Report(0, { 8, 0, 0, 1000 });
  CHECK(fixture.Choose({ 4, 0, 0 }).empty());
  fixture.mClock.Advance(7500ms);
  CHECK(fixture.Choose({ 4, 0, 0 }) == "w");
  CHECK(fixture.Choose({ 8, 0, 0 }).empty());
  // Receiving the same report again does not reset its age.
  fixture.Report(0, { 8, 0, 0, 1000 });
  CHECK(fixture.Choose({ 4, 0, 0 }) == "w");
  fixture.mClock.Advance(7500ms);
  CHECK(fixture.Choose({ 10, 0, 0 }) == "w");
}

TEST_CASE("Worker pool: free cores are estimated from a refusal")
{
  Fixture fixture;
  fixture.mEndpoints.Add("w", "r", { 8, 1000, 0 });
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  for (int task = 0; task < 3; ++task) {
    fixture.mPool.Allocate("w", { 1, 0, 0 });
  }
  fixture.mPool.RecordRefusal("w", { 1, 0, 0 });
  CHECK(fixture.Choose({ 1, 0, 0 }).empty());
  CHECK(fixture.Choose({ 0.5, 0, 0 }) == "w");
  // When a task of this instance ends, there is room for another one of its
  // size, but not for two.
  fixture.mPool.Release("w", { 1, 0, 0 });
  CHECK(fixture.Choose({ 1, 0, 0 }) == "w");
  CHECK(fixture.Choose({ 2, 0, 0 }).empty());
  struct Row
  {
    std::chrono::milliseconds mAge;
    std::optional<UsageReport> mReport;
    double mFits;
  };
  const auto row = GENERATE(values<Row>({
    // Without reports, the assumed free cores double with each period.
    { 100ms, std::nullopt, 2 },
    { 200ms, std::nullopt, 3 },
    { 1s, std::nullopt, 6 },
    // A report of a busy worker does not override the refusal, since it may
    // have been measured earlier.
    { 100ms, UsageReport{ 4, 0, 0, 1000 }, 2 },
    { 100ms, UsageReport{ 3, 0, 0, 1000 }, 5 },
    { 1s, UsageReport{ 7, 0, 0, 1000 }, 1 },
  }));
  fixture.mClock.Advance(row.mAge);
  if (row.mReport) {
    fixture.Report(0, *row.mReport);
  }
  CHECK(fixture.Choose({ row.mFits, 0, 0 }) == "w");
  CHECK(fixture.Choose({ row.mFits + 0.1, 0, 0 }).empty());
}

TEST_CASE("Worker pool: the pause after a refusal grows with each refusal")
{
  struct Row
  {
    int mRefusals;
    int mSuccesses;
    std::chrono::milliseconds mPause;
  };
  const auto row = GENERATE(values<Row>({
    { 1, 0, 100ms },
    { 2, 0, 200ms },
    { 4, 0, 800ms },
    // The pause is at most 8 s, and shrinks with successful tasks.
    { 40, 0, 8000ms },
    { 40, 5000, 65ms },
  }));
  Fixture fixture;
  fixture.mEndpoints.Add("w", "r", { 8, 1000, 0 });
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  for (int task = 0; task < row.mRefusals; ++task) {
    fixture.mPool.RecordRefusal("w", { 1, 0, 0 });
    fixture.mPool.RecordRefusal("gone", { 1, 0, 0 });
  }
  for (int task = 0; task < row.mSuccesses; ++task) {
    fixture.mPool.RecordResult("w", true);
  }
  fixture.mClock.Advance(row.mPause * 9 / 10);
  CHECK(fixture.Choose({ 1, 0, 0 }).empty());
  fixture.mClock.Advance(row.mPause / 10 + 1ms);
  CHECK(fixture.Choose({ 1, 0, 0 }) == "w");
}

TEST_CASE(
  "Worker pool: tasks of this instance are not counted again as usage by "
  "others")
{
  Fixture fixture;
  fixture.mEndpoints.Add("w", "r", { 10, 1000, 0 });
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  fixture.mPool.Allocate("w", { 4, 0, 0 });
  fixture.Report(0, { 6, 0, 0, 1000 });
  CHECK(fixture.Choose({ 4, 0, 0 }) == "w");
  CHECK(fixture.Choose({ 4.5, 0, 0 }).empty());
}

TEST_CASE("Worker pool: a worker that fails every task is sent few tasks")
{
  Fixture fixture;
  fixture.mEndpoints.Add("broken", "r1", { 64, 1000, 0 }, 64);
  for (int worker = 0; worker < 9; ++worker) {
    fixture.mEndpoints.Add("w" + std::to_string(worker), "r2", { 4, 1000, 0 });
  }
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  int atBroken = 0;
  for (int task = 0; task < 1000; ++task) {
    const std::string chosen = fixture.Choose({ 1, 0, 0 });
    REQUIRE_FALSE(chosen.empty());
    atBroken += chosen == "broken" ? 1 : 0;
    fixture.mPool.RecordResult(chosen, chosen != "broken");
    fixture.mClock.Advance(10ms);
  }
  CHECK(atBroken >= 3);
  CHECK(atBroken <= 8);
}

TEST_CASE("Worker pool: most workers stay in use even if all of them fail")
{
  Fixture fixture;
  for (int worker = 0; worker < 10; ++worker) {
    fixture.mEndpoints.Add("w" + std::to_string(worker), "r", { 4, 1000, 0 });
  }
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  for (int round = 0; round < 10; ++round) {
    for (int worker = 0; worker < 10; ++worker) {
      fixture.mPool.RecordResult("w" + std::to_string(worker), false);
    }
  }
  int usable = 0;
  for (const auto& [name, worker] : fixture.mPool.Workers()) {
    usable += worker.mBackOffUntil <= fixture.mClock.MonotonicNow() ? 1 : 0;
  }
  CHECK(usable == 7);
}

TEST_CASE("Worker pool: a leaving worker gets no tasks and is removed once its "
          "tasks have ended")
{
  Fixture fixture;
  fixture.mEndpoints.Add("w", "r", { 4, 1000, 0 });
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  fixture.mPool.Allocate("w", { 1, 0, 0 });
  fixture.mEndpoints.mEndpoints[0].mLeaving = true;
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  CHECK(fixture.Choose({ 1, 0, 0 }).empty());
  CHECK(fixture.mPool.AllocatedSlots() == 1);
  fixture.mPool.Release("w", { 1, 0, 0 });
  fixture.mPool.Update({});
  CHECK(fixture.mPool.Workers().empty());
}

TEST_CASE("Worker pool: the resource that no worker has enough of is named")
{
  struct Row
  {
    Resources mRequired;
    std::string mMissing;
  };
  const auto row = GENERATE(values<Row>({
    { { 4, 1000, 0 }, "" },
    { { 5, 0, 0 }, "cores" },
    { { 1, 2001, 0 }, "memoryBytes" },
    { { 1, 0, 3 }, "accelerators" },
    { { 4, 2000, 0 }, "cores, memoryBytes and accelerators on one worker" },
  }));
  Fixture fixture;
  fixture.mEndpoints.Add("cores", "r", { 4, 1000, 0 });
  fixture.mEndpoints.Add("memory", "r", { 1, 2000, 2 });
  fixture.mPool.Update(fixture.mEndpoints.mEndpoints);
  fixture.mPool.Allocate("cores", { 4, 1000, 0 });
  CHECK(fixture.mPool.MissingResource("preview", row.mRequired) ==
        row.mMissing);
}

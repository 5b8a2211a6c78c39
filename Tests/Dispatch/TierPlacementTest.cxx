// Placement by the expected end of a task.
#include <catch2/catch.hpp>

#include "Dispatch/SpeedFixture.h"

using namespace almondspoke::dispatch;
using almondspoke::testing::SpeedFixture;
using std::chrono::milliseconds;

namespace {

DispatchJob
JobOf(const SpeedFixture& aPool, std::size_t aQueue, milliseconds aTimeLeft)
{
  DispatchJob job;
  job.mQueue = aPool.mQueues[aQueue];
  job.mDueAt = aPool.mNow + aTimeLeft;
  StepSpec step;
  step.mCount = 1;
  step.mNeeds = { 16'000, 100, 0 };
  step.mEstimateMs = SpeedFixture::kNominalMs[aQueue];
  job.mSubmission.mId = "job";
  job.mSubmission.mSteps.push_back(step);
  job.mSteps.emplace_back(1);
  return job;
}

milliseconds
ObjectiveOf(std::size_t aQueue)
{
  return milliseconds(SpeedFixture::kNominalMs[aQueue] * 16 / 10 + 60);
}

/** \brief A queue's task with some time left, and the kind that it gets. */
struct PlacementCase
{
  const char* mName;
  std::size_t mQueue;
  milliseconds mTimeLeft;
  bool mIsFastFull;
  bool mIsSlowFull;
  /** Label of the worker's kind; empty if there is no place. */
  const char* mKind;
};

void
Fill(SpeedFixture& aPool, const std::string& aKind)
{
  std::uint32_t number = 0;
  for (auto& [id, worker] : aPool.mWorkers) {
    if (worker.Report().mLabels.front() == aKind) {
      TrackedRun run;
      run.mNeeds = { 32'000, 100, 0 };
      worker.Add({ "other", 0, 0, ++number }, run);
    }
  }
}

}

TEST_CASE("Tier placement: a task gets the slowest workers that are in time")
{
  const std::vector<PlacementCase> cases = {
    { "short", 0, ObjectiveOf(0), false, false, "b" },
    { "short, later", 0, milliseconds(90), false, false, "a" },
    { "short, too late", 0, milliseconds(5), false, false, "a" },
    { "short, slow ones full", 0, ObjectiveOf(0), false, true, "a" },
    { "long", 2, ObjectiveOf(2), false, false, "a" },
    { "long, far from due", 2, milliseconds(3000), false, false, "b" },
    { "long, fast ones full", 2, ObjectiveOf(2), true, false, "b" },
    { "long, all full", 2, ObjectiveOf(2), true, true, "" },
  };
  for (const PlacementCase& row : cases) {
    INFO(row.mName);
    SpeedFixture pool(3);
    for (int i = 0; i < 20; ++i) {
      pool.Add("a", 0.7);
      pool.Add(i % 2 == 0 ? "b" : "a", i % 2 == 0 ? 1.7 : 0.7);
    }
    pool.EndRunsOfAll(60);
    if (row.mIsFastFull) {
      Fill(pool, "a");
    }
    if (row.mIsSlowFull) {
      Fill(pool, "b");
    }
    const DispatchJob job = JobOf(pool, row.mQueue, row.mTimeLeft);
    const WorkerSession* chosen =
      pool.mIndex.Choose(job, { "job", 0, 0, 0 }, pool.mNow, {});
    CHECK((chosen == nullptr ? "" : chosen->Report().mLabels.front()) ==
          row.mKind);
  }
}

// Guards against different decisions in pools of even speed, where learning has
// nothing to gain.
TEST_CASE("Tier placement: an even pool is used as without a model")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SpeedFixture with(seed);
    SpeedFixture without(seed, false);
    for (SpeedFixture* pool : { &with, &without }) {
      for (int i = 0; i < 40; ++i) {
        pool->Add("a", 1, 16'000 + static_cast<std::uint32_t>(i % 5) * 4000);
      }
    }
    std::mt19937_64 random(seed);
    std::vector<std::pair<std::string, TaskId>> running;
    for (std::uint32_t i = 0; i < 3000; ++i) {
      const std::size_t queue = random() % 3;
      DispatchJob job = JobOf(with, queue, milliseconds(random() % 2000));
      job.mSubmission.mSteps[0].mNeeds.mMilliCores =
        static_cast<std::uint32_t>(1000 + random() % 15'000);
      const TaskId choice{ "job", 0, 0, 0 };
      WorkerSession* one = with.mIndex.Choose(job, choice, with.mNow, {});
      WorkerSession* other = without.mIndex.Choose(job, choice, with.mNow, {});
      REQUIRE((one == nullptr) == (other == nullptr));
      if (one != nullptr) {
        REQUIRE(one->Report().mBoot.mId == other->Report().mBoot.mId);
        TrackedRun run;
        run.mNeeds = job.mSubmission.mSteps[0].mNeeds;
        const TaskId task{ "job", 0, 0, i };
        one->Add(task, run);
        other->Add(task, run);
        running.emplace_back(one->Report().mBoot.mId, task);
      }
      if (one == nullptr || random() % 2 == 0) {
        const std::size_t ended = random() % running.size();
        const auto [id, task] = running[ended];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
        with.mWorkers.at(id).Remove(task);
        without.mWorkers.at(id).Remove(task);
        with.EndRuns(with.mWorkers.at(id), 1);
      }
    }
    CHECK(with.mTierChanges == 0);
  }
}

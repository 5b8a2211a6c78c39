// The index of workers agrees with a walk over all of them.
#include <random>

#include <catch2/catch.hpp>

#include "Dispatch/WorkerIndex.h"
#include "Support/PlacementWalk.h"
#include "Support/RandomDraws.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::PlacementWalk;
using almondspoke::testing::RandomDraws;
using std::chrono::milliseconds;

namespace {

constexpr int kSeeds = 60;
constexpr int kWorkers = 40;
constexpr int kChanges = 400;

/** \brief Workers whose state changes at random, with an index over them. */
class RandomFleet : private RandomDraws
{
public:
  explicit RandomFleet(std::uint64_t aSeed)
    : RandomDraws(aSeed)
  {
    for (int i = 0; i < kWorkers; ++i) {
      AddWorker("w" + std::to_string(i));
    }
  }

  /** Returns what a task is placed on differently; empty if nothing. */
  std::string Run()
  {
    for (int i = 0; i < kChanges; ++i) {
      Change();
      mNow += milliseconds(Between(0, 300));
      if (Between(0, 3) == 0) {
        mIndex.ReadmitAll(mNow);
      }
      std::string difference = Place(i);
      if (!difference.empty()) {
        return difference;
      }
    }
    return {};
  }

private:
  using Step = void (RandomFleet::*)(WorkerSession&);

  WorkerReport RandomReport(const WorkerId& aId)
  {
    WorkerReport report;
    report.mBoot = { aId, 1 };
    report.mPool = Between(0, 4) == 0 ? "other" : "pool";
    report.mDataCentre = "dc" + std::to_string(Between(0, 2));
    report.mCapacity.mMilliCores =
      static_cast<std::uint32_t>(Between(1, 3) * 16'000);
    report.mCapacity.mMemoryMegabytes =
      static_cast<std::uint32_t>(Between(1, 8) * 1000);
    report.mLabels = { "rack-" + std::to_string(Between(0, 4)) };
    if (Between(0, 1) == 0) {
      report.mLabels.emplace_back("kind-a");
    }
    report.mWarmUpRemainingMs = Between(0, 3) == 0 ? 100 : 0;
    return report;
  }

  void AddWorker(const WorkerId& aId)
  {
    const auto added = mWorkers.emplace(
      aId,
      WorkerSession(++mNumber, RandomReport(aId), mNow, milliseconds(1000)));
    WorkerSession& worker = added.first->second;
    worker.mRegistered = true;
    worker.mFenceAccepted = true;
    mIndex.Add(worker);
  }

  void Change()
  {
    static constexpr std::array<Step, 7> kSteps = {
      &RandomFleet::AddRun,        &RandomFleet::RemoveRun,
      &RandomFleet::ReplaceWorker, &RandomFleet::ReportAgain,
      &RandomFleet::LoseAnswer,    &RandomFleet::FailRun,
      &RandomFleet::AnswerHold,
    };
    auto worker = mWorkers.begin();
    std::advance(worker, Between(0, kWorkers - 1));
    (this->*kSteps[static_cast<std::size_t>(Between(0, 6))])(worker->second);
  }

  void AddRun(WorkerSession& aWorker)
  {
    TrackedRun run;
    run.mNeeds.mMilliCores = static_cast<std::uint32_t>(Between(1, 16) * 1000);
    run.mNeeds.mMemoryMegabytes = 100;
    run.mIsOrphan = Between(0, 9) == 0;
    aWorker.Add({ "job", 0, 0, static_cast<std::uint32_t>(++mTask) }, run);
  }
  void RemoveRun(WorkerSession& aWorker)
  {
    if (!aWorker.Runs().empty()) {
      aWorker.Remove(TaskId(aWorker.Runs().begin()->first));
    }
  }
  void ReplaceWorker(WorkerSession& aWorker)
  {
    const WorkerId id = aWorker.Report().mBoot.mId;
    mIndex.Remove(aWorker);
    mWorkers.erase(id);
    AddWorker(id);
  }
  void ReportAgain(WorkerSession& aWorker)
  {
    WorkerReport report = RandomReport(aWorker.Report().mBoot.mId);
    report.mDraining = Between(0, 3) == 0;
    mIndex.Remove(aWorker);
    aWorker.Update(report);
    mIndex.Add(aWorker);
  }
  void LoseAnswer(WorkerSession& aWorker) { ++aWorker.mUnansweredHolds; }
  void FailRun(WorkerSession& aWorker) { aWorker.mHealth.RunFailed(mNow); }
  void AnswerHold(WorkerSession& aWorker)
  {
    aWorker.mUnansweredHolds = 0;
    aWorker.mHealth.RunSucceeded();
    mIndex.Readmit(aWorker);
  }

  std::string Place(int aNumber)
  {
    DispatchJob job;
    job.mQueue.mPool = "pool";
    StepSpec step;
    step.mCount = 1;
    step.mNeeds = { static_cast<std::uint32_t>(Between(1, 30) * 1000),
                    static_cast<std::uint32_t>(Between(1, 4) * 500),
                    0 };
    step.mDataRack =
      Between(0, 2) == 0 ? "rack-" + std::to_string(Between(0, 5)) : "";
    step.mRequiredLabel = Between(0, 2) == 0 ? "kind-a" : "";
    step.mMaxPerWorker = Between(0, 3) == 0 ? 1 : 0;
    job.mSubmission.mId = Between(0, 1) == 0 ? "job" : "fresh";
    job.mSubmission.mSteps.push_back(step);
    job.mSteps.emplace_back(1);
    job.mSteps[0][0].mFailedOn = { "w" + std::to_string(Between(0, 9)) };
    const TaskId task{ job.mSubmission.mId, 0, 0, 0 };
    // The index may leave out a worker that can take runs again since the last
    // readmission; a placement that it makes is always a best one of the rest.
    WorkerSession* chosen = mIndex.Choose(job, task, mNow, mWindows);
    mIndex.ReadmitAll(mNow);
    chosen = mIndex.Choose(job, task, mNow, mWindows);
    WorkerSession* best = PlacementWalk::Choose(mWorkers, job, task, mNow);
    if ((chosen == nullptr) != (best == nullptr)) {
      return "placement " + std::to_string(aNumber) + ": only one of both";
    }
    const bool isSame = chosen == nullptr ||
                        (PlacementWalk::IsAllowed(*chosen, job, task, mNow) &&
                         PlacementWalk::CostOf(*chosen, job, task) ==
                           PlacementWalk::CostOf(*best, job, task));
    return isSame ? "" : "placement " + std::to_string(aNumber) + ": worse";
  }

  Clock::Monotonic mNow{ std::chrono::hours(1) };
  WorkerSessions mWorkers;
  StartWindows mWindows;
  WorkerIndex mIndex;
  std::uint64_t mNumber = 0;
  int mTask = 0;
};

}

TEST_CASE("Worker index: places each task as a walk over all workers would")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(RandomFleet(seed).Run().empty());
  }
}

// Guards against a worker on probation that gets nothing while a long run from
// before the probation is on it (review/9).
TEST_CASE("Worker index: a worker on probation gets one run beside those that "
          "it had before")
{
  WorkerReport report;
  report.mBoot = { "w0", 1 };
  report.mPool = "pool";
  report.mCapacity = { 16'000, 16'000, 0 };
  const Clock::Monotonic start{ std::chrono::hours(1) };
  WorkerSession worker(1, report, start, milliseconds(1000));
  worker.mRegistered = true;
  worker.mFenceAccepted = true;
  WorkerIndex index;
  index.Add(worker);
  DispatchJob job;
  job.mQueue.mPool = "pool";
  StepSpec step;
  step.mCount = 2;
  step.mNeeds = { 1000, 100, 0 };
  job.mSubmission.mId = "job";
  job.mSubmission.mSteps.push_back(step);
  job.mSteps.emplace_back(2);
  StartWindows windows;
  const auto canPlace = [&](const TaskId& aTask) {
    const auto afterQuarantine = start + std::chrono::minutes(1);
    index.ReadmitAll(afterQuarantine);
    return index.Choose(job, aTask, afterQuarantine, windows) == &worker;
  };
  TrackedRun run;
  run.mNeeds = step.mNeeds;
  worker.Add({ "long", 0, 0, 0 }, run);
  worker.mHealth.RunFailed(start);
  worker.mHealth.RunFailed(start);
  REQUIRE(worker.mHealth.IsOnProbation());
  const TaskId trial{ "job", 0, 0, 0 };
  const TaskId next{ "job", 0, 0, 1 };
  CHECK(canPlace(trial));
  worker.Add(trial, run);
  CHECK_FALSE(canPlace(next));
  SECTION("the trial run has ended")
  {
    worker.Remove(trial);
    CHECK(canPlace(next));
  }
  SECTION("a run of a later probation is tried beside the former trial")
  {
    worker.mHealth.RunSucceeded();
    worker.mHealth.RunFailed(start);
    worker.mHealth.RunFailed(start);
    CHECK(canPlace(next));
  }
}

TEST_CASE("Worker index: a worker that drains is not chosen without a notice")
{
  WorkerIndex index;
  WorkerSessions workers;
  WorkerReport report;
  report.mBoot = { "w0", 1 };
  report.mPool = "pool";
  report.mCapacity = { 16'000, 1000, 0 };
  WorkerSession& worker =
    workers.emplace("w0", WorkerSession(1, report, {}, milliseconds(1000)))
      .first->second;
  worker.mRegistered = true;
  worker.mFenceAccepted = true;
  index.Add(worker);
  DispatchJob job;
  job.mQueue.mPool = "pool";
  StepSpec step;
  step.mNeeds = { 1000, 100, 0 };
  job.mSubmission.mSteps.push_back(step);
  job.mSteps.emplace_back(1);
  const TaskId task{ "job", 0, 0, 0 };
  CHECK(index.Choose(job, task, {}, {}) == &worker);
  report.mDraining = true;
  worker.Update(report);
  CHECK(index.Choose(job, task, {}, {}) == nullptr);
  report.mDraining = false;
  worker.Update(report);
  CHECK(index.Choose(job, task, {}, {}) == nullptr);
  index.ReadmitAll({});
  CHECK(index.Choose(job, task, {}, {}) == &worker);
}

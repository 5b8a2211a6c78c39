// The queue of waiting jobs keeps sums and time limits without walks.
#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "Dispatch/ReadyQueue.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using std::chrono::milliseconds;

namespace {

const Clock::Monotonic kStart{ std::chrono::hours(1) };

DispatchJob
MakeJob(std::uint64_t aNumber,
        std::uint32_t aPriority,
        milliseconds aObjective,
        std::uint32_t aTasks)
{
  DispatchJob job;
  job.mSubmission.mId = "j" + std::to_string(aNumber);
  StepSpec step;
  step.mCount = aTasks;
  step.mNeeds = { 4000, 64, 0 };
  step.mEstimateMs = 50;
  job.mSubmission.mSteps.push_back(step);
  job.mSteps.emplace_back(aTasks);
  job.mReadyTaskCount = aTasks;
  job.mQueue.mPriority = aPriority;
  job.mArrivalNumber = aNumber;
  job.mArrivedAt = kStart;
  job.mDueAt = kStart + aObjective;
  return job;
}

/** Returns the work before a job by a walk over all jobs. */
double
WalkBefore(const std::vector<std::unique_ptr<DispatchJob>>& aJobs,
           const DispatchJob& aJob)
{
  double work = 0;
  for (const auto& job : aJobs) {
    const bool waits =
      job->mReadyTaskCount > 0 && !job->mAbandoned && !job->HasEnded();
    if (waits && SchedulingKeyOf(*job) < SchedulingKeyOf(aJob)) {
      work += static_cast<double>(job->WaitingWork()) / 1000;
    }
  }
  return work;
}

}

TEST_CASE("Ready queue: the work before a job equals a walk over all jobs")
{
  std::mt19937_64 random(7);
  const auto between = [&](int aLow, int aHigh) {
    return std::uniform_int_distribution<int>(aLow, aHigh)(random);
  };
  const FixedAdmission admission;
  ReadyQueue queue(admission);
  std::vector<std::unique_ptr<DispatchJob>> jobs;
  for (int i = 0; i < 2000; ++i) {
    const auto priority = static_cast<std::uint32_t>(between(0, 3));
    const int objective = between(50, 2000);
    const auto tasks = static_cast<std::uint32_t>(between(1, 9));
    jobs.push_back(
      std::make_unique<DispatchJob>(MakeJob(static_cast<std::uint64_t>(i),
                                            priority,
                                            milliseconds(objective),
                                            tasks)));
    queue.Update(*jobs.back());
    DispatchJob& changed =
      *jobs[static_cast<std::size_t>(between(0, static_cast<int>(i)))];
    changed.mReadyTaskCount -= changed.mReadyTaskCount > 0 ? 1 : 0;
    changed.mAbandoned = between(0, 19) == 0;
    queue.Update(changed);
    const DispatchJob& asked =
      *jobs[static_cast<std::size_t>(between(0, static_cast<int>(i)))];
    CHECK(queue.BacklogBefore(asked).mCoreMsAhead ==
          Approx(WalkBefore(jobs, asked)));
  }
  for (const auto& job : jobs) {
    queue.Remove(*job);
  }
  CHECK(queue.IsEmpty());
  CHECK(queue.BacklogBefore(*jobs.front()).mCoreMsWaiting == 0);
}

TEST_CASE("Ready queue: a job is overdue once at each of its limits")
{
  const FixedAdmission admission;
  ReadyQueue queue(admission);
  DispatchJob job = MakeJob(1, 0, milliseconds(500), 2);
  queue.Update(job);
  CHECK(queue.TakeOverdue(kStart + milliseconds(100)).empty());
  SECTION("not started: to be refused after a part of the objective")
  {
    REQUIRE(queue.TakeOverdue(kStart + milliseconds(101)).size() == 1);
    CHECK(queue.TakeOverdue(kStart + milliseconds(102)).empty());
  }
  SECTION("started: to be given up when its result is of no use")
  {
    job.mStarted = true;
    CHECK(queue.TakeOverdue(kStart + milliseconds(1500)).empty());
    CHECK(queue.TakeOverdue(kStart + milliseconds(1501)).size() == 1);
  }
  SECTION("no longer waiting: never")
  {
    job.mReadyTaskCount = 0;
    queue.Update(job);
    CHECK(queue.TakeOverdue(kStart + milliseconds(9000)).empty());
  }
  SECTION("stored: never")
  {
    queue.Remove(job);
    job.mIsStored = true;
    queue.Update(job);
    CHECK(queue.TakeOverdue(kStart + milliseconds(9000)).empty());
  }
}

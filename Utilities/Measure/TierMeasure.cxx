// Simulates a pool of which a third of the workers are slow, and compares the
// orders in which tasks try the tiers, with and without waits for a better
// place. Prints the share of jobs in time by load, policy and queue.
// Usage: measure_tiers
#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "Base/EventLog.h"
#include "Dispatch/PlacementWaits.h"
#include "Dispatch/SpeedFixture.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using std::chrono::milliseconds;
using testing::SpeedFixture;

namespace {

constexpr int kWorkers = 120;
constexpr std::int64_t kDurationMs = 40'000;
constexpr std::int64_t kWarmUpMs = 5000;
constexpr std::uint32_t kTasks[] = { 8, 2, 4 };
/** Nominal milliseconds of a job of each queue, summed over its tasks. */
constexpr double kWorkOfRound = 8 * 51 + 2 * 170 + 4 * 760;
/** Tasks that run at a time on a worker, and the mean speed of workers. */
constexpr double kTasksOfWorker = 2;
constexpr double kMeanSpeed = (2 / 0.7 + 1 / 1.7) / 3;
/** A job that has not started is refused after this part of its time. */
constexpr int kWaitShare = 5;
constexpr std::size_t kMaxUnplaced = 40;

enum class Policy : std::uint8_t
{
  BestFit,
  SlowestInTime,
  FastestFirst
};

/** \brief One load under one policy. */
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, double aLoad, Policy aPolicy, bool aWaits)
    : mRandom(aSeed)
    , mPool(aSeed, aPolicy != Policy::BestFit)
    , mLog(mClock, mSink)
    , mWaits(mPool.mModel, mLog)
    , mPolicy(aPolicy)
    , mUsesWaits(aWaits)
  {
    for (int i = 0; i < kWorkers; ++i) {
      const bool isSlow = i % 3 == 2;
      mPool.Add(isSlow ? "b" : "a",
                isSlow ? 1.7 : 0.7,
                30'000 + static_cast<std::uint32_t>(mRandom() % 5) * 1000);
    }
    mBegin = mPool.mNow;
    mMeanGapMs =
      kWorkOfRound / 3 / (aLoad * kWorkers * kTasksOfWorker * kMeanSpeed);
  }

  void Run()
  {
    double arrival = 0;
    while (Elapsed() < kDurationMs) {
      arrival += std::exponential_distribution<double>(1 / mMeanGapMs)(mRandom);
      const auto at = mBegin + milliseconds(std::llround(arrival));
      while (!mEnds.empty() && mEnds.top().mAt <= at) {
        mPool.mNow = std::max(mPool.mNow, mEnds.top().mAt);
        EndRun(mEnds.top());
        mEnds.pop();
        Schedule();
      }
      mPool.mNow = std::max(mPool.mNow, at);
      Arrive();
      Schedule();
    }
  }

  struct Totals
  {
    double mInTime = 0;
    double mJobs = 0;
  };
  std::array<Totals, 3> mTotals;
  std::uint64_t WaitsBegun() const { return mWaits.Counters().mBegun; }

private:
  struct Job
  {
    DispatchJob mJob;
    std::size_t mQueue = 0;
    double mNominalMs = 0;
    Clock::Monotonic mObjective{};
    std::uint32_t mStarted = 0;
    std::uint32_t mEnded = 0;
    bool mCounts = false;
  };
  struct End
  {
    Clock::Monotonic mAt{};
    Clock::Monotonic mStartedAt{};
    std::string mWorker;
    TaskId mTask;
    std::shared_ptr<Job> mJob;
    bool operator<(const End& aOther) const { return mAt > aOther.mAt; }
  };

  std::int64_t Elapsed() const
  {
    return std::chrono::duration_cast<milliseconds>(mPool.mNow - mBegin)
      .count();
  }
  double Uniform(double aLow, double aHigh)
  {
    return std::uniform_real_distribution<double>(aLow, aHigh)(mRandom);
  }

  void Arrive()
  {
    auto job = std::make_shared<Job>();
    job->mQueue = mRandom() % 3;
    const bool isInTail = Uniform(0, 1) < 0.03;
    job->mNominalMs = SpeedFixture::kNominalMs[job->mQueue] *
                      Uniform(0.6, 1.4) * (isInTail ? 7 : 1);
    const double estimate =
      std::max(1.0, job->mNominalMs * std::exp(Uniform(-0.336, 0.336)));
    DispatchJob& inner = job->mJob;
    inner.mQueue = mPool.mQueues[job->mQueue];
    inner.mArrivalNumber = ++mArrivals;
    inner.mArrivedAt = mPool.mNow;
    inner.mDueAt = mPool.mNow + milliseconds(std::llround(estimate * 1.6 + 60));
    inner.mWaitLimit = mPool.mNow + (inner.mDueAt - mPool.mNow) / kWaitShare;
    job->mObjective =
      mPool.mNow + milliseconds(std::llround(job->mNominalMs * 1.6 + 60));
    job->mCounts = Elapsed() > kWarmUpMs;
    StepSpec step;
    step.mCount = kTasks[job->mQueue];
    step.mNeeds = { 13'000 + static_cast<std::uint32_t>(mRandom() % 5) * 1000,
                    64,
                    0 };
    step.mEstimateMs = static_cast<std::uint32_t>(std::llround(estimate));
    inner.mSubmission.mId = std::to_string(mArrivals);
    inner.mSubmission.mSteps.push_back(step);
    inner.mSteps.emplace_back(step.mCount);
    inner.mReadyTaskCount = step.mCount;
    mTotals[job->mQueue].mJobs += job->mCounts ? 1 : 0;
    mWaiting.emplace(SchedulingKeyOf(inner), job);
  }

  WorkerSession* Choose(DispatchJob& aJob, const TaskId& aTask)
  {
    const auto due = aJob.mDueAt;
    if (mPolicy == Policy::FastestFirst) {
      // A job that is late tries the fastest tier first.
      aJob.mDueAt = mPool.mNow;
    }
    WorkerSession* worker =
      mPool.mIndex.Choose(aJob, aTask, mPool.mNow, mWindows);
    aJob.mDueAt = due;
    return worker;
  }

  void Schedule()
  {
    mWaits.BeginPass();
    std::size_t unplaced = 0;
    for (auto entry = mWaiting.begin();
         entry != mWaiting.end() && unplaced < kMaxUnplaced;) {
      Job& job = *entry->second;
      const bool isRefused =
        job.mStarted == 0 && mPool.mNow > *job.mJob.mWaitLimit;
      const std::uint32_t before = job.mStarted;
      if (!isRefused) {
        Place(entry->second);
      }
      unplaced = job.mStarted > before ? 0 : unplaced + 1;
      const bool isDone = isRefused || job.mJob.mReadyTaskCount == 0;
      entry = isDone ? mWaiting.erase(entry) : std::next(entry);
    }
  }

  void Place(const std::shared_ptr<Job>& aJob)
  {
    DispatchJob& job = aJob->mJob;
    while (job.mReadyTaskCount > 0) {
      const TaskId task{ job.mSubmission.mId, 0, 0, aJob->mStarted };
      WorkerSession* worker = Choose(job, task);
      if (worker == nullptr ||
          (mUsesWaits && mWaits.MustWait(job, task, *worker, mPool.mNow))) {
        return;
      }
      TrackedRun run;
      run.mNeeds = job.Step(task).mNeeds;
      worker->Add(task, run);
      ++aJob->mStarted;
      --job.mReadyTaskCount;
      const std::string& id = worker->Report().mBoot.mId;
      const double time =
        aJob->mNominalMs * mPool.mFactors[id] * Uniform(0.95, 1.05) + 6;
      mEnds.push({ mPool.mNow + milliseconds(std::llround(time)),
                   mPool.mNow,
                   id,
                   task,
                   aJob });
    }
  }

  void EndRun(const End& aEnd)
  {
    WorkerSession& worker = mPool.mWorkers.at(aEnd.mWorker);
    worker.Remove(aEnd.mTask);
    mPool.mModel.OnEnd(worker, mPool.mNow);
    const auto time =
      std::chrono::duration_cast<milliseconds>(aEnd.mAt - aEnd.mStartedAt);
    if (mPolicy != Policy::BestFit &&
        mPool.mModel.Learn(worker, WorkOf(aEnd.mJob->mJob, aEnd.mTask), time)) {
      mPool.mIndex.OnRoomChanged(worker);
    }
    Job& job = *aEnd.mJob;
    const bool isInTime = ++job.mEnded == kTasks[job.mQueue] &&
                          mPool.mNow <= job.mObjective && job.mCounts;
    mTotals[job.mQueue].mInTime += isInTime ? 1 : 0;
  }

  std::mt19937_64 mRandom;
  SpeedFixture mPool;
  testing::ManualClock mClock;
  struct : LogSink
  {
    std::size_t Write(std::string_view aBytes) override
    {
      return aBytes.size();
    }
  } mSink;
  EventLog mLog;
  PlacementWaits mWaits;
  StartWindows mWindows;
  const Policy mPolicy;
  const bool mUsesWaits;
  Clock::Monotonic mBegin{};
  double mMeanGapMs = 0;
  std::uint64_t mArrivals = 0;
  std::multimap<SchedulingKey, std::shared_ptr<Job>> mWaiting;
  std::priority_queue<End> mEnds;
};

struct Row
{
  const char* mName;
  Policy mPolicy;
  bool mWaits;
};

constexpr Row kRows[] = {
  { "best fit", Policy::BestFit, false },
  { "slowest in time", Policy::SlowestInTime, false },
  { "slowest in time, waits", Policy::SlowestInTime, true },
  { "fastest first", Policy::FastestFirst, false },
  { "fastest first, waits", Policy::FastestFirst, true },
};

}

int
main()
{
  for (const double load : { 0.4, 0.6, 0.8, 1.0, 1.3 }) {
    for (const Row& row : kRows) {
      std::array<Simulation::Totals, 3> totals;
      std::uint64_t waits = 0;
      for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        Simulation simulation(seed, load, row.mPolicy, row.mWaits);
        simulation.Run();
        waits += simulation.WaitsBegun();
        for (std::size_t i = 0; i < totals.size(); ++i) {
          totals[i].mInTime += simulation.mTotals[i].mInTime;
          totals[i].mJobs += simulation.mTotals[i].mJobs;
        }
      }
      double inTime = 0;
      double jobs = 0;
      std::printf("| %.1f | %s ", load, row.mName);
      for (const Simulation::Totals& queue : totals) {
        inTime += queue.mInTime;
        jobs += queue.mJobs;
        std::printf("| %.3f ", queue.mInTime / queue.mJobs);
      }
      std::printf("| %.3f | %llu |\n",
                  inTime / jobs,
                  static_cast<unsigned long long>(waits));
    }
  }
  return 0;
}

#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "Dispatch/RunTimeModel.h"
#include "Dispatch/WorkerIndex.h"

namespace almondspoke::testing {

/** \brief A pool of workers of two kinds, whose run times vary like those of
 * real tasks, and what is learned from them. */
class SpeedFixture
{
public:
  using Milliseconds = std::chrono::milliseconds;

  explicit SpeedFixture(std::uint64_t aSeed, bool aHasModel = true)
    : mRandom(aSeed)
    , mIndex(aHasModel ? &mModel : nullptr)
  {
    for (const std::uint32_t priority : { 0U, 1U, 2U }) {
      dispatch::Queue queue;
      queue.mName = "queue-" + std::to_string(priority);
      queue.mPool = "pool";
      queue.mPriority = priority;
      queue.mSlackFactor = 1.6;
      queue.mLatencyTargetMs = 60;
      mQueues.push_back(queue);
    }
  }

  /** Adds a worker with a label of its kind and one of its rack. */
  dispatch::WorkerSession& Add(const std::string& aKind,
                               double aFactor,
                               std::uint32_t aMilliCores = 32'000)
  {
    dispatch::WorkerReport report;
    const std::string id = "w" + std::to_string(++mNumber);
    report.mBoot = { id, 1 };
    report.mPool = "pool";
    report.mCapacity = { aMilliCores, 64'000, 0 };
    report.mLabels = { aKind, "r1-" + std::to_string(mNumber % 7) };
    dispatch::WorkerSession& worker =
      mWorkers
        .emplace(
          id,
          dispatch::WorkerSession(mNumber, report, mNow, Milliseconds(1000)))
        .first->second;
    worker.mRegistered = true;
    worker.mFenceAccepted = true;
    mIndex.Add(worker);
    mFactors[id] = aFactor;
    return worker;
  }

  dispatch::RunTimeModel::Work WorkOf(std::size_t aQueue) const
  {
    return { mQueues[aQueue], 0, kNominalMs[aQueue] };
  }

  /** Returns a run time with spread and tail. */
  Milliseconds RunTime(std::size_t aQueue, double aFactor)
  {
    const double spread = std::normal_distribution<double>(0, 0.4)(mRandom);
    const bool isInTail =
      std::uniform_real_distribution<double>(0, 1)(mRandom) < 0.03;
    return Milliseconds(std::llround(kNominalMs[aQueue] * aFactor *
                                     std::exp(spread) * (isInTail ? 7 : 1)));
  }

  /** Ends runs of all queues at a worker. */
  void EndRuns(dispatch::WorkerSession& aWorker, int aRuns)
  {
    for (int i = 0; i < aRuns; ++i) {
      const std::size_t queue = std::uniform_int_distribution<std::size_t>(
        0, mQueues.size() - 1)(mRandom);
      Learn(
        aWorker, queue, RunTime(queue, mFactors[aWorker.Report().mBoot.mId]));
    }
  }
  void EndRunsOfAll(int aRuns)
  {
    for (int i = 0; i < aRuns; ++i) {
      for (auto& [id, worker] : mWorkers) {
        EndRuns(worker, 1);
      }
    }
  }
  void Learn(dispatch::WorkerSession& aWorker,
             std::size_t aQueue,
             Milliseconds aRunTime)
  {
    if (mModel.Learn(aWorker, WorkOf(aQueue), aRunTime)) {
      mIndex.OnRoomChanged(aWorker);
      ++mTierChanges;
    }
  }

  static constexpr std::uint32_t kNominalMs[] = { 51, 170, 760 };

  Clock::Monotonic mNow{ std::chrono::hours(1) };
  std::mt19937_64 mRandom;
  std::vector<dispatch::Queue> mQueues;
  dispatch::WorkerSessions mWorkers;
  std::map<std::string, double> mFactors;
  dispatch::RunTimeModel mModel;
  dispatch::WorkerIndex mIndex;
  std::uint64_t mNumber = 0;
  int mTierChanges = 0;
};

}

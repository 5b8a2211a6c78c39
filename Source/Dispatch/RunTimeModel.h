#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Dispatch/DispatchJob.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerSession.h"
#include "Dispatch/WorkerSpeed.h"

namespace almondspoke::dispatch {

/** \brief Learns how long tasks run, by queue and step and by worker.
 *
 * A run time is taken as the declared estimate times a factor of the queue and
 * step times a factor of the worker. Both are kept as logarithms. Each run
 * moves them by a part of its residual, which is bounded, so that a run many
 * times as long as others counts like one about twice as long.
 *
 * The factor of a worker is that of the workers with the same pool and labels
 * plus a deviation, which fades with each run: differences within a kind are
 * mostly temporary. Only the product of both factors can be observed; factors
 * of workers are therefore given relative to the mean of their pool. */
class RunTimeModel
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /** \brief Which task was run. */
  struct Work
  {
    const Queue& mQueue;
    std::uint32_t mStep;
    std::uint32_t mEstimateMs;
    /** Rack on which the task runs faster; null or empty for none. */
    const std::string* mDataRack = nullptr;
  };

  /** \param aSpreadFactor run time of a task off the rack of its data, relative
   * to that on it */
  explicit RunTimeModel(double aSpreadFactor = 1.0);

  /** Adds a worker, with the factor of its kind unless it has an own one. It
   * must be removed before its session ends and before its pool or its labels
   * change. */
  void Add(WorkerSession& aWorker);
  void Remove(WorkerSession& aWorker);
  void Clear();

  /** Learns from a run that ended well, or that has taken so long already that
   * its residual is at the bound.
   * \return true if the tier of the worker has changed */
  bool Learn(WorkerSession& aWorker, const Work& aWork, Milliseconds aRunTime);
  /** Returns whether a run has taken so long that Learn() can be called before
   * its end. */
  bool IsAtBound(const WorkerSession& aWorker,
                 const Work& aWork,
                 Milliseconds aRunTime) const;

  /** Records that a run has ended at a worker. */
  void OnEnd(const WorkerSession& aWorker, Clock::Monotonic aNow);
  /** Returns how often runs end at a rack whose label tasks have named; null if
   * that is not known. */
  const EndRate* EndsAtRack(const PoolName& aPool, const std::string& aRack);
  bool HasSpreadFactor() const { return mLogSpreadFactor > 0; }
  /** Returns whether a worker is not on the rack of the data of a task. */
  static bool IsOffRack(const WorkerSession& aWorker, const Work& aWork);
  /** Returns the expected run time at a worker of a speed on the rack of the
   * data. */
  Milliseconds ExpectedOnRack(const WorkerSession& aWorker,
                              const Work& aWork) const;

  /** Returns the factor of a worker; 1 is the mean of its pool. */
  static double FactorOf(const WorkerSession& aWorker);
  /** Returns the expected run time at a worker. */
  Milliseconds ExpectedAt(const WorkerSession& aWorker,
                          const Work& aWork) const;
  /** Returns the expected run times at the workers of a pool by tier, the
   * fastest tier first; zero for tiers without workers. */
  std::array<Milliseconds, kSpeedTiers> ExpectedByTier(const PoolSpeed& aPool,
                                                       const Work& aWork) const;

  /** Returns whether the workers of the pool of a worker are in several tiers.
   */
  static bool HasTiers(const WorkerSession& aWorker);
  /** Returns whether the run times of a queue and step have been learned. */
  bool IsKnown(const Work& aWork) const;
  /** Returns the expected run time at the fastest workers of a pool. */
  Milliseconds ExpectedAtFastest(const WorkerSession& aWorkerOfPool,
                                 const Work& aWork) const;

  /** Returns the share of the stopped runs of a queue and step whose task ran
   * as expected at the next start. */
  double ShareOfGains(const Work& aWork) const;
  /** Records whether the task of a stopped run ran as expected at the next
   * start. */
  void LearnStop(const Work& aWork, bool aHasGained);
  /** Records that a slow run was not stopped, since the share is too low. The
   * share rises a little, so that a stop is tried again now and then. */
  void LearnNoStop(const Work& aWork);

  /** Returns the speeds of a pool, or null if it has no worker. */
  const PoolSpeed* FindPool(const PoolName& aPool) const;
  /** Returns the number of workers of all pools in a tier. */
  std::size_t WorkersIn(SpeedTier aTier) const;

private:
  struct QueueSpeed
  {
    std::uint32_t mRuns = 0;
    double mLogFactor = 0;
    double mShareOfGains = 1;
  };

  static void MoveKind(KindSpeed& aKind, double aBy);
  static bool UpdateTier(WorkerSession& aWorker);
  const QueueSpeed* Find(const Work& aWork) const;
  QueueSpeed* Find(const Work& aWork);
  double LogFactorOf(const Work& aWork, const PoolSpeed& aPool) const;
  double Residual(const WorkerSession& aWorker,
                  const Work& aWork,
                  double aLogFactorOfWork,
                  Milliseconds aRunTime) const;
  QueueSpeed& SpeedOf(const Work& aWork, const PoolSpeed& aPool);

  const double mLogSpreadFactor;
  std::unordered_map<PoolName, PoolSpeed> mPools;
  /** By pool and labels. */
  std::unordered_map<std::string, KindSpeed> mKinds;
  /** By queue; the steps of a queue by their index. */
  std::unordered_map<QueueName, std::vector<QueueSpeed>> mQueues;
  /** By pool and label. */
  std::map<std::pair<PoolName, std::string>, EndRate> mRacks;
};

/** Returns which task is run. */
inline RunTimeModel::Work
WorkOf(const DispatchJob& aJob, const TaskId& aTask)
{
  const StepSpec& step = aJob.Step(aTask);
  return { aJob.mQueue, aTask.mStep, step.mEstimateMs, &step.mDataRack };
}

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "Dispatch/DispatchJob.h"
#include "Dispatch/Evacuations.h"
#include "Dispatch/LargestCapacity.h"
#include "Dispatch/RunTimeModel.h"
#include "Dispatch/StartWindow.h"
#include "Dispatch/TierOrder.h"
#include "Dispatch/WorkerSession.h"

namespace almondspoke::dispatch {

/** \brief Finds the worker for a task without a walk over all workers.
 *
 * Uses best fit: chooses the worker that will have the least CPU left, so that
 * free workers remain available for tasks that need half a worker or more.
 * Workers that are warming up come last, workers near the data of the task
 * first, and a worker on which an earlier run of the task did not succeed is
 * chosen only if there is no other.
 *
 * With a RunTimeModel, a task looks for a place in one tier of speed after the
 * other, in the order of TierOrder. Where all workers are in one tier, the
 * choices are those without a model.
 *
 * The workers of a pool are listed by data centre, so that those of one to
 * which no further order may be given cost nothing, and there in the order of
 * their tier and free CPU. A worker
 * that a search finds unable to take any run, for example since it drains, is
 * set aside until its free resources change, Readmit() or ReadmitAll(). */
class WorkerIndex : public RoomListener
{
public:
  using TimePoint = Clock::Monotonic;

  /** \param aModel learns the speed of the workers that are listed here; null
   * for none */
  explicit WorkerIndex(RunTimeModel* aModel = nullptr)
    : mModel(aModel)
  {
  }

  /** Lists a worker; it must be removed before its session ends, and before a
   * change of what AffectsOrder() compares. */
  void Add(WorkerSession& aWorker);
  void Remove(WorkerSession& aWorker);
  void Clear();

  /** Sets the data centres whose workers are not chosen. The workers of those
   * that differ from the former ones must have been removed. */
  void SetEvacuated(DataCentreNames aNames) { mEvacuated = std::move(aNames); }

  void OnRoomChanged(WorkerSession& aWorker) override;

  /** Lists a worker again that was set aside. */
  void Readmit(WorkerSession& aWorker);
  /** Lists the workers again that can take runs. */
  void ReadmitAll(TimePoint aNow);

  /** Returns the best worker for a task of a job, or null.
   * \param aWindows tell to which data centres an order may be given */
  WorkerSession* Choose(const DispatchJob& aJob,
                        const TaskId& aTask,
                        TimePoint aNow,
                        const StartWindows& aWindows);

  /** Returns whether a task needs more than any worker of a pool outside the
   * evacuated data centres has, busy or not; false if there are none. */
  bool IsTooLarge(const PoolName& aPool, const Resources& aNeeds) const;
  /** Returns a number that changes whenever IsTooLarge() may have changed. */
  std::uint64_t CapacityVersion() const { return mCapacityVersion; }

  /** Returns whether a worker's place in the lists depends on what differs
   * between two of its reports. */
  static bool AffectsOrder(const WorkerReport& aKnown,
                           const WorkerReport& aNew);

private:
  using Position = WorkerSession::IndexPosition;
  struct Order
  {
    bool operator()(const Position& aLeft, const Position& aRight) const
    {
      return std::tie(aLeft.mTier,
                      aLeft.mIsCold,
                      aLeft.mFreeMilliCores,
                      aLeft.mNumber) < std::tie(aRight.mTier,
                                                aRight.mIsCold,
                                                aRight.mFreeMilliCores,
                                                aRight.mNumber);
    }
  };
  using Listing = std::map<Position, WorkerSession*, Order>;
  using DataCentreListings = std::map<std::string, Listing>;

  /** \brief The workers of a pool: all, and those with a label. The listing of
   * a label is created by the first search for it. */
  struct PoolListings
  {
    DataCentreListings mAll;
    std::unordered_map<std::string, DataCentreListings> mByLabel;
    std::unordered_map<std::string, std::size_t> mLabelCounts;
    LargestCapacity mCapacity;
  };

  /** \brief A search for the worker of one task. */
  struct Search
  {
    const DispatchJob& mJob;
    const TaskId& mTask;
    TimePoint mNow;
    const StartWindows& mWindows;
    SpeedTier mTier = 0;
    /** Best worker among those on which the task did not succeed before. */
    WorkerSession* mAvoided = nullptr;
  };
  /** \brief The best worker of a listing, and the best one of those on which
   * the task did not succeed before. */
  struct Found
  {
    WorkerSession* mBest = nullptr;
    WorkerSession* mAvoided = nullptr;
  };

  static bool CanTakeRuns(const WorkerSession& aWorker, TimePoint aNow);
  void List(WorkerSession& aWorker);
  void Unlist(WorkerSession& aWorker);
  static void Unlist(const WorkerSession& aWorker,
                     DataCentreListings& aListings);
  void SetAside(WorkerSession& aWorker);
  /** Returns the workers of a pool that have a label, or null if none has. */
  static DataCentreListings* WithLabel(PoolListings& aPool,
                                       const std::string& aLabel);
  /** Returns the better one of two workers, either of which may be null. */
  static WorkerSession* BetterOf(WorkerSession* aLeft, WorkerSession* aRight);
  /** Returns the tiers of a pool in the order in which a task tries them. */
  TierOrder TiersFor(const DispatchJob& aJob,
                     const TaskId& aTask,
                     TimePoint aNow) const;
  WorkerSession* FindIn(DataCentreListings& aListings,
                        bool aIsCold,
                        Search& aSearch);
  /** Tiers that are tried one after the other. */
  using TierRange = std::pair<const SpeedTier*, const SpeedTier*>;
  WorkerSession* FindIn(DataCentreListings& aListings,
                        const TierRange& aTiers,
                        Search& aSearch);
  Found FindIn(Listing& aListing, bool aIsCold, const Search& aSearch);

  bool IsEvacuated(const std::string& aDataCentre) const
  {
    return !mEvacuated.empty() && mEvacuated.count(aDataCentre) != 0;
  }

  DataCentreNames mEvacuated;
  RunTimeModel* mModel;
  std::map<PoolName, PoolListings> mPools;
  /** Workers that cannot take runs, by number. */
  std::map<std::uint64_t, WorkerSession*> mAside;
  std::uint64_t mCapacityVersion = 0;
};

}

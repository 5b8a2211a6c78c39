#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "Jobs/Job.h"

namespace almondspoke::detail {

using JobPointer = std::shared_ptr<Job>;

/** \brief Result of an attempt to place one task of a job. */
struct PlaceResult
{
  bool mIsPlaced = false;
  /** The limit of a kind or team that prevents the placement even if a worker
   * has room. */
  std::optional<ShareLimitScope> mHeldBackBy;
};

/** \brief Queue of the jobs that have tasks to place, in fair order.
 *
 * More urgent jobs come first. Jobs of equal urgency are ordered by fair
 * queueing: a job starts at the current virtual time of its urgency and
 * advances by one with each task placed, while the virtual time advances by one
 * for each round over all jobs. A large job neither blocks small ones nor
 * starves behind a stream of them. A job that a limit of its kind or team holds
 * back is parked under the scope of that limit and is not visited while other
 * jobs are placed. Not thread-safe. */
class JobQueue
{
public:
  void Add(const JobPointer& aJob);
  void Remove(const JobPointer& aJob);

  bool Contains(const JobPointer& aJob) const;
  std::size_t Size() const { return mBySubmission.size() + mParkedCount; }
  /** Number of jobs that a limit of their kind or team holds back. */
  std::size_t ParkedCount() const { return mParkedCount; }

  /** Unparks the first job of every scope, or only of aScope. */
  void UnparkFirst();
  void UnparkFirst(const ShareLimitScope& aScope);
  void UnparkAll();

  /** Calls aPlace for the jobs in fair order until every job is blocked, parked
   * or has no task left to place. aPlace places at most one task of the job.
   *
   * \param aMaxBlocked number of jobs that find no worker with room after which
   *   the round ends */
  template<typename Place>
  void PlaceRound(std::size_t aMaxBlocked, const Place& aPlace);

  /** Calls aPlace for the tasks of one job until one cannot be placed. */
  template<typename Place>
  void PlaceTasksOf(const JobPointer& aJob, const Place& aPlace);

  /** Returns the job submitted first among the most urgent jobs that are not
   * parked; null if there is none. */
  JobPointer FirstSubmitted() const;

private:
  struct FairOrder
  {
    bool operator()(const JobPointer& aLeft, const JobPointer& aRight) const;
  };

  struct SubmissionOrder
  {
    bool operator()(const JobPointer& aLeft, const JobPointer& aRight) const;
  };

  using ParkedJobs = std::set<JobPointer, FairOrder>;

  void Park(const JobPointer& aJob, const ShareLimitScope& aScope);
  /** Moves the first job of a scope back into the fair order. */
  void Unpark(ParkedJobs& aJobs);

  /** Places one task of a job. The caller has removed the job from
   * mByFairOrder. */
  template<typename Place>
  bool PlaceNextTask(const JobPointer& aJob, const Place& aPlace);

  /** Jobs that are not parked. Sorted by mVirtualTime, so a job must be removed
   * before its mVirtualTime changes. */
  std::set<JobPointer, FairOrder> mByFairOrder;
  /** The same jobs in order of submission. */
  std::set<JobPointer, SubmissionOrder> mBySubmission;
  std::map<ShareLimitScope, ParkedJobs> mParked;
  std::size_t mParkedCount = 0;
  /** Current virtual time by urgency. */
  std::map<int, double> mVirtualTimes;
};

template<typename Place>
bool
JobQueue::PlaceNextTask(const JobPointer& aJob, const Place& aPlace)
{
  const PlaceResult result = aPlace(*aJob);
  if (result.mHeldBackBy) {
    Park(aJob, *result.mHeldBackBy);
  }
  if (!result.mIsPlaced) {
    return false;
  }
  mVirtualTimes[aJob->mUrgency] +=
    1.0 / static_cast<double>(mBySubmission.size());
  aJob->mVirtualTime += 1;
  if (aJob->mWaitingTasks.empty()) {
    mBySubmission.erase(aJob);
  }
  return true;
}

template<typename Place>
void
JobQueue::PlaceRound(std::size_t aMaxBlocked, const Place& aPlace)
{
  std::vector<JobPointer> blocked;
  while (!mByFairOrder.empty() && blocked.size() < aMaxBlocked) {
    const JobPointer job = *mByFairOrder.begin();
    mByFairOrder.erase(mByFairOrder.begin());
    if (!PlaceNextTask(job, aPlace)) {
      if (!job->mParkedBy) {
        blocked.push_back(job);
      }
      continue;
    }
    if (!job->mWaitingTasks.empty()) {
      mByFairOrder.insert(job);
    }
  }
  mByFairOrder.insert(blocked.begin(), blocked.end());
}

template<typename Place>
void
JobQueue::PlaceTasksOf(const JobPointer& aJob, const Place& aPlace)
{
  mByFairOrder.erase(aJob);
  bool placed = true;
  while (placed && !aJob->mWaitingTasks.empty()) {
    placed = PlaceNextTask(aJob, aPlace);
  }
  if (!aJob->mWaitingTasks.empty() && !aJob->mParkedBy) {
    mByFairOrder.insert(aJob);
  }
}

}

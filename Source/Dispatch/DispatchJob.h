#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "Base/Clock.h"
#include "Dispatch/FailedRuns.h"
#include "Dispatch/JobMessages.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerSpeed.h"

namespace almondspoke::dispatch {

/** Identifies a call that waits for a reply. */
using CallId = std::uint64_t;

/** \brief Scheduling state of a task. */
enum class TaskPhase : std::uint8_t
{
  /** Waits for the completion of earlier steps. */
  Blocked,
  Ready,
  /** A run of the task exists, or may exist, on a worker. */
  Assigned,
  /** A run has ended and its end is being stored. */
  Recording,
  Done
};

struct DispatchTask
{
  TaskPhase mPhase = TaskPhase::Blocked;
  /** Number of failed runs. */
  std::uint32_t mFailures = 0;
  RunNumber mLastRun = 0;
  /** Failed runs whose ends are stored, or are being stored. */
  FailedRuns mFailedRuns;
  /** See StoredTask::CountedUpTo(). */
  RunNumber mCountedUpTo = 0;
  /** Number of ends that are being stored. */
  std::uint32_t mEndsBeingStored = 0;
  /** Worker of the current run; empty if there is none. */
  WorkerId mWorker;
  /** Workers on which earlier runs did not succeed. */
  std::vector<WorkerId> mFailedOn;
  std::string mCheckpoint;
  /** Number of runs that were stopped as stragglers. */
  std::uint32_t mStragglerCount = 0;
};

/** \brief What decides which workers may run a job: jobs of different classes
 * wait for different workers. */
struct PlacementClass
{
  PoolName mPool;
  /** Labels that the steps require, sorted. */
  std::vector<std::string> mLabels;
  /** True if a step needs more than any worker of the pool has. */
  bool mIsTooLarge = false;
  /** Step of the size of the largest task (see SizeStepOf), or zero if sizes
   * are not told apart. A task that finds no room says nothing about smaller
   * ones.
   */
  std::uint32_t mSizeStep = 0;

  /** Returns whether the classes differ by nothing but the size. */
  bool IsOfOtherSize(const PlacementClass& aOther) const
  {
    return mIsTooLarge == aOther.mIsTooLarge && mPool == aOther.mPool &&
           mLabels == aOther.mLabels;
  }
  bool operator<(const PlacementClass& aOther) const
  {
    return std::tie(mPool, mLabels, mIsTooLarge, mSizeStep) <
           std::tie(aOther.mPool,
                    aOther.mLabels,
                    aOther.mIsTooLarge,
                    aOther.mSizeStep);
  }
};

/** Returns the step of the size of the largest task of some steps: higher for
 * larger ones, and the same for sizes that differ by an eighth or less. */
std::uint32_t
SizeStepOf(const std::vector<StepSpec>& aSteps);

/** Returns the class of jobs with these steps, all of them small enough. */
PlacementClass
PlacementClassOf(const PoolName& aPool, const std::vector<StepSpec>& aSteps);

/** \brief Since when a job waits for a better place, and for which tier. */
struct PlacementWaitOfJob
{
  Clock::Monotonic mSince{};
  SpeedTier mTier = 0;
};

/** \brief A job known to the leader, with its tasks and waiting calls. */
struct DispatchJob
{
  using TimePoint = Clock::Monotonic;

  JobSubmission mSubmission;
  /** The queue's settings: name, pool and priority by the manifest in force,
   * the others as they were when the job was accepted. */
  Queue mQueue;
  PlacementClass mClass;
  std::uint64_t mArrivalNumber = 0;
  TimePoint mArrivedAt{};
  /** Expected duration of the critical path of steps. */
  std::chrono::milliseconds mExpectedDuration{ 0 };
  /** Time by which the job should end according to its queue's objective. */
  TimePoint mDueAt{};
  JobState mState = JobState::Queued;
  TimePoint mEndedAt{};
  /** True once an order to start a run was given, or a run is known to have
   * begun. */
  bool mStarted = false;
  /** True once a run of the job is known to have begun. */
  bool mHasBegun = false;
  /** True if the job is stored and therefore survives a change of leader. */
  bool mIsStored = false;
  /** True once the acceptance of a stored job has been committed. */
  bool mAcceptCommitted = false;
  /** True if an earlier leader may have started tasks of the job. Such a job is
   * never refused, since a refusal guarantees that it did not run. */
  bool mMayHaveRun = false;
  /** Time up to which a caller waits for the answer; unset if it is not known.
   */
  std::optional<TimePoint> mAnswerBy;
  /** Time that the orders of the job are expected to take, as of its arrival.
   */
  std::chrono::milliseconds mOrderTime{ 0 };
  /** True if the job can no longer end in time. It is scheduled after all that
   * can. */
  bool mIsLate = false;
  /** True if no further tasks of the job are started, for example because its
   * caller has disconnected. */
  bool mAbandoned = false;
  /** True once a call has requested the job's cancellation. */
  bool mCancelRequested = false;
  /** False for a job of which this leader has seen nothing but a cancellation:
   * its submission may still come, for example by a gateway that was frozen. */
  bool mIsHandedIn = true;
  std::vector<std::vector<DispatchTask>> mSteps;
  /** Number of unfinished tasks of each step. */
  std::vector<std::uint32_t> mUnfinishedTasks;
  /** Calls that wait for a reply, each with the time up to which its caller
   * waits. */
  std::map<CallId, TimePoint> mWaitingCalls;
  std::size_t mReadyTaskCount = 0;
  std::size_t mAssignedTaskCount = 0;
  /** Duration of the longest successful run of each step, or zero. */
  std::vector<std::chrono::milliseconds> mLongestRunDurations;
  /** Set while the job waits although a worker was found. */
  std::optional<PlacementWaitOfJob> mPlacementWait;
  /** Work that the ReadyQueue has counted for the job. */
  std::uint64_t mCountedWork = 0;
  /** Time up to which the job may wait in the ReadyQueue. */
  std::optional<TimePoint> mWaitLimit;

  bool HasEnded() const
  {
    return mState == JobState::Completed || mState == JobState::Failed ||
           mState == JobState::Cancelled;
  }
  DispatchTask* Task(const TaskId& aId)
  {
    const bool exists = aId.mOccurrence == 0 && aId.mStep < mSteps.size() &&
                        aId.mIndex < mSteps[aId.mStep].size();
    return exists ? &mSteps[aId.mStep][aId.mIndex] : nullptr;
  }
  const StepSpec& Step(const TaskId& aId) const
  {
    return mSubmission.mSteps[aId.mStep];
  }
  /** Returns the number of callers that still wait for a reply. */
  std::size_t WaitersAt(TimePoint aNow) const;
  /** Returns whether a refusal, which says that the job did not run, would be
   * true. */
  bool MayBeRefused() const { return !mStarted && !mMayHaveRun; }
  /** Returns the work that has not started, in thousandths of a
   * core-millisecond. */
  std::uint64_t WaitingWork() const;
};

/** Returns the longest chain of estimates of the steps that depend on a step.
 */
std::chrono::milliseconds
LongestPathAfter(const JobSubmission& aJob, std::uint32_t aStep);

/** \brief Sort key of the scheduler: jobs that can be in time before those that
 * cannot, priority, then the due time of the job, then its arrival. */
struct SchedulingKey
{
  bool mIsLate = false;
  std::uint32_t mPriority = 0;
  Clock::Monotonic mDueAt{};
  std::uint64_t mArrivalNumber = 0;

  bool operator<(const SchedulingKey& aOther) const
  {
    return std::tie(mIsLate, mPriority, mDueAt, mArrivalNumber) <
           std::tie(aOther.mIsLate,
                    aOther.mPriority,
                    aOther.mDueAt,
                    aOther.mArrivalNumber);
  }
};

inline SchedulingKey
SchedulingKeyOf(const DispatchJob& aJob)
{
  return {
    aJob.mIsLate, aJob.mQueue.mPriority, aJob.mDueAt, aJob.mArrivalNumber
  };
}

}

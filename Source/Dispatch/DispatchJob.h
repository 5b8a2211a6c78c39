#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "Base/Clock.h"
#include "Dispatch/JobMessages.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** Number of one call that waits for a reply. */
using CallId = std::uint64_t;

/** \brief Where a task stands. */
enum class TaskPhase : std::uint8_t
{
  /** An earlier step is not done. */
  Blocked,
  Ready,
  /** A run of it is, or may be, on a worker. */
  Assigned,
  /** A run has ended, and that is being stored. */
  Recording,
  Done
};

/** \brief One task of a job. */
struct DispatchTask
{
  TaskPhase mPhase = TaskPhase::Blocked;
  /** Runs that ended as failed. */
  std::uint32_t mFailures = 0;
  RunNumber mLastRun = 0;
  /** Worker of the present run. */
  WorkerId mWorker;
  /** Workers that earlier runs ended badly on. */
  std::vector<WorkerId> mAvoided;
  std::string mCheckpoint;
  /** Runs that were stopped because they were far too slow. */
  std::uint32_t mSlowRuns = 0;
};

/** \brief One job that the leader knows, with its tasks and the calls that wait
 * for its end. */
struct DispatchJob
{
  using TimePoint = Clock::Monotonic;

  JobSubmission mSubmission;
  /** The queue as it was when the job came in. */
  Queue mQueue;
  std::uint64_t mOrder = 0;
  TimePoint mArrived{};
  /** Expected duration of the longest chain of steps. */
  std::chrono::milliseconds mExpected{ 0 };
  /** Time until which the job is on time. */
  TimePoint mObjective{};
  JobState mState = JobState::Queued;
  TimePoint mEnded{};
  bool mStarted = false;
  /** True for a job that is stored, and is carried out whatever happens. */
  bool mStored = false;
  /** True once the acceptance of a stored job is certain. */
  bool mRecorded = false;
  /** True if an earlier leader may have started tasks of it: it is never said
   * to be not run. */
  bool mMayHaveRun = false;
  /** Its caller has left for good: what has not started, does not start. */
  bool mAbandoned = false;
  std::vector<std::vector<DispatchTask>> mSteps;
  std::vector<std::uint32_t> mOpenTasks;
  std::set<CallId> mWaiters;
  std::size_t mReadyTasks = 0;
  std::size_t mAssignedTasks = 0;
  /** Longest run of each step that has ended well; zero before the first. */
  std::vector<std::chrono::milliseconds> mLongestRuns;

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
  /** Work that has not begun, in core-milliseconds. */
  double WaitingWork() const;
};

/** \brief Order in which jobs get room: the most urgent priority first, within
 * it by the end of the time in which the job is on time. */
struct JobOrder
{
  std::uint32_t mPriority = 0;
  Clock::Monotonic mObjective{};
  std::uint64_t mOrder = 0;

  bool operator<(const JobOrder& aOther) const
  {
    return std::tie(mPriority, mObjective, mOrder) <
           std::tie(aOther.mPriority, aOther.mObjective, aOther.mOrder);
  }
};

inline JobOrder
OrderOf(const DispatchJob& aJob)
{
  return { aJob.mQueue.mPriority, aJob.mObjective, aJob.mOrder };
}

}

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
  std::vector<WorkerId> mFailedOn;
  std::string mCheckpoint;
  /** Runs that were stopped because they were far too slow. */
  std::uint32_t mStragglerCount = 0;
};

/** \brief One job that the leader knows, with its tasks and the calls that wait
 * for its end. */
struct DispatchJob
{
  using TimePoint = Clock::Monotonic;

  JobSubmission mSubmission;
  /** The queue as it was when the job came in. */
  Queue mQueue;
  std::uint64_t mArrivalNumber = 0;
  TimePoint mArrivedAt{};
  /** Expected duration of the longest chain of steps. */
  std::chrono::milliseconds mExpectedDuration{ 0 };
  /** Time until which the job is on time. */
  TimePoint mDueAt{};
  JobState mState = JobState::Queued;
  TimePoint mEndedAt{};
  bool mStarted = false;
  /** True for a job that is stored, and is carried out whatever happens. */
  bool mIsStored = false;
  /** True once the acceptance of a stored job is certain. */
  bool mAcceptCommitted = false;
  /** True if an earlier leader may have started tasks of it: it is never said
   * to be not run. */
  bool mMayHaveRun = false;
  /** Its caller has left for good: what has not started, does not start. */
  bool mAbandoned = false;
  std::vector<std::vector<DispatchTask>> mSteps;
  std::vector<std::uint32_t> mUnfinishedTasks;
  std::set<CallId> mWaitingCalls;
  std::size_t mReadyTaskCount = 0;
  std::size_t mAssignedTaskCount = 0;
  /** Longest run of each step that has ended well; zero before the first. */
  std::vector<std::chrono::milliseconds> mLongestRunDurations;

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
  double WaitingCoreMs() const;
};

/** \brief Order in which jobs get room: the most urgent priority first, within
 * it by the end of the time in which the job is on time. */
struct SchedulingKey
{
  std::uint32_t mPriority = 0;
  Clock::Monotonic mDueAt{};
  std::uint64_t mArrivalNumber = 0;

  bool operator<(const SchedulingKey& aOther) const
  {
    return std::tie(mPriority, mDueAt, mArrivalNumber) <
           std::tie(aOther.mPriority, aOther.mDueAt, aOther.mArrivalNumber);
  }
};

inline SchedulingKey
SchedulingKeyOf(const DispatchJob& aJob)
{
  return { aJob.mQueue.mPriority, aJob.mDueAt, aJob.mArrivalNumber };
}

}

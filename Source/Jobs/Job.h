#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Jobs/ClaimService.h"
#include "Jobs/JobAnswer.h"
#include "Jobs/JobRequest.h"
#include "Jobs/JobShares.h"

namespace almondspoke::detail {

using JobDone = std::function<void(JobAnswer)>;

/** \brief A caller that waits for a job to end, at most until mDeadline. */
struct JobWaiter
{
  Clock::Monotonic mDeadline;
  JobDone mDone;
};

/** \brief Placement state and result of one task of a job. */
struct JobTask
{
  enum class State
  {
    Waiting,
    /** Placed at mWorker; passed to the TaskSender or queued to be. */
    Sent,
    Done
  };

  State mState = State::Waiting;
  EndpointName mWorker;
  /** Resources allocated for the task at mWorker. */
  Resources mAllocated;
  /** Pool of the team slot that the task holds; null if the team has no
   * quota. */
  std::shared_ptr<SlotPool> mTeamPool;
  /** Workers that refused the task and are not tried for it again yet. */
  std::set<EndpointName> mRefusedBy;
  std::uint32_t mRefusalCount = 0;
  Clock::Monotonic mFirstRefusedAt{};
  Clock::Monotonic mLastRefusedAt{};
  /** The task is not placed before this time. */
  Clock::Monotonic mNotBefore{};
  std::int64_t mSentAtMs = 0;
  TaskResult mResult;
};

/** \brief A job whose key this instance has claimed and that it executes. */
struct Job
{
  ClaimTicket mTicket;
  std::uint64_t mBodyHash = 0;
  JobRequest mRequest;
  /** Lower is more urgent. */
  int mUrgency = 0;
  /** Order of submission at this instance. */
  std::uint64_t mSequence = 0;
  /** Position in the fair order of JobQueue. */
  double mVirtualTime = 0;
  Clock::Monotonic mSubmittedAt;
  Clock::Monotonic mDeadline;
  std::vector<JobTask> mTasks;
  /** Indexes of the tasks that are not placed; the last element is placed
   * next. */
  std::vector<std::uint32_t> mWaitingTasks;
  /** Limit that keeps the job parked in JobQueue, if any. */
  std::optional<ShareLimitScope> mParkedBy;
  /** Limit in the job's most recent "hold" decision, so that the decision is
   * not recorded again for each attempt. */
  std::optional<ShareLimit> mLoggedLimit;
  /** Number of placed tasks by rack. */
  std::unordered_map<std::string, std::uint32_t> mRackCounts;
  std::uint32_t mSentCount = 0;
  std::uint32_t mDoneCount = 0;
  std::size_t mResultBytes = 0;
  /** Tasks that may have started: sent, and not reported as refused or unsent.
   */
  std::uint32_t mStartedCount = 0;
  /** Set once mAnswer is final. */
  bool mFinished = false;
  JobAnswer mAnswer;
  std::vector<JobWaiter> mWaiters;

  const std::string& Key() const { return mTicket.mKey.Text(); }

  /** Identifies a task at its workers; the same for every attempt. */
  std::string AttemptId(std::uint32_t aIndex) const
  {
    return Key() + "#" + std::to_string(aIndex);
  }

  JobState State() const
  {
    return mSentCount + mDoneCount > 0 ? JobState::Running : JobState::Queued;
  }
};

}

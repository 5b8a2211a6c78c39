#include "Jobs/JobRunner.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

// A job fails once one of its tasks was refused this often.
constexpr std::uint32_t kMaxRefusalsPerTask = 32;

constexpr int kMinServerErrorStatus = 500;
constexpr int kMinRedirectStatus = 300;
constexpr int kMinSuccessStatus = 200;

bool
IsSuccess(int aStatus)
{
  return aStatus >= kMinSuccessStatus && aStatus < kMinRedirectStatus;
}

std::int64_t
Milliseconds(Clock::Monotonic aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

}

void
JobRunner::Send(const JobPointer& aJob, std::uint32_t aIndex)
{
  TaskAttempt attempt;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    detail::JobTask& task = aJob->mTasks[aIndex];
    if (aJob->mFinished) {
      ReleasePlacement(*aJob, aIndex);
      return;
    }
    const Result<StartPermit> permit = mClaims.CheckStart(aJob->mTicket);
    if (!permit) {
      task.mNotBefore = mClock.MonotonicNow() + kRefusalRetryDelay;
      ReleasePlacement(*aJob, aIndex);
      if (mClaims.IsFenced(aJob->mTicket)) {
        Fail(aJob, Error(ErrorKind::ExecutorLost, permit.error().Message()));
        return;
      }
      Requeue(aJob, aIndex);
      return;
    }
    const Clock::Monotonic now = mClock.MonotonicNow();
    attempt.mAttemptId = aJob->AttemptId(aIndex);
    attempt.mWorker = task.mWorker;
    attempt.mAddress = mWorkers.Workers().at(task.mWorker).mAddress;
    attempt.mService = aJob->mRequest.mService;
    attempt.mLeaseId =
      aJob->mTicket.mKey.Home() + "/" + std::to_string(permit.value().mEpoch);
    attempt.mLeaseRemaining = permit.value().mRemaining;
    attempt.mEpoch = permit.value().mEpoch;
    attempt.mTimeout =
      std::max(std::chrono::milliseconds(1),
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 aJob->mDeadline - now));
    attempt.mBody = aJob->mRequest.mTasks[aIndex].mBody;
    task.mSentAtMs = Milliseconds(now);
    ++aJob->mStartedCount;
    ++mCounts.mSent;
    mRunningTasks[task.mWorker][attempt.mAttemptId] = { attempt.mAttemptId,
                                                        aJob->mUrgency,
                                                        task.mSentAtMs };
  }
  // Deferred actions run one at a time, so if the job is cancelled now, the
  // request to stop the task is sent after this start.
  mSender.Start(std::move(attempt), [this, aJob, aIndex](TaskOutcome aOutcome) {
    OnOutcome(aJob, aIndex, std::move(aOutcome));
  });
}

void
JobRunner::ReleasePlacement(Job& aJob, std::uint32_t aIndex)
{
  detail::JobTask& task = aJob.mTasks[aIndex];
  const auto worker = mWorkers.Workers().find(task.mWorker);
  if (worker != mWorkers.Workers().end()) {
    --aJob.mRackCounts[worker->second.mRack];
  }
  mWorkers.Release(task.mWorker, task.mAllocated);
  const ShareDemand demand = DemandOf(aJob.mRequest, task.mAllocated);
  mShares.Release(demand, task.mTeamPool.get());
  task.mTeamPool.reset();
  UnparkScopesOf(demand);
  const auto running = mRunningTasks.find(task.mWorker);
  if (running != mRunningTasks.end()) {
    running->second.erase(aJob.AttemptId(aIndex));
    if (running->second.empty()) {
      mRunningTasks.erase(running);
      mOvercommit.RemoveWorker(task.mWorker);
    }
  }
  --aJob.mSentCount;
  task.mState = detail::JobTask::State::Waiting;
}

void
JobRunner::Requeue(const JobPointer& aJob, std::uint32_t aIndex)
{
  aJob->mWaitingTasks.push_back(aIndex);
  mShares.AddWaitingTasks(aJob->mRequest.mTeam, 1);
  mQueue.Add(aJob);
}

void
JobRunner::OnOutcome(const JobPointer& aJob,
                     std::uint32_t aIndex,
                     TaskOutcome aOutcome)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    detail::JobTask& task = aJob->mTasks[aIndex];
    if (task.mState != detail::JobTask::State::Sent) {
      // Ignore a duplicate outcome of the same attempt.
      return;
    }
    const bool succeeded = aOutcome.mKind == TaskOutcome::Kind::Answered &&
                           aOutcome.mStatus < kMinServerErrorStatus;
    if (!aJob->mFinished || succeeded) {
      mWorkers.RecordResult(task.mWorker, succeeded);
    }
    ReleasePlacement(*aJob, aIndex);
    switch (aOutcome.mKind) {
      case TaskOutcome::Kind::Answered:
        OnAnswered(aJob, aIndex, std::move(aOutcome));
        break;
      case TaskOutcome::Kind::RefusedNotRun:
      case TaskOutcome::Kind::NotSent:
        --aJob->mStartedCount;
        ++mCounts.mRefused;
        if (aOutcome.mKind == TaskOutcome::Kind::RefusedNotRun) {
          mWorkers.RecordRefusal(task.mWorker, task.mAllocated);
        }
        OnNotStarted(aJob, aIndex);
        break;
      case TaskOutcome::Kind::MayHaveRun:
        if (!aJob->mFinished) {
          Fail(aJob,
               Error(ErrorKind::OutcomeUnknown,
                     "task " + aJob->AttemptId(aIndex) + " at worker " +
                       task.mWorker + " has an unknown outcome"));
        }
        break;
    }
    PlaceAfterOutcome();
  }
  RunDeferredActions();
}

void
JobRunner::OnAnswered(const JobPointer& aJob,
                      std::uint32_t aIndex,
                      TaskOutcome aOutcome)
{
  detail::JobTask& task = aJob->mTasks[aIndex];
  const TaskSpec& spec = aJob->mRequest.mTasks[aIndex];
  task.mState = detail::JobTask::State::Done;
  ++aJob->mDoneCount;
  if (aJob->mFinished) {
    return;
  }
  if (!IsSuccess(aOutcome.mStatus)) {
    Fail(aJob,
         Error(ErrorKind::TaskFailed,
               "task " + aJob->AttemptId(aIndex) + " at worker " +
                 task.mWorker + " answered with status " +
                 std::to_string(aOutcome.mStatus)));
    return;
  }
  mSizes.ObserveRunTime(
    aJob->mRequest.mKind, spec.mDeclaredRunTime, aOutcome.mRunTime);
  if (aOutcome.mUsed) {
    mSizes.Observe(aJob->mRequest.mKind, spec.mRequired, *aOutcome.mUsed);
  }
  aJob->mResultBytes += aOutcome.mBody.size();
  if (aJob->mResultBytes > mSettings.mMaxResultBytes) {
    Fail(aJob,
         Error(ErrorKind::TaskFailed,
               "the results of job " + aJob->Key() + " exceed " +
                 std::to_string(mSettings.mMaxResultBytes) + " bytes"));
    return;
  }
  task.mResult = { aOutcome.mStatus, std::move(aOutcome.mBody) };
  if (aJob->mDoneCount == aJob->mTasks.size()) {
    Complete(aJob);
  }
}

void
JobRunner::OnNotStarted(const JobPointer& aJob, std::uint32_t aIndex)
{
  if (aJob->mFinished) {
    return;
  }
  detail::JobTask& task = aJob->mTasks[aIndex];
  task.mRefusedBy.insert(task.mWorker);
  task.mLastRefusedAt = mClock.MonotonicNow();
  if (task.mRefusalCount == 0) {
    task.mFirstRefusedAt = task.mLastRefusedAt;
  }
  if (++task.mRefusalCount < kMaxRefusalsPerTask) {
    Requeue(aJob, aIndex);
    return;
  }
  FailRefused(aJob, aIndex);
}

void
JobRunner::FailRefused(const JobPointer& aJob, std::uint32_t aIndex)
{
  const std::string message =
    "task " + aJob->AttemptId(aIndex) + " was refused by workers " +
    std::to_string(aJob->mTasks[aIndex].mRefusalCount) + " times";
  FailUnfinished(aJob,
                 Error(ErrorKind::EndpointRefused, message),
                 Error(ErrorKind::OutcomeUnknown, message));
}

// Called when earlier refusals are the only reason why a task is not placed. If
// tasks of the service have succeeded since the first refusal, the workers are
// merely full for now. Otherwise this counts as one more refusal although
// nothing was sent, so that the job fails in the end.
void
JobRunner::CountAssumedRefusal(const JobPointer& aJob, std::uint32_t aIndex)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  detail::JobTask& task = aJob->mTasks[aIndex];
  const bool hasProgress =
    mWorkers.HasSucceededSince(aJob->mRequest.mService, task.mFirstRefusedAt);
  if (!aJob->mFinished && !hasProgress &&
      ++task.mRefusalCount >= kMaxRefusalsPerTask) {
    FailRefused(aJob, aIndex);
  }
}

}

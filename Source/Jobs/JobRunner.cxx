#include "Jobs/JobRunner.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

std::size_t
BodyBytes(const JobRequest& aRequest)
{
  std::size_t bytes = 0;
  for (const TaskSpec& task : aRequest.mTasks) {
    bytes += task.mBody.size();
  }
  return bytes;
}

Error
QueueFullError(const std::string& aWhat)
{
  constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
  return Error(ErrorKind::QueueFull, aWhat, kRetryAfter);
}

}

JobRunner::JobRunner(JobRunnerDependencies aDependencies,
                     const JobSettings& aSettings,
                     std::uint64_t aSeed)
  : mClock(aDependencies.mClock)
  , mClaims(aDependencies.mClaims)
  , mSender(aDependencies.mSender)
  , mEndpoints(aDependencies.mEndpoints)
  , mDecisions(aDependencies.mDecisions)
  , mUrgencyOf(std::move(aDependencies.mUrgencyOf))
  , mInstanceCount(std::move(aDependencies.mInstanceCount))
  , mSettings(aSettings)
  , mSeed(aSeed)
  , mEndpointsChanged(std::make_shared<std::atomic<bool>>(true))
  , mWorkers(mClock)
  , mShares(aDependencies.mSlots)
{
  mEndpoints.Observe([changed = mEndpointsChanged](const EndpointChange&) {
    changed->store(true);
  });
}

Result<void>
JobRunner::CheckAdmission(const JobRequest& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  RefreshWorkers();
  if (mJobs.size() >= mSettings.mMaxJobs) {
    return QueueFullError("this instance already has " +
                          std::to_string(mJobs.size()) + " jobs in progress");
  }
  if (mBodyBytes + BodyBytes(aRequest) > mSettings.mMaxBodyBytes) {
    return QueueFullError("the task bodies of the jobs in progress would "
                          "exceed their memory limit");
  }
  if (!mWorkers.HasWorkers(aRequest.mService)) {
    return Error(ErrorKind::NoEndpoint,
                 "no worker announces the service " + aRequest.mService);
  }
  const TaskSpec* checked = nullptr;
  for (const TaskSpec& task : aRequest.mTasks) {
    const bool same =
      checked != nullptr && Fits(task.mRequired, checked->mRequired);
    if (same) {
      continue;
    }
    const std::string missing =
      mWorkers.MissingResource(aRequest.mService, task.mRequired);
    if (!missing.empty()) {
      const auto index = &task - aRequest.mTasks.data();
      return Error(ErrorKind::ResourcesUnsatisfiable,
                   "tasks[" + std::to_string(index) + "] needs more " +
                     missing + " than any worker of " + aRequest.mService +
                     " has");
    }
    checked = &task;
  }
  return Success();
}

void
JobRunner::Run(const ClaimTicket& aTicket,
               std::uint64_t aBodyHash,
               JobRequest aRequest,
               detail::JobWaiter aWaiter)
{
  auto job = std::make_shared<Job>();
  job->mTicket = aTicket;
  job->mBodyHash = aBodyHash;
  job->mUrgency = mUrgencyOf(aRequest);
  job->mSubmittedAt = mClock.MonotonicNow();
  job->mDeadline = job->mSubmittedAt + aRequest.mTimeout;
  job->mTasks.resize(aRequest.mTasks.size());
  for (auto index = static_cast<std::uint32_t>(aRequest.mTasks.size());
       index > 0;
       --index) {
    job->mWaitingTasks.push_back(index - 1);
  }
  job->mRequest = std::move(aRequest);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    job->mSequence = mNextSequence++;
    mBodyBytes += BodyBytes(job->mRequest);
    mDeadlines.emplace(job->mDeadline, job);
    mDeadlines.emplace(aWaiter.mDeadline, job);
    job->mWaiters.push_back(std::move(aWaiter));
    mJobs.emplace(job->mTicket.mKey.Hash(), job);
    mShares.AddWaitingTasks(
      job->mRequest.mTeam,
      static_cast<std::int64_t>(job->mWaitingTasks.size()));
    mQueue.Add(job);
    RefreshWorkers();
    PlaceTasksOf(job);
    ExpireDeadlines();
  }
  RunDeferredActions();
}

std::optional<std::uint64_t>
JobRunner::BodyHashOf(const KeyHash& aKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mJobs.find(aKey);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  return found->second->mBodyHash;
}

bool
JobRunner::AddWaiter(const KeyHash& aKey, detail::JobWaiter aWaiter)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mJobs.find(aKey);
    if (found == mJobs.end()) {
      return false;
    }
    mDeadlines.emplace(aWaiter.mDeadline, found->second);
    found->second->mWaiters.push_back(std::move(aWaiter));
    ExpireDeadlines();
  }
  RunDeferredActions();
  return true;
}

bool
JobRunner::Cancel(const KeyHash& aKey, const Done& aDone)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mJobs.find(aKey);
    if (found == mJobs.end()) {
      return false;
    }
    const JobPointer job = found->second;
    job->mWaiters.push_back({ Clock::Monotonic::max(), aDone });
    if (!job->mFinished) {
      const std::string message = "job " + job->Key() + " was cancelled";
      if (job->mStartedCount == 0) {
        // Record the cancellation, so that a resubmission does not run the job.
        Fail(job, Error(ErrorKind::CancelledBeforeStart, message));
      } else {
        Fail(job, Error(ErrorKind::CancelledAfterStart, message));
      }
    }
  }
  RunDeferredActions();
  return true;
}

void
JobRunner::ApplyRules(const RoutingRules& aRules)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mShares.ApplyRules(aRules);
  mQueue.UnparkAll();
}

void
JobRunner::Tick()
{
  const std::size_t instances = mInstanceCount();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    RefreshWorkers();
    ExpireDeadlines();
    mShares.SetInstanceCount(instances);
    mShares.ReportDemand();
    mQueue.UnparkFirst();
    PlacePeriodically();
  }
  RunDeferredActions();
}

std::size_t
JobRunner::JobCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mJobs.size();
}

std::size_t
JobRunner::QueuedJobCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mQueue.Size();
}

std::size_t
JobRunner::ParkedJobCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mQueue.ParkedCount();
}

std::uint32_t
JobRunner::AllocatedSlots() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mWorkers.AllocatedSlots();
}

TaskCounts
JobRunner::Counts() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCounts;
}

void
JobRunner::Complete(const JobPointer& aJob)
{
  std::vector<TaskResult> results;
  results.reserve(aJob->mTasks.size());
  for (detail::JobTask& task : aJob->mTasks) {
    results.push_back(std::move(task.mResult));
  }
  RecordDecision(aJob->Key(), "finish", "complete", "all tasks succeeded");
  Finish(aJob, CompleteAnswer(aJob->Key(), results));
}

void
JobRunner::Fail(const JobPointer& aJob, const Error& aError)
{
  RecordDecision(aJob->Key(),
                 "finish",
                 std::string(aError.Traits().mName),
                 aError.Message());
  Finish(aJob, FailedAnswer(aJob->Key(), aError));
}

void
JobRunner::FailBeforeStart(const JobPointer& aJob, const Error& aError)
{
  RecordDecision(aJob->Key(),
                 "release",
                 std::string(aError.Traits().mName),
                 aError.Message());
  aJob->mFinished = true;
  aJob->mAnswer = FailedAnswer(aJob->Key(), aError);
  Dequeue(aJob);
  mDeferredActions.push_back([this, aJob] {
    mClaims.Release(aJob->mTicket);
    OnRecorded(aJob);
  });
}

void
JobRunner::FailUnfinished(const JobPointer& aJob,
                          const Error& aBeforeStart,
                          const Error& aAfterStart)
{
  if (aJob->mStartedCount == 0) {
    FailBeforeStart(aJob, aBeforeStart);
    return;
  }
  Fail(aJob, aAfterStart);
}

void
JobRunner::Dequeue(const JobPointer& aJob)
{
  mQueue.Remove(aJob);
  mShares.AddWaitingTasks(
    aJob->mRequest.mTeam,
    -static_cast<std::int64_t>(aJob->mWaitingTasks.size()));
}

void
JobRunner::Finish(const JobPointer& aJob, JobAnswer aAnswer)
{
  aJob->mFinished = true;
  aJob->mAnswer = std::move(aAnswer);
  Dequeue(aJob);
  for (std::uint32_t index = 0;
       aJob->mSentCount > 0 && index < aJob->mTasks.size();
       ++index) {
    const detail::JobTask& task = aJob->mTasks[index];
    if (task.mState != detail::JobTask::State::Sent) {
      continue;
    }
    mDeferredActions.push_back(
      [this, worker = task.mWorker, attempt = aJob->AttemptId(index)] {
        mSender.Stop(worker, attempt);
      });
  }
  mDeferredActions.push_back([this, aJob] { RecordAnswer(aJob); });
}

void
JobRunner::RecordAnswer(const JobPointer& aJob)
{
  mClaims.RecordAnswer(aJob->mTicket,
                       EncodeAnswer(aJob->mAnswer),
                       [this, aJob](const Result<void>& /*aResult*/) {
                         // The answer is correct even if recording it failed.
                         OnRecorded(aJob);
                       });
}

void
JobRunner::OnRecorded(const JobPointer& aJob)
{
  std::vector<detail::JobWaiter> waiters;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    waiters.swap(aJob->mWaiters);
    const auto found = mJobs.find(aJob->mTicket.mKey.Hash());
    if (found != mJobs.end() && found->second == aJob) {
      mBodyBytes -= BodyBytes(aJob->mRequest);
      mJobs.erase(found);
    }
  }
  for (const detail::JobWaiter& waiter : waiters) {
    waiter.mDone(aJob->mAnswer);
  }
}

void
JobRunner::ExpireDeadlines()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= now) {
    const JobPointer job = mDeadlines.begin()->second.lock();
    mDeadlines.erase(mDeadlines.begin());
    if (!job || job->mFinished) {
      continue;
    }
    if (job->mDeadline <= now) {
      const std::string message =
        "job " + job->Key() + " exceeded its timeout of " +
        std::to_string(job->mRequest.mTimeout.count()) + " ms";
      FailUnfinished(job,
                     Error(ErrorKind::DeadlineExpiredInQueue, message),
                     Error(ErrorKind::EndpointTimeout, message));
      continue;
    }
    const auto due =
      std::stable_partition(job->mWaiters.begin(),
                            job->mWaiters.end(),
                            [now](const detail::JobWaiter& aWaiter) {
                              return aWaiter.mDeadline > now;
                            });
    for (auto waiter = due; waiter != job->mWaiters.end(); ++waiter) {
      mDeferredActions.push_back(
        [done = std::move(waiter->mDone),
         answer = PendingAnswer(job->Key(), job->State())] { done(answer); });
    }
    job->mWaiters.erase(due, job->mWaiters.end());
  }
}

void
JobRunner::RecordDecision(const std::string& aId,
                          const char* aStage,
                          std::string aChoice,
                          std::string aReason)
{
  Decision decision;
  decision.mRequestId = aId;
  decision.mStage = aStage;
  decision.mChoice = std::move(aChoice);
  decision.mReason = std::move(aReason);
  mDeferredActions.push_back(
    [this, decision = std::move(decision)] { mDecisions.Record(decision); });
}

void
JobRunner::RunDeferredActions()
{
  std::unique_lock<std::mutex> lock(mMutex);
  if (mIsRunningActions) {
    return;
  }
  mIsRunningActions = true;
  while (!mDeferredActions.empty()) {
    const Action action = std::move(mDeferredActions.front());
    mDeferredActions.pop_front();
    lock.unlock();
    action();
    lock.lock();
  }
  mIsRunningActions = false;
}

}

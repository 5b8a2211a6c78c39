// Jobs and tasks: readiness, completion, and scheduling.
#include "Dispatch/Coordinator.h"

#include <algorithm>

#include "Dispatch/SchedulingPass.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Time for which ends of runs from earlier leaders are kept until their job is
 * submitted again. Longer than the retry interval of callers. */
constexpr milliseconds kUnmatchedEndRetention{ 5000 };

constexpr milliseconds kCleanupInterval{ 1000 };

/** Number of jobs that are tried in each tick wherever they stand in the queue.
 */
constexpr std::size_t kJobsTriedInTurn = 8;

std::int64_t
MillisecondsBetween(Clock::Monotonic aFrom, Clock::Monotonic aTo)
{
  return duration_cast<milliseconds>(aTo - aFrom).count();
}

}

DispatchJob*
Coordinator::FindJob(const JobId& aId)
{
  const auto job = mJobs.find(aId);
  return job == mJobs.end() ? nullptr : job->second.get();
}

void
Coordinator::MarkBegun(DispatchJob& aJob)
{
  aJob.mStarted = true;
  aJob.mHasBegun = true;
  if (aJob.mState == JobState::Queued) {
    aJob.mState = JobState::Running;
  }
}

void
Coordinator::MarkStepReady(DispatchJob& aJob, std::uint32_t aStep)
{
  for (DispatchTask& task : aJob.mSteps[aStep]) {
    if (task.mPhase == TaskPhase::Blocked) {
      task.mPhase = TaskPhase::Ready;
      ++aJob.mReadyTaskCount;
    }
  }
  for (const auto& [task, worker] : mLedger.FoundRunsOf(aJob.mSubmission.mId)) {
    if (task.mStep == aStep) {
      ClaimFoundRun(aJob, task);
    }
  }
  mReady.Update(aJob);
}

void
Coordinator::ReleaseTask(DispatchJob& aJob,
                         DispatchTask& aTask,
                         TaskPhase aNext)
{
  aJob.mAssignedTaskCount -= aTask.mPhase == TaskPhase::Assigned ? 1 : 0;
  aJob.mReadyTaskCount -= aTask.mPhase == TaskPhase::Ready ? 1 : 0;
  aTask.mPhase = aNext;
  aTask.mWorker.clear();
}

void
Coordinator::RequeueTask(DispatchJob& aJob, const TaskId& aTask)
{
  DispatchTask& task = *aJob.Task(aTask);
  if (task.mPhase != TaskPhase::Assigned &&
      task.mPhase != TaskPhase::Recording) {
    return;
  }
  if (!task.mWorker.empty()) {
    task.mFailedOn.push_back(task.mWorker);
  }
  ReleaseTask(aJob, task, TaskPhase::Ready);
  ++aJob.mReadyTaskCount;
  ClaimFoundRun(aJob, aTask);
  mReady.Update(aJob);
}

void
Coordinator::FinishTask(DispatchJob& aJob, const TaskId& aTask)
{
  DispatchTask& task = *aJob.Task(aTask);
  if (task.mPhase == TaskPhase::Done) {
    return;
  }
  ReleaseTask(aJob, task, TaskPhase::Done);
  MarkBegun(aJob);
  for (const WorkerId& worker : mLedger.FoundRunsOf(aTask)) {
    StopFoundRun(aTask, worker);
  }
  mReady.Update(aJob);
  if (--aJob.mUnfinishedTasks[aTask.mStep] > 0 || aJob.HasEnded()) {
    return;
  }
  const auto isDone = [&](std::uint32_t aStep) {
    return aJob.mUnfinishedTasks[aStep] == 0;
  };
  bool allDone = true;
  for (std::uint32_t step = 0; step < aJob.mSteps.size(); ++step) {
    allDone = allDone && isDone(step);
    const auto& after = aJob.mSubmission.mSteps[step].mDependsOn;
    const bool isReady =
      std::find(after.begin(), after.end(), aTask.mStep) != after.end() &&
      std::all_of(after.begin(), after.end(), isDone);
    if (isReady) {
      MarkStepReady(aJob, step);
    }
  }
  if (allDone && !IsCancelDecided(aJob)) {
    EndJob(aJob, JobState::Completed);
  }
}

void
Coordinator::CountFailedRun(DispatchJob& aJob, const TaskId& aTask)
{
  DispatchTask& task = *aJob.Task(aTask);
  if (task.mPhase == TaskPhase::Done) {
    return;
  }
  ++task.mFailures;
  if (task.mFailures < aJob.mQueue.mMaxAttempts || aJob.HasEnded() ||
      IsCancelDecided(aJob)) {
    return;
  }
  StopRunsOf(aJob);
  EndJob(aJob, JobState::Failed);
}

bool
Coordinator::IsCancelDecided(const DispatchJob& aJob)
{
  return aJob.mCancelRequested && !aJob.mIsStored;
}

void
Coordinator::EndJob(DispatchJob& aJob, JobState aState)
{
  const TimePoint now = mClock.MonotonicNow();
  aJob.mState = aState;
  aJob.mEndedAt = now;
  // Only the state of an ended job is asked for.
  std::string().swap(aJob.mSubmission.mPayload);
  if (aJob.mIsHandedIn) {
    mLatencies.mJobs.Add(duration_cast<milliseconds>(now - aJob.mArrivedAt));
  }
  mReady.Remove(aJob);
  ExpireAt(aJob, now + RetentionOf(aJob));
  mCounters.mCompleted += aState == JobState::Completed ? 1 : 0;
  mCounters.mFailed += aState == JobState::Failed ? 1 : 0;
  EventLine(mLog, "job-ended")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("state", NameOf(aState))
    .With("after_ms", MillisecondsBetween(aJob.mArrivedAt, now))
    .With("objective_ms", MillisecondsBetween(aJob.mArrivedAt, aJob.mDueAt))
    .With("waiters", std::uint64_t{ aJob.mWaitingCalls.size() });
  JobReply reply;
  reply.mKind = JobReplyKind::Accepted;
  reply.mState = aState;
  ReplyAll(aJob, reply);
  StopFoundRunsOf(aJob.mSubmission.mId);
}

void
Coordinator::AbandonWaitingTasks(DispatchJob& aJob)
{
  aJob.mAbandoned = true;
  mReady.Remove(aJob);
  ExpireAt(aJob, mClock.MonotonicNow());
}

void
Coordinator::StopRunsOf(const DispatchJob& aJob)
{
  for (std::uint32_t step = 0; step < aJob.mSteps.size(); ++step) {
    for (std::uint32_t index = 0; index < aJob.mSteps[step].size(); ++index) {
      const DispatchTask& task = aJob.mSteps[step][index];
      const auto worker = mWorkers.find(task.mWorker);
      if (task.mPhase != TaskPhase::Assigned || worker == mWorkers.end()) {
        continue;
      }
      const TaskId id{ aJob.mSubmission.mId, 0, step, index };
      if (TrackedRun* run = worker->second.Find(id)) {
        StopRun(worker->second, id, *run);
      }
    }
  }
  StopFoundRunsOf(aJob.mSubmission.mId);
}

TrackedRun*
Coordinator::FoundRun(const TaskId& aTask, const WorkerId& aWorker)
{
  const auto worker = mWorkers.find(aWorker);
  return worker == mWorkers.end() ? nullptr : worker->second.Find(aTask);
}

void
Coordinator::StopFoundRun(const TaskId& aTask, const WorkerId& aWorker)
{
  if (TrackedRun* run = FoundRun(aTask, aWorker)) {
    StopRun(mWorkers.at(aWorker), aTask, *run);
  }
}

void
Coordinator::StopFoundRunsOf(const JobId& aJob)
{
  for (const auto& [task, worker] : mLedger.FoundRunsOf(aJob)) {
    StopFoundRun(task, worker);
  }
}

void
Coordinator::AdoptRuns(DispatchJob& aJob)
{
  const JobId& id = aJob.mSubmission.mId;
  for (const auto& [task, worker] : mLedger.FoundRunsOf(id)) {
    TrackedRun* run = FoundRun(task, worker);
    if (run != nullptr && aJob.Task(task) != nullptr) {
      mWorkers.at(worker).SetNeeds(*run, aJob.Step(task).mNeeds);
      MarkBegun(aJob);
    }
    ClaimFoundRun(aJob, task);
  }
  mReady.Update(aJob);
  const TaskId first{ id, 0, 0, 0 };
  for (auto entry = mUnmatchedEnds.lower_bound(first);
       entry != mUnmatchedEnds.end() && entry->first.mJob == first.mJob &&
       !aJob.HasEnded();
       entry = mUnmatchedEnds.lower_bound(first)) {
    const TaskId task = entry->first;
    const bool done = entry->second.mEnd == RunEnd::Done;
    mUnmatchedEnds.erase(entry);
    if (done && aJob.Task(task) != nullptr) {
      FinishTask(aJob, task);
    }
  }
}

void
Coordinator::ClaimFoundRun(DispatchJob& aJob, const TaskId& aTask)
{
  DispatchTask* task = aJob.Task(aTask);
  const bool mayClaim = task != nullptr && task->mPhase == TaskPhase::Ready &&
                        !aJob.HasEnded() && !aJob.mCancelRequested;
  if (!mayClaim) {
    return;
  }
  for (const WorkerId& id : mLedger.FoundRunsOf(aTask)) {
    TrackedRun* run = FoundRun(aTask, id);
    if (run == nullptr || task->mPhase == TaskPhase::Assigned) {
      StopFoundRun(aTask, id);
      continue;
    }
    mLedger.Claim(aTask, id);
    // A local leader must not extend the lease of a run that it has found.
    if (!mScope.IsLocal()) {
      mWorkers.at(id).SetNeeds(*run, aJob.Step(aTask).mNeeds);
    }
    ReleaseTask(aJob, *task, TaskPhase::Assigned);
    ++aJob.mAssignedTaskCount;
    task->mWorker = id;
    task->mLastRun = std::max(task->mLastRun, run->mNumber);
    MarkBegun(aJob);
    EventLine(mLog, "run-claimed")
      .With("job", aTask.mJob)
      .With("step", aTask.mStep)
      .With("task", aTask.mIndex)
      .With("run", run->mNumber)
      .With("stopping", run->mPhase == RunPhase::Stopping)
      .With("worker", id);
  }
}

bool
Coordinator::IsTooLarge(const DispatchJob& aJob) const
{
  const std::vector<StepSpec>& steps = aJob.mSubmission.mSteps;
  return std::any_of(steps.begin(), steps.end(), [&](const StepSpec& aStep) {
    return mIndex.IsTooLarge(aJob.mQueue.mPool, aStep.mNeeds);
  });
}

void
Coordinator::ClassifyJobsAgain()
{
  if (mClassifiedCapacity == mIndex.CapacityVersion()) {
    return;
  }
  mClassifiedCapacity = mIndex.CapacityVersion();
  for (const auto& [id, job] : mJobs) {
    const bool isTooLarge = IsTooLarge(*job);
    if (job->HasEnded() || job->mClass.mIsTooLarge == isTooLarge) {
      continue;
    }
    mReady.Remove(*job);
    job->mClass.mIsTooLarge = isTooLarge;
    mReady.Update(*job);
  }
}

bool
Coordinator::MaySchedule() const
{
  // Without the lease, an order would only put its worker in doubt.
  return mRecoveryComplete && !mReady.IsEmpty() && mWindows.MayStart() &&
         mCalls.MaySend();
}

void
Coordinator::Schedule()
{
  // After a freeze of this instance, the answers of workers come first.
  EndUnawaitedJobs(mClock.MonotonicNow());
  if (!MaySchedule()) {
    return;
  }
  mPlacementWaits.BeginPass();
  UnplacedNeeds unplaced;
  SchedulingPass pass(mReady);
  while (DispatchJob* job = mWindows.MayStart() ? pass.Next() : nullptr) {
    if (!job->mIsLate) {
      pass.OnScheduled(ScheduleJob(*job, unplaced));
      continue;
    }
    ObserveRoom();
    pass.OnScheduled(MayStartLate(*job) && ScheduleJob(*job, unplaced));
  }
  ObserveRoom();
}

// A pass ends before jobs that stand behind many others which no worker can
// run, for example since they need more than any worker has.
void
Coordinator::ScheduleInTurn()
{
  if (!MaySchedule()) {
    return;
  }
  mPlacementWaits.BeginPass();
  UnplacedNeeds unplaced;
  const ReadyQueue::Jobs& jobs = mReady.InOrder();
  auto entry = jobs.upper_bound(mLastTriedInTurn);
  for (std::size_t tried = 0; tried < kJobsTriedInTurn && entry != jobs.end();
       ++tried) {
    mLastTriedInTurn = entry->first;
    DispatchJob& job = *entry->second;
    // Advance first: scheduling a job may erase its own entry, but no other.
    ++entry;
    if (!job.mIsLate || MayStartLate(job)) {
      ScheduleJob(job, unplaced);
    }
  }
  if (entry == jobs.end()) {
    mLastTriedInTurn = {};
  }
}

bool
Coordinator::ScheduleJob(DispatchJob& aJob, UnplacedNeeds& aUnplaced)
{
  const TimePoint now = mClock.MonotonicNow();
  const std::size_t assignedBefore = aJob.mAssignedTaskCount;
  for (std::uint32_t step = 0; step < aJob.mSteps.size(); ++step) {
    const StepSpec& spec = aJob.mSubmission.mSteps[step];
    const WorkerKind kind{ aJob.mQueue.mPool, spec.mRequiredLabel };
    for (std::uint32_t index = 0; index < aJob.mSteps[step].size(); ++index) {
      if (aJob.mSteps[step][index].mPhase != TaskPhase::Ready) {
        continue;
      }
      // Skip tasks that need at least as much as one that did not fit before.
      const auto found = aUnplaced.find(kind);
      if (found != aUnplaced.end() && found->second.FitsInto(spec.mNeeds)) {
        break;
      }
      const TaskId task{ aJob.mSubmission.mId, 0, step, index };
      WorkerSession* worker = mIndex.Choose(aJob, task, now, mWindows);
      if (worker == nullptr) {
        if (spec.mMaxPerWorker == 0) {
          aUnplaced[kind] = spec.mNeeds;
        }
        break;
      }
      if (mOptions.mLearnRunTimes &&
          mPlacementWaits.MustWait(aJob, task, *worker, now)) {
        break;
      }
      StartRun(aJob, task, *worker);
    }
  }
  const bool hasStarted = aJob.mAssignedTaskCount > assignedBefore;
  if (hasStarted) {
    mReady.Update(aJob);
  }
  return hasStarted;
}

void
Coordinator::EnforceQueueTimeLimits(TimePoint aNow)
{
  std::vector<DispatchJob*> refused;
  std::vector<DispatchJob*> abandoned;
  UnplacedNeeds unplaced;
  for (DispatchJob* job : mReady.TakeOverdue(aNow)) {
    const AdmissionVerdict verdict = mAdmission->OnWaitLimit(*job, aNow);
    // Room that the jobs before it could not use may do for this one.
    const bool mayHaveRoom =
      mAdmission->UsesRoom() && job->MayBeRefused() && MaySchedule();
    if (mayHaveRoom && ScheduleJob(*job, unplaced)) {
      continue;
    }
    if (verdict == AdmissionVerdict::AcceptLate) {
      Defer(*job);
    } else {
      (verdict == AdmissionVerdict::Refuse ? refused : abandoned)
        .push_back(job);
    }
  }
  for (DispatchJob* job : refused) {
    Refuse(*job,
           mRecoveryComplete
             ? "no room in time"
             : "the new leader is still reading the run lists of the workers");
  }
  for (DispatchJob* job : abandoned) {
    ++mCounters.mGivenUp;
    EventLine(mLog, "job-given-up")
      .With("job", job->mSubmission.mId)
      .With("queue", job->mQueue.mName)
      .With("after_ms", MillisecondsBetween(job->mArrivedAt, aNow))
      .With("open_runs", std::uint64_t{ job->mAssignedTaskCount });
    AbandonWaitingTasks(*job);
    JobReply reply;
    reply.mKind = JobReplyKind::Unknown;
    reply.mMessage = "the job did not end in time and may have run in part";
    ReplyAll(*job, reply);
  }
  ObserveRoom();
}

milliseconds
Coordinator::RetentionOf(const DispatchJob& aJob) const
{
  if (aJob.mIsStored) {
    return mOptions.mStoredResultRetention;
  }
  return aJob.mState == JobState::Cancelled
           ? mOptions.mCancellationRetention
           : mOptions.mBestEffortResultRetention;
}

void
Coordinator::ExpireAt(const DispatchJob& aJob, TimePoint aAt)
{
  mJobExpiries.emplace(aAt, aJob.mSubmission.mId);
}

void
Coordinator::RemoveExpiredJobs(TimePoint aNow)
{
  while (!mJobExpiries.empty() && mJobExpiries.begin()->first < aNow) {
    const JobId id = mJobExpiries.begin()->second;
    mJobExpiries.erase(mJobExpiries.begin());
    DispatchJob* job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    const bool ended =
      job->HasEnded() && aNow - job->mEndedAt > RetentionOf(*job);
    const bool abandoned = job->mAbandoned && !job->HasEnded() &&
                           !job->mIsStored && !job->mCancelRequested;
    if (!ended && !abandoned) {
      continue;
    }
    if (job->mAssignedTaskCount > 0) {
      ExpireAt(*job, aNow + kCleanupInterval);
      continue;
    }
    StopFoundRunsOf(id);
    RecordRemoval(*job);
    mReady.Remove(*job);
    mUnseenJobs -= job->mIsHandedIn ? 0 : 1;
    mJobs.erase(id);
  }
}

void
Coordinator::RemoveExpired(TimePoint aNow)
{
  if (aNow < mNextCleanupAt) {
    return;
  }
  mNextCleanupAt = aNow + kCleanupInterval;
  RemoveSilentWorkers(aNow);
  RemoveExpiredJobs(aNow);
  for (auto entry = mExcludedCalls.begin(); entry != mExcludedCalls.end();) {
    entry =
      aNow > entry->second ? mExcludedCalls.erase(entry) : std::next(entry);
  }
  for (auto entry = mUnmatchedEnds.begin(); entry != mUnmatchedEnds.end();) {
    const bool isExpired = aNow - entry->second.mAt > kUnmatchedEndRetention;
    entry = isExpired ? mUnmatchedEnds.erase(entry) : std::next(entry);
  }
}

}

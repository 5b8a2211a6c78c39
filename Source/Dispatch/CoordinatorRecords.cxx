// Records that later leaders need: accepted jobs, ends of their tasks, and the
// workers that may have runs.
#include "Dispatch/Coordinator.h"

#include <algorithm>

#include "Dispatch/WorkerReportCheck.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Delay before a batch with unknown outcome is sent again. */
constexpr milliseconds kResendDelay{ 100 };

std::int64_t
WallMilliseconds(const Clock& aClock)
{
  return duration_cast<milliseconds>(aClock.WallNow().time_since_epoch())
    .count();
}

}

RecordBatch&
Coordinator::PendingBatch(RecordSink::Done aDone)
{
  if (!mPendingBatch) {
    mPendingBatch = std::make_shared<RecordBatch>();
    mPendingCallbacks = std::make_shared<std::vector<RecordSink::Done>>();
  }
  mPendingCallbacks->push_back(std::move(aDone));
  return *mPendingBatch;
}

void
Coordinator::FlushRecords()
{
  if (!mLeading) {
    return;
  }
  if (mScope.IsLocal()) {
    // A local leader stores nothing; an elected leader learns these changes
    // from the workers and callers.
    mPendingBatch.reset();
    mPendingCallbacks.reset();
    return;
  }
  // Batches that are sent again go first to preserve the order.
  if (!mBatchesToResend.empty()) {
    if (mClock.MonotonicNow() < mNextResendAt) {
      return;
    }
    auto unsent = std::move(mBatchesToResend);
    mBatchesToResend.clear();
    for (auto& [batch, done] : unsent) {
      SendBatch(batch, done);
    }
  }
  if (!mPendingBatch) {
    return;
  }
  mPendingBatch->mFence = mFence;
  mPendingBatch->mTimeMs = WallMilliseconds(mClock);
  const auto batch = std::move(mPendingBatch);
  const auto done = std::move(mPendingCallbacks);
  mPendingBatch.reset();
  mPendingCallbacks.reset();
  SendBatch(batch, done);
}

void
Coordinator::SendBatch(
  const std::shared_ptr<RecordBatch>& aBatch,
  const std::shared_ptr<std::vector<RecordSink::Done>>& aDone)
{
  mRecords.Store(*aBatch, [this, fence = mFence, aBatch, aDone](bool aApplied) {
    if (!mLeading || fence != mFence) {
      return;
    }
    if (!aApplied) {
      EventLine(mLog, "records-not-stored")
        .With("fence", fence)
        .With("accepted", std::uint64_t{ aBatch->mAccepted.size() })
        .With("ends", std::uint64_t{ aBatch->mEnds.size() });
      mBatchesToResend.emplace_back(aBatch, aDone);
      mNextResendAt = mClock.MonotonicNow() + kResendDelay;
      return;
    }
    for (const RecordSink::Done& done : *aDone) {
      done(true);
    }
    FlushRecords();
  });
}

// A worker that an earlier version stored without checking its report is not
// used. It may have runs, whose leases end before this leader starts any.
void
Coordinator::LoadStoredWorker(const WorkerReport& aReport)
{
  if (mScope.IsLocal() && aReport.mDataCentre != mScope.mDataCentre) {
    return;
  }
  const ReportDefect defect = FindDefect(aReport, mClock.WallNow());
  if (defect == ReportDefect::None) {
    WorkerSession& worker = AddSession(aReport);
    worker.mIsRegistering = true;
    worker.mRegistered = true;
    worker.mStoredBoot = aReport.mBoot;
    ++mProvenWorkers;
    return;
  }
  EventLine(mLog, "stored-worker-ignored")
    .With("worker", aReport.mBoot.mId)
    .With("defect", NameOf(defect));
  mMustAwaitLeases = true;
  PendingBatch([](bool) {}).mRemovedWorkers.push_back(aReport.mBoot);
}

void
Coordinator::RegisterWorker(WorkerSession& aWorker)
{
  if (aWorker.mIsRegistering) {
    return;
  }
  aWorker.mIsRegistering = true;
  ++mProvenWorkers;
  const WorkerReport& report = aWorker.Report();
  aWorker.mStoredBoot = report.mBoot;
  PendingBatch([this, boot = report.mBoot](bool) {
    if (WorkerSession* worker = SessionOf(boot)) {
      worker->mRegistered = true;
      CountUsableCores(*worker, mClock.MonotonicNow());
      mIndex.Readmit(*worker);
      Schedule();
    }
  }).mRegistered.push_back(report);
}

// Until it is stored, a later leader finds the boot by the registration of the
// former one, which has the same address.
void
Coordinator::RegisterLaterBoot(WorkerSession& aWorker)
{
  aWorker.mStoredBoot = aWorker.Report().mBoot;
  PendingBatch([](bool) {}).mRegistered.push_back(aWorker.Report());
}

// A failed end counts also if this leader did not track the run, for example
// since an earlier leader started it, and if a later run has ended before.
void
Coordinator::StoreEnd(WorkerSession& aWorker,
                      DispatchJob& aJob,
                      const EndedRun& aEnd)
{
  const TaskId& id = aEnd.mRun.mTask;
  DispatchTask& task = *aJob.Task(id);
  const RunNumber run = aEnd.mRun.mNumber;
  const bool isNew = run > task.mCountedUpTo && !task.mFailedRuns.Contains(run);
  const bool isDone = aEnd.mEnd == RunEnd::Done;
  const bool isStored = task.mPhase == TaskPhase::Done ||
                        (!isDone && !isNew && task.mEndsBeingStored == 0);
  if (isStored) {
    return;
  }
  if (!isDone) {
    task.mFailedRuns.Add(run);
    task.mCountedUpTo =
      task.mCountedUpTo > 0 ? std::max(task.mCountedUpTo, run) : 0;
  }
  task.mLastRun = std::max(task.mLastRun, run);
  MarkBegun(aJob);
  AwaitEndRecord(aJob, id, isDone);
  ++task.mEndsBeingStored;
  aWorker.mUnstoredEnds.insert(aEnd.mNumber);
  EndRecord record;
  record.mJob = id.mJob;
  record.mStep = id.mStep;
  record.mIndex = id.mIndex;
  record.mRun = run;
  record.mDone = isDone;
  record.mCheckpoint = aEnd.mCheckpoint;
  PendingBatch([this, boot = aWorker.Report().mBoot, end = aEnd, isNew](bool) {
    OnEndStored(boot, end, isNew);
  }).mEnds.push_back(std::move(record));
}

// A failed end of an earlier run leaves the current one alone.
void
Coordinator::AwaitEndRecord(DispatchJob& aJob,
                            const TaskId& aTask,
                            bool aIsDone)
{
  DispatchTask& task = *aJob.Task(aTask);
  const auto worker = mWorkers.find(task.mWorker);
  TrackedRun* currentRun =
    task.mPhase == TaskPhase::Assigned && worker != mWorkers.end()
      ? worker->second.Find(aTask)
      : nullptr;
  if (aIsDone && currentRun != nullptr) {
    StopRun(worker->second, aTask, *currentRun);
  }
  const bool mustWait =
    aIsDone || (currentRun == nullptr && task.mPhase != TaskPhase::Blocked);
  if (mustWait) {
    ReleaseTask(aJob, task, TaskPhase::Recording);
    mReady.Update(aJob);
  }
}

void
Coordinator::OnEndStored(const WorkerBoot& aBoot,
                         const EndedRun& aEnd,
                         bool aIsNew)
{
  if (WorkerSession* worker = SessionOf(aBoot)) {
    worker->mUnstoredEnds.erase(aEnd.mNumber);
  }
  const TaskId& id = aEnd.mRun.mTask;
  DispatchJob* job = FindJob(id.mJob);
  DispatchTask* task = job == nullptr ? nullptr : job->Task(id);
  if (task == nullptr) {
    return;
  }
  --task->mEndsBeingStored;
  if (job->HasEnded()) {
    return;
  }
  if (aEnd.mEnd == RunEnd::Done) {
    FinishTask(*job, id);
  } else {
    if (task->mPhase == TaskPhase::Recording && task->mEndsBeingStored == 0) {
      RequeueTask(*job, id);
    }
    if (aIsNew) {
      CountFailedRun(*job, id);
    }
  }
  Schedule();
}

void
Coordinator::LoadStoredJob(const StoredJob& aStored)
{
  const TimePoint now = mClock.MonotonicNow();
  JobPtr job = MakeJob(aStored.mSubmission, QueueInForce(aStored.mQueue));
  const milliseconds age(
    std::max<std::int64_t>(0, WallMilliseconds(mClock) - aStored.mAcceptedMs));
  job->mArrivedAt -= age;
  job->mDueAt -= age;
  job->mArrivalNumber = mNextArrivalNumber++;
  job->mAcceptCommitted = true;
  job->mState = aStored.mState;
  job->mHasBegun = aStored.mState != JobState::Queued;
  DispatchJob& loaded = *job;
  mJobPlaces.emplace(loaded.mQueue.mHost, loaded.mQueue.mPathPrefix);
  mJobs.emplace(aStored.mSubmission.mId, std::move(job));
  if (loaded.HasEnded()) {
    const milliseconds since(
      std::max<std::int64_t>(0, WallMilliseconds(mClock) - aStored.mEndedMs));
    loaded.mEndedAt = now - since;
    ExpireAt(loaded, loaded.mEndedAt + RetentionOf(loaded));
    return;
  }
  for (std::uint32_t step = 0; step < loaded.mSteps.size(); ++step) {
    for (std::uint32_t index = 0; index < loaded.mSteps[step].size(); ++index) {
      const StoredTask& stored = aStored.mTasks[step][index];
      DispatchTask& task = loaded.mSteps[step][index];
      task.mFailures = stored.mFailures;
      task.mLastRun = stored.mLastEndedRun;
      task.mFailedRuns = stored.mFailedRuns;
      task.mCountedUpTo = stored.CountedUpTo();
      task.mCheckpoint = stored.mCheckpoint;
      if (stored.mDone) {
        task.mPhase = TaskPhase::Done;
        --loaded.mUnfinishedTasks[step];
        loaded.mStarted = true;
      }
    }
  }
  for (std::uint32_t step = 0; step < loaded.mSteps.size(); ++step) {
    const auto& after = loaded.mSubmission.mSteps[step].mDependsOn;
    const bool isReady =
      std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
        return loaded.mUnfinishedTasks[aEarlier] == 0;
      });
    if (isReady) {
      MarkStepReady(loaded, step);
    }
  }
}

void
Coordinator::RecordRemoval(const DispatchJob& aJob)
{
  if (aJob.mIsStored || aJob.mState == JobState::Cancelled) {
    PendingBatch([](bool) {}).mRemovedJobs.push_back(aJob.mSubmission.mId);
  }
}

}

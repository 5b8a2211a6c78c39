// Start and stop orders and their answers.
#include "Dispatch/Coordinator.h"

#include <algorithm>

#include "Dispatch/WorkerFence.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Size of the range of run numbers reserved for each term. The ranges keep the
 * run numbers of a task increasing across leaders that do not know about each
 * other's starts. */
constexpr RunNumber kRunNumbersPerTerm = 1000;

/** Local leaders of a term use the upper part of the range below that of the
 * elected leader. */
constexpr RunNumber kRunNumbersForLocalLeaders = kRunNumbersPerTerm / 2;

/** Fence of the first leader of an installation: its consensus group is created
 * in term 1 and holds its first election in term 2. */
constexpr Fence kFirstFence = 2;

/** Number of run numbers to skip after a worker refused one as superseded. */
constexpr RunNumber kRunNumbersSkipped = 16;

/** Delay before a hold order to a worker that has accepted another leader's
 * fence. */
constexpr milliseconds kFencedRetryDelay{ 10 };

/** Minimum time between two stop orders for the same run. */
constexpr milliseconds kStopRetryInterval{ 100 };

/** A run is a straggler if its projected duration exceeds the expected one by
 * this factor. The factor is higher if the expected duration is the caller's
 * estimate, which is rough, than if it was measured on other runs of the
 * step. */
constexpr int kStragglerFactorMeasured = 3;
constexpr int kStragglerFactorEstimated = 8;

/** A run is not checked before it has been observed for this percentage of the
 * expected duration plus a fixed time. Both allow for progress reports that
 * are out of date. */
constexpr int kMinObservedPercent = 120;
constexpr milliseconds kMinObservedTime{ 60 };

/** Maximum number of runs of a task that are stopped as stragglers. A task that
 * is slow on every worker is simply a long one. */
constexpr std::uint32_t kMaxStragglersPerTask = 2;

constexpr int kHundredPercent = 100;

}

OrderTarget
Coordinator::TargetOf(const WorkerSession& aWorker) const
{
  const WorkerReport& report = aWorker.Report();
  OrderTarget target;
  target.mBoot = report.mBoot;
  target.mAddress = report.mAddress;
  target.mDataCentre = report.mDataCentre;
  target.mFence =
    PackWorkerFence({ mFence, aWorker.mFenceRound, mScope.mLeaderId });
  if (mManifest) {
    const Pool* pool = FindPool(*mManifest, report.mPool);
    target.mMaxConnections =
      pool != nullptr ? pool->mMaxConnections : target.mMaxConnections;
  }
  return target;
}

RunNumber
Coordinator::NextRun(DispatchTask& aTask) const
{
  RunNumber precedingNumber =
    mFence > kFirstFence ? (mFence - kFirstFence) * kRunNumbersPerTerm : 0;
  if (mScope.IsLocal() && precedingNumber > 0) {
    precedingNumber -= kRunNumbersForLocalLeaders;
  }
  aTask.mLastRun = std::max(aTask.mLastRun, precedingNumber) + 1;
  return aTask.mLastRun;
}

void
Coordinator::StartRun(DispatchJob& aJob,
                      const TaskId& aTask,
                      WorkerSession& aWorker)
{
  DispatchTask& task = *aJob.Task(aTask);
  const StepSpec& step = aJob.Step(aTask);
  const TimePoint now = mClock.MonotonicNow();
  StartOrder order;
  order.mTarget = TargetOf(aWorker);
  order.mRun = { aTask, NextRun(task) };
  order.mPayload = aJob.mSubmission.mPayload;
  order.mCheckpoint = task.mCheckpoint;
  order.mLeaseEnd = aWorker.GrantLease(now);

  TrackedRun run;
  run.mNumber = order.mRun.mNumber;
  run.mMinClockAtStart = aWorker.MinClockAt(now);
  run.mNeeds = step.mNeeds;
  run.mLastOrderAt = now;
  run.mProgressReportedAt = now;
  run.mIgnoreHoldsUpTo = aWorker.mHoldsSent;
  if (mOptions.mLearnRunTimes) {
    run.mExpected = mRunTimes.ExpectedAt(aWorker, WorkOf(aJob, aTask));
  }
  aWorker.Add(aTask, run);

  ReleaseTask(aJob, task, TaskPhase::Assigned);
  ++aJob.mAssignedTaskCount;
  task.mWorker = aWorker.Report().mBoot.mId;
  if (!aJob.mStarted) {
    mLatencies.mFirstStarts.Add(
      duration_cast<milliseconds>(now - aJob.mArrivedAt));
    aJob.mStarted = true;
  }
  ++mCounters.mStarts;
  mRoom.OnStarted(aJob.mQueue.mPool,
                  static_cast<double>(step.mNeeds.mMilliCores) / 1000.0 *
                    step.mEstimateMs);
  {
    EventLine line(mLog, "run-ordered");
    line.With("job", aTask.mJob)
      .With("step", aTask.mStep)
      .With("task", aTask.mIndex)
      .With("run", run.mNumber)
      .With("worker", task.mWorker)
      .With("waited_ms",
            std::int64_t{
              duration_cast<milliseconds>(now - aJob.mArrivedAt).count() })
      .With("free_mcores", aWorker.Free().mMilliCores);
    if (RunTimeModel::HasTiers(aWorker)) {
      line.With("tier", int{ aWorker.mSpeed.mTier })
        .With("expected_ms", std::int64_t{ run.mExpected.count() })
        .With("due_in_ms",
              std::int64_t{
                duration_cast<milliseconds>(aJob.mDueAt - now).count() });
    }
  }
  mFlow.OnOrdered(order.mTarget.mDataCentre);
  mWindows.OnOrdered(order.mTarget.mDataCentre, now);
  mCalls.Start(
    order,
    mOrderTimeouts.Timeout(now),
    [this, fence = mFence, target = order.mTarget, started = order.mRun, now](
      const OrderResult& aResult) {
      if (!mLeading || fence != mFence) {
        return;
      }
      const bool mayStartMore =
        OnStartEnded(target.mDataCentre, aResult.mOutcome, now);
      OnStarted(target.mBoot, started, aResult);
      if (mayStartMore) {
        Schedule();
      }
    });
}

bool
Coordinator::OnStartEnded(const std::string& aDataCentre,
                          OrderOutcome aOutcome,
                          TimePoint aOrderedAt)
{
  const TimePoint now = mClock.MonotonicNow();
  const auto took = duration_cast<milliseconds>(now - aOrderedAt);
  mFlow.OnEnded(aDataCentre, aOutcome, took);
  mRoom.OnAnswered(took);
  return mWindows.OnEnded(aDataCentre, aOutcome, took, now);
}

void
Coordinator::OnStarted(const WorkerBoot& aBoot,
                       const RunId& aRun,
                       const OrderResult& aResult)
{
  WorkerSession* worker = SessionOf(aBoot);
  if (worker == nullptr) {
    return;
  }
  if (aResult.mClock > 0) {
    worker->ObserveClock(aResult.mClock, mClock.MonotonicNow());
  }
  TrackedRun* run = worker->Find(aRun.mTask);
  if (run == nullptr || run->mNumber != aRun.mNumber) {
    return;
  }
  if (aResult.mOutcome != OrderOutcome::Done) {
    OnStartFailed(*worker, aRun, aResult.mOutcome);
    return;
  }
  run->mIgnoreHoldsUpTo = worker->mHoldsSent;
  const TimePoint now = mClock.MonotonicNow();
  const auto answerTime = duration_cast<milliseconds>(now - run->mLastOrderAt);
  mLatencies.mStartAnswers.Add(answerTime);
  mOrderTimeouts.ObserveAnswer(answerTime, now);
  if (run->mPhase == RunPhase::Starting) {
    run->mPhase = RunPhase::Running;
  }
  run->Confirm(aResult.mClock);
  if (DispatchJob* job = FindJob(aRun.mTask.mJob)) {
    MarkBegun(*job);
  }
  // The clock of a later boot begins anew.
  run->mIsLocated = run->mIsLocated || aResult.mClock >= run->mMinClockAtStart;
  Hold(*worker, !run->mIsLocated);
}

void
Coordinator::OnStartFailed(WorkerSession& aWorker,
                           const RunId& aRun,
                           OrderOutcome aOutcome)
{
  TrackedRun& run = *aWorker.Find(aRun.mTask);
  const WorkerId id = aWorker.Report().mBoot.mId;
  EventLine(mLog, "run-not-started")
    .With("job", aRun.mTask.mJob)
    .With("step", aRun.mTask.mStep)
    .With("task", aRun.mTask.mIndex)
    .With("run", aRun.mNumber)
    .With("worker", id)
    .With("outcome", NameOf(aOutcome));
  if (aOutcome == OrderOutcome::OtherBoot) {
    EndSession(id, "another boot answers at the worker's address");
    return;
  }
  if (aOutcome == OrderOutcome::Unknown || aOutcome == OrderOutcome::Failed) {
    ++mCounters.mUnansweredOrders;
    mOrderTimeouts.ObserveTimeout();
    if (run.mPhase == RunPhase::Starting) {
      run.mPhase = RunPhase::Unconfirmed;
    }
    StopRun(aWorker, aRun.mTask, run);
    return;
  }
  DispatchJob* job = FindJob(aRun.mTask.mJob);
  if (job != nullptr && aOutcome == OrderOutcome::Superseded) {
    job->Task(aRun.mTask)->mLastRun += kRunNumbersSkipped;
  }
  if (aOutcome == OrderOutcome::Unhealthy) {
    aWorker.mHealth.RunFailed(mClock.MonotonicNow());
  }
  if (aOutcome == OrderOutcome::NotSent) {
    OnUnanswered(aWorker);
  }
  if (aOutcome == OrderOutcome::Fenced) {
    OnFenced(aWorker);
  }
  const bool mustReread =
    aOutcome == OrderOutcome::LeaseExpired || aOutcome == OrderOutcome::NoRoom;
  if (mustReread) {
    // The assumed clock, run list or fence of the worker is wrong; read them
    // again.
    aWorker.RequireRead();
    aWorker.mNextHoldAt = {};
  }
  MarkRunLost(
    aWorker, aRun, RunEvidence::StartRefused(aOutcome), "not started");
}

void
Coordinator::StopRun(WorkerSession& aWorker,
                     const TaskId& aTask,
                     TrackedRun& aRun)
{
  if (aRun.mStopInFlight || aRun.mStopConfirmed) {
    return;
  }
  if (aRun.mPhase != RunPhase::Unconfirmed) {
    aRun.mPhase = RunPhase::Stopping;
  }
  aRun.mStopInFlight = true;
  aRun.mLastOrderAt = mClock.MonotonicNow();
  ++mCounters.mStops;
  StopOrder order;
  order.mTarget = TargetOf(aWorker);
  order.mRun = { aTask, aRun.mNumber };
  EventLine(mLog, "run-halt")
    .With("job", aTask.mJob)
    .With("step", aTask.mStep)
    .With("task", aTask.mIndex)
    .With("run", aRun.mNumber)
    .With("worker", order.mTarget.mBoot.mId);
  mCalls.Stop(
    order,
    mOrderTimeouts.Timeout(mClock.MonotonicNow()),
    [this, fence = mFence, boot = order.mTarget.mBoot, stopped = order.mRun](
      const OrderResult& aResult) {
      if (mLeading && fence == mFence) {
        OnStopped(boot, stopped, aResult);
      }
    });
}

void
Coordinator::OnStopped(const WorkerBoot& aBoot,
                       const RunId& aRun,
                       const OrderResult& aResult)
{
  WorkerSession* worker = SessionOf(aBoot);
  if (worker == nullptr) {
    return;
  }
  if (aResult.mClock > 0) {
    worker->ObserveClock(aResult.mClock, mClock.MonotonicNow());
  }
  if (aResult.mOutcome == OrderOutcome::OtherBoot) {
    EndSession(aBoot.mId, "another boot answers at the worker's address");
    return;
  }
  if (aResult.mOutcome == OrderOutcome::Fenced) {
    OnFenced(*worker);
  }
  TrackedRun* run = worker->Find(aRun.mTask);
  if (run == nullptr || run->mNumber != aRun.mNumber) {
    return;
  }
  run->mStopInFlight = false;
  run->mLastOrderAt = mClock.MonotonicNow();
  const bool confirmed = aResult.mOutcome == OrderOutcome::Done ||
                         aResult.mOutcome == OrderOutcome::Superseded;
  if (!confirmed) {
    return;
  }
  run->mStopConfirmed = true;
  run->mIgnoreHoldsUpTo = worker->mHoldsSent;
  Hold(*worker, true);
}

// Called if the worker has accepted the fence of another leader. A higher round
// wins it back from a leader of the same term; the leader of a later term stays
// ahead. A local leader gives up its leadership if it loses a worker that had
// accepted its fence (see IsFencedOut()).
void
Coordinator::OnFenced(WorkerSession& aWorker)
{
  EventLine(mLog, "worker-fenced")
    .With("worker", aWorker.Report().mBoot.mId)
    .With("fence", TargetOf(aWorker).mFence)
    .With("read_before", aWorker.mFenceAccepted)
    .With("runs", std::uint64_t{ aWorker.Runs().size() });
  mFencedOut = mFencedOut || (mScope.IsLocal() && aWorker.mFenceAccepted);
  aWorker.mFenceRound = std::min(aWorker.mFenceRound + 1, kMaxRound);
  aWorker.RequireRead();
  aWorker.mNextHoldAt = mClock.MonotonicNow() + kFencedRetryDelay;
}

void
Coordinator::RetryStops(WorkerSession& aWorker)
{
  const TimePoint now = mClock.MonotonicNow();
  for (auto& [task, run] : aWorker.Runs()) {
    const bool stopping =
      run.mPhase == RunPhase::Stopping || run.mPhase == RunPhase::Unconfirmed;
    const bool due = stopping && !run.mStopConfirmed && !run.mStopInFlight &&
                     now - run.mLastOrderAt >= kStopRetryInterval;
    if (due) {
      StopRun(aWorker, task, run);
    }
  }
}

void
Coordinator::MarkRunLost(WorkerSession& aWorker,
                         const RunId& aRun,
                         const RunEvidence& aEvidence,
                         const char* aReason)
{
  const std::optional<TrackedRun> run =
    mLedger.Conclude(aWorker, aRun, aEvidence);
  if (!run) {
    return;
  }
  ++mCounters.mRunsLost;
  EventLine(mLog, "run-lost")
    .With("job", aRun.mTask.mJob)
    .With("step", aRun.mTask.mStep)
    .With("task", aRun.mTask.mIndex)
    .With("run", aRun.mNumber)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("evidence", NameOf(aEvidence.mKind))
    .With("list", aEvidence.mListOrder)
    .With("reason", aReason);
  DispatchJob* job = FindJob(aRun.mTask.mJob);
  const DispatchTask* task = job == nullptr ? nullptr : job->Task(aRun.mTask);
  const bool isCurrentRun = task != nullptr &&
                            task->mPhase == TaskPhase::Assigned &&
                            task->mWorker == aWorker.Report().mBoot.mId;
  if (isCurrentRun) {
    RequeueTask(*job, aRun.mTask);
  }
}

bool
Coordinator::IsStraggler(const DispatchJob& aJob,
                         const TaskId& aTask,
                         const TrackedRun& aRun,
                         TimePoint aNow) const
{
  const DispatchTask& task = aJob.mSteps[aTask.mStep][aTask.mIndex];
  if (aRun.mPhase != RunPhase::Running || aRun.mIsOrphan ||
      task.mStragglerCount >= kMaxStragglersPerTask) {
    return false;
  }
  const milliseconds measured = aJob.mLongestRunDurations[aTask.mStep];
  const bool isMeasured = measured.count() > 0;
  const milliseconds expected =
    isMeasured ? measured : milliseconds(aJob.Step(aTask).mEstimateMs);
  const auto minObserved =
    expected * kMinObservedPercent / kHundredPercent + kMinObservedTime;
  const milliseconds observed = aRun.ObservedTime();
  if (observed < minObserved || aRun.mPercent >= kHundredPercent) {
    return false;
  }
  const auto projected =
    observed * kHundredPercent / std::max<int>(1, aRun.mPercent);
  const auto remaining =
    projected - observed - (aNow - aRun.mProgressReportedAt);
  return projected > expected * (isMeasured ? kStragglerFactorMeasured
                                            : kStragglerFactorEstimated) &&
         remaining > expected + kMinObservedTime;
}

bool
Coordinator::IsStragglerByModel(const WorkerSession& aWorker,
                                const DispatchJob& aJob,
                                const TaskId& aTask,
                                TrackedRun& aRun,
                                TimePoint aNow)
{
  const DispatchTask& task = aJob.mSteps[aTask.mStep][aTask.mIndex];
  if (aRun.mPhase != RunPhase::Running || aRun.mIsOrphan ||
      task.mStragglerCount >= kMaxStragglersPerTask) {
    return false;
  }
  const RunTimeModel::Work work = WorkOf(aJob, aTask);
  const milliseconds measured = aJob.mLongestRunDurations[aTask.mStep];
  StragglerRule::Run run;
  run.mObserved = aRun.ObservedTime();
  run.mPercent = aRun.mPercent;
  run.mSinceReport =
    duration_cast<milliseconds>(aNow - aRun.mProgressReportedAt);
  run.mExpectedHere = std::max(measured, mRunTimes.ExpectedAt(aWorker, work));
  run.mExpectedElsewhere =
    std::max(measured, mRunTimes.ExpectedAtFastest(aWorker, work));
  run.mShareOfGains = mRunTimes.ShareOfGains(work);
  const StragglerRule::Verdict verdict = StragglerRule::Judge(run);
  if (verdict != StragglerRule::Verdict::NoGain || aRun.mIsLeft) {
    return verdict == StragglerRule::Verdict::Stop;
  }
  aRun.mIsLeft = true;
  ++mCounters.mStragglersLeft;
  mRunTimes.LearnNoStop(work);
  EventLine(mLog, "run-slow-left")
    .With("job", aTask.mJob)
    .With("step", aTask.mStep)
    .With("task", aTask.mIndex)
    .With("run", aRun.mNumber)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("ran_ms", std::int64_t{ run.mObserved.count() })
    .With("percent", run.mPercent)
    .With("expected_ms", std::int64_t{ run.mExpectedHere.count() })
    .With("restart_ms",
          std::int64_t{ StragglerRule::RestartTime(run).count() });
  return false;
}

void
Coordinator::LearnOverrun(WorkerSession& aWorker,
                          const DispatchJob& aJob,
                          const TaskId& aTask,
                          TrackedRun& aRun)
{
  const milliseconds runTime = aRun.RunTimeAt(aRun.mProgressClock);
  const bool canLearn = mOptions.mLearnRunTimes && !aRun.mIsLearned &&
                        aRun.mPhase == RunPhase::Running && !aRun.mIsOrphan;
  if (!canLearn ||
      !mRunTimes.IsAtBound(aWorker, WorkOf(aJob, aTask), runTime)) {
    return;
  }
  aRun.mIsLearned = true;
  LearnRunTime(aWorker, aJob, aTask, runTime);
}

void
Coordinator::StopStragglers(WorkerSession& aWorker, TimePoint aNow)
{
  if (aWorker.mUnansweredHolds > 0) {
    return;
  }
  for (auto& [task, run] : aWorker.Runs()) {
    DispatchJob* job = FindJob(task.mJob);
    if (job == nullptr || job->Task(task) == nullptr) {
      continue;
    }
    // Most runs are not slow: that is found without the model.
    if (run.mExpected.count() > 0 && run.ObservedTime() <= run.mExpected) {
      continue;
    }
    LearnOverrun(aWorker, *job, task, run);
    const bool isByModel =
      mOptions.mLearnRunTimes && mRunTimes.IsKnown(WorkOf(*job, task));
    const bool isStraggler =
      isByModel ? IsStragglerByModel(aWorker, *job, task, run, aNow)
                : IsStraggler(*job, task, run, aNow);
    if (!isStraggler) {
      continue;
    }
    ++mCounters.mStragglers;
    ++job->Task(task)->mStragglerCount;
    EventLine(mLog, "run-too-slow")
      .With("job", task.mJob)
      .With("step", task.mStep)
      .With("task", task.mIndex)
      .With("run", run.mNumber)
      .With("worker", aWorker.Report().mBoot.mId)
      .With("ran_ms", std::int64_t{ run.ObservedTime().count() })
      .With("since_order_ms",
            std::int64_t{
              duration_cast<milliseconds>(aNow - run.mLastOrderAt).count() })
      .With("percent", run.mPercent)
      .With("expected_ms", job->Step(task).mEstimateMs);
    aWorker.mHealth.RunFailed(aNow);
    StopRun(aWorker, task, run);
  }
}

}

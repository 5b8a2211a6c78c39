// Orders to start and to stop runs, and their answers.
#include "Dispatch/Coordinator.h"

#include <algorithm>

#include "Dispatch/WorkerFence.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Run numbers that each leader has for itself, so that the numbers of a task
 * rise over leaders that know nothing of each other's starts. */
constexpr RunNumber kRunNumbersPerTerm = 1000;

/** The last so many numbers before those of an elected leader belong to the
 * instances that lead a data centre alone in its term. */
constexpr RunNumber kRunNumbersForLocalLeaders = kRunNumbersPerTerm / 2;

/** Fence of the first leader of an installation: its group is founded in term
 * 1 and elects in term 2. */
constexpr Fence kFirstFence = 2;

/** Numbers that are skipped after a worker refused one as superseded. */
constexpr RunNumber kRunNumbersSkipped = 16;

/** Pause before a worker is asked again that another leader commands. */
constexpr milliseconds kFencedRetryDelay{ 10 };

/** Pause between two attempts to order the same stop. */
constexpr milliseconds kStopRetryInterval{ 100 };

/** A run counts as a straggler if its rate of progress leads to more than so
 * many times the longest run of its step, or of the declared duration, which
 * is a rough guess. */
constexpr int kStragglerFactorMeasured = 3;
constexpr int kStragglerFactorEstimated = 8;

/** No run is judged before this part of the expected duration, in percent, and
 * this time; both leave room for a list that is not new. */
constexpr int kMinObservedPercent = 120;
constexpr milliseconds kMinObservedTime{ 60 };

/** Runs of one task that may be stopped as too slow: a task that is slow on
 * every worker is a long one. */
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
  RunNumber before =
    mFence > kFirstFence ? (mFence - kFirstFence) * kRunNumbersPerTerm : 0;
  if (mScope.IsLocal() && before > 0) {
    before -= kRunNumbersForLocalLeaders;
  }
  aTask.mLastRun = std::max(aTask.mLastRun, before) + 1;
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
  order.mLeaseUntil = aWorker.GrantLease(now);

  TrackedRun run;
  run.mNumber = order.mRun.mNumber;
  run.mNeeds = step.mNeeds;
  run.mLastOrderAt = now;
  run.mProgressReportedAt = now;
  run.mIgnoreHoldsUpTo = aWorker.mHoldsSent;
  aWorker.Add(aTask, run);

  ReleaseTask(aJob, task, TaskPhase::Assigned);
  ++aJob.mAssignedTaskCount;
  task.mWorker = aWorker.Report().mBoot.mId;
  if (!aJob.mStarted) {
    mLatencies.mFirstStarts.Add(
      duration_cast<milliseconds>(now - aJob.mArrivedAt));
    aJob.mStarted = true;
    aJob.mState = JobState::Running;
  }
  ++mCounters.mStarts;
  EventLine(mLog, "run-ordered")
    .With("job", aTask.mJob)
    .With("step", aTask.mStep)
    .With("task", aTask.mIndex)
    .With("run", run.mNumber)
    .With("worker", task.mWorker)
    .With("waited_ms",
          std::int64_t{
            duration_cast<milliseconds>(now - aJob.mArrivedAt).count() })
    .With("free_mcores", aWorker.Free().mMilliCores);
  mCalls.Start(
    order,
    mOrderTimeouts.Timeout(mClock.MonotonicNow()),
    [this, fence = mFence, boot = order.mTarget.mBoot, started = order.mRun](
      const OrderResult& aResult) {
      if (mLeading && fence == mFence) {
        OnStarted(boot, started, aResult);
      }
    });
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
    OnStartRefused(*worker, aRun, aResult.mOutcome);
    return;
  }
  run->mIgnoreHoldsUpTo = worker->mHoldsSent;
  const TimePoint now = mClock.MonotonicNow();
  const auto took = duration_cast<milliseconds>(now - run->mLastOrderAt);
  mLatencies.mStartAnswers.Add(took);
  mOrderTimeouts.ObserveAnswer(took, now);
  if (run->mPhase == RunPhase::Starting) {
    run->mPhase = RunPhase::Running;
  }
  Hold(*worker, false);
}

void
Coordinator::OnStartRefused(WorkerSession& aWorker,
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
    EndSession(id, "another boot answers at its address");
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
  const bool reread =
    aOutcome == OrderOutcome::Late || aOutcome == OrderOutcome::NoRoom;
  if (reread) {
    // What was believed of its clock, its runs or its fence is wrong.
    aWorker.mFenceAccepted = false;
    aWorker.mNextHoldAt = {};
  }
  MarkRunLost(aWorker, aRun.mTask, "not started");
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
    EndSession(aBoot.mId, "another boot answers at its address");
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

// Another leader of this term commands the worker, or a later one. The first is
// outbid: an elected leader takes the worker back, a local one takes it once.
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
  aWorker.mFenceAccepted = false;
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
                         // NOLINTNEXTLINE(performance-unnecessary-value-param)
                         TaskId aTask,
                         const char* aWhy)
{
  const TrackedRun* run = aWorker.Find(aTask);
  const RunNumber number = run->mNumber;
  const bool orphan = run->mIsOrphan;
  aWorker.Remove(aTask);
  ++mCounters.mRunsLost;
  EventLine(mLog, "run-lost")
    .With("job", aTask.mJob)
    .With("step", aTask.mStep)
    .With("task", aTask.mIndex)
    .With("run", number)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("reason", aWhy);
  DispatchJob* job = FindJob(aTask.mJob);
  DispatchTask* task = job == nullptr ? nullptr : job->Task(aTask);
  const bool ours = !orphan && task != nullptr &&
                    task->mPhase == TaskPhase::Assigned &&
                    task->mWorker == aWorker.Report().mBoot.mId;
  if (ours) {
    RequeueTask(*job, *task);
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
  const milliseconds longest = aJob.mLongestRunDurations[aTask.mStep];
  const bool known = longest.count() > 0;
  const milliseconds expected =
    known ? longest : milliseconds(aJob.Step(aTask).mEstimateMs);
  const auto judged =
    expected * kMinObservedPercent / kHundredPercent + kMinObservedTime;
  const auto seen = aRun.mProgressReportedAt - aRun.mLastOrderAt;
  if (seen < judged || aRun.mPercent >= kHundredPercent) {
    return false;
  }
  const auto whole = seen * kHundredPercent / std::max<int>(1, aRun.mPercent);
  const auto left = whole - (aNow - aRun.mLastOrderAt);
  return whole > expected * (known ? kStragglerFactorMeasured
                                   : kStragglerFactorEstimated) &&
         left > expected + kMinObservedTime;
}

void
Coordinator::StopStragglers(WorkerSession& aWorker, TimePoint aNow)
{
  if (aWorker.mUnansweredHolds > 0) {
    return;
  }
  for (auto& [task, run] : aWorker.Runs()) {
    DispatchJob* job = FindJob(task.mJob);
    if (job == nullptr || !IsStraggler(*job, task, run, aNow)) {
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
      .With("ran_ms",
            std::int64_t{
              duration_cast<milliseconds>(aNow - run.mLastOrderAt).count() })
      .With("percent", run.mPercent)
      .With("expected_ms", job->Step(task).mEstimateMs);
    aWorker.mHealth.RunFailed(aNow);
    StopRun(aWorker, task, run);
  }
}

}

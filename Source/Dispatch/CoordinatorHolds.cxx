// Sessions with workers: leases, lists of runs, and taking over.
#include "Dispatch/Coordinator.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Ends that are processed are acknowledged within this time, also on a worker
 * that runs nothing any more. */
constexpr milliseconds kMaxAcknowledgeDelay{ 1500 };

/** Pauses between hold orders that get no answer. */
constexpr milliseconds kInitialRetryDelay{ 30 };
constexpr milliseconds kMaxRetryDelay{ 500 };
constexpr unsigned kMaxDoublings = 4;

/** Unanswered hold orders after which no lease is granted any more, so that
 * what runs on an unreachable worker ends. */
constexpr unsigned kUnansweredBeforeLeaseStop = 2;

/** Time that callers have to hand in again the jobs whose runs another leader
 * started, once these are found. */
constexpr milliseconds kOrphanClaimTimeout{ 1500 };

/** Part of a lease that an earlier leader may have granted last, in percent of
 * the longest lease: a worker's clock may be slow. */
constexpr int kMaxLeasePercent = 106;
constexpr int kHundredPercent = 100;

}

WorkerSession*
Coordinator::SessionOf(const WorkerBoot& aBoot)
{
  const auto worker = mWorkers.find(aBoot.mId);
  const bool known =
    worker != mWorkers.end() && worker->second.Report().mBoot == aBoot;
  return known ? &worker->second : nullptr;
}

void
Coordinator::OnReport(const WorkerReport& aReport)
{
  if (!mLeading) {
    return;
  }
  const auto known = mWorkers.find(aReport.mBoot.mId);
  if (known == mWorkers.end()) {
    AddWorker(aReport);
    return;
  }
  WorkerSession& worker = known->second;
  if (worker.Report().mBoot.mBornMs > aReport.mBoot.mBornMs) {
    return;
  }
  if (worker.Report().mBoot != aReport.mBoot) {
    EndSession(aReport.mBoot.mId, "it has started again");
    AddWorker(aReport);
    return;
  }
  const bool changed = worker.Report().mDraining != aReport.mDraining ||
                       worker.Report().mLeft != aReport.mLeft;
  if (changed) {
    EventLine(mLog, "worker-changed")
      .With("worker", aReport.mBoot.mId)
      .With("draining", aReport.mDraining)
      .With("left", aReport.mLeft)
      .With("runs", std::uint64_t{ worker.Runs().size() });
  }
  worker.Update(aReport);
  worker.mLastReport = mClock.MonotonicNow();
  if (aReport.mClockMs > 0) {
    worker.ObserveClock(aReport.mClockMs, mClock.MonotonicNow());
  }
}

WorkerSession&
Coordinator::AddSession(const WorkerReport& aReport)
{
  const TimePoint now = mClock.MonotonicNow();
  const auto added = mWorkers.emplace(
    aReport.mBoot.mId, WorkerSession(aReport, now, mOptions.mMaxHold));
  return added.first->second;
}

void
Coordinator::AddWorker(const WorkerReport& aReport)
{
  // What is not stored as enlisted, a later leader would not look at.
  if (aReport.mLeft || mScope.IsLocal()) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  WorkerSession& worker = AddSession(aReport);
  if (aReport.mClockMs > 0) {
    worker.ObserveClock(aReport.mClockMs, now);
  }
  EventLine(mLog, "worker-added")
    .With("worker", aReport.mBoot.mId)
    .With("born", aReport.mBoot.mBornMs)
    .With("address", aReport.mAddress)
    .With("pool", aReport.mPool)
    .With("mcores", aReport.mCapacity.mMilliCores)
    .With("draining", aReport.mDraining);
  RegisterWorker(aReport);
  HoldIfDue(worker, now);
}

void
Coordinator::RemoveSilentWorkers(TimePoint aNow)
{
  std::vector<WorkerId> silent;
  for (const auto& [id, worker] : mWorkers) {
    const bool gone = worker.Report().mLeft && worker.HasLeaseExpired(aNow);
    const bool old = aNow - worker.mLastReport > mOptions.mWorkerExpiry;
    if (worker.Runs().empty() && (gone || old)) {
      silent.push_back(id);
    }
  }
  for (const WorkerId& id : silent) {
    EndSession(id, "it has left or not reported for long");
  }
}

void
Coordinator::EndSession(const WorkerId& aId, const char* aWhy)
{
  const auto found = mWorkers.find(aId);
  if (found == mWorkers.end()) {
    return;
  }
  WorkerSession& worker = found->second;
  EventLine(mLog, "worker-ended")
    .With("worker", aId)
    .With("reason", aWhy)
    .With("runs", std::uint64_t{ worker.Runs().size() });
  while (!worker.Runs().empty()) {
    MarkRunLost(worker, worker.Runs().begin()->first, aWhy);
  }
  PendingBatch([](bool) {}).mRemovedWorkers.push_back(worker.Report().mBoot);
  mWorkers.erase(aId);
}

void
Coordinator::HoldIfDue(WorkerSession& aWorker, TimePoint aNow)
{
  const bool unacknowledged =
    aWorker.LastAcknowledgeableEnd() > aWorker.mLastAcknowledgedEnd &&
    aNow - aWorker.mUnacknowledgedSince >= kMaxAcknowledgeDelay;
  const bool wanted = !aWorker.mFenceAccepted || !aWorker.Runs().empty() ||
                      unacknowledged || aWorker.mUnansweredHolds > 0;
  if (wanted && aNow >= aWorker.mNextHoldAt) {
    Hold(aWorker, false);
  }
}

void
Coordinator::Hold(WorkerSession& aWorker, bool aUrgent)
{
  if (aWorker.mHoldInFlight && !aUrgent) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  // An elected leader may have given up what a local one finds here, and must
  // see it end with its lease.
  const bool spares =
    mScope.IsLocal() && (!aWorker.mFenceAccepted || aWorker.mOrphanCount > 0);
  const bool extend = aWorker.IsClockKnown() && !aWorker.Report().mLeft &&
                      aWorker.mUnansweredHolds < kUnansweredBeforeLeaseStop &&
                      !spares &&
                      (!aWorker.Runs().empty() || !aWorker.mFenceAccepted);
  HoldOrder order;
  order.mTarget = TargetOf(aWorker);
  order.mLeaseUntil = extend ? aWorker.GrantLease(now) : 0;
  order.mAcknowledged = aWorker.LastAcknowledgeableEnd();
  const bool waits = !aUrgent && aWorker.mFenceAccepted &&
                     aWorker.mUnansweredHolds == 0 && !aWorker.Runs().empty();
  order.mWait = waits ? mOptions.mHoldWait : milliseconds(0);
  if (!aUrgent) {
    aWorker.mHoldInFlight = true;
  }
  const std::uint64_t number = ++aWorker.mHoldsSent;
  ++mCounters.mHolds;
  mCalls.Hold(order,
              order.mWait + std::min(mOptions.mHoldTimeoutMargin,
                                     mOrderTimeouts.Timeout(now)),
              [this,
               fence = mFence,
               boot = order.mTarget.mBoot,
               number,
               aUrgent,
               acknowledged = order.mAcknowledged](const HoldResult& aResult) {
                if (!mLeading || fence != mFence) {
                  return;
                }
                if (WorkerSession* worker = SessionOf(boot)) {
                  if (aResult.mOutcome == OrderOutcome::Done) {
                    worker->mLastAcknowledgedEnd =
                      std::max(worker->mLastAcknowledgedEnd, acknowledged);
                  }
                  OnHoldAnswered(boot, number, aUrgent, aResult);
                }
              });
}

void
Coordinator::OnHoldAnswered(const WorkerBoot& aBoot,
                            std::uint64_t aHold,
                            bool aUrgent,
                            const HoldResult& aResult)
{
  WorkerSession& worker = *SessionOf(aBoot);
  if (!aUrgent) {
    worker.mHoldInFlight = false;
  }
  const bool otherBoot = aResult.mOutcome == OrderOutcome::OtherBoot ||
                         (aResult.mBornMs != 0 && aBoot.mBornMs != 0 &&
                          aResult.mBornMs != aBoot.mBornMs);
  if (otherBoot) {
    EndSession(aBoot.mId, "another boot answers at its address");
    return;
  }
  if (aResult.mOutcome == OrderOutcome::Fenced) {
    OnFenced(worker);
    return;
  }
  if (aResult.mOutcome != OrderOutcome::Done) {
    if (!aUrgent) {
      OnUnanswered(worker);
    }
    return;
  }
  if (worker.mUnansweredHolds > 0) {
    EventLine(mLog, "worker-answers-again")
      .With("worker", aBoot.mId)
      .With("unanswered", worker.mUnansweredHolds);
  }
  worker.mUnansweredHolds = 0;
  worker.mNextHoldAt = {};
  worker.ObserveClock(aResult.mClock, mClock.MonotonicNow());
  worker.mFenceAccepted = true;
  ProcessEnds(worker, aResult.mEnded);
  ProcessRunning(worker, aResult.mRunning);
  RemoveUnlistedRuns(worker, aHold, aResult.mRunning);
  if (!mRecoveryComplete) {
    TryFinishRecovery(mClock.MonotonicNow());
  }
  if (!worker.Runs().empty()) {
    Hold(worker, false);
  }
  Schedule();
  FlushRecords();
}

void
Coordinator::OnUnanswered(WorkerSession& aWorker)
{
  const unsigned doublings = std::min(aWorker.mUnansweredHolds, kMaxDoublings);
  ++aWorker.mUnansweredHolds;
  aWorker.mNextHoldAt =
    mClock.MonotonicNow() +
    std::min(kMaxRetryDelay, kInitialRetryDelay * (1U << doublings));
  if (aWorker.mUnansweredHolds == 1) {
    EventLine(mLog, "worker-unanswered")
      .With("worker", aWorker.Report().mBoot.mId)
      .With("runs", std::uint64_t{ aWorker.Runs().size() });
  }
}

void
Coordinator::ProcessEnds(WorkerSession& aWorker,
                         const std::vector<ListedEnd>& aEnds)
{
  for (const ListedEnd& end : aEnds) {
    if (end.mNumber <= aWorker.mLastProcessedEnd) {
      continue;
    }
    if (aWorker.mLastProcessedEnd == aWorker.mLastAcknowledgedEnd) {
      aWorker.mUnacknowledgedSince = mClock.MonotonicNow();
    }
    aWorker.mLastProcessedEnd = end.mNumber;
    ProcessEnd(aWorker, end);
  }
}

void
Coordinator::ProcessEnd(WorkerSession& aWorker, const ListedEnd& aEnd)
{
  const TaskId& id = aEnd.mRun.mTask;
  const TrackedRun* run = aWorker.Find(id);
  const bool present = run != nullptr && run->mNumber == aEnd.mRun.mNumber;
  const bool wasStopping = present && run->mPhase == RunPhase::Stopping;
  const TimePoint sent = present ? run->mLastOrderAt : TimePoint{};
  if (present) {
    aWorker.Remove(id);
  }
  EventLine(mLog, "run-end")
    .With("job", id.mJob)
    .With("step", id.mStep)
    .With("task", id.mIndex)
    .With("run", aEnd.mRun.mNumber)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("how", NameOf(aEnd.mEnd))
    .With("known", present);
  const TimePoint now = mClock.MonotonicNow();
  mCounters.mRunsDone += aEnd.mEnd == RunEnd::Done ? 1 : 0;
  mCounters.mRunsFailed += aEnd.mEnd == RunEnd::Failed ? 1 : 0;
  if (aEnd.mEnd == RunEnd::Done) {
    aWorker.mHealth.RunSucceeded();
  } else if (aEnd.mEnd == RunEnd::Failed) {
    aWorker.mHealth.RunFailed(now);
  }
  DispatchJob* job = FindJob(id.mJob);
  DispatchTask* task = job == nullptr ? nullptr : job->Task(id);
  if (task == nullptr) {
    if (aEnd.mEnd == RunEnd::Done) {
      mUnmatchedEnds[id] = { aEnd.mEnd, now };
    }
    return;
  }
  if (!aEnd.mCheckpoint.empty()) {
    task->mCheckpoint = aEnd.mCheckpoint;
  }
  const bool counts = aEnd.mEnd == RunEnd::Done ||
                      (aEnd.mEnd == RunEnd::Failed && present && !wasStopping);
  if (job->mIsStored && counts && !job->HasEnded()) {
    StoreEnd(aWorker, *job, aEnd);
    return;
  }
  if (aEnd.mEnd == RunEnd::Done) {
    if (present && !wasStopping) {
      milliseconds& longest = job->mLongestRunDurations[id.mStep];
      longest =
        std::max(longest, std::chrono::duration_cast<milliseconds>(now - sent));
    }
    const auto other = mWorkers.find(task->mWorker);
    if (!present && task->mPhase == TaskPhase::Assigned &&
        other != mWorkers.end()) {
      // An earlier run that had been given up has ended well after all.
      if (TrackedRun* second = other->second.Find(id)) {
        StopRun(other->second, id, *second);
      }
    }
    FinishTask(*job, id);
    return;
  }
  const bool ours = present && task->mPhase == TaskPhase::Assigned &&
                    task->mWorker == aWorker.Report().mBoot.mId;
  if (!ours) {
    return;
  }
  if (aEnd.mEnd == RunEnd::Failed && !wasStopping) {
    FailTask(*job, id);
    return;
  }
  RequeueTask(*job, *task);
}

void
Coordinator::ProcessRunning(WorkerSession& aWorker,
                            const std::vector<ListedRun>& aRunning)
{
  const TimePoint now = mClock.MonotonicNow();
  for (const ListedRun& listed : aRunning) {
    TrackedRun* run = aWorker.Find(listed.mRun.mTask);
    if (run == nullptr || run->mNumber != listed.mRun.mNumber) {
      AddOrphan(aWorker, listed);
      continue;
    }
    if (run->mPhase == RunPhase::Starting) {
      run->mPhase = RunPhase::Running;
    }
    run->mPercent = listed.mPercent;
    run->mProgressReportedAt = now;
  }
}

void
Coordinator::AddOrphan(WorkerSession& aWorker, const ListedRun& aRun)
{
  const TaskId& id = aRun.mRun.mTask;
  const TrackedRun* known = aWorker.Find(id);
  if (known != nullptr && known->mNumber > aRun.mRun.mNumber) {
    return;
  }
  TrackedRun run;
  run.mNumber = aRun.mRun.mNumber;
  run.mPhase = RunPhase::Running;
  run.mIsOrphan = true;
  run.mLastOrderAt = mClock.MonotonicNow();
  run.mPercent = aRun.mPercent;
  run.mProgressReportedAt = run.mLastOrderAt;
  run.mIgnoreHoldsUpTo = aWorker.mHoldsSent;
  aWorker.Remove(id);
  if (aWorker.mOrphanCount == 0) {
    aWorker.mFirstOrphanAt = run.mLastOrderAt;
  }
  aWorker.Add(id, run);
  aWorker.AssumeLeaseGranted(run.mLastOrderAt);
  mWorkersWithOrphans.insert(aWorker.Report().mBoot.mId);
  EventLine(mLog, "run-found")
    .With("job", id.mJob)
    .With("step", id.mStep)
    .With("task", id.mIndex)
    .With("run", run.mNumber)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("percent", run.mPercent);
  if (mScope.IsLocal()) {
    StopRun(aWorker, id, *aWorker.Find(id));
    return;
  }
  DispatchJob* job = FindJob(id.mJob);
  if (job == nullptr) {
    return;
  }
  DispatchTask* task = job->Task(id);
  if (task != nullptr && task->mPhase == TaskPhase::Ready) {
    ClaimOrphans(*job);
    return;
  }
  // It is done, or runs elsewhere.
  if (task != nullptr) {
    aWorker.SetNeeds(*aWorker.Find(id), job->Step(id).mNeeds);
  }
  StopRun(aWorker, id, *aWorker.Find(id));
}

void
Coordinator::RemoveUnlistedRuns(WorkerSession& aWorker,
                                std::uint64_t aHold,
                                const std::vector<ListedRun>& aRunning)
{
  std::set<std::pair<TaskId, RunNumber>> listed;
  for (const ListedRun& run : aRunning) {
    listed.emplace(run.mRun.mTask, run.mRun.mNumber);
  }
  std::vector<TaskId> missing;
  for (const auto& [task, run] : aWorker.Runs()) {
    const bool settled = run.mPhase == RunPhase::Running || run.mStopConfirmed;
    if (settled && aHold > run.mIgnoreHoldsUpTo &&
        listed.count({ task, run.mNumber }) == 0) {
      missing.push_back(task);
    }
  }
  for (const TaskId& task : missing) {
    MarkRunLost(aWorker, task, "not in the worker's list");
  }
}

void
Coordinator::RemoveRunsIfLeaseExpired(WorkerSession& aWorker, TimePoint aNow)
{
  if (aWorker.Runs().empty() || !aWorker.HasLeaseExpired(aNow) ||
      !aWorker.IsClockKnown()) {
    return;
  }
  while (!aWorker.Runs().empty()) {
    MarkRunLost(aWorker, aWorker.Runs().begin()->first, "its lease has ended");
  }
}

void
Coordinator::StopUnclaimedOrphans(TimePoint aNow)
{
  for (auto id = mWorkersWithOrphans.begin();
       id != mWorkersWithOrphans.end();) {
    const auto worker = mWorkers.find(*id);
    if (worker == mWorkers.end() || worker->second.mOrphanCount == 0) {
      id = mWorkersWithOrphans.erase(id);
      continue;
    }
    const bool claimable =
      aNow - worker->second.mFirstOrphanAt < kOrphanClaimTimeout;
    for (auto& [task, run] : worker->second.Runs()) {
      if (!claimable && run.mIsOrphan && run.mPhase == RunPhase::Running) {
        StopRun(worker->second, task, run);
      }
    }
    ++id;
  }
}

void
Coordinator::TryFinishRecovery(TimePoint aNow)
{
  if (mRecoveryComplete) {
    return;
  }
  const milliseconds bound =
    mOptions.mMaxHold * kMaxLeasePercent / kHundredPercent;
  // A local lead starts only what no other leader has seen.
  const bool lapsed = aNow - mLeadingSince >= bound || mScope.IsLocal();
  const bool allRead =
    std::all_of(mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
      return aEntry.second.mFenceAccepted;
    });
  // Without any worker, the first ones are still to report.
  if (!lapsed && (!allRead || mWorkers.empty())) {
    return;
  }
  mRecoveryComplete = true;
  EventLine(mLog, "lead-settled")
    .With("fence", mFence)
    .With("after_ms",
          std::int64_t{
            std::chrono::duration_cast<milliseconds>(aNow - mLeadingSince)
              .count() })
    .With("all_read", allRead)
    .With("workers", std::uint64_t{ mWorkers.size() });
  UpdateUsableCores();
  Schedule();
}

}

// Worker sessions: leases, run lists, and recovery after a change of leader.
#include "Dispatch/Coordinator.h"

#include <algorithm>
#include <cmath>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Bounds of the exponential backoff between unanswered hold orders. */
constexpr milliseconds kInitialRetryDelay{ 30 };
constexpr milliseconds kMaxRetryDelay{ 500 };
constexpr unsigned kMaxDoublings = 7;

/** Longest time between hold orders to a worker that has never answered. */
constexpr milliseconds kMaxUnprovenRetryDelay{ 4000 };

/** Number of consecutive unanswered hold orders after which the lease is no
 * longer extended, so that the runs of an unreachable worker end. */
constexpr unsigned kUnansweredBeforeLeaseStop = 2;

/** Time that callers have to submit a job again after one of its runs from
 * another leader was found. Unclaimed runs are stopped afterwards. */
constexpr milliseconds kOrphanClaimTimeout{ 1500 };

/** Time between hold orders of a local leader to a worker whose ends it must
 * leave to the elected leader. The worker lists them each time. */
constexpr milliseconds kWithheldEndsInterval{ 50 };

/** A lease of an earlier leader has expired after this percentage of the
 * maximum lease. The surplus accounts for slow clocks of workers. */
constexpr int kLeaseExpiryPercent = 106;

constexpr int kHundredPercent = 100;

}

bool
Coordinator::NeedsHold(const WorkerSession& aWorker, TimePoint aNow)
{
  const bool hasOverdueAcknowledgement =
    aWorker.HasUnacknowledgedEnds() && aNow >= aWorker.AcknowledgeBy();
  const bool hasFurtherEnds =
    !aWorker.mAreListsRead && aWorker.HasUnacknowledgedEnds();
  return !aWorker.mFenceAccepted || !aWorker.Runs().empty() ||
         hasOverdueAcknowledgement || hasFurtherEnds ||
         aWorker.mUnansweredHolds > 0;
}

void
Coordinator::HoldIfDue(WorkerSession& aWorker, TimePoint aNow)
{
  if (NeedsHold(aWorker, aNow) && aNow >= aWorker.mNextHoldAt) {
    Hold(aWorker, false);
  }
}

void
Coordinator::Hold(WorkerSession& aWorker, bool aUrgent)
{
  // Without the lease, the order would only put the worker in doubt.
  if ((aWorker.mHoldInFlight && !aUrgent) || !mCalls.MaySend()) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  // A local leader does not extend the lease of runs that it found: an elected
  // leader may already count on them to end with that lease.
  const bool mustLetLeaseExpire =
    mScope.IsLocal() && (!aWorker.mFenceAccepted || aWorker.mOrphanCount > 0);
  // Recovery waits for the lists of a worker or for the end of its lease, so
  // that the lease of an unread worker is extended only once.
  const bool mayExtend =
    mRecoveryComplete || aWorker.mAreListsRead || aWorker.mHoldsSent == 0;
  const bool extend = aWorker.IsClockKnown() && !aWorker.Report().mHasLeft &&
                      aWorker.mUnansweredHolds < kUnansweredBeforeLeaseStop &&
                      !mustLetLeaseExpire && mayExtend &&
                      (!aWorker.Runs().empty() || !aWorker.mFenceAccepted);
  HoldOrder order;
  order.mTarget = TargetOf(aWorker);
  order.mLeaseEnd = extend ? aWorker.GrantLease(now) : 0;
  // Further ends are listed only after those before are acknowledged.
  const bool mayAcknowledge =
    !aWorker.mAreListsRead || !aWorker.HasUnlocatedRuns();
  order.mAcknowledgedEnds =
    mayAcknowledge ? aWorker.LastAcknowledgeableEnd() : 0;
  const bool isLongPoll = !aUrgent && aWorker.mFenceAccepted &&
                          aWorker.mUnansweredHolds == 0 &&
                          !aWorker.Runs().empty();
  order.mMaxWait = isLongPoll ? mOptions.mHoldWait : milliseconds(0);
  if (!aUrgent) {
    aWorker.mHoldInFlight = true;
  }
  const std::uint64_t number = ++aWorker.mHoldsSent;
  aWorker.mLists.OnSent(number);
  ++mCounters.mHolds;
  mCalls.Hold(
    order,
    order.mMaxWait +
      std::min(mOptions.mHoldTimeoutMargin, mOrderTimeouts.Timeout(now)),
    [this,
     fence = mFence,
     boot = order.mTarget.mBoot,
     session = aWorker.mPosition.mNumber,
     number,
     aUrgent,
     acknowledged = order.mAcknowledgedEnds](const HoldResult& aResult) {
      if (!mLeading || fence != mFence) {
        return;
      }
      // A later session of the same boot counts its orders anew.
      WorkerSession* worker = SessionOf(boot);
      if (worker != nullptr && worker->mPosition.mNumber == session) {
        worker->mLists.OnEnded(number);
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
  if (aResult.mOutcome == OrderOutcome::OtherBoot) {
    EndSession(aBoot.mId, "another worker answers at the worker's address");
    return;
  }
  const bool isOtherBoot = aResult.mStartTimeMs != 0 &&
                           aBoot.mStartTimeMs != 0 &&
                           aResult.mStartTimeMs != aBoot.mStartTimeMs;
  if (isOtherBoot) {
    OnOtherBootAnswered(worker, aResult.mStartTimeMs);
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
  // After a gap, a run may have ended long before it is listed.
  worker.mListedAtClock = worker.mUnansweredHolds == 0 ? aResult.mClock : 0;
  if (worker.mUnansweredHolds > 0) {
    EventLine(mLog, "worker-answers-again")
      .With("worker", aBoot.mId)
      .With("unanswered", worker.mUnansweredHolds);
  }
  worker.mUnansweredHolds = 0;
  worker.mNextHoldAt = {};
  worker.ObserveClock(aResult.mClock, mClock.MonotonicNow());
  // An answer to an order that was sent under an earlier fence says nothing
  // about the runs that another leader has started since.
  const bool isUnderFence = aHold > worker.mDoubtedUpToHold;
  worker.mFenceAccepted = worker.mFenceAccepted || isUnderFence;
  worker.mAreListsRead =
    worker.mAreListsRead || (isUnderFence && aResult.mIsEndListComplete);
  RegisterWorker(worker);
  ProcessEnds(worker, aResult.mEnded);
  ProcessRunning(worker, aHold, aResult);
  const bool isComplete =
    aResult.mIsRunningListComplete && aResult.mIsEndListComplete;
  if (isComplete) {
    MarkRunsLost(worker,
                 RunEvidence::NotListed(aHold, isComplete),
                 aResult.mRunning,
                 "missing from the worker's run list");
  }
  const TimePoint now = mClock.MonotonicNow();
  StopStragglers(worker, now);
  CountUsableCores(worker, now);
  mIndex.Readmit(worker);
  if (!mRecoveryComplete) {
    TryFinishRecovery(now);
  }
  const bool hasWithheldEnds =
    mScope.IsLocal() && !worker.mUnstoredEnds.empty();
  if (hasWithheldEnds) {
    worker.mNextHoldAt = now + kWithheldEndsInterval;
  } else if (!worker.Runs().empty() || !worker.mAreListsRead) {
    ReadOn(worker);
  }
  Schedule();
  FlushRecords();
}

// A worker lists the same ends again until they are acknowledged, which has to
// wait until they are stored.
void
Coordinator::ReadOn(WorkerSession& aWorker)
{
  const bool mayListMore =
    aWorker.mAreListsRead || aWorker.HasUnacknowledgedEnds();
  if (mayListMore) {
    Hold(aWorker, false);
  }
}

void
Coordinator::OnUnanswered(WorkerSession& aWorker)
{
  const unsigned doublings = std::min(aWorker.mUnansweredHolds, kMaxDoublings);
  ++aWorker.mUnansweredHolds;
  const milliseconds maxDelay =
    aWorker.mIsRegistering ? kMaxRetryDelay : kMaxUnprovenRetryDelay;
  aWorker.mNextHoldAt =
    mClock.MonotonicNow() +
    std::min(maxDelay, kInitialRetryDelay * (1U << doublings));
  if (aWorker.mUnansweredHolds == 1) {
    EventLine(mLog, "worker-unanswered")
      .With("worker", aWorker.Report().mBoot.mId)
      .With("runs", std::uint64_t{ aWorker.Runs().size() });
  }
}

void
Coordinator::ProcessEnds(WorkerSession& aWorker,
                         const std::vector<EndedRun>& aEnds)
{
  for (const EndedRun& end : aEnds) {
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
Coordinator::ProcessEnd(WorkerSession& aWorker, const EndedRun& aEnd)
{
  const TaskId& id = aEnd.mRun.mTask;
  const std::optional<TrackedRun> run =
    mLedger.Conclude(aWorker, aEnd.mRun, RunEvidence::EndListed());
  const bool isTracked = run.has_value();
  const bool wasStopping = isTracked && run->mPhase == RunPhase::Stopping;
  const TimePoint startedAt = isTracked ? run->mLastOrderAt : TimePoint{};
  const bool canLearn = aEnd.mEnd == RunEnd::Done && isTracked &&
                        !wasStopping && !run->mIsOrphan && !run->mIsLearned;
  const milliseconds runTime =
    canLearn ? run->RunTimeAt(aWorker.mListedAtClock) : milliseconds(0);
  if (isTracked && mOptions.mLearnRunTimes) {
    mRunTimes.OnEnd(aWorker, mClock.MonotonicNow());
  }
  EventLine(mLog, "run-end")
    .With("job", id.mJob)
    .With("step", id.mStep)
    .With("task", id.mIndex)
    .With("run", aEnd.mRun.mNumber)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("how", NameOf(aEnd.mEnd))
    .With("known", isTracked);
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
    if (mScope.IsLocal()) {
      // The job may be stored: its end is the elected leader's to note.
      aWorker.mUnstoredEnds.insert(aEnd.mNumber);
    }
    if (aEnd.mEnd == RunEnd::Done) {
      mUnmatchedEnds[id] = { aEnd.mEnd, now };
    }
    return;
  }
  if (runTime.count() > 0) {
    LearnRunTime(aWorker, *job, id, runTime);
  }
  if (!aEnd.mCheckpoint.empty()) {
    task->mCheckpoint = aEnd.mCheckpoint;
  }
  const bool mustBeStored =
    aEnd.mEnd == RunEnd::Done || aEnd.mEnd == RunEnd::Failed;
  if (job->mIsStored && mustBeStored && !job->HasEnded()) {
    StoreEnd(aWorker, *job, aEnd);
    return;
  }
  if (aEnd.mEnd == RunEnd::Done) {
    if (isTracked && !wasStopping) {
      milliseconds& longest = job->mLongestRunDurations[id.mStep];
      longest = std::max(
        longest, std::chrono::duration_cast<milliseconds>(now - startedAt));
    }
    const auto currentWorker = mWorkers.find(task->mWorker);
    if (!isTracked && task->mPhase == TaskPhase::Assigned &&
        currentWorker != mWorkers.end()) {
      // An earlier run of the task, presumed lost, succeeded. Stop the run that
      // replaced it.
      if (TrackedRun* currentRun = currentWorker->second.Find(id)) {
        StopRun(currentWorker->second, id, *currentRun);
      }
    }
    FinishTask(*job, id);
    return;
  }
  const bool isCurrentRun = isTracked && task->mPhase == TaskPhase::Assigned &&
                            task->mWorker == aWorker.Report().mBoot.mId;
  if (!isCurrentRun) {
    return;
  }
  RequeueTask(*job, id);
  if (aEnd.mEnd == RunEnd::Failed && !wasStopping) {
    CountFailedRun(*job, id);
  }
}

// A run that continues an earlier one does a part of the work only, and a
// worker that warms up is slow for a time.
void
Coordinator::LearnRunTime(WorkerSession& aWorker,
                          const DispatchJob& aJob,
                          const TaskId& aTask,
                          milliseconds aRunTime)
{
  const DispatchTask& task = aJob.mSteps[aTask.mStep][aTask.mIndex];
  const bool isComparable =
    task.mCheckpoint.empty() && aWorker.Report().mWarmUpRemainingMs == 0;
  if (!mOptions.mLearnRunTimes || !isComparable) {
    return;
  }
  const SpeedTier before = aWorker.mSpeed.mTier;
  const RunTimeModel::Work work = WorkOf(aJob, aTask);
  if (task.mStragglerCount > 0) {
    mRunTimes.LearnStop(work, !mRunTimes.IsAtBound(aWorker, work, aRunTime));
  }
  const bool hasMoved = mRunTimes.Learn(aWorker, work, aRunTime);
  if (!hasMoved) {
    return;
  }
  mIndex.OnRoomChanged(aWorker);
  EventLine(mLog, "worker-tier")
    .With("worker", aWorker.Report().mBoot.mId)
    .With("tier", std::int64_t{ aWorker.mSpeed.mTier })
    .With("tier_before", std::int64_t{ before })
    .With("factor_percent",
          std::int64_t{
            std::lround(RunTimeModel::FactorOf(aWorker) * kHundredPercent) })
    .With("run_ms", std::int64_t{ aRunTime.count() })
    .With("estimate_ms", aJob.Step(aTask).mEstimateMs);
}

void
Coordinator::ProcessRunning(WorkerSession& aWorker,
                            std::uint64_t aHold,
                            const HoldResult& aLists)
{
  const TimePoint now = mClock.MonotonicNow();
  for (const ActiveRun& listed : aLists.mRunning) {
    const ListEntry entry =
      mLedger.OnListed(aWorker, listed, aHold, aLists.mClock, now);
    if (entry == ListEntry::Begun) {
      if (DispatchJob* job = FindJob(listed.mRun.mTask.mJob)) {
        MarkBegun(*job);
      }
    }
    if (entry == ListEntry::Found) {
      OnRunFound(aWorker, listed);
    }
    if (entry == ListEntry::OutOfDate) {
      EventLine(mLog, "run-listed-late")
        .With("job", listed.mRun.mTask.mJob)
        .With("step", listed.mRun.mTask.mStep)
        .With("task", listed.mRun.mTask.mIndex)
        .With("run", listed.mRun.mNumber)
        .With("worker", aWorker.Report().mBoot.mId)
        .With("list", aHold)
        .With("lists_sent", aWorker.mHoldsSent);
    }
  }
}

void
Coordinator::OnRunFound(WorkerSession& aWorker, const ActiveRun& aRun)
{
  const TaskId& id = aRun.mRun.mTask;
  mWorkersWithOrphans.insert(aWorker.Report().mBoot.mId);
  EventLine(mLog, "run-found")
    .With("job", id.mJob)
    .With("step", id.mStep)
    .With("task", id.mIndex)
    .With("run", aRun.mRun.mNumber)
    .With("worker", aWorker.Report().mBoot.mId)
    .With("percent", aRun.mPercent);
  DispatchJob* job = FindJob(id.mJob);
  if (mScope.IsLocal()) {
    StopRun(aWorker, id, *aWorker.Find(id));
    if (job != nullptr && !job->mStarted && !job->HasEnded()) {
      LeaveToElectedLeader(*job);
    }
    return;
  }
  if (job == nullptr) {
    return;
  }
  const DispatchTask* task = job->Task(id);
  if (task != nullptr) {
    aWorker.SetNeeds(*aWorker.Find(id), job->Step(id).mNeeds);
  }
  const bool mayBeClaimed =
    task != nullptr && !job->HasEnded() && !job->mCancelRequested &&
    (task->mPhase == TaskPhase::Ready || task->mPhase == TaskPhase::Blocked);
  if (mayBeClaimed) {
    MarkBegun(*job);
    ClaimFoundRun(*job, id);
    mReady.Update(*job);
    return;
  }
  // The job has ended, or the task is done or assigned to another run.
  StopRun(aWorker, id, *aWorker.Find(id));
}

void
Coordinator::RemoveRunsIfLeaseExpired(WorkerSession& aWorker, TimePoint aNow)
{
  if (aWorker.HasLeaseExpired(aNow)) {
    MarkRunsLost(aWorker,
                 RunEvidence::LeaseExpired(aNow),
                 {},
                 "the lease of the worker has expired");
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
    const bool isClaimable =
      aNow - worker->second.mFirstOrphanAt < kOrphanClaimTimeout;
    for (auto& [task, run] : worker->second.Runs()) {
      if (!isClaimable && run.mIsOrphan && run.mPhase == RunPhase::Running) {
        StopRun(worker->second, task, run);
      }
    }
    ++id;
  }
}

// Earlier leaders have used registered workers only, so that a worker which has
// reported but never answered is not waited for. The check continues where the
// previous one has stopped, and begins again before it succeeds, since a worker
// that was read may have to be read again.
bool
Coordinator::AreAllListsRead()
{
  const auto isUnread = [](const auto& aEntry) {
    return aEntry.second.mRegistered && !aEntry.second.mAreListsRead;
  };
  auto unread =
    std::find_if(mWorkers.lower_bound(mFirstUnread), mWorkers.end(), isUnread);
  if (unread == mWorkers.end()) {
    unread = std::find_if(mWorkers.begin(), mWorkers.end(), isUnread);
  }
  if (unread != mWorkers.end()) {
    mFirstUnread = unread->first;
    return false;
  }
  return std::any_of(mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
    return aEntry.second.mAreListsRead;
  });
}

bool
Coordinator::HaveUnreadLeasesExpired(TimePoint aNow) const
{
  return std::all_of(
    mWorkers.begin(), mWorkers.end(), [aNow](const auto& aEntry) {
      const WorkerSession& worker = aEntry.second;
      return !worker.mRegistered || worker.mAreListsRead ||
             worker.HasLeaseExpired(aNow);
    });
}

milliseconds
Coordinator::RecoveryTime() const
{
  return mOptions.mMaxLease * kLeaseExpiryPercent / kHundredPercent;
}

void
Coordinator::TryFinishRecovery(TimePoint aNow)
{
  if (mRecoveryComplete) {
    return;
  }
  const milliseconds maxLease = RecoveryTime();
  const bool leasesExpired =
    aNow - mLeadingSince >= maxLease && HaveUnreadLeasesExpired(aNow);
  const bool allRead = !mMustAwaitLeases && AreAllListsRead();
  if (!leasesExpired && !allRead) {
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
  Schedule();
}

}

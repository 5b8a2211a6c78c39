// Sessions of the workers: reports, timeouts, and the cores in use.
#include "Dispatch/Coordinator.h"

#include <algorithm>

#include "Dispatch/WorkerFence.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Maximum number of workers that have reported and never answered an order.
 * Bounds what reports with made-up ids cost. */
constexpr std::size_t kMaxUnprovenWorkers = 2000;

/** Interval between checks of the runs on a worker. */
constexpr milliseconds kProgressCheckInterval{ 100 };

/** Least time between two looks at a worker for the same reason. */
constexpr milliseconds kTickInterval{ 10 };

/** Longest time for which an order is on its way to a worker. */
constexpr milliseconds kMaxOrderTransit{ 750 };

constexpr const char* kRestarted = "the worker was restarted";

}

WorkerSession*
Coordinator::SessionOf(const WorkerBoot& aBoot)
{
  const auto worker = mWorkers.find(aBoot.mId);
  const bool known =
    worker != mWorkers.end() && worker->second.Report().mBoot == aBoot;
  if (!known) {
    return nullptr;
  }
  mTimers.Arm(worker->second, mClock.MonotonicNow());
  return &worker->second;
}

void
Coordinator::Attend(WorkerSession& aWorker, TimePoint aNow)
{
  RemoveRunsIfLeaseExpired(aWorker, aNow);
  StopStragglers(aWorker, aNow);
  RetryStops(aWorker);
  HoldIfDue(aWorker, aNow);
  CountUsableCores(aWorker, aNow);
  const std::optional<TimePoint> next = NextTimeout(aWorker, aNow);
  if (next) {
    mTimers.Arm(aWorker, *next);
  }
}

std::optional<Coordinator::TimePoint>
Coordinator::NextTimeout(const WorkerSession& aWorker, TimePoint aNow) const
{
  std::optional<TimePoint> next;
  const auto include = [&](TimePoint aAt) {
    next = std::min(next.value_or(aAt), aAt);
  };
  if (!aWorker.Runs().empty()) {
    include(aNow + kProgressCheckInterval);
    include(std::max(aWorker.LeaseBound(), aNow) + kTickInterval);
  }
  if (!aWorker.mHoldInFlight && NeedsHold(aWorker, aNow)) {
    include(std::max(aWorker.mNextHoldAt, aNow));
  }
  if (aWorker.HasUnacknowledgedEnds()) {
    include(std::max(aWorker.AcknowledgeBy(), aNow));
  }
  if (aWorker.mHealth.IsQuarantined(aNow)) {
    include(aWorker.mHealth.QuarantinedUntil());
  }
  return next;
}

void
Coordinator::OnReport(const WorkerReport& aReport)
{
  if (!mLeading) {
    return;
  }
  const auto entry = mWorkers.find(aReport.mBoot.mId);
  if (entry == mWorkers.end()) {
    AddWorker(aReport);
    return;
  }
  WorkerSession& worker = entry->second;
  if (worker.Report().mBoot.mStartTimeMs > aReport.mBoot.mStartTimeMs) {
    return;
  }
  if (worker.Report().mBoot != aReport.mBoot) {
    OnRestarted(worker, aReport);
    return;
  }
  const bool changed = worker.Report().mDraining != aReport.mDraining ||
                       worker.Report().mHasLeft != aReport.mHasLeft;
  if (changed) {
    EventLine(mLog, "worker-changed")
      .With("worker", aReport.mBoot.mId)
      .With("draining", aReport.mDraining)
      .With("left", aReport.mHasLeft)
      .With("runs", std::uint64_t{ worker.Runs().size() });
  }
  UpdateReport(worker, aReport);
}

void
Coordinator::UpdateReport(WorkerSession& aWorker, const WorkerReport& aReport)
{
  const TimePoint now = mClock.MonotonicNow();
  const bool isMoved = WorkerIndex::AffectsOrder(aWorker.Report(), aReport);
  if (isMoved) {
    mIndex.Remove(aWorker);
    CountUsableCores(aWorker, 0U);
  }
  aWorker.Update(aReport);
  if (isMoved) {
    mIndex.Add(aWorker);
  }
  aWorker.mLastReport = now;
  if (aReport.mClockMs > 0) {
    aWorker.ObserveClock(aReport.mClockMs, now);
  }
  if (!aWorker.mHasReported) {
    aWorker.mHasReported = true;
    RegisterLaterBoot(aWorker);
  }
  CountUsableCores(aWorker, now);
}

// Orders to the former boot reach a later one only at the same address. A boot
// that was never registered has had no runs.
void
Coordinator::OnRestarted(WorkerSession& aWorker, const WorkerReport& aReport)
{
  const bool mayHaveTakenOrders =
    aWorker.mRegistered && aWorker.Report().mAddress == aReport.mAddress;
  if (!mayHaveTakenOrders) {
    EndSession(aReport.mBoot.mId, kRestarted);
    AddWorker(aReport);
    return;
  }
  BeginSessionOfLaterBoot(aWorker, aReport, true);
}

void
Coordinator::OnOtherBootAnswered(WorkerSession& aWorker,
                                 std::uint64_t aStartTimeMs)
{
  if (!aWorker.mRegistered) {
    EndSession(aWorker.Report().mBoot.mId,
               "another boot answers at the worker's address");
    return;
  }
  WorkerReport report = aWorker.Report();
  report.mBoot.mStartTimeMs = aStartTimeMs;
  report.mSequence = 0;
  report.mClockMs = 0;
  BeginSessionOfLaterBoot(aWorker, report, false);
}

// The fence is raised, so that the boot refuses all orders to the former one
// from its first answer on. Its lists then show what it has taken of them.
void
Coordinator::BeginSessionOfLaterBoot(WorkerSession& aFormer,
                                     const WorkerReport& aReport,
                                     bool aHasReported)
{
  const TimePoint now = mClock.MonotonicNow();
  const auto inherited = aFormer.TakeUnlocatedRuns();
  EventLine(mLog, "worker-restarted")
    .With("worker", aReport.mBoot.mId)
    .With("born", aReport.mBoot.mStartTimeMs)
    .With("born_before", aFormer.Report().mBoot.mStartTimeMs)
    .With("reported", aHasReported)
    .With("runs", std::uint64_t{ aFormer.Runs().size() })
    .With("runs_in_doubt", std::uint64_t{ inherited.size() });
  const std::uint32_t round = std::min(aFormer.mFenceRound + 1, kMaxRound);
  const WorkerBoot storedBoot = aFormer.mStoredBoot;
  MarkRunsLost(aFormer, RunEvidence::BootOver(true), {}, kRestarted);
  RemoveSession(aFormer);
  WorkerSession& worker = AddSession(aReport);
  worker.mIsRegistering = true;
  worker.mRegistered = true;
  worker.mStoredBoot = storedBoot;
  worker.mHasReported = aHasReported;
  worker.mFenceRound = round;
  for (const auto& [task, run] : inherited) {
    worker.Add(task, run);
  }
  if (!inherited.empty()) {
    worker.AssumeLeaseGranted(now + kMaxOrderTransit);
  }
  if (aHasReported) {
    RegisterLaterBoot(worker);
  }
  if (aReport.mClockMs > 0) {
    worker.ObserveClock(aReport.mClockMs, now);
  }
  HoldIfDue(worker, now);
}

WorkerSession&
Coordinator::AddSession(const WorkerReport& aReport)
{
  const TimePoint now = mClock.MonotonicNow();
  const auto added = mWorkers.emplace(
    aReport.mBoot.mId,
    WorkerSession(mNextSessionNumber++, aReport, now, mOptions.mMaxLease));
  WorkerSession& worker = added.first->second;
  mIndex.Add(worker);
  mTimers.Arm(worker, now);
  return worker;
}

void
Coordinator::AddWorker(const WorkerReport& aReport)
{
  // A later leader looks only at workers whose registration is stored, and a
  // local leader stores nothing.
  if (aReport.mHasLeft || mScope.IsLocal()) {
    return;
  }
  if (UnprovenWorkers() >= kMaxUnprovenWorkers) {
    EventLine(mLog, "worker-not-added")
      .With("worker", aReport.mBoot.mId)
      .With("reason", "too many workers have never answered");
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  WorkerSession& worker = AddSession(aReport);
  if (aReport.mClockMs > 0) {
    worker.ObserveClock(aReport.mClockMs, now);
  }
  EventLine(mLog, "worker-added")
    .With("worker", aReport.mBoot.mId)
    .With("born", aReport.mBoot.mStartTimeMs)
    .With("address", aReport.mAddress)
    .With("pool", aReport.mPool)
    .With("mcores", aReport.mCapacity.mMilliCores)
    .With("draining", aReport.mDraining);
  HoldIfDue(worker, now);
}

std::size_t
Coordinator::UnprovenWorkers() const
{
  return mWorkers.size() - mProvenWorkers;
}

void
Coordinator::RemoveSilentWorkers(TimePoint aNow)
{
  std::vector<WorkerId> removed;
  for (const auto& [id, worker] : mWorkers) {
    const bool hasLeft =
      worker.Report().mHasLeft && worker.HasLeaseExpired(aNow);
    const bool isSilent = aNow - worker.mLastReport > mOptions.mWorkerExpiry;
    if (worker.Runs().empty() && (hasLeft || isSilent)) {
      removed.push_back(id);
    }
  }
  for (const WorkerId& id : removed) {
    EndSession(id, "the worker has left or stopped reporting");
  }
}

void
Coordinator::EndSession(const WorkerId& aId, const char* aReason)
{
  const auto found = mWorkers.find(aId);
  if (found == mWorkers.end()) {
    return;
  }
  WorkerSession& worker = found->second;
  EventLine(mLog, "worker-ended")
    .With("worker", aId)
    .With("reason", aReason)
    .With("runs", std::uint64_t{ worker.Runs().size() });
  MarkRunsLost(worker, RunEvidence::BootOver(false), {}, aReason);
  if (worker.mIsRegistering) {
    --mProvenWorkers;
    PendingBatch([](bool) {}).mRemovedWorkers.push_back(worker.mStoredBoot);
  }
  RemoveSession(worker);
}

void
Coordinator::MarkRunsLost(WorkerSession& aWorker,
                          const RunEvidence& aEvidence,
                          const std::vector<ActiveRun>& aListed,
                          const char* aReason)
{
  for (const RunId& run : RunLedger::RunsOver(aWorker, aEvidence, aListed)) {
    MarkRunLost(aWorker, run, aEvidence, aReason);
  }
}

void
Coordinator::RemoveSession(WorkerSession& aWorker)
{
  CountUsableCores(aWorker, 0U);
  mIndex.Remove(aWorker);
  mTimers.Remove(aWorker);
  const WorkerId id = aWorker.Report().mBoot.mId;
  mWorkers.erase(id);
}

void
Coordinator::CountUsableCores(WorkerSession& aWorker, TimePoint aNow)
{
  const bool usable = aWorker.IsUsable() &&
                      !aWorker.mHealth.IsQuarantined(aNow) &&
                      mEvacuated.count(aWorker.Report().mDataCentre) == 0;
  CountUsableCores(aWorker,
                   usable ? aWorker.Report().mCapacity.mMilliCores : 0);
}

void
Coordinator::CountUsableCores(WorkerSession& aWorker, std::uint32_t aMilliCores)
{
  if (aWorker.mCountedMilliCores == aMilliCores) {
    return;
  }
  std::uint64_t& sum = mUsableMilliCores[aWorker.Report().mPool];
  sum = sum - aWorker.mCountedMilliCores + aMilliCores;
  aWorker.mCountedMilliCores = aMilliCores;
}

}

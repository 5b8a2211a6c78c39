#include "Dispatch/RunLedger.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondspoke::dispatch {

namespace {

/** Returns whether an outcome proves that a start order had no effect and will
 * have none. */
bool
IsRefusal(OrderOutcome aOutcome)
{
  static constexpr std::array<OrderOutcome, 6> kRefusals = {
    OrderOutcome::Fenced, OrderOutcome::Superseded, OrderOutcome::LeaseExpired,
    OrderOutcome::NoRoom, OrderOutcome::Unhealthy,  OrderOutcome::NotSent,
  };
  return std::find(kRefusals.begin(), kRefusals.end(), aOutcome) !=
         kRefusals.end();
}

// A run can be missing from a list since it has not begun yet. That is excluded
// once it is known to have begun, or that it cannot begin any more. A later
// boot carries out no order to the former one once it has returned a list.
bool
IsMissingForGood(const TrackedRun& aRun, const RunEvidence& aEvidence)
{
  const bool cannotBegin = aRun.mPhase == RunPhase::Running ||
                           aRun.mStopConfirmed || aRun.mIsInherited;
  return cannotBegin && aEvidence.mIsListComplete &&
         aEvidence.mListOrder > aRun.mIgnoreHoldsUpTo;
}

}

RunEvidence
RunEvidence::NotListed(std::uint64_t aListOrder, bool aIsComplete)
{
  RunEvidence evidence;
  evidence.mKind = EvidenceKind::NotListed;
  evidence.mListOrder = aListOrder;
  evidence.mIsListComplete = aIsComplete;
  return evidence;
}

RunEvidence
RunEvidence::LeaseExpired(Clock::Monotonic aNow)
{
  RunEvidence evidence;
  evidence.mKind = EvidenceKind::LeaseExpired;
  evidence.mAt = aNow;
  return evidence;
}

RunEvidence
RunEvidence::BootOver(bool aMayLaterBootTakeOrders)
{
  RunEvidence evidence;
  evidence.mKind = EvidenceKind::BootOver;
  evidence.mMayLaterBootTakeOrders = aMayLaterBootTakeOrders;
  return evidence;
}

RunEvidence
RunEvidence::StartRefused(OrderOutcome aOutcome)
{
  RunEvidence evidence;
  evidence.mKind = EvidenceKind::StartRefused;
  evidence.mOutcome = aOutcome;
  return evidence;
}

bool
RunLedger::ShowsOver(const WorkerSession& aWorker,
                     const TrackedRun& aRun,
                     const RunEvidence& aEvidence)
{
  switch (aEvidence.mKind) {
    case EvidenceKind::EndListed:
      return true;
    case EvidenceKind::NotListed:
      return IsMissingForGood(aRun, aEvidence);
    case EvidenceKind::LeaseExpired:
      return aWorker.HasLeaseExpired(aEvidence.mAt);
    case EvidenceKind::BootOver:
      return aRun.mIsLocated || !aEvidence.mMayLaterBootTakeOrders;
    case EvidenceKind::StartRefused:
      return !aRun.mIsLocated && IsRefusal(aEvidence.mOutcome);
  }
  return false;
}

std::optional<TrackedRun>
RunLedger::Conclude(WorkerSession& aWorker,
                    const RunId& aRun,
                    const RunEvidence& aEvidence)
{
  const TrackedRun* tracked = aWorker.Find(aRun.mTask);
  const bool isTracked = tracked != nullptr && tracked->mNumber == aRun.mNumber;
  if (isTracked && !ShowsOver(aWorker, *tracked, aEvidence)) {
    return std::nullopt;
  }
  if (!isTracked && aEvidence.mKind != EvidenceKind::EndListed) {
    return std::nullopt;
  }
  aWorker.mLists.NoteOver(aRun);
  ++mCounters.mOver[static_cast<std::size_t>(aEvidence.mKind)];
  if (!isTracked) {
    return std::nullopt;
  }
  const TrackedRun run = *tracked;
  if (!mFound.empty()) {
    mFound.erase({ aRun.mTask, aWorker.Report().mBoot.mId });
  }
  aWorker.Remove(aRun.mTask);
  return run;
}

ListEntry
RunLedger::OnListed(WorkerSession& aWorker,
                    const ActiveRun& aListed,
                    std::uint64_t aListOrder,
                    WorkerTime aClock,
                    TimePoint aNow)
{
  TrackedRun* run = aWorker.Find(aListed.mRun.mTask);
  if (run == nullptr || run->mNumber != aListed.mRun.mNumber) {
    // A worker has one run of a task at a time, the one with the highest
    // number.
    const bool isOutOfDate =
      aWorker.mLists.IsOutOfDate(aListed.mRun, aListOrder) ||
      (run != nullptr && run->mNumber > aListed.mRun.mNumber);
    if (isOutOfDate) {
      ++mCounters.mEntriesOutOfDate;
      return ListEntry::OutOfDate;
    }
    AddFound(aWorker, aListed, aNow);
    return ListEntry::Found;
  }
  const bool wasInDoubt =
    run->mPhase == RunPhase::Starting ||
    (run->mIsInherited && run->mPhase == RunPhase::Unconfirmed);
  if (wasInDoubt) {
    run->mPhase = RunPhase::Running;
    // Another answer may have been made before the run began, and be late.
    run->mIgnoreHoldsUpTo = aWorker.mHoldsSent;
  }
  const bool isFirstProof = run->mConfirmedClock == 0;
  run->mIsLocated = true;
  run->Confirm(aClock);
  if (aClock >= run->mProgressClock) {
    run->mPercent = aListed.mPercent;
    run->mProgressClock = aClock;
    run->mProgressReportedAt = aNow;
  }
  return isFirstProof ? ListEntry::Begun : ListEntry::Known;
}

void
RunLedger::AddFound(WorkerSession& aWorker,
                    const ActiveRun& aListed,
                    TimePoint aNow)
{
  const TaskId& task = aListed.mRun.mTask;
  TrackedRun run;
  run.mNumber = aListed.mRun.mNumber;
  run.mPhase = RunPhase::Running;
  run.mIsOrphan = true;
  run.mIsLocated = true;
  run.mLastOrderAt = aNow;
  run.mPercent = aListed.mPercent;
  run.mProgressReportedAt = aNow;
  run.mIgnoreHoldsUpTo = aWorker.mHoldsSent;
  aWorker.Remove(task);
  if (aWorker.mOrphanCount == 0) {
    aWorker.mFirstOrphanAt = aNow;
  }
  aWorker.Add(task, run);
  aWorker.AssumeLeaseGranted(aNow);
  mFound.emplace(task, aWorker.Report().mBoot.mId);
  ++mCounters.mFound;
}

std::vector<RunId>
RunLedger::RunsOver(const WorkerSession& aWorker,
                    const RunEvidence& aEvidence,
                    const std::vector<ActiveRun>& aListed)
{
  std::vector<const TaskId*> listed;
  listed.reserve(aListed.size());
  for (const ActiveRun& run : aListed) {
    const TrackedRun* tracked = aWorker.Find(run.mRun.mTask);
    if (tracked != nullptr && tracked->mNumber == run.mRun.mNumber) {
      listed.push_back(&run.mRun.mTask);
    }
  }
  const auto isBefore = [](const TaskId* aLeft, const TaskId* aRight) {
    return *aLeft < *aRight;
  };
  std::sort(listed.begin(), listed.end(), isBefore);
  std::vector<RunId> over;
  for (const auto& [task, run] : aWorker.Runs()) {
    const bool isListed =
      std::binary_search(listed.begin(), listed.end(), &task, isBefore);
    if (!isListed && ShowsOver(aWorker, run, aEvidence)) {
      over.push_back({ task, run.mNumber });
    }
  }
  return over;
}

std::vector<WorkerId>
RunLedger::FoundRunsOf(const TaskId& aTask) const
{
  std::vector<WorkerId> workers;
  if (mFound.empty()) {
    return workers;
  }
  for (auto found = mFound.lower_bound({ aTask, WorkerId() });
       found != mFound.end() && found->first == aTask;
       ++found) {
    workers.push_back(found->second);
  }
  return workers;
}

std::vector<std::pair<TaskId, WorkerId>>
RunLedger::FoundRunsOf(const JobId& aJob) const
{
  std::vector<std::pair<TaskId, WorkerId>> runs;
  if (mFound.empty()) {
    return runs;
  }
  for (auto found = mFound.lower_bound({ TaskId{ aJob, 0, 0, 0 }, {} });
       found != mFound.end() && found->first.mJob == aJob;
       ++found) {
    runs.push_back(*found);
  }
  return runs;
}

void
RunLedger::Claim(const TaskId& aTask, const WorkerId& aWorker)
{
  mFound.erase({ aTask, aWorker });
}

}

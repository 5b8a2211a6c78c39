#include "Dispatch/PlacementWaits.h"

#include <algorithm>

#include "Dispatch/TierOrder.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Time that a start order and the list with the end of the run take. */
constexpr milliseconds kOrderMargin{ 20 };

/** A wait ends this long before the job would be refused for having waited, so
 * that it is scheduled once more before that. */
constexpr milliseconds kLimitMargin{ 50 };

bool
IsRefusedBefore(const DispatchJob& aJob, PlacementWaits::TimePoint aAt)
{
  return aJob.mWaitLimit && aAt > *aJob.mWaitLimit - kLimitMargin;
}

}

PlacementWaits::PlacementWaits(RunTimeModel& aModel, EventLog& aLog)
  : mModel(aModel)
  , mLog(aLog)
{
}

bool
PlacementWaits::MayBeBetterThan(const WorkerSession& aFound,
                                const DispatchJob& aJob,
                                const TaskId& aTask) const
{
  const KindSpeed* kind = aFound.mSpeed.mKind;
  if (kind == nullptr) {
    return false;
  }
  return kind->mPool->FastestTier() < aFound.mSpeed.mTier ||
         (mModel.HasSpreadFactor() && !aJob.Step(aTask).mDataRack.empty());
}

std::optional<PlacementWaits::Place>
PlacementWaits::BetterThan(const WorkerSession& aFound,
                           const DispatchJob& aJob,
                           const TaskId& aTask,
                           TimePoint aNow)
{
  const RunTimeModel::Work work = WorkOf(aJob, aTask);
  Place place;
  place.mPool = aFound.mSpeed.mKind->mPool;
  place.mTier = aFound.mSpeed.mTier;
  if (mModel.HasSpreadFactor() && RunTimeModel::IsOffRack(aFound, work)) {
    const EndRate* ends = mModel.EndsAtRack(aJob.mQueue.mPool, *work.mDataRack);
    place.mRack = *work.mDataRack;
    place.mExpected = mModel.ExpectedOnRack(aFound, work);
    place.mUntilEnd = ends == nullptr ? std::nullopt : ends->UntilNext(aNow);
    return place;
  }
  const std::optional<SpeedTier> fastest = place.mPool->FastestTier();
  if (!fastest || *fastest >= place.mTier || !mModel.IsKnown(work)) {
    return std::nullopt;
  }
  place.mTier = *fastest;
  place.mExpected = mModel.ExpectedAtFastest(aFound, work);
  place.mUntilEnd = place.mPool->At(*fastest).mEnds.UntilNext(aNow);
  return place;
}

bool
PlacementWaits::MustWait(DispatchJob& aJob,
                         const TaskId& aTask,
                         const WorkerSession& aFound,
                         TimePoint aNow)
{
  const std::optional<Place> place = MayBeBetterThan(aFound, aJob, aTask)
                                       ? BetterThan(aFound, aJob, aTask, aNow)
                                       : std::nullopt;
  if (!place) {
    End(aJob, aTask, aFound, aNow);
    return false;
  }
  PlacementWait::Inputs inputs;
  inputs.mNow = aNow;
  inputs.mDueAt = aJob.mDueAt - LongestPathAfter(aJob.mSubmission, aTask.mStep);
  inputs.mExpectedThere = place->mExpected;
  inputs.mExpectedHere = mModel.ExpectedAt(aFound, WorkOf(aJob, aTask));
  inputs.mOrderMargin = kOrderMargin;
  // A job is as late as its last task, behind those that wait before it.
  const auto tasks = static_cast<std::uint32_t>(aJob.mReadyTaskCount);
  std::uint32_t& ahead = mAhead[{ place->mPool, place->mRack, place->mTier }];
  if (place->mUntilEnd) {
    inputs.mUntilRoom = *place->mUntilEnd * (ahead + tasks);
  }
  const std::optional<TimePoint> until = PlacementWait::Decide(inputs);
  if (!until || IsRefusedBefore(aJob, aNow + *inputs.mUntilRoom)) {
    End(aJob, aTask, aFound, aNow);
    return false;
  }
  ahead += tasks;
  if (aJob.mPlacementWait) {
    return true;
  }
  aJob.mPlacementWait = PlacementWaitOfJob{ aNow, place->mTier };
  ++mCounters.mBegun;
  EventLine(mLog, "placement-waits")
    .With("job", aTask.mJob)
    .With("step", aTask.mStep)
    .With("task", aTask.mIndex)
    .With("found", aFound.Report().mBoot.mId)
    .With("tier", int{ aFound.mSpeed.mTier })
    .With("for_tier", int{ place->mTier })
    .With("for_rack", place->mRack)
    .With("expected_ms", std::int64_t{ inputs.mExpectedHere.count() })
    .With("expected_there_ms", std::int64_t{ place->mExpected.count() })
    .With("until_room_ms", std::int64_t{ inputs.mUntilRoom->count() })
    .With("at_most_ms",
          std::int64_t{ duration_cast<milliseconds>(*until - aNow).count() });
  return true;
}

void
PlacementWaits::End(DispatchJob& aJob,
                    const TaskId& aTask,
                    const WorkerSession& aFound,
                    TimePoint aNow)
{
  if (!aJob.mPlacementWait) {
    return;
  }
  const bool isAtBetterPlace =
    aFound.mSpeed.mTier <= aJob.mPlacementWait->mTier &&
    !RunTimeModel::IsOffRack(aFound, WorkOf(aJob, aTask));
  ++(isAtBetterPlace ? mCounters.mEndedByRoom : mCounters.mEndedByTime);
  EventLine(mLog, "placement-wait-ends")
    .With("job", aTask.mJob)
    .With("by", isAtBetterPlace ? "room" : "time")
    .With("waited_ms",
          std::int64_t{
            duration_cast<milliseconds>(aNow - aJob.mPlacementWait->mSince)
              .count() })
    .With("worker", aFound.Report().mBoot.mId);
  aJob.mPlacementWait.reset();
}

}

#include "Dispatch/WorkerIndex.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace almondspoke::dispatch {

namespace {

bool
HasLabel(const WorkerReport& aReport, const std::string& aLabel)
{
  return std::find(aReport.mLabels.begin(), aReport.mLabels.end(), aLabel) !=
         aReport.mLabels.end();
}

std::size_t
CountRunsOfStep(const WorkerSession& aWorker, const TaskId& aTask)
{
  const auto first = aWorker.Runs().lower_bound(
    { aTask.mJob, aTask.mOccurrence, aTask.mStep, 0 });
  std::size_t count = 0;
  for (auto run = first; run != aWorker.Runs().end(); ++run) {
    const bool same = run->first.mJob == aTask.mJob &&
                      run->first.mOccurrence == aTask.mOccurrence &&
                      run->first.mStep == aTask.mStep;
    if (!same) {
      break;
    }
    ++count;
  }
  return count;
}

bool
IsAllowed(const WorkerSession& aWorker,
          const DispatchJob& aJob,
          const TaskId& aTask)
{
  const StepSpec& step = aJob.Step(aTask);
  if (!aWorker.HasRoomFor(step.mNeeds)) {
    return false;
  }
  if (!step.mRequiredLabel.empty() &&
      !HasLabel(aWorker.Report(), step.mRequiredLabel)) {
    return false;
  }
  return step.mMaxPerWorker == 0 ||
         CountRunsOfStep(aWorker, aTask) < step.mMaxPerWorker;
}

bool
IsAvoided(const WorkerSession& aWorker,
          const DispatchJob& aJob,
          const TaskId& aTask)
{
  const auto& failedOn = aJob.mSteps[aTask.mStep][aTask.mIndex].mFailedOn;
  return std::find(failedOn.begin(),
                   failedOn.end(),
                   aWorker.Report().mBoot.mId) != failedOn.end();
}

}

void
WorkerIndex::Add(WorkerSession& aWorker)
{
  aWorker.SetRoomListener(this);
  PoolListings& pool = mPools[aWorker.Report().mPool];
  for (const std::string& label : aWorker.Report().mLabels) {
    ++pool.mLabelCounts[label];
  }
  if (!IsEvacuated(aWorker.Report().mDataCentre) &&
      pool.mCapacity.Add(aWorker.Report().mCapacity)) {
    ++mCapacityVersion;
  }
  if (mModel != nullptr) {
    mModel->Add(aWorker);
  }
  List(aWorker);
}

void
WorkerIndex::Remove(WorkerSession& aWorker)
{
  aWorker.SetRoomListener(nullptr);
  Unlist(aWorker);
  mAside.erase(aWorker.mPosition.mNumber);
  PoolListings& pool = mPools[aWorker.Report().mPool];
  for (const std::string& label : aWorker.Report().mLabels) {
    if (--pool.mLabelCounts[label] == 0) {
      pool.mLabelCounts.erase(label);
      pool.mByLabel.erase(label);
    }
  }
  if (!IsEvacuated(aWorker.Report().mDataCentre) &&
      pool.mCapacity.Remove(aWorker.Report().mCapacity)) {
    ++mCapacityVersion;
  }
  if (mModel != nullptr) {
    mModel->Remove(aWorker);
  }
}

bool
WorkerIndex::IsTooLarge(const PoolName& aPool, const Resources& aNeeds) const
{
  const auto pool = mPools.find(aPool);
  return pool != mPools.end() && pool->second.mCapacity.IsExceededBy(aNeeds);
}

void
WorkerIndex::Clear()
{
  ++mCapacityVersion;
  mPools.clear();
  mAside.clear();
  if (mModel != nullptr) {
    mModel->Clear();
  }
}

void
WorkerIndex::OnRoomChanged(WorkerSession& aWorker)
{
  Unlist(aWorker);
  mAside.erase(aWorker.mPosition.mNumber);
  List(aWorker);
}

void
WorkerIndex::Readmit(WorkerSession& aWorker)
{
  if (mAside.erase(aWorker.mPosition.mNumber) != 0) {
    List(aWorker);
  }
}

void
WorkerIndex::ReadmitAll(TimePoint aNow)
{
  for (auto entry = mAside.begin(); entry != mAside.end();) {
    WorkerSession& worker = *entry->second;
    if (!CanTakeRuns(worker, aNow)) {
      ++entry;
      continue;
    }
    entry = mAside.erase(entry);
    List(worker);
  }
}

bool
WorkerIndex::AffectsOrder(const WorkerReport& aKnown, const WorkerReport& aNew)
{
  const bool isSameSize = aKnown.mCapacity.FitsInto(aNew.mCapacity) &&
                          aNew.mCapacity.FitsInto(aKnown.mCapacity);
  return !isSameSize || aKnown.mPool != aNew.mPool ||
         aKnown.mDataCentre != aNew.mDataCentre ||
         aKnown.mLabels != aNew.mLabels ||
         (aKnown.mWarmUpRemainingMs > 0) != (aNew.mWarmUpRemainingMs > 0);
}

bool
WorkerIndex::CanTakeRuns(const WorkerSession& aWorker, TimePoint aNow)
{
  if (!aWorker.IsUsable() || aWorker.mOrphanCount > 0 ||
      aWorker.mHealth.IsQuarantined(aNow)) {
    return false;
  }
  return !aWorker.mHealth.IsOnProbation() || !aWorker.HasTrialRun();
}

void
WorkerIndex::List(WorkerSession& aWorker)
{
  Position& position = aWorker.mPosition;
  const WorkerReport& report = aWorker.Report();
  position.mTier = aWorker.mSpeed.mTier;
  position.mIsCold = report.mWarmUpRemainingMs > 0;
  position.mFreeMilliCores = aWorker.Free().mMilliCores;
  PoolListings& pool = mPools[report.mPool];
  pool.mAll[report.mDataCentre].emplace(position, &aWorker);
  if (pool.mByLabel.empty()) {
    return;
  }
  for (const std::string& label : report.mLabels) {
    const auto listing = pool.mByLabel.find(label);
    if (listing != pool.mByLabel.end()) {
      listing->second[report.mDataCentre].emplace(position, &aWorker);
    }
  }
}

void
WorkerIndex::Unlist(WorkerSession& aWorker)
{
  PoolListings& pool = mPools[aWorker.Report().mPool];
  Unlist(aWorker, pool.mAll);
  if (pool.mByLabel.empty()) {
    return;
  }
  for (const std::string& label : aWorker.Report().mLabels) {
    const auto listing = pool.mByLabel.find(label);
    if (listing != pool.mByLabel.end()) {
      Unlist(aWorker, listing->second);
    }
  }
}

void
WorkerIndex::Unlist(const WorkerSession& aWorker, DataCentreListings& aListings)
{
  const auto listing = aListings.find(aWorker.Report().mDataCentre);
  if (listing != aListings.end()) {
    listing->second.erase(aWorker.mPosition);
  }
}

void
WorkerIndex::SetAside(WorkerSession& aWorker)
{
  Unlist(aWorker);
  mAside.emplace(aWorker.mPosition.mNumber, &aWorker);
}

WorkerIndex::DataCentreListings*
WorkerIndex::WithLabel(PoolListings& aPool, const std::string& aLabel)
{
  if (aPool.mLabelCounts.count(aLabel) == 0) {
    return nullptr;
  }
  const auto [entry, isNew] = aPool.mByLabel.try_emplace(aLabel);
  if (isNew) {
    for (const auto& [dataCentre, workers] : aPool.mAll) {
      for (const auto& [position, worker] : workers) {
        if (HasLabel(worker->Report(), aLabel)) {
          entry->second[dataCentre].emplace(position, worker);
        }
      }
    }
  }
  return &entry->second;
}

WorkerSession*
WorkerIndex::BetterOf(WorkerSession* aLeft, WorkerSession* aRight)
{
  if (aLeft == nullptr || aRight == nullptr) {
    return aLeft == nullptr ? aRight : aLeft;
  }
  return Order()(aRight->mPosition, aLeft->mPosition) ? aRight : aLeft;
}

WorkerSession*
WorkerIndex::FindIn(DataCentreListings& aListings,
                    bool aIsCold,
                    Search& aSearch)
{
  Found best;
  for (auto entry = aListings.begin(); entry != aListings.end();) {
    auto& [dataCentre, listing] = *entry;
    if (!IsEvacuated(dataCentre) && aSearch.mWindows.MayStartIn(dataCentre)) {
      const Found found = FindIn(listing, aIsCold, aSearch);
      best.mBest = BetterOf(best.mBest, found.mBest);
      best.mAvoided = BetterOf(best.mAvoided, found.mAvoided);
    }
    // Reports may name many data centres that have no worker to use.
    entry = listing.empty() ? aListings.erase(entry) : std::next(entry);
  }
  aSearch.mAvoided =
    aSearch.mAvoided == nullptr ? best.mAvoided : aSearch.mAvoided;
  return best.mBest;
}

WorkerIndex::Found
WorkerIndex::FindIn(Listing& aListing, bool aIsCold, const Search& aSearch)
{
  const StepSpec& step = aSearch.mJob.Step(aSearch.mTask);
  Found found;
  auto entry = aListing.lower_bound(
    { aSearch.mTier, aIsCold, step.mNeeds.mMilliCores, 0 });
  while (entry != aListing.end() && entry->first.mIsCold == aIsCold &&
         entry->first.mTier == aSearch.mTier) {
    WorkerSession& worker = *entry->second;
    ++entry;
    if (!CanTakeRuns(worker, aSearch.mNow)) {
      SetAside(worker);
      continue;
    }
    if (!IsAllowed(worker, aSearch.mJob, aSearch.mTask)) {
      continue;
    }
    if (!IsAvoided(worker, aSearch.mJob, aSearch.mTask)) {
      found.mBest = &worker;
      return found;
    }
    found.mAvoided = found.mAvoided == nullptr ? &worker : found.mAvoided;
  }
  return found;
}

WorkerSession*
WorkerIndex::Choose(const DispatchJob& aJob,
                    const TaskId& aTask,
                    TimePoint aNow,
                    const StartWindows& aWindows)
{
  const StepSpec& step = aJob.Step(aTask);
  PoolListings& pool = mPools[aJob.mQueue.mPool];
  const std::array<DataCentreListings*, 2> listings = {
    step.mDataRack.empty() ? nullptr : WithLabel(pool, step.mDataRack),
    step.mRequiredLabel.empty() ? &pool.mAll
                                : WithLabel(pool, step.mRequiredLabel),
  };
  Search search{ aJob, aTask, aNow, aWindows };
  const TierOrder tiers = TiersFor(aJob, aTask, aNow);
  // A late place near the data is worth less than one elsewhere that is in
  // time.
  const std::array<TierRange, 2> ranges = {
    TierRange{ tiers.begin(), tiers.InTimeEnd() },
    TierRange{ tiers.InTimeEnd(), tiers.end() },
  };
  for (const TierRange& range : ranges) {
    for (DataCentreListings* listing : listings) {
      WorkerSession* worker =
        listing == nullptr ? nullptr : FindIn(*listing, range, search);
      if (worker != nullptr) {
        return worker;
      }
    }
  }
  return search.mAvoided;
}

WorkerSession*
WorkerIndex::FindIn(DataCentreListings& aListings,
                    const TierRange& aTiers,
                    Search& aSearch)
{
  for (const bool isCold : { false, true }) {
    for (const SpeedTier* tier = aTiers.first; tier != aTiers.second; ++tier) {
      aSearch.mTier = *tier;
      WorkerSession* worker = FindIn(aListings, isCold, aSearch);
      if (worker != nullptr) {
        return worker;
      }
    }
  }
  return nullptr;
}

TierOrder
WorkerIndex::TiersFor(const DispatchJob& aJob,
                      const TaskId& aTask,
                      TimePoint aNow) const
{
  const PoolSpeed* pool =
    mModel == nullptr ? nullptr : mModel->FindPool(aJob.mQueue.mPool);
  if (pool == nullptr) {
    return TierOrder();
  }
  if (const auto only = pool->OnlyTier()) {
    return TierOrder(*only);
  }
  const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
    aJob.mDueAt - aNow - LongestPathAfter(aJob.mSubmission, aTask.mStep));
  return TierOrder(
    *pool, mModel->ExpectedByTier(*pool, WorkOf(aJob, aTask)), timeLeft);
}

}

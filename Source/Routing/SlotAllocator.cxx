#include "Routing/SlotAllocator.h"

#include <algorithm>

namespace almondspoke {

namespace {

std::uint32_t
Shortfall(std::uint32_t aHave, std::uint32_t aWant)
{
  return aWant > aHave ? aWant - aHave : 0;
}

// Returns true if an instance has less than half of its target. Only then does
// it get slots that others leave idle; smaller differences do not justify the
// messages.
bool
IsFarBelow(std::uint32_t aGranted, std::uint32_t aTarget)
{
  return aGranted * 2 < aTarget || (aGranted == 0 && aTarget > 0);
}

}

SlotAllocator::SlotAllocator(const Clock& aClock,
                             Term aTerm,
                             SlotAllocatorSettings aSettings)
  : mClock(aClock)
  , mTerm(aTerm)
  , mSettings(aSettings)
  , mStartedAt(aClock.MonotonicNow())
{
}

bool
SlotAllocator::IsInStartupWait(Clock::Monotonic aNow) const
{
  return aNow < mStartedAt + mSettings.mLeaseDuration;
}

void
SlotAllocator::SetCapacity(const PoolId& aPool, std::uint32_t aCapacity)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Pool& pool = mPools[aPool];
  if (pool.mCapacity == aCapacity && !pool.mShares.empty()) {
    return;
  }
  pool.mCapacity = aCapacity;
  for (const auto& [key, holder] : mHolders) {
    pool.mShares.try_emplace(key);
  }
  mChanged.insert(aPool);
}

std::uint32_t
SlotAllocator::Granted(const PoolId& aPool) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mPools.find(aPool);
  std::uint32_t granted = 0;
  if (found != mPools.end()) {
    for (const auto& [key, share] : found->second.mShares) {
      granted += share.mGranted;
    }
  }
  return granted;
}

SlotReply
SlotAllocator::EmptyReply(const HolderKey& aKey, std::uint64_t aSequence) const
{
  SlotReply reply;
  reply.mInstance = aKey.first;
  reply.mIncarnation = aKey.second;
  reply.mTerm = mTerm;
  reply.mSequence = aSequence;
  reply.mLeaseMilliseconds =
    static_cast<std::uint32_t>(mSettings.mLeaseDuration.count());
  return reply;
}

SlotReply
SlotAllocator::BuildReply(const HolderKey& aKey)
{
  Holder& holder = mHolders.at(aKey);
  holder.mNeedsReply = false;
  SlotReply reply = EmptyReply(aKey, holder.mSequence);
  for (const PoolId& id : holder.mUnconfirmed) {
    const Share& share = mPools.at(id).mShares.at(aKey);
    reply.mGrants.push_back({ id, share.mGranted, share.mVersion });
  }
  for (const PoolId& id : holder.mRecalled) {
    const Share& share = mPools.at(id).mShares.at(aKey);
    reply.mRecalls.push_back(
      { id, share.mRecallTarget.value_or(share.mGranted), share.mVersion });
  }
  return reply;
}

std::vector<SlotReply>
SlotAllocator::CollectReplies()
{
  std::vector<SlotReply> replies;
  for (const auto& [key, holder] : mHolders) {
    if (holder.mNeedsReply) {
      replies.push_back(BuildReply(key));
    }
  }
  return replies;
}

void
SlotAllocator::HoldBack(const HolderKey& aKey,
                        const PoolId& aId,
                        Pool& aPool,
                        Clock::Monotonic aUntil)
{
  const auto share = aPool.mShares.find(aKey);
  if (share == aPool.mShares.end()) {
    return;
  }
  if (share->second.mGranted > 0) {
    aPool.mHeldBack += share->second.mGranted;
    mHeldBack.push_back({ aKey, aId, share->second.mGranted, aUntil });
  }
  aPool.mShares.erase(share);
  mChanged.insert(aId);
}

template<typename Predicate>
void
SlotAllocator::ReleaseHeldBack(const Predicate& aIsOver)
{
  for (auto entry = mHeldBack.begin(); entry != mHeldBack.end();) {
    if (!aIsOver(*entry)) {
      ++entry;
      continue;
    }
    mPools.at(entry->mPool).mHeldBack -= entry->mSlots;
    mChanged.insert(entry->mPool);
    entry = mHeldBack.erase(entry);
  }
}

void
SlotAllocator::EndExpiredLeases(Clock::Monotonic aNow)
{
  for (auto holder = mHolders.begin(); holder != mHolders.end();) {
    if (aNow < holder->second.mLeaseEnd) {
      ++holder;
      continue;
    }
    const Clock::Monotonic until =
      holder->second.mLeaseEnd + mSettings.mInFlightGracePeriod;
    for (auto& [id, pool] : mPools) {
      HoldBack(holder->first, id, pool, until);
    }
    holder = mHolders.erase(holder);
  }
  ReleaseHeldBack(
    [aNow](const HeldBack& aEntry) { return aEntry.mUntil <= aNow; });
}

void
SlotAllocator::AddHolder(const HolderKey& aKey)
{
  mHolders.try_emplace(aKey);
  // A returning holder reports the slots that it still uses.
  ReleaseHeldBack(
    [&aKey](const HeldBack& aEntry) { return aEntry.mHolder == aKey; });
  for (auto& [id, pool] : mPools) {
    pool.mShares.try_emplace(aKey);
    mChanged.insert(id);
  }
}

bool
SlotAllocator::IsOutdated(const SlotRequest& aRequest) const
{
  const HolderKey key{ aRequest.mInstance, aRequest.mIncarnation };
  const auto holder = mHolders.find(key);
  if (holder != mHolders.end() &&
      aRequest.mSequence <= holder->second.mSequence) {
    return true;
  }
  // Requests of an earlier incarnation of the instance are not answered, so
  // that its lease expires.
  const auto later = mHolders.upper_bound(key);
  return later != mHolders.end() && later->first.first == aRequest.mInstance;
}

std::vector<SlotReply>
SlotAllocator::Handle(const SlotRequest& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  EndExpiredLeases(now);
  if (aRequest.mTerm > mTerm || IsOutdated(aRequest)) {
    return {};
  }
  const HolderKey key{ aRequest.mInstance, aRequest.mIncarnation };
  const bool isKnown = mHolders.count(key) > 0;
  if (aRequest.mTerm < mTerm || (!isKnown && !aRequest.mIsFull)) {
    SlotReply reply = EmptyReply(key, aRequest.mSequence);
    reply.mNeedsFullReport = true;
    return { reply };
  }
  if (!isKnown) {
    AddHolder(key);
  }
  Holder& holder = mHolders.at(key);
  holder.mLeaseEnd = now + mSettings.mLeaseDuration;
  holder.mSequence = aRequest.mSequence;
  for (const PoolReport& report : aRequest.mPools) {
    ApplyReport(key, report);
  }
  if (aRequest.mIsFull) {
    ResendUnreportedGrants(key, aRequest);
  }
  RebalanceChangedPools(now);
  holder.mNeedsReply = true;
  return CollectReplies();
}

void
SlotAllocator::ApplyReport(const HolderKey& aKey, const PoolReport& aReport)
{
  const auto pool = mPools.find(aReport.mPool);
  if (pool == mPools.end() && aReport.mHeld == 0) {
    return;
  }
  Share& share = mPools[aReport.mPool].mShares[aKey];
  Holder& holder = mHolders.at(aKey);
  mChanged.insert(aReport.mPool);
  share.mInUse = aReport.mInUse;
  share.mWanted = aReport.mWanted;
  if (aReport.mGrantVersion < share.mVersion) {
    // The holder has not applied the latest grant yet: keep counting it, and
    // send it again.
    share.mGranted = std::max(share.mGranted, aReport.mHeld);
    share.mIsUnconfirmed = true;
    holder.mUnconfirmed.insert(aReport.mPool);
    return;
  }
  share.mGranted = aReport.mHeld;
  share.mVersion = aReport.mGrantVersion;
  share.mIsUnconfirmed = false;
  holder.mUnconfirmed.erase(aReport.mPool);
}

void
SlotAllocator::ResendUnreportedGrants(const HolderKey& aKey,
                                      const SlotRequest& aRequest)
{
  std::set<PoolId> reported;
  for (const PoolReport& report : aRequest.mPools) {
    reported.insert(report.mPool);
  }
  Holder& holder = mHolders.at(aKey);
  for (auto& [id, pool] : mPools) {
    const auto share = pool.mShares.find(aKey);
    if (share != pool.mShares.end() && share->second.mVersion > 0 &&
        reported.count(id) == 0) {
      share->second.mIsUnconfirmed = true;
      holder.mUnconfirmed.insert(id);
    }
  }
}

void
SlotAllocator::RebalanceChangedPools(Clock::Monotonic aNow)
{
  if (IsInStartupWait(aNow)) {
    return;
  }
  const std::set<PoolId> changed = std::move(mChanged);
  mChanged.clear();
  for (const PoolId& id : changed) {
    const auto pool = mPools.find(id);
    if (pool == mPools.end()) {
      continue;
    }
    Rebalance(id, pool->second);
    const auto& shares = pool->second.mShares;
    const bool isHeld =
      std::any_of(shares.begin(), shares.end(), [](const auto& aEntry) {
        return aEntry.second.mGranted > 0 || aEntry.second.mIsUnconfirmed;
      });
    if (pool->second.mCapacity == 0 && pool->second.mHeldBack == 0 && !isHeld) {
      for (auto& [key, holder] : mHolders) {
        holder.mRecalled.erase(id);
        holder.mUnconfirmed.erase(id);
      }
      mPools.erase(pool);
    }
  }
}

void
SlotAllocator::Rebalance(const PoolId& aId, Pool& aPool)
{
  if (aPool.mShares.empty()) {
    return;
  }
  ComputeTargets(aPool);
  GrantFreeSlots(aId, aPool);
  Recall(aId, aPool);
}

void
SlotAllocator::ComputeTargets(Pool& aPool)
{
  // Max-min fair division by demand. Slots beyond the total demand are
  // distributed evenly.
  std::vector<Share*> shares;
  for (auto& [key, share] : aPool.mShares) {
    share.mTarget = 0;
    shares.push_back(&share);
  }
  std::stable_sort(
    shares.begin(), shares.end(), [](const Share* aLeft, const Share* aRight) {
      return aLeft->mInUse + aLeft->mWanted < aRight->mInUse + aRight->mWanted;
    });
  std::uint32_t left = aPool.Available();
  auto remaining = static_cast<std::uint32_t>(shares.size());
  for (Share* share : shares) {
    // Shares with larger demands come last and get the remainder of the
    // division.
    const std::uint32_t fair = left / remaining;
    share->mTarget = std::min(share->mInUse + share->mWanted, fair);
    left -= share->mTarget;
    --remaining;
  }
  remaining = static_cast<std::uint32_t>(shares.size());
  for (Share* share : shares) {
    const std::uint32_t extra = (left + remaining - 1) / remaining;
    share->mTarget += extra;
    left -= extra;
    --remaining;
  }
}

void
SlotAllocator::RaiseGrant(const PoolId& aId,
                          const HolderKey& aKey,
                          Share& aShare,
                          std::uint32_t aGranted)
{
  aShare.mGranted = aGranted;
  aShare.mVersion = mNextVersion++;
  aShare.mIsUnconfirmed = true;
  Holder& holder = mHolders.at(aKey);
  holder.mUnconfirmed.insert(aId);
  holder.mNeedsReply = true;
}

void
SlotAllocator::GrantFreeSlots(const PoolId& aId, Pool& aPool)
{
  std::uint32_t granted = 0;
  for (const auto& [key, share] : aPool.mShares) {
    granted += share.mGranted;
  }
  std::uint32_t free = Shortfall(granted, aPool.Available());
  // Serves demand first, then the even distribution of the rest.
  for (const bool byDemand : { true, false }) {
    for (auto& [key, share] : aPool.mShares) {
      const std::uint32_t limit =
        byDemand ? std::min(share.mTarget, share.mInUse + share.mWanted)
                 : share.mTarget;
      const std::uint32_t extra =
        std::min(Shortfall(share.mGranted, limit), free);
      if (extra > 0) {
        RaiseGrant(aId, key, share, share.mGranted + extra);
        free -= extra;
      }
    }
  }
}

void
SlotAllocator::SetRecall(const PoolId& aId,
                         const HolderKey& aKey,
                         Share& aShare,
                         std::optional<std::uint32_t> aTarget)
{
  if (aShare.mRecallTarget == aTarget) {
    return;
  }
  aShare.mRecallTarget = aTarget;
  Holder& holder = mHolders.at(aKey);
  if (aTarget) {
    holder.mRecalled.insert(aId);
    holder.mNeedsReply = true;
  } else {
    holder.mRecalled.erase(aId);
  }
}

void
SlotAllocator::Recall(const PoolId& aId, Pool& aPool)
{
  std::uint32_t granted = 0;
  std::uint32_t needed = 0;
  for (const auto& [key, share] : aPool.mShares) {
    granted += share.mGranted;
    const std::uint32_t demand =
      std::min(share.mTarget, share.mInUse + share.mWanted);
    needed += IsFarBelow(share.mGranted, share.mTarget)
                ? Shortfall(share.mGranted, share.mTarget)
                : Shortfall(share.mGranted, demand);
  }
  needed = std::max(needed, Shortfall(aPool.Available(), granted));
  for (auto& [key, share] : aPool.mShares) {
    const std::uint32_t returnable =
      std::min(Shortfall(share.mTarget, share.mGranted), needed);
    needed -= returnable;
    SetRecall(aId,
              key,
              share,
              returnable > 0 ? std::make_optional(share.mGranted - returnable)
                             : std::nullopt);
  }
}

std::vector<SlotReply>
SlotAllocator::Tick()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  EndExpiredLeases(now);
  RebalanceChangedPools(now);
  return CollectReplies();
}

}

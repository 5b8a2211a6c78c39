#include "Routing/SlotHolder.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "Routing/SlotMessages.h"

namespace almondspoke {

namespace {

// Part of the lease, in percent, that the holder does not use. It compensates
// for clocks of slightly different speed, so that the holder stops before the
// grantor reassigns the slots.
constexpr int kLeaseMarginPercent = 10;

// Maximum number of unanswered requests whose send times are kept.
constexpr std::size_t kMaxTrackedRequests = 64;

// Decrease of the slots in use that is reported even if some are still in use.
constexpr std::uint32_t kMinReportedDecrease = 2;

Clock::Monotonic
LeaseEnd(Clock::Monotonic aSentAt, std::uint32_t aLeaseMs)
{
  const std::chrono::microseconds lease = std::chrono::milliseconds(aLeaseMs);
  return aSentAt + lease * (100 - kLeaseMarginPercent) / 100;
}

}

SlotHolder::SlotHolder(const Clock& aClock,
                       InstanceIdentity aSelf,
                       Mode aMode,
                       SlotHolderSettings aSettings)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
  , mMode(aMode)
  , mSettings(aSettings)
  , mLease(std::make_shared<SlotLease>())
{
  if (mMode == Mode::Local) {
    mLease->SetValidUntil(Clock::Monotonic::max());
    mAreGrantsCleared = false;
  }
}

SlotHolder::PoolState&
SlotHolder::StateOf(const PoolId& aId)
{
  PoolState& state = mPools[aId];
  if (!state.mPool) {
    state.mPool = std::make_shared<SlotPool>(mLease);
  }
  return state;
}

std::shared_ptr<SlotPool>
SlotHolder::Pool(const PoolId& aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  PoolState& state = StateOf(aId);
  state.mIsRemoved = false;
  return state.mPool;
}

void
SlotHolder::SetCapacity(const PoolId& aId, std::uint32_t aCapacity)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  PoolState& state = StateOf(aId);
  state.mIsRemoved = false;
  const bool isNew = std::exchange(state.mCapacity, aCapacity) != aCapacity;
  if (mMode == Mode::Local) {
    state.mPool->SetGranted(aCapacity);
  } else if (isNew && mFallbackInstances > 0) {
    GrantFallbackShare(state);
  }
}

void
SlotHolder::Remove(const PoolId& aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mPools.find(aId);
  if (found == mPools.end()) {
    return;
  }
  PoolState& state = found->second;
  state.mPool->SetGranted(0);
  state.mCapacity = 0;
  state.mIsRemoved = true;
  if (mMode == Mode::Leased) {
    MarkChanged(state);
    mHasUnsentChanges = true;
  }
  EraseRemovedPools();
}

void
SlotHolder::EraseRemovedPools()
{
  for (auto state = mPools.begin(); state != mPools.end();) {
    const PoolState& pool = state->second;
    const bool canErase =
      pool.mIsRemoved && pool.mChangedSequence == 0 && pool.mPool->InUse() == 0;
    state = canErase ? mPools.erase(state) : std::next(state);
  }
}

void
SlotHolder::MarkChanged(PoolState& aState)
{
  aState.mChangedSequence = mNextSequence;
}

void
SlotHolder::MarkAllChanged()
{
  for (auto& [id, state] : mPools) {
    MarkChanged(state);
  }
}

// The grantor does not recall slots that it believes to be in use, so a
// decrease is reported with the next request. An increase needs no report: it
// appears as demand once it matters.
void
SlotHolder::MarkReducedUse()
{
  for (auto& [id, state] : mPools) {
    const std::uint32_t inUse = state.mPool->InUse();
    const bool hasDecreased =
      inUse < state.mReportedInUse &&
      (inUse == 0 || state.mReportedInUse - inUse >= kMinReportedDecrease);
    if (hasDecreased && state.mChangedSequence == 0) {
      MarkChanged(state);
    }
  }
}

void
SlotHolder::AddWanted(const PoolId& aId, std::int32_t aDelta)
{
  if (aDelta == 0 || mMode == Mode::Local) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  PoolState& state = StateOf(aId);
  state.mPool->AddWanted(aDelta);
  MarkChanged(state);
  mHasUnsentChanges = true;
}

void
SlotHolder::RecordReturnedSlot(const PoolId& aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mPools.find(aId);
  if (found == mPools.end()) {
    return;
  }
  if (mMode == Mode::Local) {
    EraseRemovedPools();
    return;
  }
  MarkChanged(found->second);
  mHasUnsentChanges = true;
}

void
SlotHolder::FollowTerm(Term aTerm)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aTerm <= mTerm) {
    return;
  }
  mTerm = aTerm;
  mNeedsFullReport = true;
  mHasUnsentChanges = true;
  for (auto& [id, state] : mPools) {
    state.mGrantVersion = 0;
  }
}

bool
SlotHolder::IsRequestDue() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mMode == Mode::Local) {
    return false;
  }
  if (!mLastSentAt) {
    return true;
  }
  const Clock::Monotonic now = mClock.MonotonicNow();
  const auto since = now - *mLastSentAt;
  const bool isLeased = mFallbackInstances == 0 && mLease->IsValid(now);
  const auto minChangeInterval = std::max<std::chrono::microseconds>(
    mSettings.mMinChangeInterval,
    mSettings.mMinChangeIntervalPerPool *
      static_cast<std::chrono::microseconds::rep>(mPools.size()));
  return since >=
           (isLeased ? mSettings.mRenewInterval : mSettings.mRetryInterval) ||
         (mHasUnsentChanges && since >= minChangeInterval);
}

bool
SlotHolder::IsLeaseValid() const
{
  return mLease->IsValid(mClock.MonotonicNow());
}

void
SlotHolder::GrantFallback(std::uint32_t aInstances, Clock::Monotonic aUntil)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mMode == Mode::Local || aInstances == 0) {
    return;
  }
  const Clock::Monotonic now = mClock.MonotonicNow();
  ClearExpiredGrants(now);
  const bool isLeased = mFallbackInstances == 0 && mLease->IsValid(now);
  if (isLeased && aInstances > 1) {
    return;
  }
  mLease->SetValidUntil(std::max(mLease->ValidUntil(), aUntil));
  mAreGrantsCleared = false;
  if (std::exchange(mFallbackInstances, aInstances) == aInstances) {
    return;
  }
  for (auto& [id, state] : mPools) {
    GrantFallbackShare(state);
  }
}

void
SlotHolder::GrantFallbackShare(PoolState& aState)
{
  const std::uint32_t part = aState.mCapacity / mFallbackInstances;
  aState.mPool->SetGranted(
    aState.mCapacity == 0 ? 0 : std::max(part, std::uint32_t{ 1 }));
  MarkChanged(aState);
  mFallbackSequence = mNextSequence;
  mHasUnsentChanges = true;
}

bool
SlotHolder::IsUsingFallback() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mFallbackInstances > 0 && mLease->IsValid(mClock.MonotonicNow());
}

void
SlotHolder::ClearExpiredGrants(Clock::Monotonic aNow)
{
  if (mAreGrantsCleared || mLease->IsValid(aNow)) {
    return;
  }
  mAreGrantsCleared = true;
  mFallbackInstances = 0;
  for (auto& [id, state] : mPools) {
    state.mPool->SetGranted(0);
  }
  MarkAllChanged();
}

SlotRequest
SlotHolder::BuildRequest()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  ClearExpiredGrants(now);
  SlotRequest request;
  request.mInstance = mSelf.mName;
  request.mIncarnation = mSelf.mIncarnation;
  request.mTerm = mTerm;
  request.mIsFull = mNeedsFullReport;
  if (mNeedsFullReport) {
    MarkAllChanged();
  }
  MarkReducedUse();
  request.mSequence = mNextSequence++;
  for (auto& [id, state] : mPools) {
    if (state.mChangedSequence == 0) {
      continue;
    }
    const SlotPool& pool = *state.mPool;
    const std::uint32_t inUse = pool.InUse();
    state.mReportedInUse = inUse;
    request.mPools.push_back({ id,
                               std::max(pool.Granted(), inUse),
                               inUse,
                               pool.Wanted(),
                               state.mGrantVersion });
  }
  mSendTimes[request.mSequence] = now;
  mLastSentAt = now;
  if (mSendTimes.size() > kMaxTrackedRequests) {
    mSendTimes.erase(mSendTimes.begin());
  }
  mHasUnsentChanges = false;
  return request;
}

void
SlotHolder::ConfirmUpTo(std::uint64_t aSequence)
{
  for (auto& [id, state] : mPools) {
    if (state.mChangedSequence != 0 && state.mChangedSequence <= aSequence) {
      state.mChangedSequence = 0;
    }
  }
  mSendTimes.erase(mSendTimes.begin(), mSendTimes.lower_bound(aSequence));
}

bool
SlotHolder::Apply(const SlotReply& aReply)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aReply.mInstance != mSelf.mName ||
      aReply.mIncarnation != mSelf.mIncarnation || aReply.mTerm < mTerm) {
    return false;
  }
  const Clock::Monotonic now = mClock.MonotonicNow();
  ClearExpiredGrants(now);
  if (aReply.mTerm > mTerm || aReply.mNeedsFullReport) {
    if (aReply.mTerm > mTerm) {
      for (auto& [id, state] : mPools) {
        state.mGrantVersion = 0;
      }
    }
    mTerm = aReply.mTerm;
    mNeedsFullReport = true;
    mHasUnsentChanges = true;
    return true;
  }
  const auto sent = mSendTimes.find(aReply.mSequence);
  if (sent == mSendTimes.end()) {
    return mHasUnsentChanges;
  }
  if (mFallbackInstances > 0 && aReply.mSequence < mFallbackSequence) {
    // The grantor has not received the fallback shares yet.
    return mHasUnsentChanges;
  }
  const Clock::Monotonic leaseEnd =
    LeaseEnd(sent->second, aReply.mLeaseMilliseconds);
  if (leaseEnd <= now) {
    return mHasUnsentChanges;
  }
  mFallbackInstances = 0;
  mLease->SetValidUntil(std::max(mLease->ValidUntil(), leaseEnd));
  mAreGrantsCleared = false;
  mNeedsFullReport = false;
  ConfirmUpTo(aReply.mSequence);
  EraseRemovedPools();
  return ApplyGrants(aReply) || mHasUnsentChanges;
}

bool
SlotHolder::ApplyGrants(const SlotReply& aReply)
{
  for (const PoolGrant& grant : aReply.mGrants) {
    PoolState& state = StateOf(grant.mPool);
    if (grant.mVersion <= state.mGrantVersion) {
      continue;
    }
    state.mGrantVersion = grant.mVersion;
    // Slots granted for a removed pool are returned immediately.
    state.mPool->SetGranted(state.mIsRemoved ? 0 : grant.mGranted);
    MarkChanged(state);
  }
  bool hasReturnedSlots = false;
  for (const PoolRecall& recall : aReply.mRecalls) {
    PoolState& state = StateOf(recall.mPool);
    if (recall.mVersion != state.mGrantVersion ||
        state.mPool->ReduceTo(recall.mTarget) == 0) {
      continue;
    }
    MarkChanged(state);
    hasReturnedSlots = true;
  }
  mHasUnsentChanges = mHasUnsentChanges || hasReturnedSlots;
  return hasReturnedSlots;
}

}

#include "Routing/RequestQueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondspoke {

namespace {

// Entry shared by all kinds beyond the maximum number of kinds.
const KindName kOtherKindsName = "other";

// Entry of the work of other data centres. No kind of a caller has this name.
const KindName kSpilledKindName = "(spilled)";

// Largest share of the slots that work of other data centres may use.
constexpr double kSpilledCeilingShare = 0.1;

// Share of the slots that must stay free for work of this data centre when work
// of other data centres starts. Unmet reserves count towards it.
constexpr double kSpillHeadroomShare = 0.25;

// Once in this number of starts, the kind with the least slot time for its
// weight is served first, regardless of urgency.
constexpr std::uint64_t kFairShareInterval = 16;

constexpr double kMinWeight = 0.001;

// Divisor of the unused reserves that are lent to kinds slightly above their
// own reserve. The rest stays free, so that a kind below its reserve gets a
// slot immediately; after that it gets the next slot that is released.
constexpr std::uint32_t kLentReserveDivisor = 2;

// Divisor of the own reserve by which a kind may exceed that reserve with
// borrowed slots.
constexpr std::uint32_t kBorrowLimitDivisor = 2;

std::uint32_t
ShareOf(double aShare, std::uint32_t aTotal)
{
  return static_cast<std::uint32_t>(std::floor(aShare * aTotal));
}

KindRoutingRules
SpilledRules()
{
  KindRoutingRules rules;
  rules.mCeiling = kSpilledCeilingShare;
  return rules;
}

}

RequestQueue::RequestQueue(QueueOrder aOrder, QueueLimits aLimits)
  : mOrder(aOrder)
  , mLimits(aLimits)
{
  AddKind(kOtherKindsName);
  AddKind(kSpilledKindName);
  mKinds[kSpilledKindIndex].mRules = SpilledRules();
}

void
RequestQueue::ApplyRules(const RoutingRules& aRules)
{
  mRules = aRules;
  for (Kind& kind : mKinds) {
    kind.mRules = mRules.Of(kind.mName);
  }
  mKinds[kSpilledKindIndex].mRules = SpilledRules();
  // A reserve takes effect before the first work of its kind arrives.
  for (const auto& [name, rules] : mRules.mKinds) {
    IndexOf(name);
  }
}

KindIndex
RequestQueue::IndexOf(const KindName& aKind)
{
  const auto found = mIndexes.find(aKind);
  if (found != mIndexes.end()) {
    return found->second;
  }
  if (mKinds.size() >= mLimits.mMaxKinds) {
    return 0;
  }
  return AddKind(aKind);
}

KindIndex
RequestQueue::AddKind(const KindName& aKind)
{
  const auto index = static_cast<KindIndex>(mKinds.size());
  Kind kind;
  kind.mName = aKind;
  kind.mRules = mRules.Of(aKind);
  mKinds.push_back(std::move(kind));
  mIndexes.emplace(aKind, index);
  return index;
}

std::optional<ErrorKind>
RequestQueue::CheckCapacity(KindIndex aKind) const
{
  const Kind& kind = mKinds[aKind];
  const double ceiling = std::min(kind.mRules.mCeiling, 1.0) *
                         static_cast<double>(mLimits.mMaxLength);
  if (mOrder == QueueOrder::Shares && kind.mRules.mCeiling < 1 &&
      static_cast<double>(kind.mWaiting.size()) >= ceiling) {
    return ErrorKind::KindCeilingReached;
  }
  if (Length() >= mLimits.mMaxLength) {
    return ErrorKind::QueueFull;
  }
  return std::nullopt;
}

double
RequestQueue::QueueShare(const Kind& aKind, std::size_t aWaitingKinds) const
{
  const double evenShare = 1.0 / static_cast<double>(aWaitingKinds);
  const double share = std::max(aKind.mRules.mReserve, evenShare);
  return share * static_cast<double>(mLimits.mMaxLength);
}

std::optional<QueueKey>
RequestQueue::FindEvictionCandidate(KindIndex aKind) const
{
  std::size_t waitingKinds = mKinds[aKind].mWaiting.empty() ? 1 : 0;
  for (const Kind& kind : mKinds) {
    waitingKinds += kind.mWaiting.empty() ? 0 : 1;
  }
  const auto excess = [&](const Kind& aOf) {
    return static_cast<double>(aOf.mWaiting.size()) -
           QueueShare(aOf, waitingKinds);
  };
  if (mOrder == QueueOrder::Arrival || excess(mKinds[aKind]) >= 0) {
    return std::nullopt;
  }
  const Kind* longest = nullptr;
  for (const Kind& kind : mKinds) {
    if (excess(kind) > 0 &&
        (longest == nullptr || excess(kind) > excess(*longest))) {
      longest = &kind;
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  return *longest->mWaiting.rbegin();
}

void
RequestQueue::CatchUpVirtualTime(Kind& aKind)
{
  // An idle kind must not accumulate credit: it starts at the lowest virtual
  // time among the kinds with queued work.
  double least = aKind.mVirtualTime;
  bool found = false;
  for (const Kind& kind : mKinds) {
    if (kind.mWaiting.empty()) {
      continue;
    }
    least = found ? std::min(least, kind.mVirtualTime) : kind.mVirtualTime;
    found = true;
  }
  aKind.mVirtualTime = std::max(aKind.mVirtualTime, least);
}

void
RequestQueue::Push(const QueueKey& aKey)
{
  Kind& kind = mKinds[aKey.mKind];
  if (kind.mWaiting.empty()) {
    CatchUpVirtualTime(kind);
  }
  kind.mWaiting.insert(aKey);
  ++kind.mWaitingByUrgency[aKey.mUrgency];
  ++mWaitingByUrgency[aKey.mUrgency];
  mByDeadline.insert(aKey);
  if (mOrder == QueueOrder::Arrival) {
    mByArrival.emplace(aKey.mId, aKey);
  }
}

bool
RequestQueue::Remove(const QueueKey& aKey)
{
  Kind& kind = mKinds[aKey.mKind];
  if (kind.mWaiting.erase(aKey) == 0) {
    return false;
  }
  --kind.mWaitingByUrgency[aKey.mUrgency];
  --mWaitingByUrgency[aKey.mUrgency];
  mByDeadline.erase(aKey);
  mByArrival.erase(aKey.mId);
  return true;
}

std::uint32_t
RequestQueue::ReserveSlots(const Kind& aKind, std::uint32_t aTotal) const
{
  if (aKind.mRules.mReserve <= 0) {
    return 0;
  }
  return std::max<std::uint32_t>(1, ShareOf(aKind.mRules.mReserve, aTotal));
}

std::uint32_t
RequestQueue::CeilingSlots(KindIndex aKind, std::uint32_t aTotal) const
{
  const double ceiling = std::min(mKinds[aKind].mRules.mCeiling, 1.0);
  return std::max<std::uint32_t>(1, ShareOf(ceiling, aTotal));
}

std::uint32_t
RequestQueue::UnmetReserves(std::uint32_t aTotal) const
{
  std::uint32_t unmet = 0;
  for (const Kind& kind : mKinds) {
    const std::uint32_t reserve = ReserveSlots(kind, aTotal);
    unmet += reserve > kind.mInUse ? reserve - kind.mInUse : 0;
  }
  return unmet;
}

std::uint32_t
RequestQueue::SpillRoom(const SlotSupply& aSupply) const
{
  if (!mByDeadline.empty()) {
    return 0;
  }
  const std::uint32_t withheld =
    std::max(UnmetReserves(aSupply.mTotal),
             ShareOf(kSpillHeadroomShare, aSupply.mTotal));
  const std::uint32_t free =
    aSupply.mFree > withheld ? aSupply.mFree - withheld : 0;
  const std::uint32_t ceiling = CeilingSlots(kSpilledKindIndex, aSupply.mTotal);
  const std::uint32_t inUse = mKinds[kSpilledKindIndex].mInUse;
  return std::min(free, ceiling > inUse ? ceiling - inUse : 0);
}

bool
RequestQueue::MayStart(const Kind& aKind,
                       const SlotSupply& aSupply,
                       std::uint32_t aUnmetReserves) const
{
  const auto index = static_cast<KindIndex>(&aKind - mKinds.data());
  if (aKind.mInUse >= CeilingSlots(index, aSupply.mTotal)) {
    return false;
  }
  const std::uint32_t reserve = ReserveSlots(aKind, aSupply.mTotal);
  if (aKind.mInUse < reserve) {
    return true;
  }
  const bool mayBorrow = aKind.mInUse < reserve + reserve / kBorrowLimitDivisor;
  const std::uint32_t lent =
    mayBorrow ? aUnmetReserves / kLentReserveDivisor : 0;
  return aSupply.mFree > aUnmetReserves - lent;
}

bool
RequestQueue::HasPriorityOver(const Kind& aLeft,
                              const Kind& aRight,
                              std::uint32_t aTotal) const
{
  const bool leftReserved = aLeft.mInUse < ReserveSlots(aLeft, aTotal);
  const bool rightReserved = aRight.mInUse < ReserveSlots(aRight, aTotal);
  if (leftReserved != rightReserved) {
    return leftReserved;
  }
  const UrgencyLevel left = aLeft.mWaiting.begin()->mUrgency;
  const UrgencyLevel right = aRight.mWaiting.begin()->mUrgency;
  const bool isFairShareStart =
    mStarts % kFairShareInterval == kFairShareInterval - 1;
  if (left != right && !isFairShareStart) {
    return left < right;
  }
  return aLeft.mVirtualTime < aRight.mVirtualTime;
}

std::optional<QueueKey>
RequestQueue::NextByShares(const SlotSupply& aSupply,
                           const std::vector<bool>& aSkipped) const
{
  const std::uint32_t unmet = UnmetReserves(aSupply.mTotal);
  const Kind* best = nullptr;
  for (std::size_t i = 0; i < mKinds.size(); ++i) {
    const Kind& kind = mKinds[i];
    if (kind.mWaiting.empty() || (i < aSkipped.size() && aSkipped[i]) ||
        !MayStart(kind, aSupply, unmet)) {
      continue;
    }
    if (best == nullptr || HasPriorityOver(kind, *best, aSupply.mTotal)) {
      best = &kind;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return *best->mWaiting.begin();
}

std::optional<QueueKey>
RequestQueue::NextByArrival(const std::vector<bool>& aSkipped) const
{
  for (const auto& [id, key] : mByArrival) {
    if (key.mKind >= aSkipped.size() || !aSkipped[key.mKind]) {
      return key;
    }
  }
  return std::nullopt;
}

std::optional<QueueKey>
RequestQueue::Next(const SlotSupply& aSupply,
                   const std::vector<bool>& aSkipped) const
{
  if (mByDeadline.empty() || aSupply.mFree == 0) {
    return std::nullopt;
  }
  if (mOrder == QueueOrder::Arrival) {
    return NextByArrival(aSkipped);
  }
  return NextByShares(aSupply, aSkipped);
}

void
RequestQueue::Start(const QueueKey& aKey, double aSlotSeconds)
{
  if (!Remove(aKey)) {
    return;
  }
  Kind& kind = mKinds[aKey.mKind];
  ++kind.mInUse;
  ++mStarts;
  kind.mVirtualTime += aSlotSeconds / std::max(kind.mRules.mWeight, kMinWeight);
}

void
RequestQueue::Finish(KindIndex aKind)
{
  Kind& kind = mKinds[aKind];
  if (kind.mInUse > 0) {
    --kind.mInUse;
  }
}

std::vector<QueueKey>
RequestQueue::Expired(Clock::Monotonic aNow, std::size_t aLimit) const
{
  std::vector<QueueKey> expired;
  for (const QueueKey& key : mByDeadline) {
    if (key.mDeadline > aNow || expired.size() >= aLimit) {
      break;
    }
    expired.push_back(key);
  }
  return expired;
}

std::size_t
RequestQueue::WaitingAhead(KindIndex aKind, UrgencyLevel aUrgency) const
{
  std::size_t ahead = 0;
  const Kind& kind = mKinds[aKind];
  for (UrgencyLevel urgency = 0;
       urgency <= aUrgency && urgency < kUrgencyLevels;
       ++urgency) {
    ahead += kind.mWaitingByUrgency[urgency];
  }
  return ahead;
}

std::size_t
RequestQueue::WaitingUpTo(UrgencyLevel aUrgency) const
{
  std::size_t waiting = 0;
  for (UrgencyLevel urgency = 0;
       urgency <= aUrgency && urgency < kUrgencyLevels;
       ++urgency) {
    waiting += mWaitingByUrgency[urgency];
  }
  return waiting;
}

std::size_t
RequestQueue::Waiting(KindIndex aKind) const
{
  return mKinds[aKind].mWaiting.size();
}

std::uint32_t
RequestQueue::InUse(KindIndex aKind) const
{
  return mKinds[aKind].mInUse;
}

const KindName&
RequestQueue::NameOf(KindIndex aKind) const
{
  return mKinds[aKind].mName;
}

}

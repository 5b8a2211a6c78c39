#include "Routing/SlotPool.h"

#include <utility>

namespace almondspoke {

namespace {

constexpr unsigned kGrantedShift = 32;
constexpr std::uint64_t kOneGranted = std::uint64_t{ 1 } << kGrantedShift;

std::uint32_t
GrantedOf(std::uint64_t aState)
{
  return static_cast<std::uint32_t>(aState >> kGrantedShift);
}

std::uint32_t
InUseOf(std::uint64_t aState)
{
  return static_cast<std::uint32_t>(aState);
}

}

SlotPool::SlotPool(std::shared_ptr<const SlotLease> aLease)
  : mLease(std::move(aLease))
{
}

bool
SlotPool::TryAcquire(Clock::Monotonic aNow)
{
  if (!mLease->IsValid(aNow)) {
    return false;
  }
  std::uint64_t state = mState.load();
  while (InUseOf(state) < GrantedOf(state)) {
    if (mState.compare_exchange_weak(state, state + 1)) {
      return true;
    }
  }
  return false;
}

void
SlotPool::ForceAcquire()
{
  mState.fetch_add(1);
}

bool
SlotPool::Release()
{
  std::uint64_t state = mState.load();
  for (;;) {
    if (InUseOf(state) == 0) {
      return false;
    }
    const bool isAboveTarget = GrantedOf(state) > mTarget.load();
    const bool isAboveGrant = InUseOf(state) > GrantedOf(state);
    const std::uint64_t next = state - 1 - (isAboveTarget ? kOneGranted : 0);
    if (mState.compare_exchange_weak(state, next)) {
      return isAboveTarget || isAboveGrant;
    }
  }
}

std::uint32_t
SlotPool::Free(Clock::Monotonic aNow) const
{
  const std::uint64_t state = mState.load(std::memory_order_relaxed);
  if (InUseOf(state) >= GrantedOf(state) || !mLease->IsValid(aNow)) {
    return 0;
  }
  return GrantedOf(state) - InUseOf(state);
}

std::uint32_t
SlotPool::Granted() const
{
  return GrantedOf(mState.load());
}

std::uint32_t
SlotPool::InUse() const
{
  return InUseOf(mState.load());
}

void
SlotPool::AddWanted(std::int32_t aDelta)
{
  mWanted.fetch_add(static_cast<std::uint32_t>(aDelta));
}

void
SlotPool::SetGranted(std::uint32_t aGranted)
{
  mTarget.store(aGranted);
  std::uint64_t state = mState.load();
  std::uint64_t next = 0;
  do {
    next = (std::uint64_t{ aGranted } << kGrantedShift) | InUseOf(state);
  } while (!mState.compare_exchange_weak(state, next));
}

bool
SlotPool::TryReturnIdleSlot()
{
  std::uint64_t state = mState.load();
  while (GrantedOf(state) > mTarget.load() &&
         GrantedOf(state) > InUseOf(state)) {
    if (mState.compare_exchange_weak(state, state - kOneGranted)) {
      return true;
    }
  }
  return false;
}

std::uint32_t
SlotPool::ReduceTo(std::uint32_t aTarget)
{
  mTarget.store(aTarget);
  std::uint32_t returned = 0;
  while (TryReturnIdleSlot()) {
    ++returned;
  }
  return returned;
}

}

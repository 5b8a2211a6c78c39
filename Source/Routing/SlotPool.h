#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief Time until which all grants of this instance are valid. */
class SlotLease
{
public:
  bool IsValid(Clock::Monotonic aNow) const
  {
    return aNow.time_since_epoch().count() <
           mValidUntil.load(std::memory_order_acquire);
  }
  Clock::Monotonic ValidUntil() const
  {
    return Clock::Monotonic(
      Clock::Monotonic::duration(mValidUntil.load(std::memory_order_acquire)));
  }
  void SetValidUntil(Clock::Monotonic aTime)
  {
    mValidUntil.store(aTime.time_since_epoch().count(),
                      std::memory_order_release);
  }

private:
  std::atomic<Clock::Monotonic::rep> mValidUntil{ 0 };
};

/** \brief The slots of one resource that this instance may use: how many are
 * granted and how many are in use. Lock-free and thread-safe. */
class SlotPool
{
public:
  explicit SlotPool(std::shared_ptr<const SlotLease> aLease);

  /** Takes one slot; false if none is free or the lease has run out. */
  bool TryAcquire(Clock::Monotonic aNow);

  /** Ends the use of a slot. The slot goes back to the grantor if more is
   * granted than the target, or more was in use than granted. Returns true if
   * it did. */
  bool Release();

  /** Takes a slot beyond what is granted, for strategies that do not respect
   * slots. */
  void ForceAcquire();

  std::uint32_t Free(Clock::Monotonic aNow) const;
  std::uint32_t Granted() const;
  std::uint32_t InUse() const;

  /** Slots that waiting work could use beyond those granted. */
  std::uint32_t Wanted() const { return mWanted.load(); }
  /** Several users of the pool may each add what they want. */
  void AddWanted(std::int32_t aDelta);

  /** Replaces the grant; the target follows. */
  void SetGranted(std::uint32_t aGranted);

  /** Gives back idle slots until aTarget is reached and remembers the target
   * for slots that are still in use. Returns the slots given back. */
  std::uint32_t ReduceTo(std::uint32_t aTarget);

private:
  bool TryReturnIdleSlot();

  std::shared_ptr<const SlotLease> mLease;
  /** Granted in the upper, in use in the lower 32 bits. */
  std::atomic<std::uint64_t> mState{ 0 };
  std::atomic<std::uint32_t> mTarget{ 0 };
  std::atomic<std::uint32_t> mWanted{ 0 };
};

}

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief Time until which all grants of this instance are valid. Lock-free and
 * thread-safe. */
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

/** \brief The slots of one resource that this instance may use, as the numbers
 * of granted slots and of slots in use. Lock-free and thread-safe. */
class SlotPool
{
public:
  explicit SlotPool(std::shared_ptr<const SlotLease> aLease);

  /** Acquires a slot; returns false if none is free or the lease has expired.
   */
  bool TryAcquire(Clock::Monotonic aNow);

  /** Releases a slot. Returns true if the slot goes back to the grantor,
   * because more slots were granted than the target or more were in use than
   * granted. */
  bool Release();

  /** Acquires a slot even if none is free, for strategies that ignore slots. */
  void ForceAcquire();

  std::uint32_t Free(Clock::Monotonic aNow) const;
  std::uint32_t Granted() const;
  std::uint32_t InUse() const;

  /** Returns the number of additional slots that waiting work could use. */
  std::uint32_t Wanted() const { return mWanted.load(); }
  /** Changes the wanted slots. Several users of the pool may each add their own
   * demand. */
  void AddWanted(std::int32_t aDelta);

  /** Sets the granted slots, and the target to the same number. */
  void SetGranted(std::uint32_t aGranted);

  /** Returns idle slots until aTarget is reached. Slots in use above the target
   * are returned when they are released. Returns the number of slots returned
   * now. */
  std::uint32_t ReduceTo(std::uint32_t aTarget);

private:
  bool TryReturnIdleSlot();

  std::shared_ptr<const SlotLease> mLease;
  /** Granted slots in the upper 32 bits, slots in use in the lower 32 bits. */
  std::atomic<std::uint64_t> mState{ 0 };
  std::atomic<std::uint32_t> mTarget{ 0 };
  std::atomic<std::uint32_t> mWanted{ 0 };
};

}

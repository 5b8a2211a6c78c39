#pragma once

#include <cstdint>

namespace almondspoke {

/** \brief Resources that a task requires or that a worker has. */
struct Resources
{
  double mCores = 0;
  std::uint64_t mMemoryBytes = 0;
  std::uint32_t mAccelerators = 0;

  Resources& operator+=(const Resources& aOther)
  {
    mCores += aOther.mCores;
    mMemoryBytes += aOther.mMemoryBytes;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }

  /** Subtracts aOther; each resource stays at least zero. */
  Resources& operator-=(const Resources& aOther)
  {
    mCores = mCores > aOther.mCores ? mCores - aOther.mCores : 0;
    mMemoryBytes = mMemoryBytes > aOther.mMemoryBytes
                     ? mMemoryBytes - aOther.mMemoryBytes
                     : 0;
    mAccelerators = mAccelerators > aOther.mAccelerators
                      ? mAccelerators - aOther.mAccelerators
                      : 0;
    return *this;
  }
};

/** Tolerance for rounding errors when sums of cores are compared. */
constexpr double kCoreTolerance = 1e-6;

/** True if aRequired fits into aFree. */
inline bool
Fits(const Resources& aRequired, const Resources& aFree)
{
  return aRequired.mCores <= aFree.mCores + kCoreTolerance &&
         aRequired.mMemoryBytes <= aFree.mMemoryBytes &&
         aRequired.mAccelerators <= aFree.mAccelerators;
}

}

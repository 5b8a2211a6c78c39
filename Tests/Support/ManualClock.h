#pragma once

#include <chrono>

#include "Base/Clock.h"

namespace almondspoke::testing {

/** \brief A Clock that advances only when the test calls Advance(). */
class ManualClock : public Clock
{
public:
  Monotonic MonotonicNow() const override { return mMonotonic; }
  Wall WallNow() const override { return mWall; }

  void Advance(std::chrono::nanoseconds aBy)
  {
    mMonotonic += std::chrono::duration_cast<Monotonic::duration>(aBy);
    mWall += std::chrono::duration_cast<Wall::duration>(aBy);
  }

  /** Sets the wall clock only, as when an administrator sets the system
   * time. */
  void SetWall(Wall aWall) { mWall = aWall; }

private:
  Monotonic mMonotonic{ std::chrono::hours(1) };
  Wall mWall{ std::chrono::hours(24 * 365 * 50) };
};

}

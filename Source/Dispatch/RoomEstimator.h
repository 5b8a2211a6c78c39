#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "Base/Clock.h"
#include "Dispatch/Manifest.h"

namespace almondspoke::dispatch {

/** \brief Measures how fast waiting work finds room on the workers of a pool.
 *
 * While work waits, what is started is what the workers have room for: the
 * started work per time is the number of cores that it can use, however these
 * are fragmented. Costs a few additions for each start. */
class RoomEstimator
{
public:
  using TimePoint = Clock::Monotonic;

  /** Records that a task was started.
   * \param aCoreMs cores of the task times its expected run time */
  void OnStarted(const PoolName& aPool, double aCoreMs);
  /** Records whether work that can be in time waits for room. */
  void SetWaiting(const PoolName& aPool, bool aIsWaiting, TimePoint aNow);

  /** Records the time to the answer of an order to start a run. */
  void OnAnswered(std::chrono::milliseconds aTook);
  /** Returns the time to the answer of an order, on average lately. */
  std::chrono::milliseconds AnswerTime() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(mAnswerTime);
  }

  /** Returns the cores that waiting work is started on; unset if it has not
   * waited for long enough to tell. */
  std::optional<double> ObservedCores(const PoolName& aPool,
                                      TimePoint aNow) const;
  /** Returns since when no work has waited; unset while some does. */
  std::optional<TimePoint> FreeSince(const PoolName& aPool) const;
  void Clear()
  {
    mPools.clear();
    mAnswerTime = {};
  }

private:
  struct PoolRoom
  {
    bool mIsWaiting = false;
    /** Since when mIsWaiting has its value. */
    TimePoint mSince{};
    TimePoint mIntervalBegan{};
    double mStartedCoreMs = 0;
    int mStarts = 0;
    std::optional<double> mCores;
    TimePoint mMeasuredAt{};
  };

  std::map<PoolName, PoolRoom> mPools;
  std::chrono::duration<double, std::milli> mAnswerTime{ 0 };
};

}

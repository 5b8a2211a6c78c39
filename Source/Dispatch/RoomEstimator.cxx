#include "Dispatch/RoomEstimator.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Length of a measurement: several times the time that an end takes to become
 * known, and less than the time in which a job must start; longer if few tasks
 * are started, since the figure would be down to chance. */
constexpr milliseconds kInterval{ 50 };
constexpr milliseconds kMaxInterval{ 400 };
constexpr int kMinStarts = 10;

/** Weight of the latest measurement. */
constexpr double kLatestWeight = 0.3;

/** Weight of the latest answer: those of the last tens of milliseconds count.
 */
constexpr double kAnswerWeight = 0.02;

/** A measurement is used for this long. */
constexpr milliseconds kValidity{ 400 };

}

void
RoomEstimator::OnStarted(const PoolName& aPool, double aCoreMs)
{
  const auto pool = mPools.find(aPool);
  if (pool != mPools.end() && pool->second.mIsWaiting) {
    pool->second.mStartedCoreMs += aCoreMs;
    ++pool->second.mStarts;
  }
}

void
RoomEstimator::SetWaiting(const PoolName& aPool,
                          bool aIsWaiting,
                          TimePoint aNow)
{
  const auto [entry, isNew] = mPools.try_emplace(aPool);
  PoolRoom& pool = entry->second;
  if (isNew || pool.mIsWaiting != aIsWaiting) {
    pool.mIsWaiting = aIsWaiting;
    pool.mSince = aNow;
    pool.mIntervalBegan = aNow;
    pool.mStartedCoreMs = 0;
    pool.mStarts = 0;
    return;
  }
  const auto length = aNow - pool.mIntervalBegan;
  const auto least = pool.mStarts < kMinStarts ? kMaxInterval : kInterval;
  if (!aIsWaiting || length < least) {
    return;
  }
  const double cores =
    pool.mStartedCoreMs /
    std::chrono::duration<double, std::milli>(length).count();
  const bool isContinued =
    pool.mCores && pool.mIntervalBegan - pool.mMeasuredAt <= kValidity;
  pool.mCores = isContinued
                  ? *pool.mCores * (1 - kLatestWeight) + cores * kLatestWeight
                  : cores;
  pool.mMeasuredAt = aNow;
  pool.mIntervalBegan = aNow;
  pool.mStartedCoreMs = 0;
  pool.mStarts = 0;
}

void
RoomEstimator::OnAnswered(milliseconds aTook)
{
  mAnswerTime +=
    (std::chrono::duration<double, std::milli>(aTook) - mAnswerTime) *
    kAnswerWeight;
}

std::optional<double>
RoomEstimator::ObservedCores(const PoolName& aPool, TimePoint aNow) const
{
  const auto pool = mPools.find(aPool);
  if (pool == mPools.end() || !pool->second.mCores ||
      aNow - pool->second.mMeasuredAt > kValidity) {
    return std::nullopt;
  }
  return pool->second.mCores;
}

std::optional<RoomEstimator::TimePoint>
RoomEstimator::FreeSince(const PoolName& aPool) const
{
  const auto pool = mPools.find(aPool);
  if (pool == mPools.end() || pool->second.mIsWaiting) {
    return std::nullopt;
  }
  return pool->second.mSince;
}

}

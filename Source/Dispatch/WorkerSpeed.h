#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Dispatch/EndRate.h"

namespace almondspoke::dispatch {

/** Step of the speed of workers, relative to the mean of their pool: 0 at the
 * mean, 1 and more for slower ones, -1 and less for faster ones. */
using SpeedTier = std::int8_t;

inline constexpr SpeedTier kMaxSpeedTier = 3;
inline constexpr std::size_t kSpeedTiers = 2 * kMaxSpeedTier + 1;

/** \brief The workers of a pool that stand in one tier. */
struct TierSpeed
{
  std::size_t mWorkers = 0;
  /** Mean logarithm of the factor of these workers. */
  double mLogFactor = 0;
  EndRate mEnds;
};

/** \brief The speed of the workers of a pool. */
struct PoolSpeed
{
  std::size_t mWorkers = 0;
  /** Sum of the logarithms of the factors of all workers. */
  double mSumOfLogs = 0;
  /** By tier, the fastest first. */
  std::array<TierSpeed, kSpeedTiers> mTiers;

  double Mean() const
  {
    return mWorkers == 0 ? 0 : mSumOfLogs / static_cast<double>(mWorkers);
  }
  /** Returns the tier of all workers, or nothing if they are in several. */
  std::optional<SpeedTier> OnlyTier() const
  {
    for (std::size_t i = 0; i < kSpeedTiers; ++i) {
      if (mTiers[i].mWorkers == mWorkers) {
        return static_cast<SpeedTier>(static_cast<int>(i) - kMaxSpeedTier);
      }
    }
    return std::nullopt;
  }
  std::optional<SpeedTier> FastestTier() const
  {
    for (std::size_t i = 0; i < kSpeedTiers; ++i) {
      if (mTiers[i].mWorkers > 0) {
        return static_cast<SpeedTier>(static_cast<int>(i) - kMaxSpeedTier);
      }
    }
    return std::nullopt;
  }
  TierSpeed& At(SpeedTier aTier)
  {
    return mTiers[static_cast<std::size_t>(aTier + kMaxSpeedTier)];
  }
  const TierSpeed& At(SpeedTier aTier) const
  {
    return mTiers[static_cast<std::size_t>(aTier + kMaxSpeedTier)];
  }
};

/** \brief The speed of the workers of a pool that have the same labels. */
struct KindSpeed
{
  PoolSpeed* mPool = nullptr;
  std::size_t mWorkers = 0;
  std::uint32_t mEnds = 0;
  /** Logarithm of the factor. */
  double mLogFactor = 0;
};

/** \brief What a RunTimeModel knows of the speed of one boot of a worker. */
struct WorkerSpeed
{
  /** Null while the model does not know the worker. */
  KindSpeed* mKind = nullptr;
  /** Difference of the worker's logarithm from that of its kind. */
  float mDeviation = 0;
  SpeedTier mTier = 0;

  double LogFactor() const
  {
    return mKind == nullptr ? 0 : mKind->mLogFactor + mDeviation;
  }
};

}

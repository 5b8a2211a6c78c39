#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief Estimates one quantile of a stream in constant memory.
 *
 * Each value moves the estimate by a relative step. The step shrinks as values
 * arrive but has a lower bound, so that the estimate follows changes of the
 * stream. */
class QuantileTracker
{
public:
  explicit QuantileTracker(double aQuantile);

  void Add(double aValue);
  double Value() const { return mValue; }

private:
  double mQuantile;
  double mValue = 0;
  std::uint64_t mCount = 0;
};

/** \brief Estimates the run times of each kind of one service.
 *
 * Declared run times are trusted until measured ones differ from them by a
 * large factor, and again once the two are close (hysteresis). Memory is
 * bounded by the number of kinds of the RequestQueue. Not thread-safe. */
class RunTimeEstimator
{
public:
  using Duration = std::chrono::microseconds;

  /** Records the run time of a successful attempt. */
  void Add(KindIndex aKind,
           Duration aElapsed,
           const std::optional<Duration>& aDeclared);

  /** Returns the declared run time if it is set and trusted, and the median
   * otherwise. */
  Duration Expected(KindIndex aKind,
                    const std::optional<Duration>& aDeclared) const;

  /** Returns the measured median, or a default while there are too few samples.
   */
  Duration Median(KindIndex aKind) const;

  /** Returns the measured 95th percentile, or a multiple of the default median
   * while there are too few samples. */
  Duration High(KindIndex aKind) const;

  bool IsLearned(KindIndex aKind) const;
  bool TrustsDeclared(KindIndex aKind) const;

private:
  struct Kind
  {
    QuantileTracker mMedian{ 0.5 };
    QuantileTracker mHigh{ 0.95 };
    /** Median of the measured divided by the declared run time. */
    QuantileTracker mRatio{ 0.5 };
    std::uint64_t mSamples = 0;
    std::uint64_t mDeclaredSamples = 0;
    bool mTrustsDeclared = true;
  };

  const Kind* Find(KindIndex aKind) const;
  static void UpdateTrust(Kind& aKind);

  std::vector<Kind> mKinds;
};

}

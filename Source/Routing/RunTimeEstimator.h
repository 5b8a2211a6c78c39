#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief Follows one quantile of a stream in constant memory.
 *
 * Each value moves the estimate by a relative step, which shrinks as values
 * come in but not below a floor, so that a change of the stream is followed. */
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

/** \brief Learns the run times of each kind of one service.
 *
 * A declared run time is believed until the measured ones differ from it by
 * far; it is believed again only once they are close (hysteresis). Memory is
 * bounded by the kinds that RequestQueue tells apart. Not thread-safe. */
class RunTimeEstimator
{
public:
  using Duration = std::chrono::microseconds;

  /** Notes the run time of an attempt that succeeded. */
  void Add(KindIndex aKind,
           Duration aElapsed,
           const std::optional<Duration>& aDeclared);

  /** Expected run time of work that declares the given one, if any. */
  Duration Expected(KindIndex aKind,
                    const std::optional<Duration>& aDeclared) const;

  /** Learned median; the default if too little is known. */
  Duration Median(KindIndex aKind) const;

  /** Learned 95th percentile; a multiple of the default if too little is
   * known. */
  Duration High(KindIndex aKind) const;

  bool IsLearned(KindIndex aKind) const;
  bool TrustsDeclared(KindIndex aKind) const;

private:
  struct Kind
  {
    QuantileTracker mMedian{ 0.5 };
    QuantileTracker mHigh{ 0.95 };
    /** Median of the ratio of measured to declared run time. */
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

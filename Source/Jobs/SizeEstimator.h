#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "Jobs/Resources.h"

namespace almondspoke {

/** \brief Corrects the declared resources and run times of tasks by what
 * earlier tasks of the same kind used.
 *
 * Keeps a moving average of the ratio of observed to declared size for each
 * kind. The ratio is applied only if it deviates far from 1, with hysteresis,
 * so that placement does not change with every small deviation. Not
 * thread-safe. */
class SizeEstimator
{
public:
  /** Adds a sample of the resources that a task of the kind used. */
  void Observe(const std::string& aKind,
               const Resources& aDeclared,
               const Resources& aUsed);

  /** Adds a sample of a task's run time; ignored if aDeclared is zero. */
  void ObserveRunTime(const std::string& aKind,
                      std::chrono::milliseconds aDeclared,
                      std::chrono::milliseconds aObserved);

  /** Returns the declared resources, corrected if the kind deviates far from
   * them. */
  Resources Estimate(const std::string& aKind,
                     const Resources& aDeclared) const;

  /** Returns the declared run time, corrected in the same way. */
  std::chrono::milliseconds EstimateRunTime(
    const std::string& aKind,
    std::chrono::milliseconds aDeclared) const;

  std::size_t KindCount() const { return mKinds.size(); }

private:
  /** \brief Moving average of the ratio of observed to declared size. */
  struct RatioEstimate
  {
    double mMeanLogRatio = 0;
    std::uint32_t mSampleCount = 0;
    /** True while Factor() returns the average instead of 1. */
    bool mIsApplied = false;

    void Observe(double aRatio);
    double Factor() const;
  };

  struct KindEstimates
  {
    RatioEstimate mCores;
    RatioEstimate mMemory;
    RatioEstimate mRunTime;
  };

  /** Returns the estimates of a kind; null if there are too many kinds. */
  KindEstimates* KindOf(const std::string& aKind);

  std::unordered_map<std::string, KindEstimates> mKinds;
};

}

#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "Bench/Experiment.h"

namespace almondspoke::bench {

/** \brief Time, run time and cancellation of one request, derived from the
 * seed. */
struct Arrival
{
  /** Time since the start of the run. */
  std::chrono::microseconds mTime{ 0 };
  std::chrono::milliseconds mRunTime{ 0 };
  bool mIsCancelled = false;
};

/** \brief Generates the arrivals of one stream as a Poisson process that
 * depends only on the settings and the seed, so that a slow response does not
 * delay later requests (open-loop load). */
class Arrivals
{
public:
  Arrivals(const StreamSettings& aSettings, std::uint64_t aSeed);

  /** Returns the next arrival in chronological order. */
  Arrival Next();

private:
  const StreamSettings& mSettings;
  std::mt19937_64 mRandom;
  double mTimeSeconds;
};

/** Returns a random run time of the distribution. */
std::chrono::milliseconds
DrawRunTime(const RunTimeDistribution& aDistribution, std::mt19937_64& aRandom);

}

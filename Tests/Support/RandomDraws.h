#pragma once

#include <cstdint>
#include <random>

namespace almondspoke::testing {

/** \brief The random decisions of a seeded test. */
class RandomDraws
{
public:
  explicit RandomDraws(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
  }
  /** Returns a number between two bounds, both included. */
  int Between(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<int>(aLow, aHigh)(mRandom);
  }

private:
  std::mt19937_64 mRandom;
};

}

#include "Bench/Histogram.h"

#include <algorithm>
#include <cmath>

namespace almondspoke::bench {

namespace {

unsigned
HighestBit(std::uint64_t aValue)
{
  unsigned bit = 0;
  while (aValue > 1) {
    aValue >>= 1;
    ++bit;
  }
  return bit;
}

}

Histogram::Histogram(unsigned aPrecision)
  : mPrecision(aPrecision)
  , mCounts(IndexOf(kMaxValue) + 1)
{
}

void
Histogram::Record(std::uint64_t aValue)
{
  const std::uint64_t value = std::min(aValue, kMaxValue);
  ++mCounts[IndexOf(value)];
  ++mCount;
  mMax = std::max(mMax, value);
  mSum += static_cast<double>(value);
}

void
Histogram::Add(const Histogram& aOther)
{
  for (std::size_t i = 0; i < mCounts.size(); ++i) {
    mCounts[i] += aOther.mCounts[i];
  }
  mCount += aOther.mCount;
  mMax = std::max(mMax, aOther.mMax);
  mSum += aOther.mSum;
}

double
Histogram::Mean() const
{
  return mCount == 0 ? 0 : mSum / static_cast<double>(mCount);
}

std::uint64_t
Histogram::ValueAt(double aQuantile) const
{
  const double wanted = std::ceil(aQuantile * static_cast<double>(mCount));
  const auto rank =
    std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < mCounts.size(); ++i) {
    seen += mCounts[i];
    if (seen >= rank) {
      return std::min(HighestOf(i), mMax);
    }
  }
  return mMax;
}

std::size_t
Histogram::MemoryBytes() const
{
  return mCounts.size() * sizeof(mCounts.front());
}

// Values below 2^(precision + 1) have one bucket each. Above that, each power
// of two is divided into 2^precision buckets.
std::size_t
Histogram::IndexOf(std::uint64_t aValue) const
{
  const unsigned bit = HighestBit(aValue);
  const unsigned shift = bit > mPrecision ? bit - mPrecision : 0;
  return (static_cast<std::size_t>(shift) << mPrecision) +
         static_cast<std::size_t>(aValue >> shift);
}

std::uint64_t
Histogram::HighestOf(std::size_t aIndex) const
{
  const std::size_t row = aIndex >> mPrecision;
  if (row < 2) {
    return aIndex;
  }
  const std::size_t shift = row - 1;
  const std::uint64_t mantissa = aIndex - (shift << mPrecision);
  return ((mantissa + 1) << shift) - 1;
}

}

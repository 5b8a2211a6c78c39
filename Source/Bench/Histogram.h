#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondspoke::bench {

/** \brief Counts values in buckets whose width grows with the value.
 *
 * Memory is fixed by the precision. A quantile is at most 1/2^precision above
 * the exact value; values beyond kMaxValue count as kMaxValue. */
class Histogram
{
public:
  static constexpr unsigned kDefaultPrecision = 7;
  static constexpr std::uint64_t kMaxValue = (std::uint64_t(1) << 42) - 1;

  /** \param aPrecision number of significant bits kept of a value, 1 to 16. */
  explicit Histogram(unsigned aPrecision = kDefaultPrecision);

  void Record(std::uint64_t aValue);

  /** Adds the counts of a histogram of the same precision. */
  void Add(const Histogram& aOther);

  std::uint64_t Count() const { return mCount; }
  std::uint64_t Max() const { return mMax; }
  double Mean() const;

  /** Returns the highest value of the bucket that contains the quantile, which
   * is 0 to 1. Returns 0 if the histogram is empty. */
  std::uint64_t ValueAt(double aQuantile) const;

  /** Returns the memory used by the counters, in bytes. */
  std::size_t MemoryBytes() const;

private:
  std::size_t IndexOf(std::uint64_t aValue) const;
  std::uint64_t HighestOf(std::size_t aIndex) const;

  unsigned mPrecision;
  std::vector<std::uint64_t> mCounts;
  std::uint64_t mCount = 0;
  std::uint64_t mMax = 0;
  double mSum = 0;
};

}

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "Bench/Histogram.h"

using namespace almondspoke::bench;

TEST_CASE("Histogram: each value is reported within the bound of its precision")
{
  const unsigned precision = GENERATE(1U, 4U, 7U, 10U);
  for (std::uint64_t value = 1; value < Histogram::kMaxValue / 3;
       value = value * 3 + 1) {
    Histogram histogram(precision);
    histogram.Record(value);
    // ValueAt() never exceeds the maximum; a second, larger value exposes the
    // width of the bucket.
    histogram.Record(Histogram::kMaxValue);
    const std::uint64_t reported = histogram.ValueAt(0.5);
    CAPTURE(precision, value, reported);
    CHECK(reported >= value);
    CHECK(static_cast<double>(reported - value) <=
          std::ldexp(static_cast<double>(value), -static_cast<int>(precision)));
  }
}

TEST_CASE("Histogram: quantiles of many values are within the bound")
{
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> times(11, 2);
  Histogram histogram;
  std::vector<std::uint64_t> exact;
  for (int i = 0; i < 100000; ++i) {
    exact.push_back(static_cast<std::uint64_t>(times(random)));
    histogram.Record(exact.back());
  }
  std::sort(exact.begin(), exact.end());
  for (const double quantile : { 0.001, 0.5, 0.9, 0.99, 0.999, 1.0 }) {
    const auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(exact.size())));
    const auto value = static_cast<double>(exact[rank - 1]);
    const auto reported = static_cast<double>(histogram.ValueAt(quantile));
    CAPTURE(quantile);
    CHECK(reported >= value);
    CHECK(reported <= value * (1 + 1.0 / 128));
  }
  CHECK(histogram.Count() == 100000);
}

TEST_CASE("Histogram: memory does not grow and values beyond the range count")
{
  Histogram histogram;
  const std::size_t memory = histogram.MemoryBytes();
  CHECK(memory < 40000);
  for (std::uint64_t i = 0; i < 64; ++i) {
    histogram.Record(std::uint64_t(1) << i);
  }
  histogram.Record(UINT64_MAX);
  CHECK(histogram.MemoryBytes() == memory);
  CHECK(histogram.Count() == 65);
  CHECK(histogram.Max() == Histogram::kMaxValue);
  CHECK(histogram.ValueAt(1) == Histogram::kMaxValue);
}

TEST_CASE("Histogram: merged and empty histograms")
{
  Histogram empty;
  CHECK(empty.ValueAt(0.99) == 0);
  CHECK(empty.Mean() == 0);

  Histogram left;
  Histogram right;
  left.Record(10);
  right.Record(30);
  left.Add(right);
  left.Add(empty);
  CHECK(left.Count() == 2);
  CHECK(left.Mean() == 20);
  CHECK(left.ValueAt(0.5) == 10);
  CHECK(left.ValueAt(1) == 30);
}

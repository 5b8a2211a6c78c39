#include "Bench/BenchPlots.h"

#include <array>
#include <cmath>
#include <fstream>

#include <fmt/format.h>

namespace almondspoke::bench {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kP99 = 0.99;

double
MillisecondsAt(const Histogram& aHistogram, double aQuantile)
{
  return static_cast<double>(aHistogram.ValueAt(aQuantile)) /
         kMicrosecondsPerMillisecond;
}

/** Returns the x position of a percentile on a logarithmic axis, on which 90%,
 * 99% and 99.9% are equally spaced. */
double
PercentilePosition(double aQuantile)
{
  return -std::log10(1 - aQuantile);
}

Result<void>
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    return Error(ErrorKind::InvalidArgument,
                 aPath + ": cannot be written (allowed: a file in an existing "
                         "folder)");
  }
  return Success();
}

}

SvgPlot
LatencyByTime(const RunResult& aResult)
{
  constexpr int kTicks = 8;
  const Experiment& experiment = aResult.mExperiment;
  const double slice = std::chrono::duration<double>(
                         StreamStatistics::SliceLength(experiment.mDuration))
                         .count();
  const double duration =
    static_cast<double>(experiment.mDuration.count()) / kMillisecondsPerSecond;
  SvgPlot plot;
  plot.mTitle = experiment.mName + ": latency by time of arrival, p99";
  plot.mXLabel = "s";
  plot.mYLabel = "ms";
  for (int i = 0; i <= kTicks; ++i) {
    const double x = duration * i / kTicks;
    plot.mXTicks.push_back({ x, fmt::format("{:.3g}", x) });
  }
  for (std::size_t i = 0; i < aResult.mStreams.size(); ++i) {
    PlotLine line;
    line.mName = experiment.mStreams[i].mName;
    const std::vector<Histogram>& slices = aResult.mStreams[i].mSlices;
    for (std::size_t j = 0; j < slices.size(); ++j) {
      line.mPoints.push_back({ slice * (static_cast<double>(j) + 1 / 2.0),
                               MillisecondsAt(slices[j], kP99) });
    }
    plot.mLines.push_back(std::move(line));
  }
  return plot;
}

SvgPlot
LatencyByPercentile(const RunResult& aResult)
{
  constexpr std::array<double, 6> kMarked = {
    0, 0.5, 0.9, 0.99, 0.999, 0.9999
  };
  constexpr int kPoints = 80;
  constexpr double kHundred = 100;
  const double lastNines = PercentilePosition(kMarked.back());
  SvgPlot plot;
  plot.mTitle = aResult.mExperiment.mName + ": latency by percentile";
  plot.mXLabel = "percentile";
  plot.mYLabel = "ms";
  for (const double quantile : kMarked) {
    plot.mXTicks.push_back({ PercentilePosition(quantile),
                             fmt::format("{:g}", kHundred * quantile) });
  }
  for (std::size_t i = 0; i < aResult.mStreams.size(); ++i) {
    PlotLine line;
    line.mName = aResult.mExperiment.mStreams[i].mName;
    for (int j = 0; j <= kPoints; ++j) {
      const double nines = lastNines * j / kPoints;
      const double quantile = 1 - std::pow(10.0, -nines);
      line.mPoints.push_back(
        { nines, MillisecondsAt(aResult.mStreams[i].mLatency, quantile) });
    }
    plot.mLines.push_back(std::move(line));
  }
  return plot;
}

Result<void>
WritePlots(const RunResult& aResult, const std::string& aFolder)
{
  const std::string path = aFolder + '/' + aResult.mExperiment.mName;
  BOOST_OUTCOME_TRYV(
    WriteFile(path + "-time.svg", LatencyByTime(aResult).ToSvg()));
  return WriteFile(path + "-percentile.svg",
                   LatencyByPercentile(aResult).ToSvg());
}

}

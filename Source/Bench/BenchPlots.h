#pragma once

#include <string>

#include "Base/Result.h"
#include "Bench/BenchRun.h"
#include "Bench/SvgPlot.h"

namespace almondspoke::bench {

/** Returns a plot of the 99th percentile of the latency by time of arrival. */
SvgPlot
LatencyByTime(const RunResult& aResult);

/** Returns a plot of the latency by percentile. */
SvgPlot
LatencyByPercentile(const RunResult& aResult);

/** Writes both plots as NAME-time.svg and NAME-percentile.svg into a folder.
 * Errors: InvalidArgument if a file cannot be written. */
Result<void>
WritePlots(const RunResult& aResult, const std::string& aFolder);

}

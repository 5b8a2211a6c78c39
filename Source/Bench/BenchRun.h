#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Experiment.h"
#include "Bench/StartLogAudit.h"
#include "Bench/StreamStatistics.h"

namespace almondspoke::bench {

/** \brief Progress of a run. */
struct RunProgress
{
  std::chrono::milliseconds mElapsed{ 0 };
  std::size_t mOutstanding = 0;
};

/** \brief Measurements of one run. */
struct RunResult
{
  Experiment mExperiment;
  std::chrono::microseconds mRoundTrip{ 0 };
  std::vector<StreamCounts> mStreams;
  /** Delay between intended and actual send time, in microseconds. */
  Histogram mSendLag;
  /** Number of times a request was sent to another instance because one could
   * not be reached. */
  std::uint64_t mFailovers = 0;
  std::optional<StartAudit> mAudit;

  /** Returns the completed requests of all streams, including the warm-up. */
  std::uint64_t CompletedInRun() const;

  /** True if the start logs show that a request reported as not run did start,
   * or that an idempotency key started more than once. */
  bool IsContradicted() const;
};

/** Runs an experiment and waits for its end. Errors: EndpointUnreachable if no
 * target responds, InvalidSettings if a start log cannot be read.
 * \param aRunId unique to the run
 * \param aProgress called about twice a second. */
Result<RunResult>
RunExperiment(const Experiment& aExperiment,
              const std::string& aRunId,
              const std::function<void(const RunProgress&)>& aProgress);

}

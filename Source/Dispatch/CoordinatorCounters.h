#pragma once

#include <cstdint>

#include "Dispatch/LatencyHistogram.h"

namespace almondspoke::dispatch {

/** \brief Totals since a Coordinator was created. */
struct CoordinatorCounters
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0;
  /** Refused jobs by reason: the leader is behind; the queue is too long; no
   * room was found in time; the leader does not recover in time. */
  std::uint64_t mRefusedForOverload = 0;
  std::uint64_t mRefusedForBacklog = 0;
  std::uint64_t mRefusedAfterWait = 0;
  std::uint64_t mRefusedInRecovery = 0;
  /** Jobs that could no longer end in time and were served after others. */
  std::uint64_t mDeferred = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mGivenUp = 0;
  /** Jobs of a local leader that were stopped as nobody waited any more. */
  std::uint64_t mUnawaited = 0;
  /** Cancellations of jobs that were not known, and those of them that were
   * refused since too many are remembered. */
  std::uint64_t mCancelledAhead = 0;
  std::uint64_t mCancelsRefused = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mStops = 0;
  std::uint64_t mHolds = 0;
  std::uint64_t mUnansweredOrders = 0;
  std::uint64_t mRunsDone = 0;
  std::uint64_t mRunsFailed = 0;
  std::uint64_t mRunsLost = 0;
  std::uint64_t mStragglers = 0;
  std::uint64_t mStragglersLeft = 0;
};

/** \brief Latency distributions since a Coordinator was created: total time of
 * jobs, time to the first start of a job, and time to the answer of a start
 * order. */
struct CoordinatorLatencies
{
  LatencyHistogram mJobs;
  LatencyHistogram mFirstStarts;
  LatencyHistogram mStartAnswers;
};

}

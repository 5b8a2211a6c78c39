#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Dispatch/JobSubmission.h"
#include "Dispatch/Manifest.h"

namespace almondspoke::dispatch {

using WorkerId = std::string;

/** \brief One start of a worker's process. A worker that restarts under the
 * same id has a later start time, and none of its earlier runs. */
struct WorkerBoot
{
  WorkerId mId;
  /** Start time of the process, in milliseconds since 1970. */
  std::uint64_t mStartTimeMs = 0;

  bool operator==(const WorkerBoot& aOther) const
  {
    return mStartTimeMs == aOther.mStartTimeMs && mId == aOther.mId;
  }
  bool operator!=(const WorkerBoot& aOther) const { return !(*this == aOther); }

  MSGPACK_DEFINE(mId, mStartTimeMs)
};

/** \brief State that a worker reports at regular intervals. */
struct WorkerReport
{
  WorkerBoot mBoot;
  PoolName mPool;
  /** IP address and port. */
  std::string mAddress;
  std::string mDataCentre;
  /** True once the worker is about to shut down. */
  bool mDraining = false;
  /** True once the worker has said that it shuts down now. */
  bool mHasLeft = false;
  /** Remaining warm-up time, in which the worker is slow after its start. */
  std::uint32_t mWarmUpRemainingMs = 0;
  Resources mCapacity;
  std::vector<std::string> mLabels;
  /** Increases with each report of a boot. */
  std::uint64_t mSequence = 0;
  /** The worker's clock when it sent the report; zero if not reported. */
  std::int64_t mClockMs = 0;

  MSGPACK_DEFINE(mBoot,
                 mPool,
                 mAddress,
                 mDataCentre,
                 mDraining,
                 mHasLeft,
                 mWarmUpRemainingMs,
                 mCapacity,
                 mLabels,
                 mSequence,
                 mClockMs)
};

}

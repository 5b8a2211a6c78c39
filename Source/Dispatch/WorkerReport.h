#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Dispatch/JobSubmission.h"
#include "Dispatch/Manifest.h"

namespace almondspoke::dispatch {

using WorkerId = std::string;

/** \brief One start of a worker's process. The same id may come back with
 * nothing of before; then it was born later. */
struct WorkerBoot
{
  WorkerId mId;
  /** Milliseconds since 1970 at which this boot began. */
  std::uint64_t mBornMs = 0;

  bool operator==(const WorkerBoot& aOther) const
  {
    return mBornMs == aOther.mBornMs && mId == aOther.mId;
  }
  bool operator!=(const WorkerBoot& aOther) const { return !(*this == aOther); }

  MSGPACK_DEFINE(mId, mBornMs)
};

/** \brief What a worker says of itself from time to time. */
struct WorkerReport
{
  WorkerBoot mBoot;
  PoolName mPool;
  /** IP number and port. */
  std::string mAddress;
  std::string mDataCentre;
  /** True once the worker is about to leave. */
  bool mDraining = false;
  /** True once the worker has said that it ends now. */
  bool mLeft = false;
  /** Time for which the worker remains slow after its start. */
  std::uint32_t mColdMs = 0;
  Resources mCapacity;
  std::vector<std::string> mLabels;
  /** Grows with each report of one boot. */
  std::uint64_t mSequence = 0;
  /** The worker's own clock when it sent the report; zero if it did not say. */
  std::int64_t mClockMs = 0;

  MSGPACK_DEFINE(mBoot,
                 mPool,
                 mAddress,
                 mDataCentre,
                 mDraining,
                 mLeft,
                 mColdMs,
                 mCapacity,
                 mLabels,
                 mSequence,
                 mClockMs)
};

}

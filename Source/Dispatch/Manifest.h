#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "Base/Result.h"

namespace almondspoke::dispatch {

using QueueName = std::string;
/** Name of a pool of workers. */
using PoolName = std::string;

/** \brief A queue: the paths under which it accepts jobs, the pool of workers
 * that runs them, and its limits. */
struct Queue
{
  QueueName mName;
  /** Requests to this host whose path begins with the prefix belong to the
   * queue. */
  std::string mHost;
  std::string mPathPrefix;
  PoolName mPool;
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** Number of failed runs after which a task, and with it the job, fails. */
  std::uint32_t mMaxAttempts = 1;
  std::uint32_t mTimeoutMs = 0;
  /** The target duration of a job is the length of its longest chain of
   * dependent steps times this factor, plus mLatencyTargetMs. */
  double mSlackFactor = 1.0;
  std::uint32_t mLatencyTargetMs = 0;

  MSGPACK_DEFINE(mName,
                 mHost,
                 mPathPrefix,
                 mPool,
                 mPriority,
                 mMaxAttempts,
                 mTimeoutMs,
                 mSlackFactor,
                 mLatencyTargetMs)
};

struct Pool
{
  PoolName mName;
  /** Whether the workers refuse tasks that exceed their capacity. */
  bool mEnforcesCapacity = false;
  /** Number of connections that each worker accepts. */
  std::uint32_t mMaxConnections = 64;

  MSGPACK_DEFINE(mName, mEnforcesCapacity, mMaxConnections)
};

/** \brief Limits on callers' requests; zero if the manifest states none. */
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 0;
  std::uint32_t mMaxBodyBytes = 0;
  /** Time from the first byte of a request to the end of its header. */
  std::uint32_t mHeaderTimeoutMs = 0;
  /** Time from the first byte of a request to its end. */
  std::uint32_t mIdleTimeoutMs = 0;

  MSGPACK_DEFINE(mMaxHeaderBytes,
                 mMaxBodyBytes,
                 mHeaderTimeoutMs,
                 mIdleTimeoutMs)
};

inline bool
operator==(const CallerLimits& aLeft, const CallerLimits& aRight)
{
  return aLeft.mMaxHeaderBytes == aRight.mMaxHeaderBytes &&
         aLeft.mMaxBodyBytes == aRight.mMaxBodyBytes &&
         aLeft.mHeaderTimeoutMs == aRight.mHeaderTimeoutMs &&
         aLeft.mIdleTimeoutMs == aRight.mIdleTimeoutMs;
}

/** \brief Configuration of the queues and pools; always replaced as a whole. */
struct Manifest
{
  /** Increases with each change; the highest version takes effect. */
  std::uint64_t mVersion = 0;
  std::vector<Queue> mQueues;
  std::vector<Pool> mPools;
  /** The document exactly as the operator sent it, to return it unchanged. */
  std::string mText;
  CallerLimits mLimits;

  MSGPACK_DEFINE(mVersion, mQueues, mPools, mText, mLimits)
};

/** \brief A queue and the part of a request's path after the queue's prefix. */
struct QueueMatch
{
  const Queue* mQueue = nullptr;
  std::string_view mPathSuffix;
};

/** Finds the queue of a host with the longest prefix of a path; mQueue is null
 * if there is none. */
QueueMatch
FindQueue(const Manifest& aManifest,
          std::string_view aHost,
          std::string_view aPath);

/** Finds what an earlier version's queue is in a manifest: the queue of its
 * name or, if it was renamed, the one at its host and prefix. Null if it was
 * dropped. */
const Queue*
FindQueueInForce(const Manifest& aManifest, const Queue& aEarlier);

/** Finds a pool by name; null if there is none. */
const Pool*
FindPool(const Manifest& aManifest, std::string_view aName);

/** Checks that the manifest is consistent. Errors: InvalidArgument, with the
 * queue or pool and the allowed values. */
Result<void>
CheckManifest(const Manifest& aManifest);

}

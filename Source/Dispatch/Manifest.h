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

/** \brief One queue: where its jobs come in, who runs them and how. */
struct Queue
{
  QueueName mName;
  /** Host and start of the path by which callers name the queue. */
  std::string mHost;
  std::string mPathPrefix;
  PoolName mPool;
  /** Zero is the most urgent. */
  std::uint32_t mPriority = 0;
  /** Failed runs after which a task, and its job, counts as failed. */
  std::uint32_t mMaxAttempts = 1;
  std::uint32_t mTimeoutMs = 0;
  /** The objective of a job is its longest chain of work times this factor,
   * and mLatencyTargetMs more. */
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

/** \brief One pool of workers. */
struct Pool
{
  PoolName mName;
  /** Whether its workers refuse what exceeds their capacity. */
  bool mEnforcesCapacity = false;
  /** Connections that a worker accepts. */
  std::uint32_t mMaxConnections = 64;

  MSGPACK_DEFINE(mName, mEnforcesCapacity, mMaxConnections)
};

/** \brief The queues and pools in force, replaced as a whole. */
struct Manifest
{
  /** Grows with each change; the highest version wins. */
  std::uint64_t mVersion = 0;
  std::vector<Queue> mQueues;
  std::vector<Pool> mPools;
  /** The document as the operator sent it, to be read back unchanged. */
  std::string mText;

  MSGPACK_DEFINE(mVersion, mQueues, mPools, mText)
};

/** \brief A queue together with what follows its prefix in a path. */
struct QueueMatch
{
  const Queue* mQueue = nullptr;
  std::string_view mRest;
};

/** Finds the queue of a host with the longest prefix that a path begins with;
 * mQueue is null if there is none. */
QueueMatch
FindQueue(const Manifest& aManifest,
          std::string_view aHost,
          std::string_view aPath);

/** Finds a pool, or null. */
const Pool*
FindPool(const Manifest& aManifest, std::string_view aName);

/** Checks that the manifest is consistent. InvalidArgument names the queue and
 * what is allowed. */
Result<void>
CheckManifest(const Manifest& aManifest);

}

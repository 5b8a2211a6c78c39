#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "Dispatch/PeerTime.h"
#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** RPC method by which a leader lets another coordinator send an order. */
inline constexpr const char* kRelayMethod = "dispatch.relay";

/** Time for the way to the relay and back, in addition to the time that the
 * worker has to answer. */
inline constexpr std::chrono::milliseconds kRelayMargin{ 150 };

/** \brief Kind of an order to a worker. */
enum class OrderKind : std::uint8_t
{
  Start = 0,
  Stop = 1,
  Hold = 2
};

/** \brief An order that a coordinator sends to a worker for the leader. Fields
 * that the kind of order does not use are empty. */
struct RelayedOrder
{
  OrderKind mKind = OrderKind::Hold;
  /** Term of the leader. */
  std::uint64_t mTerm = 0;
  OrderTarget mTarget;
  RunId mRun;
  std::string mPayload;
  std::string mCheckpoint;
  WorkerTime mLeaseEnd = 0;
  std::uint64_t mAcknowledgedEnds = 0;
  std::uint32_t mMaxWaitMs = 0;
  /** Time in milliseconds within which the worker must answer. */
  std::uint32_t mTimeoutMs = 0;
  /** Time on the relay's clock from which the order must not be sent any more
   * (see RelayDirectory::ClockOf()); zero for no limit. */
  PeerTime mExpiresAt = 0;

  MSGPACK_DEFINE(mKind,
                 mTerm,
                 mTarget,
                 mRun,
                 mPayload,
                 mCheckpoint,
                 mLeaseEnd,
                 mAcknowledgedEnds,
                 mMaxWaitMs,
                 mTimeoutMs,
                 mExpiresAt)
};

}

MSGPACK_ADD_ENUM(almondspoke::dispatch::OrderKind)

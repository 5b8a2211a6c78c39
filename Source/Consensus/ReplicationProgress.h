#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Base/Clock.h"
#include "Consensus/ConsensusTypes.h"

namespace almondspoke {

/** \brief Progress of the leader's replication to one other replica. */
struct ReplicationProgress
{
  /** Index of the last entry that the replica acknowledged as durable. */
  LogIndex mMatch = 0;
  /** Index of the next entry to send. */
  LogIndex mNext = 1;
  /** True until the replica's log is known to match up to mNext - 1. Meanwhile
   * only one Append message is sent at a time. */
  bool mProbing = true;
  /** Append messages or snapshot chunks sent and not yet acknowledged. */
  std::size_t mInflight = 0;
  Clock::Monotonic mLastProgress{};
  Clock::Monotonic mLastHeard{};
  Clock::Monotonic mNextHeartbeat{};
  /** Latest heartbeat round that the replica has acknowledged. */
  std::uint64_t mAckedRound = 0;
  /** Snapshot being sent, if any, and the offset of the next byte to send. */
  std::optional<Snapshot> mSnapshot;
  std::uint64_t mSnapshotOffset = 0;
  /** Whether the replica stores its state on disk. */
  bool mDurable = true;
  /** Whether a newer incarnation of the same instance has joined; nothing is
   * sent to this one. */
  bool mSuperseded = false;

  /** Restarts sending after the last acknowledged entry. */
  void Rewind()
  {
    mNext = mMatch + 1;
    mProbing = true;
    mInflight = 0;
    mSnapshot.reset();
  }
};

}

#pragma once

#include <cstdint>

#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief Components of the fencing token that a worker checks.
 *
 * Fences are compared by term, round and leader id, in this order. A leader of
 * a later term always takes precedence. Within a term, during a network
 * partition, the elected leader and the local leaders take over a worker from
 * each other by raising the round. */
struct WorkerFenceParts
{
  /** Term of the elected leader; for a local leader, the last known term. */
  Fence mTerm = 0;
  /** Incremented when another leader of the same term is found to control the
   * worker. */
  std::uint32_t mFenceRound = 0;
  /** Zero for the elected leader, otherwise unique to the local leader. */
  std::uint32_t mLeaderId = 0;
};

/** Maximum round within a term; a partition changes a worker's leader twice. */
inline constexpr std::uint32_t kMaxRound = (1U << 10U) - 1;
/** A local leader's id is the last octet of its address plus one. */
inline constexpr std::uint32_t kMaxLeaderId = (1U << 9U) - 1;

/** Packs the components so that fences compare as integers. */
constexpr Fence
PackWorkerFence(const WorkerFenceParts& aParts)
{
  constexpr unsigned kRoundBits = 10;
  constexpr unsigned kLeaderIdBits = 9;
  const Fence round = (aParts.mTerm << kRoundBits) | aParts.mFenceRound;
  return (round << kLeaderIdBits) | aParts.mLeaderId;
}

}

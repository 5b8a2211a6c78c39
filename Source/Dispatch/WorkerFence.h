#pragma once

#include <cstdint>

#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief Who commands a worker: the parts of the fence that the worker sees.
 *
 * Ordered like the fences. A leader of a later term always goes before one of
 * an earlier term. Within a term, the elected leader and the instances that
 * lead their own data centre during a cut go before each other by turns, each
 * by a higher round. */
struct WorkerFenceParts
{
  /** Term of the elected leader, or the last one known. */
  Fence mTerm = 0;
  /** Raised whenever somebody else of this term commands the worker. */
  std::uint32_t mFenceRound = 0;
  /** Zero for the elected leader; different for each instance that leads its
   * data centre alone. */
  std::uint32_t mLeaderId = 0;
};

/** Rounds of one term at most; a worker changes hands twice in a cut. */
inline constexpr std::uint32_t kMaxRound = (1U << 10U) - 1;
/** Highest slot: the last octet of an address and one. */
inline constexpr std::uint32_t kMaxLeaderId = (1U << 9U) - 1;

/** Returns the fence of a command. */
constexpr Fence
PackWorkerFence(const WorkerFenceParts& aCommand)
{
  constexpr unsigned kRoundBits = 10;
  constexpr unsigned kSlotBits = 9;
  const Fence round = (aCommand.mTerm << kRoundBits) | aCommand.mFenceRound;
  return (round << kSlotBits) | aCommand.mLeaderId;
}

}

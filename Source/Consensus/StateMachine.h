#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Base/Result.h"

namespace almondspoke {

/** Position of an entry in a group's log, starting at 1. */
using LogIndex = std::uint64_t;

/** \brief State that a consensus group replicates.
 *
 * Implementations must be deterministic: the same commands in the same order
 * produce the same state and the same responses on every replica. Time and
 * random numbers are part of the command. Calls are never concurrent. */
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  /** Applies one committed command and returns the response to its proposer. */
  virtual std::string Apply(LogIndex aIndex, std::string_view aCommand) = 0;

  /** \name Start and end of a batch of Apply() calls.
   *
   * Proposers receive the responses after EndBatch(), so an implementation may
   * defer work whose result depends only on the state after the batch. Apply()
   * outside of a batch must not defer anything. */
  /**@{*/
  virtual void BeginBatch() {}
  virtual void EndBatch() {}
  /**@}*/

  /** Serializes the whole state. */
  virtual std::string TakeSnapshot() const = 0;

  /** Replaces the whole state by a snapshot. */
  virtual Result<void> RestoreSnapshot(std::string_view aSnapshot) = 0;
};

}

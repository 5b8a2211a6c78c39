#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"

namespace almondspoke {

/** Number of a consensus group, the same on all instances. */
using GroupId = std::uint32_t;

/** Election term of a consensus group. */
using Term = std::uint64_t;

/** \brief Interface of a consensus group for code that replicates commands. */
class Replicator
{
public:
  using Done = std::function<void(Result<std::string>)>;

  virtual ~Replicator() = default;

  /** Replicates a command, forwarding it to the leader if necessary.
   *
   * \param aDone receives the state machine's response once the command is
   * durable on a majority and applied. NoQuorum or NotLeader mean that the
   * command was not appended. OutcomeUnknown means that it may still be
   * committed, so commands must carry an id and be idempotent. Called from any
   * thread. */
  virtual void Propose(std::string aCommand, Done aDone) = 0;

  /** Linearizable read barrier: calls back once this instance has applied all
   * commands that were committed before the call. */
  virtual void Barrier(std::function<void(Result<void>)> aDone) = 0;

  /** True while this instance holds the leader lease of the group. */
  virtual bool IsLeader() const = 0;

  /** The leader as far as this instance knows. */
  virtual std::optional<InstanceName> Leader() const = 0;

  virtual Term CurrentTerm() const = 0;
};

}

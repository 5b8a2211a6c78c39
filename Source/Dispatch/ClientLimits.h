#pragma once

#include <cstddef>
#include <limits>

#include "Base/MachineLimits.h"
#include "Dispatch/NodeSettings.h"
#include "Transport/HttpServer.h"
#include "Transport/PeerLink.h"

namespace almondspoke::dispatch {

/** \brief Limits of one listening address. */
struct ListenerLimits
{
  std::size_t mMaxConnections = 1500;
  /** Limits on connections beside those that are open; zero for the system's.
   */
  ConnectionQueues mQueues;
  /** Memory of unfinished requests, and of finished ones and their answers
   * until these are written. */
  std::size_t mMaxUnfinishedBytes = std::numeric_limits<std::size_t>::max();
};

/** \brief Limits of the listening addresses of an instance.
 *
 * With a limit on the memory of the process, their sum, and what the process
 * takes for itself, is less than that limit. */
struct ClientLimits
{
  /** The address of callers or of workers and operators. */
  ListenerLimits mMain;
  /** The addresses of probes and metrics, each. */
  ListenerLimits mProbes;
  /** The port between instances. */
  PeerLimits mPeers;
};

/** Returns the settings with what they do not state: half of the memory of the
 * machine, since other processes may run on it, and its descriptors. */
NodeSettings
WithMachineLimits(NodeSettings aSettings, const MachineLimits& aMachine);

/** Derives the limits from the memory and the descriptors that the process may
 * use, which WithMachineLimits() has set. */
ClientLimits
ClientLimitsOf(const NodeSettings& aSettings);

/** Memory that the process takes for itself, beside its clients. */
std::size_t
OwnMemoryBytes(const NodeSettings& aSettings);

/** Most memory that the clients of an address can take: of the process, and
 * what has arrived and is not read. */
std::size_t
LargestMemoryOf(const ListenerLimits& aLimits);
std::size_t
LargestMemoryOf(const PeerLimits& aLimits);

/** Makes the C library return the memory of large bodies to the system when
 * they are freed, if the memory of the process is limited. Without this, a
 * library that has freed one large block keeps later ones for reuse. */
void
ReturnFreedMemory(const NodeSettings& aSettings);

}

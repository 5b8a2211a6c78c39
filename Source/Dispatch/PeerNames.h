#pragma once

#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>

#include "Base/InstanceIdentity.h"
#include "Dispatch/NodeSettings.h"
#include "Transport/PeerLink.h"

namespace almondspoke::dispatch {

/** \name Names of instances in a dispatch installation.
 *
 * Instances have no list of the others. The name of an instance is therefore
 * the address (IP:PORT) at which the others reach it. */
/**@{*/

/** Slot of a local leader in its workers' fences (see WorkerFence.h), taken
 * from the last octet of its IP address. The instances of a data centre differ
 * in that octet. */
std::uint32_t
LocalLeaderSlotOf(const std::string& aAddress);

/** Name of the instance with an IP address. */
InstanceName
PeerNameOf(const std::string& aAddress, std::uint16_t aPeerPort);

/** Address of an instance; nothing if the name is no IP address with port. */
std::optional<asio::ip::tcp::endpoint>
PeerEndpointOf(const InstanceName& aName);

/** Names of the coordinators in the seeds of the settings. */
std::vector<InstanceName>
SeedNamesOf(const NodeSettings& aSettings);

/** Identity of this instance, with a random incarnation for this start. */
InstanceIdentity
IdentityOf(const NodeSettings& aSettings);
/**@}*/

/** Timeouts of the connections between instances. A connection without traffic
 * from the peer is replaced within the time of an election. */
PeerTimings
NodePeerTimings();

}

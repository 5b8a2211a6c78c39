#include "Dispatch/ClientLimits.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include <malloc.h>

namespace almondspoke::dispatch {

namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;

/** What a process takes for itself at rest, and the part of its memory that is
 * kept for its state and for decoding one request. */
constexpr std::size_t kOwnBytes = 16 * kMebibyte;
constexpr std::size_t kOwnShare = 8;

/** The rest is divided into this many parts, of which each use below gets some.
 * Two are not given out. */
constexpr std::size_t kParts = 32;
constexpr std::size_t kConnectionParts = 12;
constexpr std::size_t kRequestParts = 8;
/** At each address of probes. */
constexpr std::size_t kProbeParts = 1;
constexpr std::size_t kSessionParts = 4;
constexpr std::size_t kFrameParts = 2;
constexpr std::size_t kQueueParts = 2;

/** Part of the memory of a machine for a process whose settings state none. */
constexpr std::size_t kMachineShare = 2;

/** Least memory for requests: twice the largest body of a report or manifest,
 * so that one is served also beside the reserve for small requests. */
constexpr std::size_t kMinRequestBytes = 8 * kMebibyte;

/** Memory for requests at each address of probes, which have no bodies. */
constexpr std::size_t kProbeRequestBytes = kMebibyte / 2;

/** Least memory for a frame: the largest job, or, between coordinators, the
 * largest manifest, as encoded. */
constexpr std::size_t kMinGatewayFrameBytes = 2 * kMebibyte;
constexpr std::size_t kMinCoordinatorFrameBytes = 6 * kMebibyte;

/** Receive buffer of a connection. The kernel may hold twice as many bytes. */
constexpr std::size_t kReceiveBufferBytes = 8 * kKibibyte;
constexpr std::size_t kPeerReceiveBufferBytes = 16 * kKibibyte;
constexpr std::size_t kKernelFactor = 2;

/** Send buffer of a connection: some hundred ordinary answers. */
constexpr std::size_t kSendBufferBytes = 16 * kKibibyte;

/** Read buffer and state of a connection in the process. */
constexpr std::size_t kConnectionStateBytes = 12 * kKibibyte;
constexpr std::size_t kSessionStateBytes = 34 * kKibibyte;

/** Connections in the listen queue and in their lingering close, as parts of
 * the open ones. */
constexpr std::size_t kListenQueueShare = 4;
constexpr std::size_t kClosingShare = 8;
constexpr std::size_t kPeerListenQueueShare = 2;

/** Descriptors for files, peers and the log. */
constexpr std::size_t kReservedDescriptors = 64;

/** Parts of the descriptors for connections of clients and of instances. The
 * rest is for those that are closing, for other listeners and for connections
 * to workers. */
constexpr std::size_t kDescriptorShare = 2;
constexpr std::size_t kSessionDescriptorShare = 4;

/** Connections at each address of probes if descriptors are limited. */
constexpr std::size_t kProbeConnections = 64;

constexpr std::size_t kMinConnections = 8;

constexpr int kMmapThresholdBytes = 131072;

std::size_t
MemoryBytes(const NodeSettings& aSettings)
{
  return aSettings.mMemoryMegabytes * kMebibyte;
}

/** Returns some parts of the memory that the process does not take itself. */
std::size_t
PartsOf(const NodeSettings& aSettings, std::size_t aParts)
{
  const std::size_t total = MemoryBytes(aSettings);
  const std::size_t own = OwnMemoryBytes(aSettings);
  return total > own ? (total - own) / kParts * aParts : 0;
}

/** Rest of the descriptors, beside those reserved. */
std::size_t
UsableDescriptors(const NodeSettings& aSettings)
{
  return std::max<std::size_t>(aSettings.mMaxDescriptors,
                               kReservedDescriptors) -
         kReservedDescriptors;
}

std::size_t
ConnectionBytes(std::size_t aStateBytes, std::size_t aReceiveBufferBytes)
{
  return aStateBytes + kKernelFactor * aReceiveBufferBytes;
}

/** Number of open connections that, with those in the queues, fit into some
 * memory. */
std::size_t
ConnectionsIn(std::size_t aBytes)
{
  const std::size_t places =
    aBytes / ConnectionBytes(kConnectionStateBytes, kReceiveBufferBytes);
  return places * kClosingShare /
         (kClosingShare + kClosingShare / kListenQueueShare + 1);
}

void
LimitConnections(ListenerLimits& aLimits,
                 const NodeSettings& aSettings,
                 std::size_t aParts)
{
  std::size_t connections = aLimits.mMaxConnections;
  if (aSettings.mMemoryMegabytes > 0) {
    connections =
      std::min(connections, ConnectionsIn(PartsOf(aSettings, aParts)));
  }
  if (aSettings.mMaxDescriptors > 0) {
    connections =
      std::min(connections, UsableDescriptors(aSettings) / kDescriptorShare);
  }
  connections = std::max(connections, kMinConnections);
  aLimits.mMaxConnections = connections;
  aLimits.mQueues.mListening = connections / kListenQueueShare;
  aLimits.mQueues.mClosing = connections / kClosingShare;
  aLimits.mQueues.mReceiveBufferBytes = kReceiveBufferBytes;
  aLimits.mQueues.mSendBufferBytes = kSendBufferBytes;
}

PeerLimits
PeerLimitsOf(const NodeSettings& aSettings)
{
  PeerLimits limits;
  limits.mReceiveBufferBytes = kPeerReceiveBufferBytes;
  if (aSettings.mMemoryMegabytes > 0) {
    const std::size_t least = aSettings.mRole == NodeRole::Gateway
                                ? kMinGatewayFrameBytes
                                : kMinCoordinatorFrameBytes;
    const std::size_t places =
      PartsOf(aSettings, kSessionParts) /
      ConnectionBytes(kSessionStateBytes, kPeerReceiveBufferBytes);
    limits.mMaxSessions =
      std::min(limits.mMaxSessions,
               places * kPeerListenQueueShare / (kPeerListenQueueShare + 1));
    limits.mMaxFrameBytes = std::max(PartsOf(aSettings, kFrameParts), least);
    limits.mMaxQueuedBytes = std::max(PartsOf(aSettings, kQueueParts), least);
  }
  if (aSettings.mMaxDescriptors > 0) {
    limits.mMaxSessions =
      std::min(limits.mMaxSessions,
               UsableDescriptors(aSettings) / kSessionDescriptorShare);
  }
  limits.mMaxSessions = std::max(limits.mMaxSessions, kMinConnections);
  limits.mListenQueue = limits.mMaxSessions / kPeerListenQueueShare;
  return limits;
}

}

NodeSettings
WithMachineLimits(NodeSettings aSettings, const MachineLimits& aMachine)
{
  constexpr std::size_t kMost = std::numeric_limits<std::uint32_t>::max();
  if (aSettings.mMemoryMegabytes == 0) {
    aSettings.mMemoryMegabytes = static_cast<std::uint32_t>(
      std::min(aMachine.mMemoryBytes / kMachineShare / kMebibyte, kMost));
  }
  if (aSettings.mMaxDescriptors == 0) {
    aSettings.mMaxDescriptors =
      static_cast<std::uint32_t>(std::min(aMachine.mDescriptors, kMost));
  }
  return aSettings;
}

ClientLimits
ClientLimitsOf(const NodeSettings& aSettings)
{
  ClientLimits limits;
  limits.mPeers = PeerLimitsOf(aSettings);
  if (aSettings.mMaxDescriptors > 0) {
    limits.mProbes.mMaxConnections = kProbeConnections;
  }
  LimitConnections(limits.mMain, aSettings, kConnectionParts);
  LimitConnections(limits.mProbes, aSettings, kProbeParts);
  if (aSettings.mMemoryMegabytes > 0) {
    limits.mMain.mMaxUnfinishedBytes =
      std::max(PartsOf(aSettings, kRequestParts), kMinRequestBytes);
    limits.mProbes.mMaxUnfinishedBytes = kProbeRequestBytes;
  }
  return limits;
}

std::size_t
OwnMemoryBytes(const NodeSettings& aSettings)
{
  return kOwnBytes + MemoryBytes(aSettings) / kOwnShare;
}

std::size_t
LargestMemoryOf(const ListenerLimits& aLimits)
{
  return (aLimits.mMaxConnections + aLimits.mQueues.mListening +
          aLimits.mQueues.mClosing) *
           ConnectionBytes(kConnectionStateBytes,
                           aLimits.mQueues.mReceiveBufferBytes) +
         aLimits.mMaxUnfinishedBytes;
}

std::size_t
LargestMemoryOf(const PeerLimits& aLimits)
{
  return (aLimits.mMaxSessions + aLimits.mListenQueue) *
           ConnectionBytes(kSessionStateBytes, aLimits.mReceiveBufferBytes) +
         aLimits.mMaxFrameBytes + aLimits.mMaxQueuedBytes;
}

void
ReturnFreedMemory(const NodeSettings& aSettings)
{
  if (aSettings.mMemoryMegabytes > 0) {
    ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  }
}

}

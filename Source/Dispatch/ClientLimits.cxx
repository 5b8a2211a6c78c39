#include "Dispatch/ClientLimits.h"

#include <algorithm>

#include <malloc.h>

namespace almondspoke::dispatch {

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024UL;

/** Part of the memory of the process for requests and answers. As much again
 * holds the copies made while a request is decoded and passed on. */
constexpr std::size_t kRequestShare = 4;

/** Least memory for requests: twice the largest body of a report or manifest,
 * so that one is served also beside the reserve for small requests. */
constexpr std::size_t kMinRequestBytes = 8 * kMebibyte;

/** Part of the memory of the process for requests at each address of probes. */
constexpr std::size_t kProbeShare = 64;

/** Part of the memory of the process for connections, and what one takes at
 * rest: its read buffer and its state. */
constexpr std::size_t kConnectionShare = 4;
constexpr std::size_t kConnectionBytes = 20480;

/** Descriptors for files, peers and the log. */
constexpr std::size_t kReservedDescriptors = 64;

/** Part of the descriptors for connections. The rest is for those that are
 * closing, for other listeners and for connections to workers. */
constexpr std::size_t kDescriptorShare = 2;

/** Connections at each address of probes if descriptors are limited. */
constexpr std::size_t kProbeConnections = 64;

constexpr std::size_t kMinConnections = 8;

constexpr int kMmapThresholdBytes = 131072;

/** Parts of the memory of the process for incoming connections from instances,
 * for the incomplete frames on them, and for the write queue to an instance. */
constexpr std::size_t kSessionShare = 16;
constexpr std::size_t kFrameShare = 16;
constexpr std::size_t kQueueShare = 16;

/** What an incoming connection from an instance takes: its buffers and its
 * state. */
constexpr std::size_t kSessionBytes = 40960;

/** Part of the descriptors for connections from instances. */
constexpr std::size_t kSessionDescriptorShare = 4;

/** Least memory for a frame: a manifest of the largest size, as encoded. */
constexpr std::size_t kMinFrameBytes = 6 * kMebibyte;

/** Rest of the descriptors, beside those reserved. */
std::size_t
UsableDescriptors(const NodeSettings& aSettings)
{
  return std::max<std::size_t>(aSettings.mMaxDescriptors,
                               kReservedDescriptors) -
         kReservedDescriptors;
}

PeerLimits
PeerLimitsOf(const NodeSettings& aSettings)
{
  PeerLimits limits;
  if (aSettings.mMemoryMegabytes > 0) {
    const std::size_t bytes = aSettings.mMemoryMegabytes * kMebibyte;
    limits.mMaxSessions =
      std::min(limits.mMaxSessions, bytes / kSessionShare / kSessionBytes);
    limits.mMaxFrameBytes = std::max(bytes / kFrameShare, kMinFrameBytes);
    limits.mMaxQueuedBytes = std::max(bytes / kQueueShare, kMinFrameBytes);
  }
  if (aSettings.mMaxDescriptors > 0) {
    limits.mMaxSessions =
      std::min(limits.mMaxSessions,
               UsableDescriptors(aSettings) / kSessionDescriptorShare);
  }
  limits.mMaxSessions = std::max(limits.mMaxSessions, kMinConnections);
  return limits;
}

std::size_t
MaxConnections(const NodeSettings& aSettings, std::size_t aDefault)
{
  std::size_t connections = aDefault;
  if (aSettings.mMemoryMegabytes > 0) {
    connections = std::min(connections,
                           aSettings.mMemoryMegabytes * kMebibyte /
                             kConnectionShare / kConnectionBytes);
  }
  if (aSettings.mMaxDescriptors > 0) {
    connections =
      std::min(connections, UsableDescriptors(aSettings) / kDescriptorShare);
  }
  return std::max(connections, kMinConnections);
}

}

ClientLimits
ClientLimitsOf(const NodeSettings& aSettings)
{
  ClientLimits limits;
  limits.mMain.mMaxConnections =
    MaxConnections(aSettings, limits.mMain.mMaxConnections);
  if (aSettings.mMaxDescriptors > 0) {
    limits.mProbes.mMaxConnections = kProbeConnections;
  }
  if (aSettings.mMemoryMegabytes > 0) {
    const std::size_t bytes = aSettings.mMemoryMegabytes * kMebibyte;
    limits.mMain.mMaxUnfinishedBytes =
      std::max(bytes / kRequestShare, kMinRequestBytes);
    limits.mProbes.mMaxUnfinishedBytes =
      std::max(bytes / kProbeShare, 2 * kMebibyte);
  }
  limits.mPeers = PeerLimitsOf(aSettings);
  return limits;
}

void
ReturnFreedMemory(const NodeSettings& aSettings)
{
  if (aSettings.mMemoryMegabytes > 0) {
    ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  }
}

}

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Routing/EndpointPicker.h"

namespace almondspoke {

/** \brief IP address and port. */
struct SocketAddress
{
  std::string mHost;
  std::uint16_t mPort = 0;

  std::string ToString() const;
};

/** \brief A line of [instances]: one entry instance of the installation. */
struct InstanceSettings
{
  InstanceName mName;
  DataCentreName mDataCentre;
  SocketAddress mPeers;
  SocketAddress mCallers;
  /** True if the instance has a disk and may vote in consensus groups. */
  bool mHasDisk = false;
};

/** \brief A line of [groups]: the voters of one consensus group. */
struct GroupSettings
{
  std::string mName;
  std::vector<InstanceName> mVoters;
  /** Line number in the settings file. */
  int mLine = 0;
};

/** \brief A network in CIDR notation. */
struct NetworkSettings
{
  std::string mPrefix;
  unsigned short mPrefixLength = 0;

  /** Returns true if the IP address belongs to the network. */
  bool Contains(const std::string& aHost) const;
};

/** \brief The validated settings of one instance. */
struct Settings
{
  std::string mPath;

  // [instance]
  InstanceName mName;
  DataCentreName mDataCentre;
  std::string mDataFolder;

  // [listen]
  SocketAddress mCallers;
  SocketAddress mOperators;
  SocketAddress mPeers;
  std::size_t mThreads = 4;

  // [instances], [groups]
  std::vector<InstanceSettings> mInstances;
  std::vector<GroupSettings> mGroups;

  // [endpoints]
  std::vector<NetworkSettings> mAllowedNetworks;
  std::size_t mMaxEndpoints = 20000;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::chrono::milliseconds mUserTimeout{ 5000 };
  std::chrono::milliseconds mKeepAliveIdle{ 5000 };
  std::chrono::milliseconds mMaxIdle{ 30000 };

  // [limits]
  std::size_t mMaxHeaderBytes = 32768;
  std::size_t mMaxBodyBytes = 16777216;
  std::size_t mMaxResponseBytes = 67108864;
  std::size_t mMaxConnections = 4096;
  std::size_t mMaxPipelinedRequests = 16;
  std::size_t mMaxQueuedRequests = 10000;
  /** Total size of the request bodies in memory; at most a quarter of the
   * memory of the machine. */
  std::size_t mMaxHeldBytes = 536870912;
  /** Total memory of the requests that have not arrived completely, and of
   * those and their answers that are in progress; zero for a quarter of the
   * memory of the machine. */
  std::size_t mMaxUnfinishedBytes = 0;
  std::size_t mMaxDecisions = 10000;
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  std::chrono::milliseconds mRequestTimeout{ 30000 };

  // [routing]
  RoutingStrategy mStrategy = RoutingStrategy::LeastLoaded;
  /** True if requests may be sent to and accepted from other data centres. */
  bool mSpill = true;

  // [submissions]
  /** Maximum number of claims and answers kept by one group. */
  std::size_t mMaxClaims = 100000;
  /** Maximum number of keys without a key epoch remembered by one group. */
  std::size_t mMaxUndatedKeys = 300000;
  /** Maximum total size of the answer bodies kept by one group. */
  std::size_t mMaxAnswerBytes = 8388608;
  /** Time for which answers are kept. */
  std::chrono::milliseconds mAnswerRetention{ 3600000 };
  std::size_t mMaxJobs = 20000;
  /** Maximum total size of the task bodies of all jobs held. */
  std::size_t mMaxJobBodyBytes = 16777216;
  /** Maximum total size of the results of one job. */
  std::size_t mMaxJobResultBytes = 16777216;

  // [drain]
  std::chrono::milliseconds mBalancerDelay{ 5000 };
  std::chrono::milliseconds mDrainTimeout{ 300000 };

  // [log]
  std::string mLogFolder;

  /** Line numbers of the addresses of [listen], for error messages; 0 if the
   * address is not set. */
  int mCallersLine = 0;
  int mOperatorsLine = 0;
  int mPeersLine = 0;
};

/** Reads and validates a settings file. Errors: InvalidSettings, with the file,
 * the line and the allowed values in the message. */
Result<Settings>
LoadSettings(const std::string& aPath);

/** Parses and validates settings given as text; aPath is used in error messages
 * only. */
Result<Settings>
ParseSettings(const std::string& aPath, const std::string& aText);

/** Checks that this process may listen on every address of [listen]. */
Result<void>
CheckListenAddresses(const Settings& aSettings);

}

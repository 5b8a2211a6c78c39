#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/EnumNames.h"
#include "Base/Result.h"

namespace almondspoke::dispatch {

/** \brief Role of an instance in a dispatch installation. */
enum class NodeRole : std::uint8_t
{
  /** Takes part in the consensus group, and leads if elected. */
  Coordinator,
  /** Accepts callers' requests and forwards them to the leader. */
  Gateway
};

inline constexpr std::array<EnumName<NodeRole>, 2> kNodeRoleNames = { {
  { NodeRole::Coordinator, "coordinator" },
  { NodeRole::Gateway, "gateway" },
} };

/** \brief How a leader decides whether it accepts a new job. */
enum class AdmissionPolicy : std::uint8_t
{
  /** Limits the queue time to a fixed share of the time to the objective. */
  Fixed,
  /** Accepts what is expected to end by its objective. */
  ExpectedEnd
};

inline constexpr std::array<EnumName<AdmissionPolicy>, 2>
  kAdmissionPolicyNames = { {
    { AdmissionPolicy::Fixed, "fixed" },
    { AdmissionPolicy::ExpectedEnd, "expected-end" },
  } };

/** \brief Settings of an instance of a dispatch installation. */
struct NodeSettings
{
  NodeRole mRole = NodeRole::Gateway;
  std::string mName;
  std::string mDataCentre;
  /** IP address of this instance. */
  std::string mAddress;
  /** Port for connections between instances; the same on all of them. */
  std::uint16_t mPeerPort = 0;
  /** Addresses (IP:PORT) of coordinators that are contacted first. Of these,
   * only the IP address is used, with mPeerPort. */
  std::vector<std::string> mSeeds;
  /** Addresses (IP:PORT) to listen on; empty for none. */
  std::string mCallersAddress;
  std::string mReadinessAddress;
  std::string mControlAddress;
  std::string mMetricsAddress;
  std::string mDataFolder;
  /** Whether this instance may create the consensus group; true only for the
   * first start of an installation. */
  bool mMayCreateGroup = false;
  /** Number of coordinators that may fail at the same time. */
  std::uint32_t mToleratedLosses = 1;
  /** Longest lease that workers grant. */
  std::chrono::milliseconds mMaxLease{ 1000 };
  /** Interval of the workers' reports. */
  std::chrono::milliseconds mWorkerReportInterval{ 1500 };
  /** Time between SIGTERM and the end of the process by the platform. */
  std::chrono::milliseconds mShutdownGracePeriod{ 6000 };
  /** Memory and file descriptors that the process may use; zero if unknown. */
  std::uint32_t mMemoryMegabytes = 0;
  std::uint32_t mMaxDescriptors = 0;
  /** Data centres of the installation. */
  std::vector<std::string> mDataCentres;
  /** Whether the leader learns the run times of queues and workers. */
  bool mLearnRunTimes = false;
  /** Factor by which a task takes longer away from its data or its group; 1 if
   * it does not matter where a task runs. */
  double mSpreadFactor = 1.0;
  AdmissionPolicy mAdmission = AdmissionPolicy::Fixed;
};

/** Reads the settings. Errors: InvalidSettings, with file, line, key and the
 * allowed values. */
Result<NodeSettings>
LoadNodeSettings(const std::string& aPath);

/** Parses the settings. Errors as for LoadNodeSettings().
 * \param aPath used in error messages only */
Result<NodeSettings>
ParseNodeSettings(const std::string& aPath, const std::string& aText);

/** Whether a settings file is for an instance of a dispatch installation. */
bool
IsNodeSettings(const std::string& aPath);

}

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

/** \brief What an instance does in a dispatch installation. */
enum class NodeRole : std::uint8_t
{
  /** Takes part in the agreement, and leads if elected. */
  Coordinator,
  /** Takes callers' requests and passes them to the leader. */
  Gateway
};

inline constexpr std::array<EnumName<NodeRole>, 2> kNodeRoleNames = { {
  { NodeRole::Coordinator, "coordinator" },
  { NodeRole::Gateway, "gateway" },
} };

/** \brief Settings of an instance of a dispatch installation. */
struct NodeSettings
{
  NodeRole mRole = NodeRole::Gateway;
  std::string mName;
  std::string mDataCentre;
  /** IP number of this instance. */
  std::string mAddress;
  /** Port for the other instances, the same on all of them. */
  std::uint16_t mPeerPort = 0;
  /** Addresses, with ports, of coordinators to begin with. */
  std::vector<std::string> mSeeds;
  /** Addresses to listen on; empty for none. */
  std::string mCallers;
  std::string mReadiness;
  std::string mControl;
  std::string mMetrics;
  std::string mDataFolder;
  /** True only for the first start of an installation. */
  bool mMayFound = false;
  /** Coordinators that may be lost at the same time. */
  std::uint32_t mToleratedLosses = 1;
  std::chrono::milliseconds mMaxHold{ 1000 };
  std::chrono::milliseconds mWorkerReport{ 1500 };
  std::chrono::milliseconds mGrace{ 6000 };
};

/** Reads the settings. InvalidSettings names file, line, key and what is
 * allowed. */
Result<NodeSettings>
LoadNodeSettings(const std::string& aPath);

/** Parses the settings; aPath is used in error messages only. */
Result<NodeSettings>
ParseNodeSettings(const std::string& aPath, const std::string& aText);

/** Whether a settings file is one of a dispatch installation. */
bool
IsNodeSettings(const std::string& aPath);

}

#include <cstdint>
#include <vector>

#include <catch2/catch.hpp>

#include "Dispatch/ClientLimits.h"

using namespace almondspoke::dispatch;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024UL;

struct LimitsCase
{
  const char* mName;
  NodeRole mRole;
  std::uint32_t mMemoryMegabytes;
  std::uint32_t mMaxDescriptors;
  /** Least number of connections: several times what the users' clients and
   * workers open at such an instance. */
  std::size_t mMinConnections;
  std::size_t mMaxConnections;
  std::size_t mMinRequestBytes;
};

const std::vector<LimitsCase> kCases = {
  { "smallest gateway",
    NodeRole::Gateway,
    120,
    3075,
    500,
    1500,
    20 * kMebibyte },
  { "smallest coordinator",
    NodeRole::Coordinator,
    256,
    3075,
    1500,
    1500,
    48 * kMebibyte },
  { "few descriptors",
    NodeRole::Coordinator,
    256,
    264,
    100,
    100,
    48 * kMebibyte },
  { "fewer descriptors than are reserved",
    NodeRole::Coordinator,
    256,
    16,
    8,
    8,
    48 * kMebibyte },
  { "little memory", NodeRole::Gateway, 64, 0, 200, 1500, 8 * kMebibyte },
};

NodeSettings
SettingsOf(const LimitsCase& aRow)
{
  NodeSettings settings;
  settings.mRole = aRow.mRole;
  settings.mMemoryMegabytes = aRow.mMemoryMegabytes;
  settings.mMaxDescriptors = aRow.mMaxDescriptors;
  return settings;
}

}

// Guards against limits that today's clients meet, or that exceed what the
// process may use.
TEST_CASE("Client limits: they follow from memory and descriptors")
{
  for (const LimitsCase& row : kCases) {
    INFO(row.mName);
    const ClientLimits limits = ClientLimitsOf(SettingsOf(row));
    CHECK(limits.mMain.mMaxConnections >= row.mMinConnections);
    CHECK(limits.mMain.mMaxConnections <= row.mMaxConnections);
    CHECK(limits.mMain.mMaxUnfinishedBytes >= row.mMinRequestBytes);
    CHECK(limits.mProbes.mMaxConnections >= 8);
    CHECK(limits.mProbes.mMaxConnections <= 64);
  }
}

// Guards against shares that together exceed the memory of the process.
TEST_CASE("Client limits: their sum is less than the memory")
{
  for (const LimitsCase& row : kCases) {
    INFO(row.mName);
    const NodeSettings settings = SettingsOf(row);
    const ClientLimits limits = ClientLimitsOf(settings);
    CHECK(OwnMemoryBytes(settings) + LargestMemoryOf(limits.mMain) +
            2 * LargestMemoryOf(limits.mProbes) +
            LargestMemoryOf(limits.mPeers) <=
          row.mMemoryMegabytes * kMebibyte);
  }
}

// Guards against settings without limits that leave the process without them.
TEST_CASE("Client limits: without settings the machine's limits apply")
{
  constexpr std::size_t kMachineMegabytes = 1024;
  const almondspoke::MachineLimits machine{ kMachineMegabytes * kMebibyte,
                                            4096 };
  const NodeSettings unset = WithMachineLimits({}, machine);
  CHECK(unset.mMemoryMegabytes == kMachineMegabytes / 2);
  CHECK(unset.mMaxDescriptors == 4096);
  NodeSettings settings;
  settings.mMemoryMegabytes = 120;
  settings.mMaxDescriptors = 3075;
  const NodeSettings set = WithMachineLimits(settings, machine);
  CHECK(set.mMemoryMegabytes == 120);
  CHECK(set.mMaxDescriptors == 3075);
}

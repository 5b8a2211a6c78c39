#include <limits>

#include <catch2/catch.hpp>

#include "Dispatch/ClientLimits.h"

using namespace almondspoke::dispatch;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024UL;
constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

struct LimitsCase
{
  const char* mName;
  std::uint32_t mMemoryMegabytes;
  std::uint32_t mMaxDescriptors;
  std::size_t mConnections;
  std::size_t mRequestBytes;
  std::size_t mProbeConnections;
};

const std::vector<LimitsCase> kCases = {
  { "nothing stated", 0, 0, 1500, kUnlimited, 1500 },
  { "smallest gateway", 120, 3075, 1500, 30 * kMebibyte, 64 },
  { "smallest coordinator", 256, 3075, 1500, 64 * kMebibyte, 64 },
  { "few descriptors", 256, 264, 100, 64 * kMebibyte, 64 },
  { "fewer descriptors than are reserved", 256, 16, 8, 64 * kMebibyte, 64 },
  { "little memory", 16, 0, 204, 8 * kMebibyte, 1500 },
};

}

// Guards against limits that today's clients meet, or that exceed what the
// process may use.
TEST_CASE("Client limits: they follow from memory and descriptors")
{
  for (const LimitsCase& row : kCases) {
    INFO(row.mName);
    NodeSettings settings;
    settings.mMemoryMegabytes = row.mMemoryMegabytes;
    settings.mMaxDescriptors = row.mMaxDescriptors;
    const ClientLimits limits = ClientLimitsOf(settings);
    CHECK(limits.mMain.mMaxConnections == row.mConnections);
    CHECK(limits.mMain.mMaxUnfinishedBytes == row.mRequestBytes);
    CHECK(limits.mProbes.mMaxConnections == row.mProbeConnections);
  }
}

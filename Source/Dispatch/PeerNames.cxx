#include "Dispatch/PeerNames.h"

#include <charconv>
#include <random>
#include <string_view>

namespace almondspoke::dispatch {

std::uint32_t
LocalLeaderSlotOf(const std::string& aAddress)
{
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(aAddress, error);
  return error ? 1 : 1U + address.to_bytes().back();
}

InstanceName
PeerNameOf(const std::string& aAddress, std::uint16_t aPeerPort)
{
  return aAddress + ":" + std::to_string(aPeerPort);
}

std::optional<asio::ip::tcp::endpoint>
PeerEndpointOf(const InstanceName& aName)
{
  const std::size_t colon = aName.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  asio::error_code error;
  const auto address = asio::ip::make_address(aName.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = aName.data() + aName.size();
  const auto parsed = std::from_chars(aName.data() + colon + 1, end, port);
  const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
  if (error || !isNumber || port == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

std::vector<InstanceName>
SeedNamesOf(const NodeSettings& aSettings)
{
  std::vector<InstanceName> names;
  for (const std::string& seed : aSettings.mSeeds) {
    names.push_back(
      PeerNameOf(seed.substr(0, seed.rfind(':')), aSettings.mPeerPort));
  }
  return names;
}

InstanceIdentity
IdentityOf(const NodeSettings& aSettings)
{
  std::random_device random;
  return { PeerNameOf(aSettings.mAddress, aSettings.mPeerPort),
           aSettings.mDataCentre,
           std::uniform_int_distribution<std::uint32_t>(1)(random) };
}

PeerTimings
NodePeerTimings()
{
  using std::chrono::milliseconds;
  PeerTimings timings;
  timings.mConnectTimeout = milliseconds(400);
  timings.mMaxReconnectDelay = milliseconds(200);
  timings.mUserTimeout = milliseconds(900);
  timings.mSilenceTimeout = milliseconds(900);
  timings.mIdleSilenceTimeout = milliseconds(7000);
  timings.mLivenessPeriod = milliseconds(300);
  timings.mIdleLivenessPeriod = milliseconds(3000);
  return timings;
}

}

#include "Daemon/SettingValues.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

#include <asio/ip/address.hpp>
#include <asio/ip/network_v4.hpp>
#include <asio/ip/network_v6.hpp>

namespace almondspoke {

namespace {

struct Unit
{
  std::string_view mName;
  std::uint64_t mFactor;
};

constexpr std::array<Unit, 4> kDurationUnits = { {
  { "ms", 1 },
  { "s", 1000 },
  { "m", 60000 },
  { "h", 3600000 },
} };

constexpr std::array<Unit, 4> kSizeUnits = { {
  { "B", 1 },
  { "KiB", 1024 },
  { "MiB", 1048576 },
  { "GiB", 1073741824 },
} };

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t>
ParseWithUnit(std::string_view aText, const std::array<Unit, 4>& aUnits)
{
  const std::size_t digits = aText.find_first_not_of("0123456789");
  if (digits == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::size_t> number = ParseCount(aText.substr(0, digits));
  const std::string_view unitName = aText.substr(digits);
  for (const Unit& unit : aUnits) {
    if (unit.mName != unitName || !number) {
      continue;
    }
    // The result must fit into a signed 64-bit count of milliseconds.
    constexpr std::uint64_t kLimit = std::numeric_limits<std::int64_t>::max();
    if (*number > kLimit / unit.mFactor) {
      return std::nullopt;
    }
    return *number * unit.mFactor;
  }
  return std::nullopt;
}

std::string
FormatWithUnit(std::uint64_t aValue, const std::array<Unit, 4>& aUnits)
{
  const Unit* chosen = &aUnits.front();
  for (const Unit& unit : aUnits) {
    if (aValue >= unit.mFactor && aValue % unit.mFactor == 0) {
      chosen = &unit;
    }
  }
  return std::to_string(aValue / chosen->mFactor) + std::string(chosen->mName);
}

}

std::optional<std::chrono::milliseconds>
ParseDuration(std::string_view aText)
{
  const auto value = ParseWithUnit(aText, kDurationUnits);
  if (!value) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*value);
}

std::optional<std::size_t>
ParseSize(std::string_view aText)
{
  return ParseWithUnit(aText, kSizeUnits);
}

std::optional<std::size_t>
ParseCount(std::string_view aText)
{
  std::size_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const bool bracketed =
    host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  const std::optional<std::size_t> port = ParseCount(aText.substr(colon + 1));
  if (error || address.is_v6() != bracketed || !port || *port > 65535) {
    return std::nullopt;
  }
  return SocketAddress{ address.to_string(),
                        static_cast<std::uint16_t>(*port) };
}

std::optional<NetworkSettings>
ParseNetwork(std::string_view aText)
{
  const std::string text(aText);
  asio::error_code error;
  const auto network4 = asio::ip::make_network_v4(text, error);
  if (!error) {
    return NetworkSettings{ network4.canonical().address().to_string(),
                            network4.prefix_length() };
  }
  const auto network6 = asio::ip::make_network_v6(text, error);
  if (!error) {
    return NetworkSettings{ network6.canonical().address().to_string(),
                            network6.prefix_length() };
  }
  return std::nullopt;
}

bool
IsName(const std::string& aText)
{
  constexpr std::size_t kMaxName = 64;
  return !aText.empty() && aText.size() <= kMaxName &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789._-") == std::string::npos;
}

std::vector<std::string>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  while (true) {
    const std::size_t end = aText.find(aSeparator);
    parts.emplace_back(Trimmed(aText.substr(0, end)));
    if (end == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(end + 1);
  }
}

std::vector<std::string>
SplitWords(std::string_view aText)
{
  std::vector<std::string> words;
  for (std::string& part : Split(aText, ' ')) {
    if (!part.empty()) {
      words.push_back(std::move(part));
    }
  }
  return words;
}

std::string
FormatDuration(std::chrono::milliseconds aDuration)
{
  return FormatWithUnit(static_cast<std::uint64_t>(aDuration.count()),
                        kDurationUnits);
}

std::string
FormatSize(std::size_t aBytes)
{
  return FormatWithUnit(aBytes, kSizeUnits);
}

std::string
SocketAddress::ToString() const
{
  const bool isV6 = mHost.find(':') != std::string::npos;
  return (isV6 ? '[' + mHost + ']' : mHost) + ':' + std::to_string(mPort);
}

bool
NetworkSettings::Contains(const std::string& aHost) const
{
  asio::error_code error;
  const auto address = asio::ip::make_address(aHost, error);
  const auto prefix = asio::ip::make_address(mPrefix, error);
  if (error || address.is_v4() != prefix.is_v4()) {
    return false;
  }
  if (address.is_v4()) {
    const asio::ip::network_v4 own(prefix.to_v4(), mPrefixLength);
    const asio::ip::network_v4 other(address.to_v4(), mPrefixLength);
    return own.network() == other.network();
  }
  const asio::ip::network_v6 own(prefix.to_v6(), mPrefixLength);
  const asio::ip::network_v6 other(address.to_v6(), mPrefixLength);
  return own.network() == other.network();
}

}

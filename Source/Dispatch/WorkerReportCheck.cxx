#include "Dispatch/WorkerReportCheck.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <asio/ip/address_v4.hpp>

namespace almondspoke::dispatch {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxLabels = 64;

/** Largest resources of one worker. */
constexpr Resources kMaxCapacity{ 10'000'000, 100'000'000, 10'000 };

/** Largest sequence number and clock. Leaves room for any number of later
 * reports, and for lease ends beyond the clock. */
constexpr std::uint64_t kMaxCount = std::uint64_t{ 1 } << 53U;

/** A worker's time of day may be ahead of this instance's by this much. */
constexpr std::chrono::hours kMaxStartTimeLead{ 1 };

bool
IsName(std::string_view aText)
{
  const auto isAllowed = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
           aCharacter == '_' || aCharacter == '.' || aCharacter == ':';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0;
}

// An IPv4 address and a port.
bool
IsSocketAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  asio::error_code error;
  const asio::ip::address_v4 address =
    asio::ip::make_address_v4(aText.substr(0, colon), error);
  return !error && !address.is_unspecified() && !address.is_multicast();
}

bool
IsStartTime(std::uint64_t aMilliseconds, Clock::Wall aNow)
{
  const auto latest = std::chrono::duration_cast<std::chrono::milliseconds>(
    (aNow + kMaxStartTimeLead).time_since_epoch());
  return aMilliseconds > 0 &&
         aMilliseconds <= static_cast<std::uint64_t>(latest.count());
}

bool
IsLabel(const std::string& aLabel)
{
  return !aLabel.empty() && aLabel.size() <= kMaxNameBytes;
}

}

ReportDefect
FindDefect(const WorkerReport& aReport, Clock::Wall aNow)
{
  if (!IsName(aReport.mBoot.mId)) {
    return ReportDefect::Id;
  }
  if (!IsName(aReport.mPool)) {
    return ReportDefect::Pool;
  }
  if (!IsSocketAddress(aReport.mAddress)) {
    return ReportDefect::Address;
  }
  if (!IsStartTime(aReport.mBoot.mStartTimeMs, aNow)) {
    return ReportDefect::StartTime;
  }
  if (aReport.mCapacity.mMilliCores == 0 ||
      !aReport.mCapacity.FitsInto(kMaxCapacity)) {
    return ReportDefect::Capacity;
  }
  const bool validLabels =
    aReport.mLabels.size() <= kMaxLabels &&
    std::all_of(aReport.mLabels.begin(), aReport.mLabels.end(), &IsLabel);
  if (!validLabels) {
    return ReportDefect::Labels;
  }
  if (aReport.mSequence > kMaxCount) {
    return ReportDefect::Sequence;
  }
  if (aReport.mDataCentre.size() > kMaxNameBytes) {
    return ReportDefect::DataCentre;
  }
  const bool isClock =
    aReport.mClockMs >= 0 &&
    static_cast<std::uint64_t>(aReport.mClockMs) <= kMaxCount;
  return isClock ? ReportDefect::None : ReportDefect::Clock;
}

}

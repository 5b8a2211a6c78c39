#include "Rules/TimeZone.h"

#include <stdexcept>
#include <utility>

#include <date/tz.h>

namespace almondspoke {

std::shared_ptr<const TimeZone>
TimeZone::Find(std::string_view aName)
{
  try {
    const date::time_zone& zone = *date::locate_zone(aName);
    // The first conversion loads the zone's file. It is done here so that the
    // request path does not read files.
    zone.to_local(date::sys_seconds{});
    return std::shared_ptr<const TimeZone>(
      new TimeZone(std::string(aName), zone));
  } catch (const std::runtime_error&) {
    return nullptr;
  }
}

TimeZone::TimeZone(std::string aName, const date::time_zone& aZone)
  : mName(std::move(aName))
  , mZone(aZone)
{
}

std::chrono::minutes
TimeZone::MinuteOfDay(Clock::Wall aTime) const
{
  const auto local =
    mZone.to_local(std::chrono::floor<std::chrono::seconds>(aTime));
  return std::chrono::floor<std::chrono::minutes>(
    local - std::chrono::floor<date::days>(local));
}

}

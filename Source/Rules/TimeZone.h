#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "Base/Clock.h"

namespace date {
class time_zone;
}

namespace almondspoke {

/** \brief A zone of the system's time zone database, including daylight saving
 * time.
 *
 * Immutable and safe to use from several threads. */
class TimeZone
{
public:
  /** Returns the zone with the given name, or null if the database does not
   * contain it. */
  static std::shared_ptr<const TimeZone> Find(std::string_view aName);

  /** Minutes since local midnight, by the wall clock of the zone. */
  std::chrono::minutes MinuteOfDay(Clock::Wall aTime) const;

  const std::string& Name() const { return mName; }

private:
  TimeZone(std::string aName, const date::time_zone& aZone);

  std::string mName;
  const date::time_zone& mZone;
};

}

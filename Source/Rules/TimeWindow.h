#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Rules/TimeZone.h"

namespace almondspoke {

/** \brief A daily time range in the local time of a zone, such as 07:00-19:00.
 *
 * The begin is inclusive and the end is exclusive. A window whose end is before
 * its begin extends past midnight. When clocks are set back, both occurrences
 * of the repeated hour are included; when they are set forward, the skipped
 * hour does not occur. */
class TimeWindow
{
public:
  TimeWindow(std::chrono::minutes aBegin,
             std::chrono::minutes aEnd,
             std::shared_ptr<const TimeZone> aZone);

  bool Contains(Clock::Wall aTime) const;

  /** True if some local time is in both windows. Both windows must have the
   * same zone. */
  bool Overlaps(const TimeWindow& aOther) const;

  std::chrono::minutes Begin() const { return mBegin; }
  std::chrono::minutes End() const { return mEnd; }
  const TimeZone& Zone() const { return *mZone; }

  /** Returns the window as in a rules file, "07:00-19:00 Europe/Zagreb". */
  std::string ToString() const;

private:
  bool ContainsMinute(std::chrono::minutes aMinuteOfDay) const;

  std::chrono::minutes mBegin;
  std::chrono::minutes mEnd;
  std::shared_ptr<const TimeZone> mZone;
};

}

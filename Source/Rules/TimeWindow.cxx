#include "Rules/TimeWindow.h"

#include <utility>

#include <fmt/format.h>

namespace almondspoke {

TimeWindow::TimeWindow(std::chrono::minutes aBegin,
                       std::chrono::minutes aEnd,
                       std::shared_ptr<const TimeZone> aZone)
  : mBegin(aBegin)
  , mEnd(aEnd)
  , mZone(std::move(aZone))
{
}

bool
TimeWindow::Contains(Clock::Wall aTime) const
{
  return ContainsMinute(mZone->MinuteOfDay(aTime));
}

bool
TimeWindow::Overlaps(const TimeWindow& aOther) const
{
  return ContainsMinute(aOther.mBegin) || aOther.ContainsMinute(mBegin);
}

bool
TimeWindow::ContainsMinute(std::chrono::minutes aMinuteOfDay) const
{
  if (mBegin < mEnd) {
    return aMinuteOfDay >= mBegin && aMinuteOfDay < mEnd;
  }
  return aMinuteOfDay >= mBegin || aMinuteOfDay < mEnd;
}

std::string
TimeWindow::ToString() const
{
  constexpr int kMinutesPerHour = 60;
  return fmt::format("{:02}:{:02}-{:02}:{:02} {}",
                     mBegin.count() / kMinutesPerHour,
                     mBegin.count() % kMinutesPerHour,
                     mEnd.count() / kMinutesPerHour,
                     mEnd.count() % kMinutesPerHour,
                     mZone->Name());
}

}

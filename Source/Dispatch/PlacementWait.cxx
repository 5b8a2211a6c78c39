#include "Dispatch/PlacementWait.h"

#include <algorithm>

namespace almondspoke::dispatch {

std::optional<PlacementWait::TimePoint>
PlacementWait::Decide(const Inputs& aInputs)
{
  if (!aInputs.mUntilRoom) {
    return std::nullopt;
  }
  const Milliseconds here = aInputs.mExpectedHere + aInputs.mOrderMargin;
  const Milliseconds there = aInputs.mExpectedThere + aInputs.mOrderMargin;
  const TimePoint endHere = aInputs.mNow + here;
  const TimePoint startThere = aInputs.mNow + *aInputs.mUntilRoom;
  const TimePoint endThere = startThere + there;
  const bool isInTimeHere = endHere <= aInputs.mDueAt;
  const bool isInTimeThere = endThere <= aInputs.mDueAt;
  // The last start there that still gains something.
  const TimePoint lastEndThere =
    isInTimeThere && !isInTimeHere ? aInputs.mDueAt : endHere;
  TimePoint until = lastEndThere - there;
  if (isInTimeHere) {
    until = std::min(until, aInputs.mDueAt - here);
  }
  const bool hasRoomBefore = startThere <= until && until > aInputs.mNow;
  return endThere < endHere && hasRoomBefore ? std::make_optional(until)
                                             : std::nullopt;
}

}

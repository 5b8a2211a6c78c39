#include "Dispatch/OverloadDetector.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Delays from which on the states hold. They are small against the shortest
 * time limits of control work: leases of a second, and drains and manifests of
 * several seconds. */
constexpr milliseconds kPartialDelay{ 100 };
constexpr milliseconds kFullDelay{ 200 };

/** Delay below which new work is taken again. */
constexpr milliseconds kRecoveredDelay{ 40 };

Overload
StateAt(milliseconds aDelay)
{
  if (aDelay >= kFullDelay) {
    return Overload::Full;
  }
  return aDelay >= kPartialDelay ? Overload::Partial : Overload::None;
}

}

bool
OverloadDetector::Observe(Milliseconds aDelay)
{
  const Overload before = mState;
  const Overload reached = StateAt(std::min(mLast, aDelay));
  mLast = aDelay;
  if (reached > mState) {
    mState = reached;
  } else if (aDelay < kRecoveredDelay) {
    mState = Overload::None;
  }
  return mState != before;
}

}

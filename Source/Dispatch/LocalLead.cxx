#include "Dispatch/LocalLead.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** A request for a local lead counts for so long: several questions of a
 * gateway that has no leader. */
constexpr milliseconds kRequestValidity{ 1000 };

/** Time without a leader, counted from the end of the election timeout, after
 * which no election is expected to succeed: two of its rounds. */
constexpr milliseconds kMinLeaderlessTime{ 600 };

/** Pause after the local lead has been fenced out. */
constexpr milliseconds kRestartDelay{ 1000 };

}

bool
LocalLead::IsWanted(TimePoint aNow) const
{
  return mRequestedAt && aNow - *mRequestedAt < kRequestValidity;
}

LocalLead::Change
LocalLead::Advance(const LocalLeadInputs& aInputs, TimePoint aNow)
{
  if (aInputs.mLeaderKnown) {
    mLeaderlessSince.reset();
  } else if (!mLeaderlessSince) {
    mLeaderlessSince = aNow;
  }
  const bool may = !aInputs.mLeaderKnown && aInputs.mHasManifest &&
                   !aInputs.mDraining && !aInputs.mFencedOut;
  if (mActive && (!may || !IsWanted(aNow))) {
    mActive = false;
    mNotBefore = aNow + kRestartDelay;
    return Change::End;
  }
  const bool due = may && IsWanted(aNow) &&
                   aNow - *mLeaderlessSince >= kMinLeaderlessTime &&
                   aNow >= mNotBefore;
  if (mActive || !due) {
    return Change::None;
  }
  mActive = true;
  return Change::Begin;
}

}

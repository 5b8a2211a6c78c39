#include "Dispatch/LocalLeadership.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Time for which a request for a local leader remains valid. Gateways without
 * a leader repeat their request several times within it. */
constexpr milliseconds kRequestValidity{ 1000 };

/** Time without an elected leader, counted after the election timeout, before
 * local leadership begins: two election rounds. After that, an election is not
 * expected to succeed. */
constexpr milliseconds kMinLeaderlessTime{ 600 };

/** Delay after the end of local leadership, for example because another leader
 * fenced it out, before it may begin again. */
constexpr milliseconds kRestartDelay{ 1000 };

}

bool
LocalLeadership::IsWanted(TimePoint aNow) const
{
  return mRequestedAt && aNow - *mRequestedAt < kRequestValidity;
}

LocalLeadership::Change
LocalLeadership::Advance(const LocalLeadershipInputs& aInputs, TimePoint aNow)
{
  if (aInputs.mLeaderKnown) {
    mLeaderlessSince.reset();
  } else if (!mLeaderlessSince) {
    mLeaderlessSince = aNow;
  }
  const bool isAllowed = !aInputs.mLeaderKnown && aInputs.mHasManifest &&
                         !aInputs.mDraining && !aInputs.mFencedOut;
  if (mActive && (!isAllowed || !IsWanted(aNow))) {
    mActive = false;
    mNotBefore = aNow + kRestartDelay;
    return Change::End;
  }
  const bool shouldBegin = isAllowed && IsWanted(aNow) &&
                           aNow - *mLeaderlessSince >= kMinLeaderlessTime &&
                           aNow >= mNotBefore;
  if (mActive || !shouldBegin) {
    return Change::None;
  }
  mActive = true;
  return Change::Begin;
}

}

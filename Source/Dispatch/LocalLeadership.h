#pragma once

#include <chrono>
#include <optional>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief Inputs for the decision whether to act as local leader. */
struct LocalLeadershipInputs
{
  /** An elected leader is known; it may be this instance. */
  bool mLeaderKnown = false;
  /** The stored state contains a manifest, so that the queues are known. */
  bool mHasManifest = false;
  bool mDraining = false;
  /** A worker that had accepted this leader's fence has accepted another one.
   */
  bool mFencedOut = false;
};

/** \brief Decides when a coordinator acts as local leader of its data centre.
 *
 * During a network partition that leaves the data centre without a majority,
 * its gateways can still reach its workers and ask for a local leader. Local
 * leadership begins once an ordinary election would have produced a leader, and
 * ends as soon as an elected leader is known again. */
class LocalLeadership
{
public:
  using TimePoint = Clock::Monotonic;

  enum class Change
  {
    None,
    Begin,
    End
  };

  /** Records the request of a gateway that finds no elected leader. */
  void OnRequested(TimePoint aNow) { mRequestedAt = aNow; }

  /** Returns the transition that is due. Begin and End are returned once
   * each. */
  Change Advance(const LocalLeadershipInputs& aInputs, TimePoint aNow);

  bool IsActive() const { return mActive; }

private:
  bool IsWanted(TimePoint aNow) const;

  /** Time since which no elected leader has been known. */
  std::optional<TimePoint> mLeaderlessSince;
  std::optional<TimePoint> mRequestedAt;
  TimePoint mNotBefore{};
  bool mActive = false;
};

}

#pragma once

#include <chrono>
#include <optional>

#include "Base/Clock.h"

namespace almondspoke::dispatch {

/** \brief What a coordinator knows when it decides whether to lead its data
 * centre alone. */
struct LocalLeadInputs
{
  /** An elected leader is known, this instance or another. */
  bool mLeaderKnown = false;
  /** The stored state names a manifest, so that queues are known. */
  bool mHasManifest = false;
  bool mDraining = false;
  /** A worker has seen the fence of another leader since this one took it. */
  bool mFencedOut = false;
};

/** \brief Decides when a coordinator leads its own data centre alone.
 *
 * Answers a partition that leaves a data centre without a majority: its
 * gateways ask for a local lead, and its workers can still serve them. Begins
 * after the time in which an ordinary election would have brought a leader, and
 * ends as soon as an elected leader is known again. */
class LocalLead
{
public:
  using TimePoint = Clock::Monotonic;

  enum class Change
  {
    None,
    Begin,
    End
  };

  /** A gateway of the data centre finds no elected leader. */
  void OnAsked(TimePoint aNow) { mRequestedAt = aNow; }

  /** What to do now. Begin and End are told once. */
  Change Advance(const LocalLeadInputs& aInputs, TimePoint aNow);

  bool IsActive() const { return mActive; }

private:
  bool IsWanted(TimePoint aNow) const;

  /** Since when no elected leader has been known. */
  std::optional<TimePoint> mLeaderlessSince;
  std::optional<TimePoint> mRequestedAt;
  TimePoint mNotBefore{};
  bool mActive = false;
};

}

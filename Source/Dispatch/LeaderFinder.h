#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Dispatch/JobMessages.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Knows who leads, by asking the instances that can.
 *
 * Asks the leader from time to time, and all others as soon as it is in doubt.
 * Learns of further instances from the answers. Not thread-safe. */
class LeaderFinder
{
public:
  using TimePoint = Clock::Monotonic;

  /** \param aDataCentre data centre of this instance
   * \param aSeeds instances to begin with */
  LeaderFinder(const Clock& aClock,
               PeerRpc& aRpc,
               EventLog& aLog,
               std::string aDataCentre,
               const std::vector<InstanceName>& aSeeds);

  /** The leader, while it has answered of late. */
  std::optional<InstanceName> Leader() const;

  /** The instance that leads this data centre alone, while there is no other
   * leader. */
  std::optional<InstanceName> LocalLeader() const;

  /** The leader or, without one, the instance that leads this data centre
   * alone. */
  std::optional<InstanceName> AnyLeader() const;

  /** True once no leader has been found for so long that this data centre
   * should be led alone. */
  bool WantsLocalLeader() const;

  /** Sets the calls (CallKeyOf) that an elected leader may still act on, for
   * whoever leads alone to leave them. */
  void SetUnresolved(std::vector<std::string> aKeys);

  /** A call to the leader has failed: it is asked anew, with all others. */
  void Doubt(const InstanceName& aLeader);

  /** Adds instances to ask, as from changed settings. */
  void AddSeeds(const std::vector<InstanceName>& aSeeds);

  void Tick();

private:
  void Ask(const InstanceName& aInstance);
  /** The one instance that should lead this data centre alone: the same for all
   * gateways that reach the same instances. */
  std::optional<InstanceName> LocalCandidate() const;
  void OnAnswer(const InstanceName& aFrom, const Result<std::string>& aAnswer);
  void TakeStatus(const InstanceName& aFrom, const LeaderStatus& aStatus);
  void TakeLocalStatus(const InstanceName& aFrom, const LeaderStatus& aStatus);

  const Clock& mClock;
  PeerRpc& mRpc;
  EventLog& mLog;
  const std::string mDataCentre;
  std::vector<std::string> mUnresolved;
  std::set<InstanceName> mInstances;
  /** Instances with an unanswered question. */
  std::set<InstanceName> mAsked;
  std::optional<InstanceName> mLeader;
  std::uint64_t mTerm = 0;
  TimePoint mHeard{};
  TimePoint mNextAsk{};
  bool mInDoubt = true;
  /** When a leader was known last; the start of this process before. */
  TimePoint mLastKnown;
  /** Instances of this data centre that can lead, and when they answered. */
  std::map<InstanceName, TimePoint> mNear;
  std::optional<InstanceName> mLocalLeader;
  TimePoint mLocalHeard{};
};

}

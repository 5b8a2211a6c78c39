#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Base/InstanceIdentity.h"
#include "Dispatch/PeerTime.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief The coordinators that send orders to the workers of their data centre
 * for the leader.
 *
 * A coordinator counts as a relay while it says so at regular intervals. One
 * that left an order unanswered, or is draining, is passed over for a time. */
class RelayDirectory
{
public:
  using TimePoint = Clock::Monotonic;

  RelayDirectory(const Clock& aClock, EventLog& aLog);

  /** Records what a coordinator says about itself.
   * \param aClock what its clock showed when it said so */
  void Update(const InstanceName& aPeer,
              const std::string& aDataCentre,
              bool aRelaysOrders,
              PeerTime aClock);
  /** Passes a relay over for a time.
   * \param aReason what was observed, for the log */
  void PassOver(const InstanceName& aPeer, const char* aReason);
  /** Records whether a relay has answered an order in time. One that leaves
   * several in a row unanswered, and has answered none for a time, is passed
   * over. */
  void OnAnswered(const InstanceName& aPeer);
  void OnUnanswered(const InstanceName& aPeer);

  /** Returns the lowest value that a relay's clock can show now; zero if it is
   * not known. */
  PeerTime ClockOf(const InstanceName& aPeer) const;

  /** Returns the relay for a worker, always the same one while the relays of
   * its data centre stay the same; nothing if there is none. */
  std::optional<InstanceName> RelayOf(const std::string& aDataCentre,
                                      const WorkerId& aWorker) const;
  /** Returns a relay of any data centre for a worker; nothing if there is none.
   */
  std::optional<InstanceName> AnyRelayFor(const WorkerId& aWorker) const;

private:
  struct Relay;

  /** Records a reading of a relay's clock. */
  void ObserveClock(Relay& aRelay, PeerTime aClock) const;
  template<typename Predicate>
  std::optional<InstanceName> Choose(const WorkerId& aWorker,
                                     Predicate aIsSuitable) const;

  struct Relay
  {
    std::string mDataCentre;
    TimePoint mValidUntil{};
    TimePoint mPassedOverUntil{};
    /** Consecutive orders without an answer. */
    unsigned mUnanswered = 0;
    TimePoint mLastAnswerAt{};
    /** By how much the relay's clock is at least ahead of this one's; unset if
     * it has not told its time. */
    std::optional<PeerTime> mMinClockLead;
  };

  const Clock& mClock;
  EventLog& mLog;
  std::map<InstanceName, Relay> mRelays;
};

}

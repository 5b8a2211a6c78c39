#pragma once

#include <map>
#include <set>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"

namespace almondspoke::dispatch {

/** \brief The other coordinators that this one knows of: those in its settings,
 * those it has exchanged messages with, and those named by others. */
class PeerContacts
{
public:
  using TimePoint = Clock::Monotonic;

  /** Adds a coordinator from the settings, which is never forgotten. */
  void AddSeed(const InstanceName& aPeer) { mSeeds.insert(aPeer); }

  /** Records a message from a coordinator. */
  void OnMessage(const InstanceName& aPeer, TimePoint aNow)
  {
    mContacted[aPeer] = aNow;
  }

  /** Records the coordinators that another one named. */
  void OnNamed(const std::vector<InstanceName>& aPeers, TimePoint aNow);

  /** Forgets coordinators of which nothing was heard for 6 s. */
  void Expire(TimePoint aNow);

  /** Returns the coordinators that have sent a message. */
  std::vector<InstanceName> Contacted() const;

  std::set<InstanceName> All() const;

private:
  /** Coordinators, each with the time of the latest message or mention. */
  using Times = std::map<InstanceName, TimePoint>;

  static void Expire(Times& aTimes, TimePoint aNow);

  std::set<InstanceName> mSeeds;
  Times mContacted;
  Times mNamed;
};

}

#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>

#include "Base/InstanceIdentity.h"

namespace almondspoke {

class PeerSession;

/** \brief The incoming connections of an instance.
 *
 * Knows which of them receives the answers for an instance, and which is the
 * least useful: the oldest that has not named its instance, or else the one
 * that has been silent for the longest time. Thread-safe. */
class PeerSessionTable
{
public:
  explicit PeerSessionTable(std::size_t aMaxSessions)
    : mMaxSessions(aMaxSessions)
  {
  }

  /** Adds a new session that has not named its instance.
   * \return the session to be closed in its place, or null */
  std::shared_ptr<PeerSession> Add(
    const std::shared_ptr<PeerSession>& aSession);

  /** Notes that a session has named its instance.
   * \param aAcceptsAnswers whether answers are sent on it */
  void Name(const std::shared_ptr<PeerSession>& aSession,
            const InstanceName& aFrom,
            bool aAcceptsAnswers);

  /** Notes that a session which has named its instance received something. */
  void Touch(const PeerSession& aSession);

  void Remove(const PeerSession& aSession);

  /** Returns the open session from an instance that accepts answers on it, or
   * null. */
  std::shared_ptr<PeerSession> AnswersTo(const InstanceName& aName) const;

private:
  using Order = std::list<const PeerSession*>;

  struct Entry
  {
    std::weak_ptr<PeerSession> mSession;
    bool mIsNamed = false;
    InstanceName mFrom;
    Order::iterator mPosition;
  };
  using Sessions = std::map<const PeerSession*, Entry>;

  std::shared_ptr<PeerSession> TakeLeastUseful();
  void Erase(Sessions::iterator aSession);

  const std::size_t mMaxSessions;
  mutable std::mutex mMutex;
  Sessions mSessions;
  /** In the order of their accept. */
  Order mUnnamed;
  /** In the order of the last bytes received. */
  Order mNamed;
  std::map<InstanceName, std::weak_ptr<PeerSession>> mAnswersTo;
};

}

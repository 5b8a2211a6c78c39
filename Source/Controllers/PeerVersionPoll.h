#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Controllers/RulesPublisher.h"
#include "Membership/InstanceView.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

/** \brief Confirms the version of the rules by asking the peers, for an
 * instance that has started and cannot reach the group.
 *
 * A single peer may have an older version than this instance served before its
 * restart. A polling round therefore confirms the version only if all live
 * peers have answered and at least one of them has a confirmed version. The
 * instance is ready once it serves the highest version known to any of them. */
class PeerVersionPoll
{
public:
  /** How long the group has to answer before the peers are polled, measured
   * from the first live peer. The list of all instances also arrives in this
   * time. */
  static constexpr std::chrono::milliseconds kGroupTimeout =
    std::chrono::seconds(2);
  /** Time after which the poll no longer waits for a live peer in another data
   * centre that does not answer. */
  static constexpr std::chrono::milliseconds kRemotePeerTimeout =
    std::chrono::seconds(10);
  /** Minimum time between the starts of two rounds. */
  static constexpr std::chrono::milliseconds kRoundInterval{ 500 };
  static constexpr std::chrono::milliseconds kCallTimeout =
    std::chrono::seconds(1);

  /** Registers the RPC method that peers call to poll this instance. All
   * references must outlive the object and its calls. */
  PeerVersionPoll(PeerRpc& aRpc,
                  RulesPublisher& aPublisher,
                  const Clock& aClock,
                  InstanceIdentity aSelf);

  /** Ends or starts a round. Call it several times a second until the version
   * is confirmed. \param aInstances all known instances. */
  void Tick(const std::vector<InstanceStatus>& aInstances);

private:
  /** Answer of a peer. */
  struct Answer
  {
    bool mHasConfirmedVersion = false;
    RulesVersion mHighestKnown = 0;
  };

  /** One polling round, shared with its calls because they may end after the
   * poll is destroyed. */
  struct Round
  {
    std::mutex mMutex;
    std::size_t mOpenCalls = 0;
    std::map<InstanceName, Answer> mAnswers;
  };

  void Start(const std::vector<InstanceStatus>& aInstances);
  void Ask(const InstanceName& aPeer);
  bool IsAnswerMissing(const InstanceStatus& aPeer,
                       Clock::Monotonic aNow) const;
  void Evaluate(const std::vector<InstanceStatus>& aInstances,
                Clock::Monotonic aNow);

  PeerRpc& mRpc;
  RulesPublisher& mPublisher;
  const Clock& mClock;
  const InstanceIdentity mSelf;
  std::optional<Clock::Monotonic> mFirstContact;
  Clock::Monotonic mRoundStart{};
  std::shared_ptr<Round> mRound;
};

}

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Membership/InstanceView.h"
#include "Membership/MembershipMessage.h"

namespace almondspoke {

/** \brief Intervals and limits of the membership protocol. */
struct MembershipOptions
{
  /** Interval between two probes by one instance. */
  std::chrono::milliseconds mProbePeriod{ 250 };
  /** Time without an answer after which other instances are asked to probe the
   * target. */
  std::chrono::milliseconds mDirectTimeout{ 100 };
  /** Time without an answer after which the target is suspected. An equal time
   * between two ticks counts as a pause of this process. */
  std::chrono::milliseconds mProbeTimeout{ 500 };
  /** Time that a suspected instance has to refute the suspicion before it is
   * declared dead. */
  std::chrono::milliseconds mSuspicionTimeout{ 1500 };
  /** Number of instances that are asked for an indirect probe. */
  std::size_t mIndirectProbes = 2;
  /** Number of dead or departed instances that are pinged per probe period. */
  std::size_t mUnreachableProbes = 2;
  /** Maximum number of gossiped records of other instances in one message. */
  std::size_t mRecordsPerMessage = 8;
};

/** \brief A message and its receiver. */
struct OutgoingMembershipMessage
{
  InstanceName mTo;
  MembershipMessage mMessage;
};

/** \brief SWIM-style membership protocol without I/O; the caller passes in time
 * and received messages, and sends the outgoing ones.
 *
 * Each instance probes one other instance per period, first directly and then
 * through other instances. Changes are gossiped in the probe messages, so that
 * the cost per instance does not grow with the number of instances. A suspected
 * instance refutes the suspicion by raising its incarnation. Dead and departed
 * instances are pinged indefinitely, so that the two sides of a network
 * partition reconnect once it heals. */
class MembershipCore
{
public:
  MembershipCore(MembershipOptions aOptions,
                 const InstanceIdentity& aSelf,
                 const std::vector<InstanceIdentity>& aSeeds,
                 std::uint32_t aRandomSeed);

  /** Processes timeouts and starts probes; must be called several times per
   * probe period. */
  void Tick(Clock::Monotonic aNow);

  void OnMessage(const InstanceName& aFrom,
                 const MembershipMessage& aMessage,
                 Clock::Monotonic aNow);

  void SetDraining(bool aDraining);
  void SetRulesVersion(std::uint64_t aVersion);

  /** Announces to all live instances that this one shuts down. Messages are
   * ignored afterwards. */
  void Leave();

  /** Returns and clears the messages queued since the last call. */
  std::vector<OutgoingMembershipMessage> TakeOutgoing();

  /** Returns whether any record changed since the last call, and resets the
   * flag. */
  bool TakeChanged();

  InstanceIdentity Self() const;
  std::vector<InstanceStatus> Instances() const;

private:
  struct Member
  {
    MemberRecord mRecord;
    Clock::Monotonic mSuspectedAt{};
    /** Number of messages that still carry the record as gossip. */
    std::size_t mTransmissionsLeft = 0;
  };

  struct Probe
  {
    InstanceName mTarget;
    std::uint64_t mSequence = 0;
    Clock::Monotonic mSentAt{};
    bool mIndirect = false;
  };

  /** A ping sent on behalf of another instance. */
  struct RelayedProbe
  {
    InstanceName mRequester;
    std::uint64_t mRequesterSequence = 0;
    Clock::Monotonic mSentAt{};
  };

  void ResetProbesAfterPause(Clock::Monotonic aNow);
  void StartProbes(Clock::Monotonic aNow);
  void ProbeNextLive(Clock::Monotonic aNow);
  void ProbeUnreachable();
  void CheckProbe(Clock::Monotonic aNow);
  void ProbeIndirectly();
  void ExpireSuspicions(Clock::Monotonic aNow);
  void ExpireRelayedProbes(Clock::Monotonic aNow);
  void HandleAcknowledgement(const InstanceName& aFrom,
                             const MembershipMessage& aMessage);
  void Merge(const MemberRecord& aRecord, Clock::Monotonic aNow);
  void RefuteRecordOfSelf(const MemberRecord& aRecord);
  void SetHealth(Member& aMember,
                 InstanceHealth aHealth,
                 Clock::Monotonic aNow);
  void QueueForGossip(Member& aMember);
  void Queue(const InstanceName& aTo, MembershipMessage aMessage);
  void QueueSync(const InstanceName& aTo, MembershipMessageKind aKind);
  void AddGossip(const InstanceName& aTo, MembershipMessage& aMessage);
  std::vector<InstanceName> ShuffledMembers(bool aLive);
  Member& SelfMember();

  MembershipOptions mOptions;
  InstanceName mSelf;
  std::minstd_rand mRandom;
  std::map<InstanceName, Member> mMembers;
  std::vector<InstanceName> mProbeOrder;
  std::optional<Probe> mProbe;
  std::map<std::uint64_t, RelayedProbe> mRelayedProbes;
  std::uint64_t mNextSequence = 1;
  std::optional<Clock::Monotonic> mLastTick;
  std::optional<Clock::Monotonic> mLastPeriod;
  std::vector<OutgoingMembershipMessage> mOutgoing;
  bool mChanged = true;
};

}

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Consensus/Replicator.h"
#include "Membership/Endpoint.h"
#include "Routing/RoutingRules.h"
#include "Routing/SlotAllocator.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

class SlotHolder;

/** \brief The instance that grants slots: the leader of the submission group
 * of this data centre. */
struct SlotGrantor
{
  InstanceName mLeader;
  Term mTerm = 0;
  /** True only while this instance holds the leader lease of that term. */
  bool mIsSelf = false;
};

/** Returns the current grantor; no value while no leader is known. */
using SlotGrantorSource = std::function<std::optional<SlotGrantor>()>;

/** Returns a source whose grantor is the leader of a consensus group. */
SlotGrantorSource
GrantorOf(const Replicator& aGroup);

/** \brief Dependencies of SlotLeases; all references must outlive it. */
struct SlotLeasesDependencies
{
  const Clock& mClock;
  InstanceIdentity mSelf;
  PeerTransport& mTransport;
  EndpointView& mEndpoints;
  SlotHolder& mHolder;
  /** Instances that can become the grantor: the voters of its group. */
  std::vector<InstanceName> mCandidates;
  /** Returns no value on an instance without a replica of the group. */
  SlotGrantorSource mFindGrantor;
  /** Returns the number of instances that may send to the endpoints: all
   * that have not left, including this one. */
  std::function<std::uint32_t()> mCountSharers;
  /** Called, with no lock held, after the slots of this instance changed. */
  std::function<void()> mOnSlotsChanged;
};

/** \brief Leases slots for this instance from the grantor, and acts as the
 * grantor while this instance is the leader. If no grantor has been reachable
 * for some time, this instance falls back to an equal share of each capacity.
 * Thread-safe. */
class SlotLeases
{
public:
  explicit SlotLeases(SlotLeasesDependencies aDependencies,
                      SlotAllocatorSettings aSettings = DefaultSettings());
  SlotLeases(const SlotLeases&) = delete;
  SlotLeases& operator=(const SlotLeases&) = delete;

  /** Returns a lease duration of 3 s, and 1 s for the attempts of a holder
   * whose lease has expired to end. */
  static SlotAllocatorSettings DefaultSettings();

  /** Applies the quotas of teams; versions older than the last one are
   * ignored. */
  void ApplyRules(const RoutingRules& aRules);

  /** Starts or stops acting as the grantor as the leader changes, expires
   * leases, and sends lease requests and renewals when they are due. Must be
   * called every few milliseconds, by one thread at a time. */
  void Tick();

private:
  using AllocatorPtr = std::shared_ptr<SlotAllocator>;

  void UpdateFallback(bool aHasGrantor);
  AllocatorPtr CurrentAllocator(const std::optional<SlotGrantor>& aGrantor);
  void SetInitialCapacities(SlotAllocator& aAllocator) const;
  void OnEndpoint(const EndpointChange& aChange);
  void OnFrame(const InstanceName& aFrom, const std::string& aPayload);
  void SendRequest();
  /** Returns the instances to send a request to, which never include this
   * one. */
  std::vector<InstanceName> RequestRecipients(
    const std::optional<SlotGrantor>& aGrantor);
  void SendReplies(const std::vector<SlotReply>& aReplies);
  void ApplyReply(const SlotReply& aReply);

  const SlotLeasesDependencies mDependencies;
  const SlotAllocatorSettings mSettings;
  std::mutex mMutex;
  /** Allocator of the last term in which this instance was the leader; null
   * if it never was. */
  AllocatorPtr mAllocator;
  Term mAllocatorTerm = 0;
  /** Instance that answered a request last, and the time of that answer. */
  InstanceName mLastGrantor;
  std::optional<Clock::Monotonic> mLastReplyAt;
  /** Time at which this instance last held a lease of a grantor. This and the
   * next member are used by Tick() only. */
  Clock::Monotonic mLastLeasedAt;
  Clock::Monotonic mNextFallbackCheck;
  std::uint64_t mRulesVersion = 0;
  std::map<std::string, std::uint32_t> mTeamSlots;
};

}

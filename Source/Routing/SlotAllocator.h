#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Consensus/Replicator.h"
#include "Routing/PoolId.h"
#include "Routing/SlotMessages.h"

namespace almondspoke {

/** \brief Settings of a SlotAllocator. */
struct SlotAllocatorSettings
{
  /** Time for which a request keeps an instance's slots. The same on all
   * instances, or the longest of them. */
  std::chrono::milliseconds mLeaseDuration{ 3000 };
  /** Time after the end of a lease for which the slots of its holder stay
   * unused, so that its attempts in progress can end. */
  std::chrono::milliseconds mInFlightGrace{ 0 };
};

/** \brief Splits the slots of each pool between the live instances of a data
 * centre, by demand and under leases.
 *
 * The leader of a consensus group makes one for each term that it leads, and
 * hands it requests only while it holds the leader lease of that term; within
 * a term no other instance can have granted anything. For one lease from its
 * construction on it grants nothing, so that
 * grants of a predecessor that are not known here have run out. A share counts
 * as granted from the moment at which the grant is made until the holder
 * confirms a smaller one or its lease ends. Thread-safe. */
class SlotAllocator
{
public:
  SlotAllocator(const Clock& aClock,
                Term aTerm,
                SlotAllocatorSettings aSettings);

  /** Sets the slots of a pool; 0 takes all back. */
  void SetCapacity(const PoolId& aPool, std::uint32_t aCapacity);

  /** Handles a request. Returns the reply to it, if there is one, and news for
   * other instances. */
  std::vector<SlotReply> Handle(const SlotRequest& aRequest);

  /** Takes back the shares of instances whose lease has ended. Returns news for
   * instances. To be called a few times in a lease. */
  std::vector<SlotReply> Tick();

  /** Slots of a pool that are granted at the moment. */
  std::uint32_t Granted(const PoolId& aPool) const;

private:
  /** Instance name and incarnation. */
  using HolderKey = std::pair<InstanceName, std::uint64_t>;

  struct Share
  {
    std::uint32_t mGranted = 0;
    std::uint32_t mInUse = 0;
    std::uint32_t mWanted = 0;
    std::uint64_t mVersion = 0;
    /** True until the holder reports mVersion. */
    bool mIsUnconfirmed = false;
    /** Size to which the holder is asked to reduce. */
    std::optional<std::uint32_t> mRecallTarget;
    /** Result of the last split. */
    std::uint32_t mTarget = 0;
  };

  struct Pool
  {
    std::uint32_t mCapacity = 0;
    /** Slots of lapsed holders that are not granted yet. */
    std::uint32_t mHeldBack = 0;

    /** Slots that can be granted now. */
    std::uint32_t Available() const
    {
      return mCapacity > mHeldBack ? mCapacity - mHeldBack : 0;
    }
    std::map<HolderKey, Share> mShares;
  };

  struct Holder
  {
    Clock::Monotonic mLeaseEnd;
    std::uint64_t mSequence = 0;
    std::set<PoolId> mUnconfirmed;
    std::set<PoolId> mRecalled;
    bool mNeedsReply = false;
  };

  /** \brief Slots of a lapsed holder that stay unused for a while. */
  struct HeldBack
  {
    HolderKey mHolder;
    PoolId mPool;
    std::uint32_t mSlots = 0;
    Clock::Monotonic mUntil;
  };

  bool IsInStartupWait(Clock::Monotonic aNow) const;
  bool IsOutdated(const SlotRequest& aRequest) const;
  SlotReply EmptyReply(const HolderKey& aKey, std::uint64_t aSequence) const;
  SlotReply BuildReply(const HolderKey& aKey);
  std::vector<SlotReply> CollectReplies();

  void EndExpiredLeases(Clock::Monotonic aNow);
  void HoldBack(const HolderKey& aKey,
                const PoolId& aId,
                Pool& aPool,
                Clock::Monotonic aUntil);
  template<typename Predicate>
  void ReleaseHeldBack(const Predicate& aIsOver);
  void AddHolder(const HolderKey& aKey);
  void ApplyReport(const HolderKey& aKey, const PoolReport& aReport);
  void ResendUnreportedGrants(const HolderKey& aKey,
                              const SlotRequest& aRequest);

  void RebalanceChanged(Clock::Monotonic aNow);
  void Rebalance(const PoolId& aId, Pool& aPool);
  static void ComputeTargets(Pool& aPool);
  void GrantFreeSlots(const PoolId& aId, Pool& aPool);
  void Recall(const PoolId& aId, Pool& aPool);
  void RaiseGrant(const PoolId& aId,
                  const HolderKey& aKey,
                  Share& aShare,
                  std::uint32_t aGranted);
  void SetRecall(const PoolId& aId,
                 const HolderKey& aKey,
                 Share& aShare,
                 std::optional<std::uint32_t> aTarget);

  const Clock& mClock;
  const Term mTerm;
  const SlotAllocatorSettings mSettings;
  const Clock::Monotonic mStartedAt;
  mutable std::mutex mMutex;
  std::map<PoolId, Pool> mPools;
  std::map<HolderKey, Holder> mHolders;
  std::vector<HeldBack> mHeldBack;
  /** Pools to be split anew. */
  std::set<PoolId> mChanged;
  std::uint64_t mNextVersion = 1;
};

}

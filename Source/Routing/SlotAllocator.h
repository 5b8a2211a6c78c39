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
  /** Time for which a request keeps the slots of an instance. If instances are
   * configured differently, the longest value must be used here. */
  std::chrono::milliseconds mLeaseDuration{ 3000 };
  /** Time after the end of a lease for which the slots of its holder are not
   * granted again, so that its attempts in progress can end. */
  std::chrono::milliseconds mInFlightGracePeriod{ 0 };
};

/** \brief Divides the slots of each pool between the live instances of a data
 * centre, by demand and under leases. It is the grantor that SlotHolder refers
 * to.
 *
 * The leader of a consensus group creates one allocator for each term that it
 * leads, and passes requests to it only while it holds the leader lease of
 * that term. Therefore no other instance can grant slots in the same term. The
 * allocator grants nothing for one lease duration after its construction, so
 * that unknown grants of its predecessor have expired. A share counts as
 * granted from the moment at which the grant is made until the holder confirms
 * a smaller share or its lease ends. Thread-safe. */
class SlotAllocator
{
public:
  SlotAllocator(const Clock& aClock,
                Term aTerm,
                SlotAllocatorSettings aSettings);

  /** Sets the number of slots of a pool. 0 recalls all of its slots. */
  void SetCapacity(const PoolId& aPool, std::uint32_t aCapacity);

  /** Handles a request. Returns the reply to it, unless the request is ignored,
   * and replies to other instances whose shares changed. */
  std::vector<SlotReply> Handle(const SlotRequest& aRequest);

  /** Ends expired leases and redistributes their slots. Returns replies to
   * instances whose shares changed. Must be called several times per lease
   * duration. */
  std::vector<SlotReply> Tick();

  /** Returns the number of currently granted slots of a pool. */
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
    /** True until the holder has confirmed the grant mVersion. */
    bool mIsUnconfirmed = false;
    /** Share that the holder was asked to reduce to. */
    std::optional<std::uint32_t> mRecallTarget;
    /** Share computed by ComputeTargets(). */
    std::uint32_t mTarget = 0;
  };

  struct Pool
  {
    std::uint32_t mCapacity = 0;
    /** Slots of holders with an expired lease that must not be granted yet. */
    std::uint32_t mHeldBack = 0;

    /** Returns the number of slots that may be granted now. */
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

  /** \brief Slots of a holder with an expired lease that must not be granted
   * until mUntil. */
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

  void RebalanceChangedPools(Clock::Monotonic aNow);
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
  /** Pools whose shares must be recomputed. */
  std::set<PoolId> mChanged;
  std::uint64_t mNextVersion = 1;
};

}

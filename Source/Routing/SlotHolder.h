#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Consensus/Replicator.h"
#include "Routing/PoolId.h"
#include "Routing/SlotPool.h"

namespace almondspoke {

struct SlotReply;
struct SlotRequest;

/** \brief Settings of a SlotHolder. */
struct SlotHolderSettings
{
  /** Interval of lease renewals; at most a third of the lease duration of the
   * grantor. */
  std::chrono::milliseconds mRenewInterval{ 1000 };
  /** Interval of requests while there is no valid lease from a grantor. */
  std::chrono::milliseconds mRetryInterval{ 200 };
  /** Minimum time between two requests that report changes. */
  std::chrono::milliseconds mMinChangeInterval{ 2 };
  /** Minimum time between two such requests, multiplied by the number of pools;
   * applies if it is longer than mMinChangeInterval. It bounds the share of a
   * core that a grantor spends on one holder. */
  std::chrono::microseconds mMinChangeIntervalPerPool{ 2 };
};

/** \brief The slots of each pool that this instance may use now.
 *
 * In leased mode, replies of the grantor (SlotAllocator) set the slots, and
 * they are invalid as soon as the lease expires. While there is no grantor, a
 * part of each capacity can be granted by GrantFallback(). In local mode (a
 * single instance, or no peers), the whole capacity is granted permanently.
 * Thread-safe. */
class SlotHolder
{
public:
  enum class Mode
  {
    Local,
    Leased
  };

  SlotHolder(const Clock& aClock,
             InstanceIdentity aSelf,
             Mode aMode,
             SlotHolderSettings aSettings = {});

  /** Returns the pool with this id. A new pool has no slots until they are
   * granted. */
  std::shared_ptr<SlotPool> Pool(const PoolId& aId);

  /** Sets the capacity of a pool. In local mode it is granted immediately; in
   * leased mode it is only used by GrantFallback(). */
  void SetCapacity(const PoolId& aId, std::uint32_t aCapacity);

  /** Returns all slots of a pool whose endpoint or team was removed. The pool
   * is erased once none of its slots is in use. */
  void Remove(const PoolId& aId);

  /** Changes the number of additional slots that waiting work could use. */
  void AddWanted(const PoolId& aId, std::int32_t aDelta);

  /** Records that a slot of the pool was returned to the grantor. */
  void RecordReturnedSlot(const PoolId& aId);

  /** Switches to a grantor with a higher term; the next request reports all
   * pools. */
  void FollowTerm(Term aTerm);

  /** Returns true if a request should be sent now, to renew the lease or to
   * report changes. */
  bool IsRequestDue() const;

  /** Builds the next request, which renews the lease and reports all changes
   * that no reply has confirmed yet. */
  SlotRequest BuildRequest();

  /** Applies a reply. Returns true if another request should be sent
   * immediately. */
  bool Apply(const SlotReply& aReply);

  bool IsLeaseValid() const;

  /** Grants this instance its part of each capacity without a grantor, but at
   * least one slot of each pool. The next reply of a grantor that has received
   * these shares replaces them. While a lease of a grantor is valid, the call
   * has no effect unless aInstances is 1.
   * \param aInstances number of instances that divide the capacity. */
  void GrantFallback(std::uint32_t aInstances, Clock::Monotonic aUntil);

  /** Returns true while the slots come from GrantFallback(). */
  bool IsUsingFallback() const;

private:
  struct PoolState
  {
    std::shared_ptr<SlotPool> mPool;
    std::uint32_t mCapacity = 0;
    std::uint64_t mGrantVersion = 0;
    /** Sequence of the first request that reports the latest change; 0 if the
     * change is confirmed. */
    std::uint64_t mChangedSequence = 0;
    /** Slots in use according to the last request. */
    std::uint32_t mReportedInUse = 0;
    bool mIsRemoved = false;
  };

  PoolState& StateOf(const PoolId& aId);
  void MarkChanged(PoolState& aState);
  void MarkAllChanged();
  void MarkReducedUse();
  void ClearExpiredGrants(Clock::Monotonic aNow);
  void ConfirmUpTo(std::uint64_t aSequence);
  void EraseRemovedPools();
  void GrantFallbackShare(PoolState& aState);
  bool ApplyGrants(const SlotReply& aReply);

  const Clock& mClock;
  const InstanceIdentity mSelf;
  const Mode mMode;
  const SlotHolderSettings mSettings;
  std::shared_ptr<SlotLease> mLease;
  mutable std::mutex mMutex;
  std::map<PoolId, PoolState> mPools;
  /** Send times of unanswered requests, by sequence. */
  std::map<std::uint64_t, Clock::Monotonic> mSendTimes;
  std::uint64_t mNextSequence = 1;
  Term mTerm = 0;
  bool mNeedsFullReport = true;
  bool mHasUnsentChanges = false;
  bool mAreGrantsCleared = true;
  /** Number of instances that the fallback shares are based on; 0 while the
   * slots come from a grantor. */
  std::uint32_t mFallbackInstances = 0;
  /** Sequence of the first request that reports the current fallback shares. */
  std::uint64_t mFallbackSequence = 0;
  std::optional<Clock::Monotonic> mLastSentAt;
};

}

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
  /** Interval of renewal; a third of the grantor's lease or less. */
  std::chrono::milliseconds mRenewInterval{ 1000 };
  /** Interval of requests while no grantor's lease is valid. */
  std::chrono::milliseconds mRetryInterval{ 200 };
  /** Shortest time between two requests that carry news. */
  std::chrono::milliseconds mMinChangeInterval{ 2 };
  /** The same for each pool, where that is longer. Bounds the share of a core
   * that a grantor spends on one holder. */
  std::chrono::microseconds mMinChangeIntervalPerPool{ 2 };
};

/** \brief The slots that this instance may use now, by pool.
 *
 * In leased mode the grantor's replies set them, and they are void as soon as
 * the lease has run out. While there is no grantor a part of each capacity can
 * be granted instead. In local mode (one instance, or no peers) the capacity
 * itself is granted for good. Thread-safe. */
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

  /** Returns the pool of that id; it has no slots until they are granted. */
  std::shared_ptr<SlotPool> Pool(const PoolId& aId);

  /** Sets the capacity of a pool. In local mode it is granted at once; in
   * leased mode it counts only without a grantor. */
  void SetCapacity(const PoolId& aId, std::uint32_t aCapacity);

  /** Gives back all slots of a pool whose endpoint or team is gone. It is
   * forgotten once none is in use any more. */
  void Remove(const PoolId& aId);

  /** Changes how many more slots waiting work could use. */
  void AddWanted(const PoolId& aId, std::int32_t aDelta);

  /** Notes that a slot of the pool went back to the grantor. */
  void NoteGivenBack(const PoolId& aId);

  /** Follows a grantor of a higher term; the next request is full. */
  void FollowTerm(Term aTerm);

  /** True if a request should be sent now: the lease is to be renewed, or
   * something changed that the grantor should hear of. */
  bool IsRequestDue() const;

  /** Builds the next request: the renewal of the lease with all changes that
   * no reply has confirmed yet. */
  SlotRequest BuildRequest();

  /** Applies a reply. Returns true if a request should follow at once. */
  bool Apply(const SlotReply& aReply);

  bool IsLeaseValid() const;

  /** Grants this instance its part of each capacity without a grantor, at
   * least one slot. The next reply of a grantor that knows of it ends this. A
   * valid lease of a grantor is left alone, but by the only instance.
   * \param aSharers instances that the capacity is divided by. */
  void GrantFallback(std::uint32_t aInstances, Clock::Monotonic aUntil);

  /** True while the slots are those of GrantFallback(). */
  bool IsFallback() const;

private:
  struct PoolState
  {
    std::shared_ptr<SlotPool> mPool;
    std::uint32_t mCapacity = 0;
    std::uint64_t mGrantVersion = 0;
    /** First request that carries the last change; 0 if confirmed. */
    std::uint64_t mChangedSequence = 0;
    /** Slots in use as the last request said. */
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
  /** Sending times of requests that no reply has answered yet. */
  std::map<std::uint64_t, Clock::Monotonic> mSendTimes;
  std::uint64_t mNextSequence = 1;
  Term mTerm = 0;
  bool mNeedsFullReport = true;
  bool mHasUnsentChanges = false;
  bool mAreGrantsCleared = true;
  /** Instances that the capacities are divided by; 0 with a grantor. */
  std::uint32_t mFallbackInstances = 0;
  /** First request that names the present fallback shares. */
  std::uint64_t mFallbackSequence = 0;
  std::optional<Clock::Monotonic> mLastSentAt;
};

}

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Routing/RoutingRules.h"
#include "Routing/Work.h"

namespace almondspoke {

/** Index of a kind in a RequestQueue. */
using KindIndex = std::uint16_t;

/** \brief Order in which work leaves a queue. */
enum class QueueOrder
{
  /** By the shares of the kinds, then urgency, then deadline. */
  Shares,
  /** By arrival only; shares are ignored. */
  Arrival
};

/** \brief Position of one piece of work in a RequestQueue. */
struct QueueKey
{
  KindIndex mKind = 0;
  UrgencyLevel mUrgency = 0;
  Clock::Monotonic mDeadline;
  WorkId mId = 0;

  bool operator<(const QueueKey& aOther) const
  {
    return std::tie(mUrgency, mDeadline, mId) <
           std::tie(aOther.mUrgency, aOther.mDeadline, aOther.mId);
  }
};

/** \brief Limits of a RequestQueue. */
struct QueueLimits
{
  /** Maximum amount of queued work of all kinds. */
  std::size_t mMaxLength = 20000;
  /** Maximum number of kinds that are tracked separately, including the two
   * built-in entries: one for spilled work, and one that all further kinds
   * share. */
  std::size_t mMaxKinds = 65;
};

/** \brief Slots that are available to a scheduling decision. */
struct SlotSupply
{
  std::uint32_t mTotal = 0;
  std::uint32_t mFree = 0;
};

/** \brief The queued work of one service, ordered by urgency and deadline
 * within each kind.
 *
 * Kinds below their reserve are served first. Kinds at their ceiling are not
 * served. A kind slightly above its own reserve may borrow half of the unused
 * reserves of other kinds. Remaining slots are assigned by urgency and,
 * between kinds of equal urgency, by weight. Every kFairShareInterval-th start
 * goes to the kind with the least slot time for its weight, regardless of
 * urgency, so that urgent work cannot starve the rest. Not thread-safe; the
 * owner holds a lock. */
class RequestQueue
{
public:
  RequestQueue(QueueOrder aOrder, QueueLimits aLimits);

  /** Index of the entry of all spilled work, that is, work of other data
   * centres. Spilled work is a kind of its own, so that it cannot use the
   * reserve of another kind. */
  static constexpr KindIndex kSpilledKindIndex = 1;

  /** Applies the reserves, ceilings and weights of new rules. */
  void ApplyRules(const RoutingRules& aRules);

  /** Returns the index of a kind. A new kind is added; once mMaxKinds is
   * reached, the shared index 0 is returned. */
  KindIndex IndexOf(const KindName& aKind);

  /** Returns nothing if one more piece of work of the kind may be queued, and
   * otherwise the reason why not. */
  std::optional<ErrorKind> CheckCapacity(KindIndex aKind) const;

  /** Returns the work to evict from a full queue in favour of new work of
   * aKind: the last entry of the kind that exceeds its share of the queue the
   * most. Returns nothing if aKind itself has reached its share. */
  std::optional<QueueKey> FindEvictionCandidate(KindIndex aKind) const;

  /** Returns the number of slots in which work of other data centres may start
   * now. It is limited by the ceiling for such work, by the unmet reserves and
   * by a quarter of the slots that stays free, and is 0 while work of this
   * data centre is queued. */
  std::uint32_t SpillRoom(const SlotSupply& aSupply) const;

  void Push(const QueueKey& aKey);

  /** Removes queued work; returns false if it is not in the queue. O(log n). */
  bool Remove(const QueueKey& aKey);

  /** Returns the work that should get the next slot. Kinds for which aSkipped
   * is true are ignored. */
  std::optional<QueueKey> Next(const SlotSupply& aSupply,
                               const std::vector<bool>& aSkipped) const;

  /** Removes work from the queue because it starts now.
   * \param aSlotSeconds expected slot time of the work, charged to its kind. */
  void Start(const QueueKey& aKey, double aSlotSeconds);

  /** Records that work of the kind has released its slot. */
  void Finish(KindIndex aKind);

  /** Returns work whose deadline has passed, earliest deadline first. */
  std::vector<QueueKey> Expired(Clock::Monotonic aNow,
                                std::size_t aLimit) const;

  std::size_t Length() const { return mByDeadline.size(); }
  std::size_t KindCount() const { return mKinds.size(); }

  /** Returns the queued work of the kind at this or a more urgent level. */
  std::size_t WaitingAhead(KindIndex aKind, UrgencyLevel aUrgency) const;
  std::size_t Waiting(KindIndex aKind) const;

  /** Returns the queued work of all kinds at this or a more urgent level. */
  std::size_t WaitingUpTo(UrgencyLevel aUrgency) const;

  std::uint32_t InUse(KindIndex aKind) const;
  const KindName& NameOf(KindIndex aKind) const;

  /** Returns the largest number of slots that the kind may use. */
  std::uint32_t CeilingSlots(KindIndex aKind, std::uint32_t aTotal) const;

private:
  struct Kind
  {
    KindName mName;
    KindRoutingRules mRules;
    std::set<QueueKey> mWaiting;
    std::array<std::uint32_t, kUrgencyLevels> mWaitingByUrgency{};
    std::uint32_t mInUse = 0;
    /** Slot time used, divided by the weight of the kind. */
    double mVirtualTime = 0;
  };

  struct ByDeadline
  {
    bool operator()(const QueueKey& aLeft, const QueueKey& aRight) const
    {
      return std::tie(aLeft.mDeadline, aLeft.mId) <
             std::tie(aRight.mDeadline, aRight.mId);
    }
  };

  KindIndex AddKind(const KindName& aKind);
  double QueueShare(const Kind& aKind, std::size_t aWaitingKinds) const;
  std::uint32_t ReserveSlots(const Kind& aKind, std::uint32_t aTotal) const;
  bool MayStart(const Kind& aKind,
                const SlotSupply& aSupply,
                std::uint32_t aUnmetReserves) const;
  bool HasPriorityOver(const Kind& aLeft,
                       const Kind& aRight,
                       std::uint32_t aTotal) const;
  std::uint32_t UnmetReserves(std::uint32_t aTotal) const;
  std::optional<QueueKey> NextByShares(const SlotSupply& aSupply,
                                       const std::vector<bool>& aSkipped) const;
  std::optional<QueueKey> NextByArrival(
    const std::vector<bool>& aSkipped) const;
  void CatchUpVirtualTime(Kind& aKind);

  QueueOrder mOrder;
  QueueLimits mLimits;
  RoutingRules mRules;
  std::vector<Kind> mKinds;
  std::unordered_map<KindName, KindIndex> mIndexes;
  std::array<std::size_t, kUrgencyLevels> mWaitingByUrgency{};
  std::set<QueueKey, ByDeadline> mByDeadline;
  /** Used for QueueOrder::Arrival only. */
  std::map<WorkId, QueueKey> mByArrival;
  std::uint64_t mStarts = 0;
};

}

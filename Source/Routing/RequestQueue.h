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

/** \brief In which order work leaves a queue. */
enum class QueueOrder
{
  /** By shares of the kinds, then urgency, then deadline. */
  Shares,
  /** By arrival alone; shares do not count. */
  Arrival
};

/** \brief Place of one piece of work in a RequestQueue. */
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
  /** Waiting work of all kinds. */
  std::size_t mLength = 20000;
  /** Kinds told apart, with the entry of spilled work; further ones share one
   * entry. */
  std::size_t mMaxKinds = 65;
};

/** \brief The slots that a choice may count on. */
struct SlotSupply
{
  std::uint32_t mTotal = 0;
  std::uint32_t mFree = 0;
};

/** \brief The waiting work of one service, in order of urgency and deadline
 * with the kinds kept apart.
 *
 * A kind below its reserve goes first; a kind at its ceiling waits; a kind
 * little above its own reserve borrows half of the idle ones; what is left goes
 * by urgency and, between kinds of equal urgency, by weight. Every
 * kFairTurn-th slot goes to the kind that has had least for its weight, so
 * that no urgency starves another. Not thread-safe: its owner holds a lock. */
class RequestQueue
{
public:
  RequestQueue(QueueOrder aOrder, QueueLimits aLimits);

  /** Index of all work of other data centres. It counts as a kind of its own,
   * so that it uses no kind's reserve. */
  static constexpr KindIndex kSpilledKindIndex = 1;

  /** Takes over the shares of new rules. */
  void ApplyRules(const RoutingRules& aRules);

  /** Returns the index of a kind, adding it if there is room. */
  KindIndex IndexOf(const KindName& aKind);

  /** Says whether one more of the kind may wait; the reason if not. */
  std::optional<ErrorKind> CheckCapacity(KindIndex aKind) const;

  /** Returns the work that gives way to one more of the kind in a full queue:
   * the last of the kind that is furthest above its share of the queue.
   * Nothing if the kind has its own share already. */
  std::optional<QueueKey> FindEvictionCandidate(KindIndex aKind) const;

  /** Slots that work of other data centres may start in now: within its share,
   * beyond the reserves and a quarter that stays free, and none while work of
   * this one waits. */
  std::uint32_t SpillRoom(const SlotSupply& aSupply) const;

  /** Adds work. */
  void Push(const QueueKey& aKey);

  /** Removes work that waits; false if it does not. O(log n). */
  bool Remove(const QueueKey& aKey);

  /** Returns the work that the next slot belongs to. Kinds for which
   * aSkipped is true are passed over. */
  std::optional<QueueKey> Next(const SlotSupply& aSupply,
                               const std::vector<bool>& aSkipped) const;

  /** Removes work that starts now, which cost the given time of a slot. */
  void Start(const QueueKey& aKey, double aSlotSeconds);

  /** Notes that work of a kind has given back its slot. */
  void Finish(KindIndex aKind);

  /** Returns work whose deadline has passed, most overdue first. */
  std::vector<QueueKey> Expired(Clock::Monotonic aNow,
                                std::size_t aLimit) const;

  std::size_t Length() const { return mByDeadline.size(); }
  std::size_t KindCount() const { return mKinds.size(); }

  /** Work of the kind that waits at this urgency or a greater one. */
  std::size_t WaitingAhead(KindIndex aKind, UrgencyLevel aUrgency) const;
  std::size_t Waiting(KindIndex aKind) const;

  /** Work of all kinds that waits at this urgency or a greater one. */
  std::size_t WaitingUpTo(UrgencyLevel aUrgency) const;

  std::uint32_t InUse(KindIndex aKind) const;
  const KindName& NameOf(KindIndex aKind) const;

  /** Largest number of slots that the kind may use. */
  std::uint32_t CeilingSlots(KindIndex aKind, std::uint32_t aTotal) const;

private:
  struct Kind
  {
    KindName mName;
    KindRoutingRules mRules;
    std::set<QueueKey> mWaiting;
    std::array<std::uint32_t, kUrgencyLevels> mWaitingByUrgency{};
    std::uint32_t mInUse = 0;
    /** Slot time used, divided by the weight. */
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
  /** Filled for QueueOrder::Arrival only. */
  std::map<WorkId, QueueKey> mByArrival;
  std::uint64_t mStarts = 0;
};

}

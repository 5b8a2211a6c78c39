#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Base/EnumNames.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerSession.h"

namespace almondspoke::dispatch {

/** \brief Kinds of evidence that a run is over. */
enum class EvidenceKind : std::uint8_t
{
  /** The worker lists the end of the run. */
  EndListed,
  /** A complete list does not contain the run. */
  NotListed,
  /** Every lease that may have been granted to the worker has expired. */
  LeaseExpired,
  /** The boot of the worker is over. */
  BootOver,
  /** The worker refused the start order, or the order was not sent. */
  StartRefused
};

inline constexpr std::array<EnumName<EvidenceKind>, 5> kEvidenceKindNames = { {
  { EvidenceKind::EndListed, "end-listed" },
  { EvidenceKind::NotListed, "not-listed" },
  { EvidenceKind::LeaseExpired, "lease-expired" },
  { EvidenceKind::BootOver, "boot-over" },
  { EvidenceKind::StartRefused, "start-refused" },
} };

inline std::string_view
NameOf(EvidenceKind aKind)
{
  return NameOf(kEvidenceKindNames, aKind);
}

/** \brief Evidence that a run is over. */
struct RunEvidence
{
  EvidenceKind mKind = EvidenceKind::EndListed;
  /** NotListed: number of the order that requested the list. */
  std::uint64_t mListOrder = 0;
  /** NotListed: true if the list contains all runs and all ends of the boot. */
  bool mIsListComplete = false;
  /** LeaseExpired: the time at which the lease is looked at. */
  Clock::Monotonic mAt{};
  /** BootOver: true if a later boot may carry out orders to this one. */
  bool mMayLaterBootTakeOrders = false;
  /** StartRefused: outcome of the start order. */
  OrderOutcome mOutcome = OrderOutcome::Unknown;

  static RunEvidence EndListed() { return {}; }
  static RunEvidence NotListed(std::uint64_t aListOrder, bool aIsComplete);
  static RunEvidence LeaseExpired(Clock::Monotonic aNow);
  static RunEvidence BootOver(bool aMayLaterBootTakeOrders);
  static RunEvidence StartRefused(OrderOutcome aOutcome);
};

/** \brief What an entry in a worker's list of runs shows. */
enum class ListEntry : std::uint8_t
{
  /** A run that is known to have begun. */
  Known,
  /** The first proof that a run which was ordered here has begun. */
  Begun,
  /** A run of another leader. */
  Found,
  /** A run that was over when a later answer was made. */
  OutOfDate
};

/** \brief Totals of a RunLedger since it was created. */
struct RunLedgerCounters
{
  /** Runs that are over, by EvidenceKind. */
  std::array<std::uint64_t, kEvidenceKindNames.size()> mOver{};
  std::uint64_t mEntriesOutOfDate = 0;
  std::uint64_t mFound = 0;
};

/** \brief Declares runs over, on evidence, and knows the runs of other leaders
 * that may still exist.
 *
 * A run keeps its task and its room until this class has declared it over. No
 * other class removes a run from a WorkerSession, except to pass it to the
 * session of a later boot. Not thread-safe. */
class RunLedger
{
public:
  using TimePoint = Clock::Monotonic;

  /** Returns whether evidence shows that a run does not exist and cannot begin
   * any more. */
  static bool ShowsOver(const WorkerSession& aWorker,
                        const TrackedRun& aRun,
                        const RunEvidence& aEvidence);

  /** Removes a run from its session if evidence shows that it is over.
   * \return the run, or nothing if it is unknown or may still exist */
  std::optional<TrackedRun> Conclude(WorkerSession& aWorker,
                                     const RunId& aRun,
                                     const RunEvidence& aEvidence);

  /** Processes an entry of a worker's list of runs. A found run is added to the
   * session in place of an earlier run of the same task.
   * \param aListOrder number of the order that requested the list
   * \param aClock the worker's clock when it made the list */
  ListEntry OnListed(WorkerSession& aWorker,
                     const ActiveRun& aListed,
                     std::uint64_t aListOrder,
                     WorkerTime aClock,
                     TimePoint aNow);

  /** Returns the runs that evidence shows to be over. */
  static std::vector<RunId> RunsOver(const WorkerSession& aWorker,
                                     const RunEvidence& aEvidence,
                                     const std::vector<ActiveRun>& aListed);

  /** Returns the workers on which runs of other leaders may exist that are not
   * claimed. */
  std::vector<WorkerId> FoundRunsOf(const TaskId& aTask) const;
  /** Returns all such runs of a job. */
  std::vector<std::pair<TaskId, WorkerId>> FoundRunsOf(const JobId& aJob) const;
  /** Records that a found run has become the current one of its task. */
  void Claim(const TaskId& aTask, const WorkerId& aWorker);

  /** Discards all runs, since this instance does not lead any more. */
  void Clear() { mFound.clear(); }

  const RunLedgerCounters& Counters() const { return mCounters; }

private:
  void AddFound(WorkerSession& aWorker,
                const ActiveRun& aListed,
                TimePoint aNow);

  std::set<std::pair<TaskId, WorkerId>> mFound;
  RunLedgerCounters mCounters;
};

}

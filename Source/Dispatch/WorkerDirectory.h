#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief The latest report of each worker, as one instance knows it.
 *
 * Reports come from the workers themselves and from other instances, in any
 * order; the boot and the sequence number decide which one is newer. Workers
 * that fall silent are forgotten after a time. Not thread-safe. */
class WorkerDirectory
{
public:
  using TimePoint = Clock::Monotonic;

  explicit WorkerDirectory(std::chrono::milliseconds aExpiry)
    : mExpiry(aExpiry)
  {
  }

  /** Takes a report; false if it is older than what is known. */
  bool Take(const WorkerReport& aReport, TimePoint aNow);

  /** Marks the boot that is known under an id as gone; returns its report as
   * changed, or nothing if the id is unknown. */
  std::optional<WorkerReport> MarkLeft(const WorkerId& aId, TimePoint aNow);

  /** Forgets the workers whose last report is too old and returns their ids.
   */
  std::vector<WorkerId> Expire(TimePoint aNow);

  const WorkerReport* Find(const WorkerId& aId) const;
  std::vector<WorkerReport> All() const;
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    WorkerReport mReport;
    TimePoint mSeen;
  };

  const std::chrono::milliseconds mExpiry;
  std::map<WorkerId, Entry> mEntries;
};

}

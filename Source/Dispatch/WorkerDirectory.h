#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief Latest report of each worker that an instance knows.
 *
 * Reports come from the workers and from other instances in any order. Start
 * time of the boot, departure and sequence number decide which one is newer.
 * Workers without a new report are removed after a time. Not thread-safe. */
class WorkerDirectory
{
public:
  using TimePoint = Clock::Monotonic;

  /** \param aExpiry age of the latest report at which a worker is removed */
  explicit WorkerDirectory(std::chrono::milliseconds aExpiry)
    : mExpiry(aExpiry)
  {
  }

  /** Adds or replaces a worker's report. Returns false, without a change, if
   * the known report is as new or if the directory is full. */
  bool Update(const WorkerReport& aReport, TimePoint aNow);

  /** Marks the known boot of a worker as gone. Returns the changed report, or
   * nothing if the id is unknown. */
  std::optional<WorkerReport> MarkLeft(const WorkerId& aId, TimePoint aNow);

  /** Removes the workers whose latest report is too old; returns their ids. */
  std::vector<WorkerId> Expire(TimePoint aNow);

  /** Returns the latest report of a worker, or null if the id is unknown. */
  const WorkerReport* Find(const WorkerId& aId) const;
  std::vector<WorkerReport> All() const;
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    WorkerReport mReport;
    TimePoint mReceivedAt;
  };

  const std::chrono::milliseconds mExpiry;
  std::map<WorkerId, Entry> mEntries;
};

}

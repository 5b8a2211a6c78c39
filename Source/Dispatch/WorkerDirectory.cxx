#include "Dispatch/WorkerDirectory.h"

#include <tuple>

namespace almondspoke::dispatch {

namespace {

/** Bounds the memory that reports with made-up ids can take. */
constexpr std::size_t kMaxWorkers = 50'000;

bool
IsNewer(const WorkerReport& aReport, const WorkerReport& aKnown)
{
  const auto order = [](const WorkerReport& aOf) {
    return std::make_tuple(aOf.mBoot.mStartTimeMs, aOf.mHasLeft, aOf.mSequence);
  };
  return order(aKnown) < order(aReport);
}

}

bool
WorkerDirectory::Update(const WorkerReport& aReport, TimePoint aNow)
{
  const auto known = mEntries.find(aReport.mBoot.mId);
  if (known == mEntries.end()) {
    if (mEntries.size() >= kMaxWorkers) {
      return false;
    }
    mEntries.emplace(aReport.mBoot.mId, Entry{ aReport, aNow });
    return true;
  }
  if (!IsNewer(aReport, known->second.mReport)) {
    return false;
  }
  known->second = { aReport, aNow };
  return true;
}

std::optional<WorkerReport>
WorkerDirectory::MarkLeft(const WorkerId& aId, TimePoint aNow)
{
  const auto known = mEntries.find(aId);
  if (known == mEntries.end()) {
    return std::nullopt;
  }
  known->second.mReport.mHasLeft = true;
  known->second.mReport.mDraining = true;
  known->second.mReceivedAt = aNow;
  return known->second.mReport;
}

std::vector<WorkerId>
WorkerDirectory::Expire(TimePoint aNow)
{
  std::vector<WorkerId> expired;
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    if (aNow - entry->second.mReceivedAt > mExpiry) {
      expired.push_back(entry->first);
      entry = mEntries.erase(entry);
      continue;
    }
    ++entry;
  }
  return expired;
}

const WorkerReport*
WorkerDirectory::Find(const WorkerId& aId) const
{
  const auto known = mEntries.find(aId);
  return known == mEntries.end() ? nullptr : &known->second.mReport;
}

std::vector<WorkerReport>
WorkerDirectory::All() const
{
  std::vector<WorkerReport> reports;
  reports.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    reports.push_back(entry.mReport);
  }
  return reports;
}

}

// What a coordinator that leads its data centre alone leaves to an elected
// leader.
#include "Dispatch/Coordinator.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

/** Time for which a local lead leaves a call alone that an elected leader may
 * act on: longer than such a leader keeps a best-effort job. */
constexpr std::chrono::seconds kBarredFor{ 20 };

}

bool
Coordinator::LeavesToElected(CallId aCall, const JobCall& aCallOf)
{
  const QueueMatch match = FindQueue(*mManifest, aCallOf.mHost, aCallOf.mPath);
  const JobId id(match.mRest);
  if (FindJob(id) != nullptr) {
    return false;
  }
  if (mBarred.count(CallKeyOf(aCallOf)) != 0 || HasOrphansOf(id)) {
    Reply(aCall,
          JobReplyKind::Unknown,
          "an elected leader that cannot be reached may run the job");
    return true;
  }
  const bool served = aCallOf.mKind == JobCallKind::Submit &&
                      aCallOf.mJob.mBestEffort && match.mQueue != nullptr &&
                      aCallOf.mManifest <= mManifest->mVersion;
  if (!served) {
    Reply(aCall,
          JobReplyKind::Unavailable,
          "only an elected leader serves this, and none can be reached");
  }
  return !served;
}

void
Coordinator::BarCalls(const std::vector<std::string>& aKeys)
{
  const TimePoint until = mClock.MonotonicNow() + kBarredFor;
  for (const std::string& key : aKeys) {
    mBarred[key] = until;
  }
}

bool
Coordinator::HasOrphansOf(const JobId& aJob) const
{
  const TaskId first{ aJob, 0, 0, 0 };
  return std::any_of(
    mUnclaimed.begin(), mUnclaimed.end(), [&](const WorkerId& aWorker) {
      const auto worker = mWorkers.find(aWorker);
      if (worker == mWorkers.end()) {
        return false;
      }
      const auto& runs = worker->second.Runs();
      const auto run = runs.lower_bound(first);
      return run != runs.end() && run->first.mJob == aJob &&
             run->second.mOrphan;
    });
}

}

// Limits of a local leader: which calls only an elected leader may serve.
#include "Dispatch/Coordinator.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

/** Time for which a local leader does not serve calls that an elected leader
 * may have acted on. Longer than an elected leader keeps a best-effort job. */
constexpr std::chrono::seconds kCallExclusionTime{ 20 };

}

bool
Coordinator::DefersToElectedLeader(CallId aCall, const JobCall& aRequest)
{
  const QueueMatch match =
    FindQueue(*mManifest, aRequest.mHost, aRequest.mPath);
  const JobId id(match.mPathSuffix);
  if (FindJob(id) != nullptr) {
    return false;
  }
  if (mExcludedCalls.count(CallKeyOf(aRequest)) != 0 || HasOrphansOf(id)) {
    Reply(
      aCall,
      JobReplyKind::Unknown,
      "the job may be running under an elected leader that cannot be reached");
    return true;
  }
  const bool canServe = aRequest.mKind == JobCallKind::Submit &&
                        aRequest.mJob.mBestEffort && match.mQueue != nullptr &&
                        aRequest.mManifestVersion <= mManifest->mVersion;
  if (!canServe) {
    Reply(aCall,
          JobReplyKind::Unavailable,
          "this request needs an elected leader, and none can be reached");
  }
  return !canServe;
}

void
Coordinator::ExcludeCalls(const std::vector<std::string>& aKeys)
{
  const TimePoint until = mClock.MonotonicNow() + kCallExclusionTime;
  for (const std::string& key : aKeys) {
    mExcludedCalls[key] = until;
  }
}

bool
Coordinator::HasOrphansOf(const JobId& aJob) const
{
  const TaskId first{ aJob, 0, 0, 0 };
  return std::any_of(mWorkersWithOrphans.begin(),
                     mWorkersWithOrphans.end(),
                     [&](const WorkerId& aWorker) {
                       const auto worker = mWorkers.find(aWorker);
                       if (worker == mWorkers.end()) {
                         return false;
                       }
                       const auto& runs = worker->second.Runs();
                       const auto run = runs.lower_bound(first);
                       return run != runs.end() && run->first.mJob == aJob &&
                              run->second.mIsOrphan;
                     });
}

}

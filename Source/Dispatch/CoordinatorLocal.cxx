// What a coordinator that leads its data centre alone leaves to an elected
// leader.
#include "Dispatch/Coordinator.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

/** Time for which a local lead leaves a call alone that an elected leader may
 * act on: longer than such a leader keeps a best-effort job. */
constexpr std::chrono::seconds kCallExclusionTime{ 20 };

}

bool
Coordinator::DefersToElectedLeader(CallId aCall, const JobCall& aRequest)
{
  const QueueMatch match =
    FindQueue(*mManifest, aRequest.mHost, aRequest.mPath);
  const JobId id(match.mRest);
  if (FindJob(id) != nullptr) {
    return false;
  }
  if (mExcludedCalls.count(CallKeyOf(aRequest)) != 0 || HasOrphansOf(id)) {
    Reply(aCall,
          JobReplyKind::Unknown,
          "an elected leader that cannot be reached may run the job");
    return true;
  }
  const bool served = aRequest.mKind == JobCallKind::Submit &&
                      aRequest.mJob.mBestEffort && match.mQueue != nullptr &&
                      aRequest.mManifest <= mManifest->mVersion;
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

// Limits of a local leader: which calls only an elected leader may serve.
#include "Dispatch/Coordinator.h"

namespace almondspoke::dispatch {

namespace {

/** Time for which a local leader does not serve calls that an elected leader
 * may have acted on. Longer than an elected leader keeps a best-effort job. */
constexpr std::chrono::seconds kCallExclusionTime{ 20 };

constexpr const char* kMayRunElsewhere =
  "the job may be running under an elected leader that cannot be reached";

}

bool
Coordinator::DefersToElectedLeader(CallId aCall, const JobCall& aRequest)
{
  // A cancellation that is not stored would not bind the next elected leader.
  if (aRequest.mKind == JobCallKind::Cancel) {
    Reply(aCall,
          JobReplyKind::Unavailable,
          "a cancellation needs an elected leader, and none can be reached");
    return true;
  }
  const QueueMatch match =
    FindQueue(*mManifest, aRequest.mHost, aRequest.mPath);
  const JobId id(match.mPathSuffix);
  if (FindJob(id) != nullptr) {
    return false;
  }
  if (mExcludedCalls.count(CallKeyOf(aRequest)) != 0 ||
      !mLedger.FoundRunsOf(id).empty()) {
    Reply(aCall, JobReplyKind::Unknown, kMayRunElsewhere);
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
Coordinator::LeaveToElectedLeader(DispatchJob& aJob)
{
  const JobId id = aJob.mSubmission.mId;
  EventLine(mLog, "job-left")
    .With("job", id)
    .With("reason", kMayRunElsewhere)
    .With("waiters", std::uint64_t{ aJob.mWaitingCalls.size() });
  JobReply reply;
  reply.mKind = JobReplyKind::Unknown;
  reply.mMessage = kMayRunElsewhere;
  ReplyAll(aJob, reply);
  mReady.Remove(aJob);
  mJobs.erase(id);
}

void
Coordinator::ExcludeCalls(const std::vector<std::string>& aKeys)
{
  const TimePoint until = mClock.MonotonicNow() + kCallExclusionTime;
  for (const std::string& key : aKeys) {
    mExcludedCalls[key] = until;
  }
}

}

// Limits of a local leader: which calls only an elected leader may serve, and
// for how long it works for a caller.
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
    Reject(aCall,
           aRequest,
           JobReplyKind::Unavailable,
           "a cancellation needs an elected leader, and none can be reached");
    return true;
  }
  const QueueMatch match = MatchOf(aRequest.mHost, aRequest.mPath);
  const JobId id(match.mPathSuffix);
  if (FindJob(id) != nullptr) {
    return false;
  }
  if (mExcludedCalls.count(CallKeyOf(aRequest)) != 0 ||
      !mLedger.FoundRunsOf(id).empty()) {
    Reject(aCall, aRequest, JobReplyKind::Unknown, kMayRunElsewhere);
    return true;
  }
  const bool canServe = aRequest.mKind == JobCallKind::Submit &&
                        aRequest.mJob.mBestEffort && match.mQueue != nullptr &&
                        aRequest.mManifestVersion <= mManifest->mVersion;
  if (!canServe) {
    Reject(aCall,
           aRequest,
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
Coordinator::EndUnawaited(DispatchJob& aJob)
{
  ++mCounters.mUnawaited;
  EventLine(mLog, "job-unawaited")
    .With("job", aJob.mSubmission.mId)
    .With("open_runs", std::uint64_t{ aJob.mAssignedTaskCount })
    .With("waiters", std::uint64_t{ aJob.mWaitingCalls.size() });
  AbandonWaitingTasks(aJob);
  DisownRunsOf(aJob);
  StopRunsOf(aJob);
  JobReply reply;
  reply.mKind = JobReplyKind::Unknown;
  reply.mMessage = "the job did not end while its caller waited, and was "
                   "stopped since no elected leader can be reached";
  ReplyAll(aJob, reply);
}

// Stop orders may be lost, so that the leases of the runs have to end as well.
void
Coordinator::DisownRunsOf(const DispatchJob& aJob)
{
  for (std::uint32_t step = 0; step < aJob.mSteps.size(); ++step) {
    for (std::uint32_t index = 0; index < aJob.mSteps[step].size(); ++index) {
      const auto worker = mWorkers.find(aJob.mSteps[step][index].mWorker);
      if (worker == mWorkers.end()) {
        continue;
      }
      const TaskId task{ aJob.mSubmission.mId, 0, step, index };
      if (TrackedRun* run = worker->second.Find(task)) {
        worker->second.Disown(*run);
      }
    }
  }
}

void
Coordinator::EndUnawaitedJobs(TimePoint aNow)
{
  while (!mAwaitedUntil.empty() && mAwaitedUntil.begin()->first <= aNow) {
    const JobId id = mAwaitedUntil.begin()->second;
    mAwaitedUntil.erase(mAwaitedUntil.begin());
    DispatchJob* job = FindJob(id);
    const bool isUnawaited = job != nullptr && !job->HasEnded() &&
                             !job->mAbandoned && job->WaitersAt(aNow) == 0;
    if (isUnawaited) {
      EndUnawaited(*job);
    }
  }
}

void
Coordinator::OnCallLost(CallId aCall, const CallerLeft& aCaller)
{
  const QueueMatch match = MatchOf(aCaller.mHost, aCaller.mPath);
  DispatchJob* job = FindJob(JobId(match.mPathSuffix));
  if (job == nullptr || job->HasEnded() || !mScope.IsLocal()) {
    return;
  }
  job->mWaitingCalls.erase(aCall);
  if (!job->mAbandoned && job->WaitersAt(mClock.MonotonicNow()) == 0) {
    EndUnawaited(*job);
  }
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

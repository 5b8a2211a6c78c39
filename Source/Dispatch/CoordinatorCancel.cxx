// Cancellations, also of jobs that are not known (yet).
#include "Dispatch/Coordinator.h"

namespace almondspoke::dispatch {

namespace {

/** Limits of what is remembered of cancellations whose job is not known, so
 * that a crowd which cancels what nobody has sent fills no memory. */
constexpr std::size_t kMaxUnseenJobs = 10'000;
constexpr std::size_t kMaxUnseenIdBytes = 256;

}

void
Coordinator::Cancel(CallId aCall,
                    const JobCall& aRequest,
                    const QueueMatch& aMatch)
{
  const JobId id(aMatch.mPathSuffix);
  DispatchJob* job = FindJob(id);
  if (job == nullptr) {
    CancelAhead(aCall, aRequest, id);
    return;
  }
  EventLine(mLog, "job-cancelled")
    .With("job", id)
    .With("state", NameOf(job->mState))
    .With("handed_in", job->mIsHandedIn);
  if (!job->HasEnded()) {
    StoreCancel(*job, aCall);
    return;
  }
  ReplyCancelled(aCall, *job);
}

// To the caller the job is cancelled, or does not exist; in both cases nothing
// of it may start afterwards. Runs of it that are found later are stopped.
void
Coordinator::CancelAhead(CallId aCall,
                         const JobCall& aRequest,
                         const JobId& aId)
{
  if (aId.empty()) {
    Reject(aCall,
           aRequest,
           JobReplyKind::UnknownJob,
           "the path names no job of the queue");
    return;
  }
  if (mUnseenJobs >= kMaxUnseenJobs || aId.size() > kMaxUnseenIdBytes) {
    ++mCounters.mCancelsRefused;
    Reject(aCall,
           aRequest,
           JobReplyKind::Unavailable,
           "no job with this id is known, and no more cancellations of unknown "
           "jobs can be remembered");
    return;
  }
  ++mCounters.mCancelledAhead;
  JobPtr job = MakeUnseenJob(aId);
  EventLine(mLog, "job-cancelled-ahead")
    .With("job", aId)
    .With("remembered", std::uint64_t{ mUnseenJobs + 1 })
    .With("settled", mRecoveryComplete);
  DispatchJob& unseen = *job;
  mJobs.emplace(aId, std::move(job));
  ++mUnseenJobs;
  StoreCancel(unseen, aCall);
}

Coordinator::JobPtr
Coordinator::MakeUnseenJob(const JobId& aId) const
{
  auto job = std::make_unique<DispatchJob>();
  job->mSubmission.mId = aId;
  job->mSubmission.mBestEffort = true;
  job->mIsHandedIn = false;
  job->mArrivedAt = mClock.MonotonicNow();
  job->mDueAt = job->mArrivedAt;
  return job;
}

void
Coordinator::StoreCancel(DispatchJob& aJob, CallId aCall)
{
  const JobId id = aJob.mSubmission.mId;
  aJob.mCancelRequested = true;
  AbandonWaitingTasks(aJob);
  StopRunsOf(aJob);
  RecordBatch& batch = PendingBatch([this, id, aCall](bool) {
    DispatchJob* job = FindJob(id);
    if (job == nullptr) {
      return;
    }
    if (!job->HasEnded()) {
      StopRunsOf(*job);
      EndJob(*job, JobState::Cancelled);
    }
    ReplyCancelled(aCall, *job);
  });
  (aJob.mIsStored ? batch.mCancelled : batch.mCancelledBestEffort)
    .push_back(id);
}

void
Coordinator::ReplyCancelled(CallId aCall, const DispatchJob& aJob)
{
  JobReply reply;
  reply.mKind =
    aJob.mIsHandedIn ? JobReplyKind::State : JobReplyKind::UnknownJob;
  reply.mState = aJob.mState;
  reply.mMessage =
    aJob.mIsHandedIn ? "" : "no job with this id is known; none will start";
  mReplies.Reply(aCall, reply);
}

// The retention begins anew with each leader, so that it does not depend on how
// well the clocks of the leaders agree.
void
Coordinator::LoadCancelledJob(const JobId& aId, std::int64_t aCancelledMs)
{
  JobPtr job = MakeUnseenJob(aId);
  job->mState = JobState::Cancelled;
  job->mCancelRequested = true;
  job->mEndedAt = job->mArrivedAt;
  job->mArrivalNumber = mNextArrivalNumber++;
  ExpireAt(*job, job->mEndedAt + RetentionOf(*job));
  EventLine(mLog, "cancelled-job-loaded")
    .With("job", aId)
    .With("cancelled_ms", aCancelledMs);
  mJobs.emplace(aId, std::move(job));
  ++mUnseenJobs;
}

}

// Admission: which new jobs a leader takes, and how it refuses the others.
#include "Dispatch/Coordinator.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}

void
Coordinator::ObserveDelay(milliseconds aDelay)
{
  const Overload before = mLoad.State();
  if (!mLoad.Observe(aDelay)) {
    return;
  }
  EventLine(mLog, "overload")
    .With("before", NameOf(before))
    .With("now", NameOf(mLoad.State()))
    .With("delay_ms", std::int64_t{ aDelay.count() });
}

bool
Coordinator::IsRefusedForOverload(const DispatchJob& aJob) const
{
  if (!aJob.MayBeRefused() || mLoad.State() == Overload::None) {
    return false;
  }
  const auto isMoreUrgent = [&](const Queue& aQueue) {
    return aQueue.mPriority < aJob.mQueue.mPriority;
  };
  return mLoad.State() == Overload::Full ||
         std::any_of(
           mManifest->mQueues.begin(), mManifest->mQueues.end(), isMoreUrgent);
}

void
Coordinator::RefuseNew(CallId aCall,
                       const DispatchJob& aJob,
                       const Backlog& aBacklog,
                       milliseconds aRetryDelay,
                       const char* aReason,
                       const char* aMessage)
{
  ++mCounters.mRefused;
  EventLine(mLog, "job-refused")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("reason", aReason)
    .With("work_ahead_core_ms",
          static_cast<std::int64_t>(aBacklog.mCoreMsAhead))
    .With("cores", static_cast<std::int64_t>(aBacklog.mUsableCores))
    .With("delay_ms", std::int64_t{ mLoad.Delay().count() })
    .With("retry_after_ms", std::int64_t{ aRetryDelay.count() });
  JobReply reply;
  reply.mKind = JobReplyKind::Refused;
  reply.mRetryAfterMs = static_cast<std::uint32_t>(aRetryDelay.count());
  reply.mMessage = aMessage;
  mReplies.Reply(aCall, reply);
}

Backlog
Coordinator::BacklogBefore(const DispatchJob& aJob) const
{
  constexpr double kMilliCoresOfCore = 1000.0;
  Backlog backlog = mReady.BacklogBefore(aJob);
  const auto cores = mUsableMilliCores.find(aJob.mQueue.mPool);
  if (cores != mUsableMilliCores.end()) {
    backlog.mUsableCores =
      static_cast<double>(cores->second) / kMilliCoresOfCore;
  }
  return backlog;
}

// Requires that no task of the job has been started.
void
Coordinator::Refuse(DispatchJob& aJob, const char* aReason)
{
  ++mCounters.mRefused;
  const Backlog backlog = BacklogBefore(aJob);
  JobReply reply;
  reply.mKind = JobReplyKind::Refused;
  reply.mRetryAfterMs = static_cast<std::uint32_t>(
    Admission::RetryDelay(backlog, RandomJitter()).count());
  reply.mMessage = aReason;
  EventLine(mLog, "job-refused")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("reason", aReason)
    .With("waited_ms",
          std::int64_t{
            duration_cast<milliseconds>(mClock.MonotonicNow() - aJob.mArrivedAt)
              .count() })
    .With("retry_after_ms", reply.mRetryAfterMs);
  ReplyAll(aJob, reply);
  mReady.Remove(aJob);
  mJobs.erase(aJob.mSubmission.mId);
}

double
Coordinator::RandomJitter()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

}

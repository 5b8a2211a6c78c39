// Admission: which new jobs a leader takes, and how it refuses the others.
#include "Dispatch/Coordinator.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Work that cannot be in time is started once no other work has waited for as
 * long as it takes, but at most for this long: room that was free for a time is
 * likely to stay free for as long again. */
constexpr milliseconds kMaxQuietTime{ 200 };

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
                       const AdmissionDecision& aDecision,
                       const char* aReason,
                       const char* aMessage)
{
  ++mCounters.mRefused;
  EventLine(mLog, "job-refused")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("reason", aReason)
    .With("policy", NameOf(kAdmissionPolicyNames, mOptions.mAdmission))
    .With("work_ahead_core_ms",
          static_cast<std::int64_t>(aDecision.mCoreMsAhead))
    .With("cores", static_cast<std::int64_t>(aDecision.mCores))
    .With("expected_ms", std::int64_t{ aJob.mExpectedDuration.count() })
    .With("queue_time_ms", std::int64_t{ aDecision.mQueueTime.count() })
    .With("slack_ms", std::int64_t{ aDecision.mSlack.count() })
    .With("order_ms", std::int64_t{ aJob.mOrderTime.count() })
    .With("delay_ms", std::int64_t{ mLoad.Delay().count() })
    .With("retry_after_ms", std::int64_t{ aDecision.mRetryDelay.count() });
  mReplies.Reply(
    aCall,
    RejectionOf(!aJob.MayBeRefused(),
                JobReplyKind::Refused,
                aMessage,
                static_cast<std::uint32_t>(aDecision.mRetryDelay.count())));
}

AdmissionInputs
Coordinator::InputsFor(const DispatchJob& aJob)
{
  AdmissionInputs inputs;
  inputs.mNow = mClock.MonotonicNow();
  inputs.mBacklog = BacklogBefore(aJob);
  inputs.mObservedCores = mRoom.ObservedCores(aJob.mQueue.mPool, inputs.mNow);
  inputs.mAnswerTime = mRoom.AnswerTime();
  inputs.mJitter = RandomJitter();
  if (!mRecoveryComplete) {
    inputs.mRecoveryEndsBy = mLeadingSince + RecoveryTime();
  }
  return inputs;
}

AdmissionDecision
Coordinator::Decide(const DispatchJob& aJob, AdmissionInputs aInputs)
{
  const AdmissionDecision decision = mAdmission->Decide(aJob, aInputs);
  const bool mayHaveRoom = decision.mVerdict != AdmissionVerdict::Accept &&
                           mAdmission->UsesRoom() && mRecoveryComplete &&
                           mWindows.MayStart() && mCalls.MaySend();
  if (!mayHaveRoom) {
    return decision;
  }
  const TaskId first{ aJob.mSubmission.mId, 0, 0, 0 };
  aInputs.mHasRoom =
    mIndex.Choose(aJob, first, aInputs.mNow, mWindows) != nullptr;
  return mAdmission->Decide(aJob, aInputs);
}

bool
Coordinator::IsAdmitted(CallId aCall, DispatchJob& aJob)
{
  const AdmissionInputs inputs = InputsFor(aJob);
  aJob.mOrderTime = mAdmission->OrderTime(aJob, inputs);
  AdmissionDecision decision = Decide(aJob, inputs);
  if (IsRefusedForOverload(aJob)) {
    ++mCounters.mRefusedForOverload;
    decision.mRetryDelay = Admission::RetryDelayOfOverload(RandomJitter());
    RefuseNew(aCall,
              aJob,
              decision,
              "overload",
              "the leader is behind and takes no new work of this urgency");
    return false;
  }
  if (decision.mVerdict == AdmissionVerdict::Refuse) {
    ++(mRecoveryComplete ? mCounters.mRefusedForBacklog
                         : mCounters.mRefusedInRecovery);
    RefuseNew(aCall,
              aJob,
              decision,
              mRecoveryComplete ? "backlog" : "recovery",
              mRecoveryComplete
                ? "the backlog is too long to start the job in time"
                : "the new leader cannot start the job in time");
    return false;
  }
  aJob.mIsLate = decision.mVerdict == AdmissionVerdict::AcceptLate;
  mCounters.mDeferred += aJob.mIsLate ? 1 : 0;
  return true;
}

void
Coordinator::ObserveRoom()
{
  // Work that waits for the leader itself tells nothing about the workers.
  if (!mAdmission->UsesRoom() || !mRecoveryComplete || !mCalls.MaySend()) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  std::set<std::string_view> waiting;
  for (const auto& [key, jobs] : mReady.ClassesByFirstJob()) {
    const PlacementClass& first = jobs->begin()->second->mClass;
    if (key.mIsLate) {
      break;
    }
    if (!first.mIsTooLarge) {
      waiting.insert(first.mPool);
    }
  }
  for (const auto& [pool, cores] : mUsableMilliCores) {
    mRoom.SetWaiting(pool, waiting.count(pool) != 0, now);
  }
}

bool
Coordinator::MayStartLate(const DispatchJob& aJob) const
{
  const auto freeSince = mRoom.FreeSince(aJob.mQueue.mPool);
  return freeSince && mClock.MonotonicNow() - *freeSince >=
                        std::min(kMaxQuietTime, aJob.mExpectedDuration);
}

void
Coordinator::Defer(DispatchJob& aJob)
{
  ++mCounters.mDeferred;
  mReady.Defer(aJob);
  EventLine(mLog, "job-deferred")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("policy", NameOf(kAdmissionPolicyNames, mOptions.mAdmission))
    .With("expected_ms", std::int64_t{ aJob.mExpectedDuration.count() })
    .With("waited_ms",
          std::int64_t{
            duration_cast<milliseconds>(mClock.MonotonicNow() - aJob.mArrivedAt)
              .count() })
    .With("started", aJob.mStarted);
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
  const AdmissionDecision decision = Decide(aJob, InputsFor(aJob));
  ++mCounters.mRefusedAfterWait;
  const JobReply reply =
    RejectionOf(!aJob.MayBeRefused(),
                JobReplyKind::Refused,
                aReason,
                static_cast<std::uint32_t>(decision.mRetryDelay.count()));
  EventLine(mLog, "job-refused")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("reason", aReason)
    .With("waited_ms",
          std::int64_t{
            duration_cast<milliseconds>(mClock.MonotonicNow() - aJob.mArrivedAt)
              .count() })
    .With("policy", NameOf(kAdmissionPolicyNames, mOptions.mAdmission))
    .With("work_ahead_core_ms",
          static_cast<std::int64_t>(decision.mCoreMsAhead))
    .With("cores", static_cast<std::int64_t>(decision.mCores))
    .With("expected_ms", std::int64_t{ aJob.mExpectedDuration.count() })
    .With("late", aJob.mIsLate)
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

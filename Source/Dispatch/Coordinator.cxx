// Leading, and the calls of callers.
#include "Dispatch/Coordinator.h"

#include <algorithm>
#include <array>

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Tasks of one job at most; beyond, a job is refused as malformed. */
constexpr std::uint32_t kMaxTasks = 2000;

/** When a caller that found no leader or no manifest may come back: an
 * election with the reading of all lists. */
constexpr std::uint32_t kUnavailableRetryMs = 500;

constexpr milliseconds kShortestEstimate{ 1 };

/** Age of the numbers of pending jobs that callers are told; they may be up to
 * 2 s old (protocol), and callers ask for every queue at every gateway. */
constexpr milliseconds kCountInterval{ 500 };

/** Interval at which the progress of runs is judged. */
constexpr milliseconds kJudgementInterval{ 30 };

const char*
WhyMalformed(const JobSubmission& aJob)
{
  std::uint32_t tasks = 0;
  for (std::size_t step = 0; step < aJob.mSteps.size(); ++step) {
    const StepSpec& spec = aJob.mSteps[step];
    if (spec.mCount == 0 || spec.mCount > kMaxTasks) {
      return "a step has no task or too many";
    }
    tasks += spec.mCount;
    for (const std::uint32_t after : spec.mAfter) {
      if (after >= step) {
        return "a step comes after one that is not earlier";
      }
    }
  }
  if (aJob.mSteps.empty() || tasks > kMaxTasks) {
    return "the job has no step or too many tasks";
  }
  return nullptr;
}

milliseconds
LongestChain(const JobSubmission& aJob)
{
  std::vector<milliseconds> ends;
  milliseconds longest{ 0 };
  for (const StepSpec& step : aJob.mSteps) {
    milliseconds start{ 0 };
    for (const std::uint32_t after : step.mAfter) {
      start = std::max(start, ends[after]);
    }
    ends.push_back(start +
                   std::max(kShortestEstimate, milliseconds(step.mEstimateMs)));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}

Coordinator::Coordinator(CoordinatorOptions aOptions,
                         const Clock& aClock,
                         WorkerCalls& aCalls,
                         CallReplies& aReplies,
                         RecordSink& aRecords,
                         EventLog& aLog)
  : mOptions(aOptions)
  , mClock(aClock)
  , mCalls(aCalls)
  , mReplies(aReplies)
  , mRecords(aRecords)
  , mLog(aLog)
  , mRandom(aOptions.mSeed)
  , mAnswerTimes(aOptions.mOrderTimeout)
{
}

void
Coordinator::Lead(Fence aFence,
                  const DispatchState& aState,
                  const std::vector<WorkerReport>& aReports,
                  const LeadScope& aScope)
{
  Resign();
  mLeading = true;
  mFence = aFence;
  mScope = aScope;
  mLeadSince = mClock.MonotonicNow();
  EventLine(mLog, "lead-begins")
    .With("fence", aFence)
    .With("local", mScope.mDataCentre)
    .With("workers", std::uint64_t{ aState.mWorkers.size() })
    .With("reports", std::uint64_t{ aReports.size() })
    .With("stored_jobs", std::uint64_t{ aState.mJobs.size() })
    .With("manifest", mManifest ? mManifest->mVersion : 0);
  if (!mScope.IsLocal()) {
    for (const auto& [id, job] : aState.mJobs) {
      LoadStored(job);
    }
  }
  for (const auto& [id, worker] : aState.mWorkers) {
    if (!mScope.IsLocal() || worker.mDataCentre == mScope.mDataCentre) {
      AddSession(worker).mEnlisted = true;
    }
  }
  for (const WorkerReport& report : aReports) {
    OnReport(report);
  }
  for (auto& [id, worker] : mWorkers) {
    HoldIfDue(worker, mLeadSince);
  }
  TrySettle(mLeadSince);
  FlushRecords();
}

void
Coordinator::Resign()
{
  if (mLeading) {
    EventLine(mLog, "lead-ends")
      .With("fence", mFence)
      .With("open_jobs", std::uint64_t{ OpenJobs() });
  }
  mLeading = false;
  mSettled = false;
  mFencedOut = false;
  mScope = {};
  mWorkers.clear();
  mJobs.clear();
  mReady.clear();
  mEarlyEnds.clear();
  mBatch.reset();
  mBatchDone.reset();
  mUnsent.clear();
  mUnclaimed.clear();
  mCores.clear();
  mPendingCounts.clear();
  mNextCount = {};
}

void
Coordinator::SetManifest(std::shared_ptr<const Manifest> aManifest)
{
  mManifest = std::move(aManifest);
  EventLine(mLog, "manifest-in-force")
    .With("version", mManifest->mVersion)
    .With("queues", std::uint64_t{ mManifest->mQueues.size() });
}

void
Coordinator::Call(CallId aCall, const JobCall& aRequest)
{
  static constexpr std::array<CallHandler, 3> kHandlers = {
    &Coordinator::Submit,
    &Coordinator::Query,
    &Coordinator::Cancel,
  };
  if (!mManifest) {
    Reply(aCall, JobReplyKind::Unavailable, "no manifest is in force yet");
    return;
  }
  if (mScope.IsLocal() && LeavesToElected(aCall, aRequest)) {
    return;
  }
  const QueueMatch match =
    FindQueue(*mManifest, aRequest.mHost, aRequest.mPath);
  const auto kind = static_cast<std::size_t>(aRequest.mKind);
  if (match.mQueue == nullptr || kind >= kHandlers.size()) {
    Reply(aCall, JobReplyKind::UnknownQueue, "no queue of that host and path");
    return;
  }
  (this->*kHandlers[kind])(aCall, aRequest, match);
  FlushRecords();
}

void
Coordinator::Submit(CallId aCall,
                    const JobCall& aCallOf,
                    const QueueMatch& aMatch)
{
  JobSubmission submission = aCallOf.mJob;
  submission.mId = std::string(aMatch.mRest);
  if (DispatchJob* known = FindJob(submission.mId)) {
    known->mMayHaveRun = known->mMayHaveRun || aCallOf.mEarlierSends > 0;
    Attach(*known, aCall);
    return;
  }
  if (const char* why = WhyMalformed(submission)) {
    Reply(aCall, JobReplyKind::Malformed, why);
    return;
  }
  if (!submission.mUnserved.empty()) {
    Reply(aCall,
          JobReplyKind::Unavailable,
          "not served yet: " + submission.mUnserved);
    return;
  }
  JobPtr job = MakeJob(submission, *aMatch.mQueue);
  job->mMayHaveRun = aCallOf.mEarlierSends > 0;
  const Backlog backlog = BacklogBefore(*job);
  const auto refusal = mSettled && !job->mMayHaveRun
                         ? Admission::RefusalOf(*job, backlog, Spread())
                         : std::nullopt;
  if (refusal) {
    ++mCounters.mRefused;
    EventLine(mLog, "job-refused")
      .With("job", submission.mId)
      .With("queue", aMatch.mQueue->mName)
      .With("reason", "backlog")
      .With("work_ahead_core_ms", static_cast<std::int64_t>(backlog.mWorkAhead))
      .With("cores", static_cast<std::int64_t>(backlog.mCores))
      .With("retry_after_ms", std::int64_t{ refusal->count() });
    JobReply reply;
    reply.mKind = JobReplyKind::Refused;
    reply.mRetryAfterMs = static_cast<std::uint32_t>(refusal->count());
    reply.mMessage = "more work waits than can be done in time";
    mReplies.Reply(aCall, reply);
    return;
  }
  Accept(std::move(job), aCall);
}

void
Coordinator::Attach(DispatchJob& aJob, CallId aCall)
{
  EventLine(mLog, "job-attached")
    .With("job", aJob.mSubmission.mId)
    .With("state", NameOf(aJob.mState));
  if (aJob.HasEnded() || aJob.mRecorded) {
    JobReply reply;
    reply.mKind = JobReplyKind::Accepted;
    reply.mState = aJob.mState;
    mReplies.Reply(aCall, reply);
    return;
  }
  aJob.mWaiters.insert(aCall);
  if (aJob.mAbandoned) {
    aJob.mAbandoned = false;
    if (aJob.mReadyTasks > 0) {
      mReady.emplace(OrderOf(aJob), aJob.mSubmission.mId);
      Schedule();
    }
  }
}

Coordinator::JobPtr
Coordinator::MakeJob(const JobSubmission& aSubmission,
                     const Queue& aQueue) const
{
  auto job = std::make_unique<DispatchJob>();
  job->mSubmission = aSubmission;
  job->mStored = !aSubmission.mBestEffort;
  job->mQueue = aQueue;
  job->mOrder = mNextOrder;
  job->mArrived = mClock.MonotonicNow();
  job->mExpected = LongestChain(aSubmission);
  const double objective =
    static_cast<double>(job->mExpected.count()) * aQueue.mSlackFactor +
    aQueue.mLatencyTargetMs;
  job->mObjective =
    job->mArrived + milliseconds(static_cast<std::int64_t>(objective));
  for (const StepSpec& step : aSubmission.mSteps) {
    job->mSteps.emplace_back(step.mCount);
    job->mOpenTasks.push_back(step.mCount);
    job->mLongestRuns.emplace_back(0);
  }
  return job;
}

void
Coordinator::Accept(JobPtr aJob, CallId aCall)
{
  ++mNextOrder;
  ++mCounters.mAccepted;
  DispatchJob& job = *aJob;
  job.mWaiters.insert(aCall);
  EventLine(mLog, "job-accepted")
    .With("job", job.mSubmission.mId)
    .With("queue", job.mQueue.mName)
    .With("manifest", mManifest->mVersion)
    .With("tasks", std::uint64_t{ job.mSteps.front().size() })
    .With("expected_ms", std::int64_t{ job.mExpected.count() });
  mJobs.emplace(job.mSubmission.mId, std::move(aJob));
  if (job.mStored) {
    Pending([this, id = job.mSubmission.mId](bool) {
      OnAcceptStored(id);
    }).mAccepted.push_back({ job.mSubmission, job.mQueue });
    return;
  }
  for (std::uint32_t step = 0; step < job.mSteps.size(); ++step) {
    if (job.mSubmission.mSteps[step].mAfter.empty()) {
      MakeReady(job, step);
    }
  }
  ClaimOrphans(job);
  if (!job.HasEnded()) {
    Schedule();
  }
}

void
Coordinator::OnAcceptStored(const JobId& aId)
{
  DispatchJob* job = FindJob(aId);
  if (job == nullptr) {
    return;
  }
  job->mRecorded = true;
  EventLine(mLog, "job-stored").With("job", aId);
  JobReply reply;
  reply.mKind = JobReplyKind::Accepted;
  reply.mState = job->mState;
  ReplyAll(*job, reply);
  for (std::uint32_t step = 0; step < job->mSteps.size(); ++step) {
    if (job->mSubmission.mSteps[step].mAfter.empty()) {
      MakeReady(*job, step);
    }
  }
  Schedule();
}

Backlog
Coordinator::BacklogBefore(const DispatchJob& aJob) const
{
  Backlog backlog;
  const JobOrder order = OrderOf(aJob);
  for (const auto& [position, id] : mReady) {
    const double work = mJobs.at(id)->WaitingWork();
    backlog.mWorkWaiting += work;
    backlog.mWorkAhead += position < order ? work : 0;
  }
  const auto cores = mCores.find(aJob.mQueue.mPool);
  backlog.mCores = cores == mCores.end() ? 0 : cores->second;
  return backlog;
}

void
Coordinator::CountCores()
{
  const TimePoint now = mClock.MonotonicNow();
  constexpr double kMilliCoresOfCore = 1000.0;
  mCores.clear();
  for (const auto& [id, worker] : mWorkers) {
    if (worker.IsUsable() && !worker.mHealth.IsSetAside(now)) {
      mCores[worker.Report().mPool] +=
        worker.Report().mCapacity.mMilliCores / kMilliCoresOfCore;
    }
  }
}

void
Coordinator::Query(CallId aCall, const JobCall&, const QueueMatch& aMatch)
{
  if (aMatch.mRest.empty()) {
    Count(aCall, aMatch);
    return;
  }
  const DispatchJob* job = FindJob(std::string(aMatch.mRest));
  if (job == nullptr) {
    Reply(aCall,
          mSettled ? JobReplyKind::UnknownJob : JobReplyKind::Unavailable,
          "no job of that id is known");
    return;
  }
  JobReply reply;
  reply.mKind = JobReplyKind::State;
  reply.mState = job->mState;
  mReplies.Reply(aCall, reply);
}

void
Coordinator::Cancel(CallId aCall, const JobCall&, const QueueMatch& aMatch)
{
  DispatchJob* job = FindJob(std::string(aMatch.mRest));
  if (job == nullptr) {
    Reply(aCall,
          mSettled ? JobReplyKind::UnknownJob : JobReplyKind::Unavailable,
          "no job of that id is known");
    return;
  }
  EventLine(mLog, "job-cancelled")
    .With("job", job->mSubmission.mId)
    .With("state", NameOf(job->mState));
  if (job->mStored && !job->HasEnded()) {
    CancelStored(*job, aCall);
    return;
  }
  if (!job->HasEnded()) {
    StopRunsOf(*job);
    EndJob(*job, JobState::Cancelled);
  }
  JobReply reply;
  reply.mKind = JobReplyKind::State;
  reply.mState = job->mState;
  mReplies.Reply(aCall, reply);
}

void
Coordinator::CancelStored(DispatchJob& aJob, CallId aCall)
{
  const JobId id = aJob.mSubmission.mId;
  DropWaitingTasks(aJob);
  StopRunsOf(aJob);
  Pending([this, id, aCall](bool) {
    DispatchJob* job = FindJob(id);
    if (job == nullptr) {
      return;
    }
    if (!job->HasEnded()) {
      StopRunsOf(*job);
      EndJob(*job, JobState::Cancelled);
    }
    JobReply reply;
    reply.mKind = JobReplyKind::State;
    reply.mState = job->mState;
    mReplies.Reply(aCall, reply);
  }).mCancelled.push_back(id);
}

void
Coordinator::Count(CallId aCall, const QueueMatch& aMatch)
{
  const TimePoint now = mClock.MonotonicNow();
  if (now >= mNextCount) {
    mNextCount = now + kCountInterval;
    CountPending();
  }
  const auto pending = mPendingCounts.find(aMatch.mQueue->mName);
  JobReply reply;
  reply.mKind = JobReplyKind::Count;
  reply.mPending = pending == mPendingCounts.end() ? 0 : pending->second;
  mReplies.Reply(aCall, reply);
}

void
Coordinator::CountPending()
{
  mPendingCounts.clear();
  for (const auto& [id, job] : mJobs) {
    if (!job->mStarted && !job->HasEnded()) {
      ++mPendingCounts[job->mQueue.mName];
    }
  }
}

void
Coordinator::OnCallerLeft(const CallerLeft& aLeft)
{
  if (!mManifest) {
    return;
  }
  const QueueMatch match = FindQueue(*mManifest, aLeft.mHost, aLeft.mPath);
  DispatchJob* job =
    match.mQueue == nullptr ? nullptr : FindJob(std::string(match.mRest));
  if (job == nullptr || job->HasEnded() || job->mStored) {
    return;
  }
  EventLine(mLog, "caller-left")
    .With("job", job->mSubmission.mId)
    .With("early", aLeft.mEarly)
    .With("waiters", std::uint64_t{ job->mWaiters.size() });
  if (!aLeft.mEarly || job->mWaiters.size() > 1) {
    return;
  }
  job->mAbandoned = true;
  mReady.erase({ OrderOf(*job), job->mSubmission.mId });
}

void
Coordinator::Reply(CallId aCall, JobReplyKind aKind, std::string aMessage)
{
  JobReply reply;
  reply.mKind = aKind;
  reply.mMessage = std::move(aMessage);
  if (aKind == JobReplyKind::Unavailable) {
    reply.mRetryAfterMs = kUnavailableRetryMs;
  }
  EventLine(mLog, "call-answered")
    .With("call", std::uint64_t{ aCall })
    .With("kind", NameOf(aKind))
    .With("reason", reply.mMessage);
  mReplies.Reply(aCall, reply);
}

void
Coordinator::ReplyAll(DispatchJob& aJob, const JobReply& aReply)
{
  std::set<CallId> waiters;
  waiters.swap(aJob.mWaiters);
  for (const CallId waiter : waiters) {
    mReplies.Reply(waiter, aReply);
  }
}

// Only for a job of which nothing has started.
void
Coordinator::Refuse(DispatchJob& aJob, const char* aReason)
{
  ++mCounters.mRefused;
  const Backlog backlog = BacklogBefore(aJob);
  JobReply reply;
  reply.mKind = JobReplyKind::Refused;
  reply.mRetryAfterMs = static_cast<std::uint32_t>(
    Admission::RetryAfter(backlog, Spread()).count());
  reply.mMessage = aReason;
  EventLine(mLog, "job-refused")
    .With("job", aJob.mSubmission.mId)
    .With("queue", aJob.mQueue.mName)
    .With("reason", aReason)
    .With("waited_ms",
          std::int64_t{
            duration_cast<milliseconds>(mClock.MonotonicNow() - aJob.mArrived)
              .count() })
    .With("retry_after_ms", reply.mRetryAfterMs);
  ReplyAll(aJob, reply);
  mReady.erase({ OrderOf(aJob), aJob.mSubmission.mId });
  mJobs.erase(aJob.mSubmission.mId);
}

double
Coordinator::Spread()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

void
Coordinator::Tick()
{
  if (!mLeading) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  const bool judge = now >= mNextJudgement;
  if (judge) {
    mNextJudgement = now + kJudgementInterval;
    CountCores();
  }
  for (auto& [id, worker] : mWorkers) {
    LapseIfDue(worker, now);
    if (judge) {
      StopStragglers(worker, now);
      RetryStops(worker);
    }
    HoldIfDue(worker, now);
  }
  TrySettle(now);
  StopUnclaimed(now);
  Schedule();
  EnforcePatience(now);
  ForgetEnded(now);
  FlushRecords();
}

std::size_t
Coordinator::OpenJobs() const
{
  return static_cast<std::size_t>(
    std::count_if(mJobs.begin(), mJobs.end(), [](const auto& aEntry) {
      return !aEntry.second->HasEnded();
    }));
}

std::size_t
Coordinator::AssignedRuns() const
{
  std::size_t runs = 0;
  for (const auto& [id, worker] : mWorkers) {
    runs += worker.Runs().size();
  }
  return runs;
}

}

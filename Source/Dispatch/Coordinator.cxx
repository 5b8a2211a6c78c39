// Leadership, and requests from callers.
#include "Dispatch/Coordinator.h"

#include <algorithm>
#include <array>

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Maximum number of tasks of one job; larger jobs are refused as malformed. */
constexpr std::uint32_t kMaxTasks = 2000;

/** Suggested retry delay while there is no leader or no manifest: covers an
 * election and reading the run lists of all workers. */
constexpr std::uint32_t kUnavailableRetryMs = 500;

constexpr milliseconds kMinEstimate{ 1 };

/** Refresh interval of the pending job counts. The protocol allows counts to be
 * up to 2 s old, and callers ask for every queue at every gateway. */
constexpr milliseconds kCountInterval{ 500 };

const char*
ValidationError(const JobSubmission& aJob)
{
  std::uint32_t tasks = 0;
  for (std::size_t step = 0; step < aJob.mSteps.size(); ++step) {
    const StepSpec& spec = aJob.mSteps[step];
    if (spec.mCount == 0 || spec.mCount > kMaxTasks) {
      return "a step has no tasks or too many";
    }
    tasks += spec.mCount;
    for (const std::uint32_t after : spec.mDependsOn) {
      if (after >= step) {
        return "a step depends on itself or on a later step";
      }
    }
  }
  if (aJob.mSteps.empty() || tasks > kMaxTasks) {
    return "the job has no steps or too many tasks";
  }
  return nullptr;
}

milliseconds
CriticalPathDuration(const JobSubmission& aJob)
{
  std::vector<milliseconds> endTimes;
  milliseconds longest{ 0 };
  for (const StepSpec& step : aJob.mSteps) {
    milliseconds start{ 0 };
    for (const std::uint32_t after : step.mDependsOn) {
      start = std::max(start, endTimes[after]);
    }
    endTimes.push_back(start +
                       std::max(kMinEstimate, milliseconds(step.mEstimateMs)));
    longest = std::max(longest, endTimes.back());
  }
  return longest;
}

}

Coordinator::Coordinator(CoordinatorOptions aOptions,
                         const Clock& aClock,
                         WorkerCalls& aCalls,
                         ReplySink& aReplies,
                         RecordSink& aRecords,
                         EventLog& aLog)
  : mOptions(aOptions)
  , mClock(aClock)
  , mCalls(aCalls)
  , mReplies(aReplies)
  , mRecords(aRecords)
  , mLog(aLog)
  , mRandom(aOptions.mSeed)
  , mOrderTimeouts(aOptions.mMaxOrderTimeout)
  , mFlow(aLog)
  , mRunTimes(aOptions.mSpreadFactor)
  , mPlacementWaits(mRunTimes, aLog)
  , mIndex(aOptions.mLearnRunTimes ? &mRunTimes : nullptr)
  , mAdmission(MakeAdmissionStrategy(aOptions.mAdmission))
  , mReady(*mAdmission)
{
}

void
Coordinator::BeginLeading(Fence aFence,
                          const DispatchState& aState,
                          const std::vector<WorkerReport>& aReports,
                          const LeadershipScope& aScope)
{
  Resign();
  SetEvacuated(aState.mEvacuations.Evacuated());
  mLeading = true;
  mFence = aFence;
  mScope = aScope;
  mLeadingSince = mClock.MonotonicNow();
  EventLine(mLog, "lead-begins")
    .With("fence", aFence)
    .With("local", mScope.mDataCentre)
    .With("workers", std::uint64_t{ aState.mWorkers.size() })
    .With("reports", std::uint64_t{ aReports.size() })
    .With("stored_jobs", std::uint64_t{ aState.mJobs.size() })
    .With("manifest", mManifest ? mManifest->mVersion : 0)
    .With("evacuated", std::uint64_t{ mEvacuated.size() });
  if (!mScope.IsLocal()) {
    for (const auto& [id, job] : aState.mJobs) {
      LoadStoredJob(job);
    }
  }
  for (const auto& [id, cancelledMs] : aState.mCancelledBestEffort) {
    LoadCancelledJob(id, cancelledMs);
  }
  for (const auto& [id, worker] : aState.mWorkers) {
    LoadStoredWorker(worker);
  }
  for (const WorkerReport& report : aReports) {
    OnReport(report);
  }
  for (auto& [id, worker] : mWorkers) {
    HoldIfDue(worker, mLeadingSince);
  }
  TryFinishRecovery(mLeadingSince);
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
  mRecoveryComplete = false;
  mMustAwaitLeases = false;
  mProvenWorkers = 0;
  mFirstUnread.clear();
  mFencedOut = false;
  mAwaitedUntil.clear();
  mScope = {};
  mLedger.Clear();
  mIndex.Clear();
  mTimers.Clear();
  mFlow.Clear();
  mWindows.Clear();
  mWorkers.clear();
  mReady.Clear();
  mRoom.Clear();
  mLastTriedInTurn = {};
  mJobs.clear();
  mJobPlaces.clear();
  mUnseenJobs = 0;
  mJobExpiries.clear();
  mUnmatchedEnds.clear();
  mPendingBatch.reset();
  mPendingCallbacks.reset();
  mBatchesToResend.clear();
  mWorkersWithOrphans.clear();
  mUsableMilliCores.clear();
  mPendingCounts.clear();
  mNextCountAt = {};
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
    Reject(aCall,
           aRequest,
           JobReplyKind::Unavailable,
           "no manifest has been loaded yet");
    return;
  }
  if (mScope.IsLocal() && DefersToElectedLeader(aCall, aRequest)) {
    return;
  }
  const QueueMatch match = MatchOf(aRequest.mHost, aRequest.mPath);
  const auto kind = static_cast<std::size_t>(aRequest.mKind);
  if (match.mQueue == nullptr || kind >= kHandlers.size()) {
    Reject(aCall,
           aRequest,
           JobReplyKind::UnknownQueue,
           "no queue matches the host and path");
    return;
  }
  (this->*kHandlers[kind])(aCall, aRequest, match);
  FlushRecords();
}

void
Coordinator::Submit(CallId aCall,
                    const JobCall& aRequest,
                    const QueueMatch& aMatch)
{
  JobSubmission submission = aRequest.mJob;
  submission.mId = std::string(aMatch.mPathSuffix);
  if (DispatchJob* known = FindJob(submission.mId)) {
    known->mMayHaveRun = known->mMayHaveRun || aRequest.mEarlierSends > 0;
    if (aRequest.mEarlierSends == 0 &&
        !LeadsToQueue(aRequest, known->mSubmission.mId)) {
      // The caller sends it anew: the queue takes nothing any more.
      Reject(aCall,
             aRequest,
             JobReplyKind::Unknown,
             "the job was accepted before its queue was dropped");
      return;
    }
    Attach(*known, aCall, aRequest);
    return;
  }
  if (const char* error = ValidationError(submission)) {
    Reject(aCall, aRequest, JobReplyKind::Malformed, error);
    return;
  }
  if (!submission.mUnsupportedFeature.empty()) {
    Reject(aCall,
           aRequest,
           JobReplyKind::Unavailable,
           "not supported yet: " + submission.mUnsupportedFeature);
    return;
  }
  JobPtr job = MakeJob(submission, *aMatch.mQueue);
  job->mMayHaveRun = MayHaveRun(aRequest);
  if (aRequest.mWaitMs > 0) {
    job->mAnswerBy = job->mArrivedAt + milliseconds(aRequest.mWaitMs);
  }
  if (IsAdmitted(aCall, *job)) {
    Accept(std::move(job), aCall, aRequest);
  }
}

void
Coordinator::AddWaiter(DispatchJob& aJob, CallId aCall, const JobCall& aRequest)
{
  const TimePoint until =
    mClock.MonotonicNow() + milliseconds(aRequest.mWaitMs);
  aJob.mWaitingCalls.emplace(aCall, until);
  if (mScope.IsLocal()) {
    mAwaitedUntil.emplace(until, aJob.mSubmission.mId);
  }
}

void
Coordinator::Attach(DispatchJob& aJob, CallId aCall, const JobCall& aRequest)
{
  mUnseenJobs -= aJob.mIsHandedIn ? 0 : 1;
  aJob.mIsHandedIn = true;
  EventLine(mLog, "job-attached")
    .With("job", aJob.mSubmission.mId)
    .With("state", NameOf(aJob.mState));
  if (aJob.HasEnded() || aJob.mAcceptCommitted) {
    JobReply reply;
    reply.mKind = JobReplyKind::Accepted;
    reply.mState = aJob.mState;
    mReplies.Reply(aCall, reply);
    return;
  }
  AddWaiter(aJob, aCall, aRequest);
  if (aJob.mAbandoned && !aJob.mCancelRequested) {
    aJob.mAbandoned = false;
    mReady.Update(aJob);
    Schedule();
  }
}

Coordinator::JobPtr
Coordinator::MakeJob(const JobSubmission& aSubmission,
                     const Queue& aQueue) const
{
  auto job = std::make_unique<DispatchJob>();
  job->mSubmission = aSubmission;
  job->mIsStored = !aSubmission.mBestEffort;
  job->mQueue = aQueue;
  job->mClass = PlacementClassOf(aQueue.mPool, aSubmission.mSteps);
  job->mClass.mIsTooLarge = IsTooLarge(*job);
  job->mClass.mSizeStep =
    mAdmission->UsesRoom() ? SizeStepOf(aSubmission.mSteps) : 0;
  job->mArrivalNumber = mNextArrivalNumber;
  job->mArrivedAt = mClock.MonotonicNow();
  job->mExpectedDuration = CriticalPathDuration(aSubmission);
  const double objective =
    static_cast<double>(job->mExpectedDuration.count()) * aQueue.mSlackFactor +
    aQueue.mLatencyTargetMs;
  job->mDueAt =
    job->mArrivedAt + milliseconds(static_cast<std::int64_t>(objective));
  for (const StepSpec& step : aSubmission.mSteps) {
    job->mSteps.emplace_back(step.mCount);
    job->mUnfinishedTasks.push_back(step.mCount);
    job->mLongestRunDurations.emplace_back(0);
  }
  return job;
}

void
Coordinator::Accept(JobPtr aJob, CallId aCall, const JobCall& aRequest)
{
  ++mNextArrivalNumber;
  ++mCounters.mAccepted;
  DispatchJob& job = *aJob;
  AddWaiter(job, aCall, aRequest);
  EventLine(mLog, "job-accepted")
    .With("job", job.mSubmission.mId)
    .With("queue", job.mQueue.mName)
    .With("manifest", mManifest->mVersion)
    .With("tasks", std::uint64_t{ job.mSteps.front().size() })
    .With("expected_ms", std::int64_t{ job.mExpectedDuration.count() })
    .With(
      "wait_ms",
      job.mAnswerBy
        ? duration_cast<milliseconds>(*job.mAnswerBy - job.mArrivedAt).count()
        : std::int64_t{ 0 })
    .With("may_have_run", job.mMayHaveRun)
    .With("local", mScope.mDataCentre);
  mJobPlaces.emplace(job.mQueue.mHost, job.mQueue.mPathPrefix);
  mJobs.emplace(job.mSubmission.mId, std::move(aJob));
  if (job.mIsStored) {
    PendingBatch([this, id = job.mSubmission.mId](bool) {
      OnAcceptStored(id);
    }).mAccepted.push_back({ job.mSubmission, job.mQueue });
    return;
  }
  for (std::uint32_t step = 0; step < job.mSteps.size(); ++step) {
    if (job.mSubmission.mSteps[step].mDependsOn.empty()) {
      MarkStepReady(job, step);
    }
  }
  AdoptRuns(job);
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
  job->mAcceptCommitted = true;
  EventLine(mLog, "job-stored").With("job", aId);
  JobReply reply;
  reply.mKind = JobReplyKind::Accepted;
  reply.mState = job->mState;
  ReplyAll(*job, reply);
  for (std::uint32_t step = 0; step < job->mSteps.size(); ++step) {
    if (job->mSubmission.mSteps[step].mDependsOn.empty()) {
      MarkStepReady(*job, step);
    }
  }
  Schedule();
}

void
Coordinator::Query(CallId aCall,
                   const JobCall& aRequest,
                   const QueueMatch& aMatch)
{
  if (aMatch.mPathSuffix.empty()) {
    ReplyPendingCount(aCall, aMatch);
    return;
  }
  const DispatchJob* job = FindJob(std::string(aMatch.mPathSuffix));
  if (job == nullptr || !job->mIsHandedIn) {
    Reject(aCall,
           aRequest,
           mRecoveryComplete ? JobReplyKind::UnknownJob
                             : JobReplyKind::Unavailable,
           "no job with this id is known");
    return;
  }
  JobReply reply;
  reply.mKind = JobReplyKind::State;
  reply.mState = job->mState;
  mReplies.Reply(aCall, reply);
}

void
Coordinator::ReplyPendingCount(CallId aCall, const QueueMatch& aMatch)
{
  const TimePoint now = mClock.MonotonicNow();
  if (now >= mNextCountAt) {
    mNextCountAt = now + kCountInterval;
    UpdatePendingCounts();
  }
  const auto pending = mPendingCounts.find(aMatch.mQueue->mName);
  JobReply reply;
  reply.mKind = JobReplyKind::Count;
  reply.mPending = pending == mPendingCounts.end() ? 0 : pending->second;
  mReplies.Reply(aCall, reply);
}

void
Coordinator::UpdatePendingCounts()
{
  mPendingCounts.clear();
  for (const auto& [id, job] : mJobs) {
    if (job->mIsHandedIn && !job->mHasBegun && !job->HasEnded()) {
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
  const QueueMatch match = MatchOf(aLeft.mHost, aLeft.mPath);
  DispatchJob* job =
    match.mQueue == nullptr ? nullptr : FindJob(std::string(match.mPathSuffix));
  if (job == nullptr || job->HasEnded() || job->mIsStored) {
    return;
  }
  EventLine(mLog, "caller-left")
    .With("job", job->mSubmission.mId)
    .With("early", aLeft.mBeforeTimeout)
    .With("waiters", std::uint64_t{ job->mWaitingCalls.size() });
  const std::size_t waiters = job->WaitersAt(mClock.MonotonicNow());
  if (!aLeft.mBeforeTimeout || waiters > 1) {
    return;
  }
  if (mScope.IsLocal()) {
    EndUnawaited(*job);
    return;
  }
  AbandonWaitingTasks(*job);
}

void
Coordinator::Reject(CallId aCall,
                    const JobCall& aRequest,
                    JobReplyKind aKind,
                    const std::string& aMessage)
{
  const std::uint32_t retryAfterMs =
    aKind == JobReplyKind::Unavailable ? kUnavailableRetryMs : 0;
  const JobReply reply =
    RejectionOf(MayHaveRun(aRequest), aKind, aMessage, retryAfterMs);
  EventLine(mLog, "call-answered")
    .With("method", NameOf(aRequest.mKind))
    .With("path", aRequest.mPath)
    .With("earlier_sends", aRequest.mEarlierSends)
    .With("kind", NameOf(reply.mKind))
    .With("reason", reply.mMessage);
  mReplies.Reply(aCall, reply);
}

bool
Coordinator::MayHaveRun(const JobCall& aRequest) const
{
  if (aRequest.mKind != JobCallKind::Submit || aRequest.mEarlierSends > 0) {
    return aRequest.mKind == JobCallKind::Submit;
  }
  const QueueMatch match =
    mManifest ? FindQueue(*mManifest, aRequest.mHost, aRequest.mPath)
              : QueueMatch();
  const JobId id(match.mPathSuffix);
  const auto end = mUnmatchedEnds.lower_bound({ id, 0, 0, 0 });
  return !mLedger.FoundRunsOf(id).empty() ||
         (end != mUnmatchedEnds.end() && end->first.mJob == id);
}

JobReply
Coordinator::RejectionOf(bool aMayHaveRun,
                         JobReplyKind aKind,
                         const std::string& aMessage,
                         std::uint32_t aRetryAfterMs)
{
  static constexpr std::array<JobReplyKind, 4> kNotRun = {
    JobReplyKind::UnknownQueue,
    JobReplyKind::Malformed,
    JobReplyKind::Refused,
    JobReplyKind::Unavailable,
  };
  const bool saysNotRun =
    std::find(kNotRun.begin(), kNotRun.end(), aKind) != kNotRun.end();
  JobReply reply;
  reply.mKind = aKind;
  reply.mMessage = aMessage;
  reply.mRetryAfterMs = aRetryAfterMs;
  if (aMayHaveRun && saysNotRun) {
    reply.mKind = JobReplyKind::Unknown;
    reply.mRetryAfterMs = 0;
    reply.mMessage += "; the job may have run before";
  }
  return reply;
}

void
Coordinator::ReplyAll(DispatchJob& aJob, const JobReply& aReply)
{
  std::map<CallId, TimePoint> waiters;
  waiters.swap(aJob.mWaitingCalls);
  for (const auto& [waiter, until] : waiters) {
    mReplies.Reply(waiter, aReply);
  }
}

void
Coordinator::Tick()
{
  if (!mLeading) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  for (WorkerSession* worker : mTimers.TakeDue(now)) {
    Attend(*worker, now);
  }
  TryFinishRecovery(now);
  EndUnawaitedJobs(now);
  StopUnclaimedOrphans(now);
  mIndex.ReadmitAll(now);
  ClassifyJobsAgain();
  Schedule();
  ScheduleInTurn();
  EnforceQueueTimeLimits(now);
  RemoveExpired(now);
  mFlow.Tick(now, mWindows);
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

#include "Dispatch/DispatchState.h"

#include <algorithm>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

/** \brief Serialized form of a DispatchState in snapshots. Fields are only
 * appended, since snapshots of earlier versions lack the last ones. */
struct PackedState
{
  Fence mFence = 0;
  Manifest mManifest;
  std::vector<WorkerReport> mWorkers;
  std::vector<StoredJob> mJobs;
  Evacuations mEvacuations;
  std::map<JobId, std::int64_t> mCancelledBestEffort;

  MSGPACK_DEFINE(mFence,
                 mManifest,
                 mWorkers,
                 mJobs,
                 mEvacuations,
                 mCancelledBestEffort)
};

bool
HasEnded(const StoredJob& aJob)
{
  return aJob.mState == JobState::Completed ||
         aJob.mState == JobState::Failed || aJob.mState == JobState::Cancelled;
}

void
End(StoredJob& aJob, JobState aState, std::int64_t aTimeMs)
{
  aJob.mState = aState;
  aJob.mEndedMs = aTimeMs;
  // Only the final state of an ended job can still be queried.
  aJob.mSubmission.mPayload.clear();
  for (auto& step : aJob.mTasks) {
    for (StoredTask& task : step) {
      task.mCheckpoint.clear();
    }
  }
}

void
ApplyAcceptance(DispatchState& aState,
                const AcceptRecord& aRecord,
                std::int64_t aTimeMs)
{
  const JobId& id = aRecord.mSubmission.mId;
  if (aState.mJobs.count(id) != 0) {
    return;
  }
  StoredJob& job = aState.mJobs[id];
  job.mSubmission = aRecord.mSubmission;
  job.mQueue = aRecord.mQueue;
  job.mAcceptedMs = aTimeMs;
  for (const StepSpec& step : aRecord.mSubmission.mSteps) {
    job.mTasks.emplace_back(step.mCount);
  }
}

bool
IsAllDone(const StoredJob& aJob)
{
  for (const auto& step : aJob.mTasks) {
    const bool done =
      std::all_of(step.begin(), step.end(), [](const StoredTask& aTask) {
        return aTask.mDone;
      });
    if (!done) {
      return false;
    }
  }
  return true;
}

void
ApplyEnd(DispatchState& aState, const EndRecord& aRecord, std::int64_t aTimeMs)
{
  const auto found = aState.mJobs.find(aRecord.mJob);
  if (found == aState.mJobs.end() || HasEnded(found->second)) {
    return;
  }
  StoredJob& job = found->second;
  const bool exists = aRecord.mStep < job.mTasks.size() &&
                      aRecord.mIndex < job.mTasks[aRecord.mStep].size();
  if (!exists) {
    return;
  }
  StoredTask& task = job.mTasks[aRecord.mStep][aRecord.mIndex];
  const bool isCounted = aRecord.mRun <= task.CountedUpTo() ||
                         task.mFailedRuns.Contains(aRecord.mRun);
  if (task.mDone || (!aRecord.mDone && isCounted)) {
    return;
  }
  job.mState = JobState::Running;
  task.mLastEndedRun = std::max(task.mLastEndedRun, aRecord.mRun);
  task.mCheckpoint = aRecord.mCheckpoint;
  task.mDone = aRecord.mDone;
  if (!aRecord.mDone) {
    ++task.mFailures;
    task.mFailedRuns.Add(aRecord.mRun);
  }
  if (task.mFailures >= std::max(1U, job.mQueue.mMaxAttempts)) {
    End(job, JobState::Failed, aTimeMs);
    return;
  }
  if (aRecord.mDone && IsAllDone(job)) {
    End(job, JobState::Completed, aTimeMs);
  }
}

}

bool
ApplyBatch(DispatchState& aState, const RecordBatch& aBatch)
{
  if (aBatch.mFence < aState.mFence) {
    return false;
  }
  aState.mFence = aBatch.mFence;
  for (const WorkerReport& worker : aBatch.mRegistered) {
    aState.mWorkers[worker.mBoot.mId] = worker;
  }
  for (const WorkerBoot& boot : aBatch.mRemovedWorkers) {
    const auto worker = aState.mWorkers.find(boot.mId);
    if (worker != aState.mWorkers.end() && worker->second.mBoot == boot) {
      aState.mWorkers.erase(worker);
    }
  }
  for (const AcceptRecord& record : aBatch.mAccepted) {
    ApplyAcceptance(aState, record, aBatch.mTimeMs);
  }
  for (const EndRecord& record : aBatch.mEnds) {
    ApplyEnd(aState, record, aBatch.mTimeMs);
  }
  for (const JobId& id : aBatch.mCancelled) {
    const auto job = aState.mJobs.find(id);
    if (job != aState.mJobs.end() && !HasEnded(job->second)) {
      End(job->second, JobState::Cancelled, aBatch.mTimeMs);
    }
  }
  for (const JobId& id : aBatch.mRemovedJobs) {
    aState.mJobs.erase(id);
    aState.mCancelledBestEffort.erase(id);
  }
  for (const JobId& id : aBatch.mCancelledBestEffort) {
    aState.mCancelledBestEffort.emplace(id, aBatch.mTimeMs);
  }
  return true;
}

std::string
PackState(const DispatchState& aState)
{
  PackedState packed;
  packed.mFence = aState.mFence;
  if (aState.mManifest) {
    packed.mManifest = *aState.mManifest;
  }
  for (const auto& [id, worker] : aState.mWorkers) {
    packed.mWorkers.push_back(worker);
  }
  for (const auto& [id, job] : aState.mJobs) {
    packed.mJobs.push_back(job);
  }
  packed.mEvacuations = aState.mEvacuations;
  packed.mCancelledBestEffort = aState.mCancelledBestEffort;
  return PackMessage(packed);
}

Result<DispatchState>
UnpackState(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(packed, UnpackMessage<PackedState>(aBytes));
  DispatchState state;
  state.mFence = packed.mFence;
  state.mEvacuations = std::move(packed.mEvacuations);
  if (packed.mManifest.mVersion > 0) {
    state.mManifest =
      std::make_shared<const Manifest>(std::move(packed.mManifest));
  }
  for (WorkerReport& worker : packed.mWorkers) {
    const WorkerId id = worker.mBoot.mId;
    state.mWorkers.emplace(id, std::move(worker));
  }
  for (StoredJob& job : packed.mJobs) {
    const JobId id = job.mSubmission.mId;
    state.mJobs.emplace(id, std::move(job));
  }
  state.mCancelledBestEffort = std::move(packed.mCancelledBestEffort);
  return state;
}

}

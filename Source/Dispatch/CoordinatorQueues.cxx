// Queues of the manifest in force, and the jobs that belong to them.
#include "Dispatch/Coordinator.h"

namespace almondspoke::dispatch {

void
Coordinator::SetManifest(std::shared_ptr<const Manifest> aManifest)
{
  mManifest = std::move(aManifest);
  mQueuesInForce.clear();
  std::uint64_t moved = 0;
  std::uint64_t withoutQueue = 0;
  for (const auto& [id, job] : mJobs) {
    if (job->HasEnded()) {
      continue;
    }
    withoutQueue += FindInForce(job->mQueue) == nullptr ? 1 : 0;
    moved += FollowQueue(*job) ? 1 : 0;
  }
  EventLine(mLog, "manifest-in-force")
    .With("version", mManifest->mVersion)
    .With("queues", std::uint64_t{ mManifest->mQueues.size() })
    .With("jobs_moved", moved)
    .With("jobs_without_queue", withoutQueue);
}

// Many jobs share a few queues, and a manifest may have thousands.
const Queue*
Coordinator::FindInForce(const Queue& aEarlier)
{
  if (!mManifest) {
    return nullptr;
  }
  const auto [found, isNew] = mQueuesInForce.try_emplace(
    { aEarlier.mName, aEarlier.mHost, aEarlier.mPathPrefix }, nullptr);
  if (isNew) {
    found->second = FindQueueInForce(*mManifest, aEarlier);
  }
  return found->second;
}

// Where a job runs, and before which others, is the operator's to change. What
// its caller was promised when it was accepted stays: the time by which it is
// due, and the number of its attempts. So does the path by which it is asked
// for. A job whose queue was dropped stays with the last pool.
Queue
Coordinator::QueueInForce(const Queue& aEarlier)
{
  Queue queue = aEarlier;
  const Queue* current = FindInForce(aEarlier);
  if (current != nullptr) {
    queue.mName = current->mName;
    queue.mPool = current->mPool;
    queue.mPriority = current->mPriority;
  }
  return queue;
}

QueueMatch
Coordinator::MatchOf(const std::string& aHost, const std::string& aPath)
{
  const QueueMatch match = FindQueue(*mManifest, aHost, aPath);
  if (match.mQueue != nullptr && FindJob(JobId(match.mPathSuffix))) {
    return match;
  }
  for (const auto& [host, prefix] : mJobPlaces) {
    // Without this place the job has been looked for above.
    const bool isTried =
      match.mQueue != nullptr &&
      match.mPathSuffix.size() + prefix.size() == aPath.size();
    const bool isPlace =
      host == aHost && aPath.compare(0, prefix.size(), prefix) == 0;
    if (isTried || !isPlace) {
      continue;
    }
    const DispatchJob* job = FindJob(aPath.substr(prefix.size()));
    const bool isFound = job != nullptr && job->mQueue.mHost == host &&
                         job->mQueue.mPathPrefix == prefix;
    if (isFound) {
      return { &job->mQueue, std::string_view(aPath).substr(prefix.size()) };
    }
  }
  return match;
}

bool
Coordinator::LeadsToQueue(const JobCall& aRequest, const JobId& aId) const
{
  const QueueMatch match =
    FindQueue(*mManifest, aRequest.mHost, aRequest.mPath);
  return match.mQueue != nullptr && match.mPathSuffix == aId;
}

bool
Coordinator::FollowQueue(DispatchJob& aJob)
{
  const Queue queue = QueueInForce(aJob.mQueue);
  const bool isSame = queue.mPool == aJob.mQueue.mPool &&
                      queue.mPriority == aJob.mQueue.mPriority &&
                      queue.mName == aJob.mQueue.mName;
  if (isSame) {
    return false;
  }
  EventLine(mLog, "job-moved")
    .With("job", aJob.mSubmission.mId)
    .With("queue", queue.mName)
    .With("pool", queue.mPool)
    .With("pool_before", aJob.mQueue.mPool)
    .With("priority", queue.mPriority)
    .With("priority_before", aJob.mQueue.mPriority)
    .With("manifest", mManifest->mVersion)
    .With("open_runs", std::uint64_t{ aJob.mAssignedTaskCount });
  // The job is listed by its class and its priority.
  mReady.Remove(aJob);
  aJob.mQueue = queue;
  aJob.mClass.mPool = queue.mPool;
  aJob.mClass.mIsTooLarge = IsTooLarge(aJob);
  aJob.mPlacementWait.reset();
  mReady.Update(aJob);
  return true;
}

}

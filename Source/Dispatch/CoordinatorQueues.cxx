// Queues of the manifest in force, and the jobs that belong to them.
#include "Dispatch/Coordinator.h"

namespace almondspoke::dispatch {

void
Coordinator::SetManifest(std::shared_ptr<const Manifest> aManifest)
{
  mManifest = std::move(aManifest);
  std::uint64_t withoutQueue = 0;
  for (const auto& [id, job] : mJobs) {
    if (job->HasEnded()) {
      continue;
    }
    const Queue* queue = FindQueueInForce(*mManifest, job->mQueue);
    withoutQueue += queue == nullptr ? 1 : 0;
    if (queue != nullptr && queue->mPool != job->mQueue.mPool) {
      EventLine(mLog, "job-behind-manifest")
        .With("job", id)
        .With("queue", queue->mName)
        .With("pool", job->mQueue.mPool)
        .With("pool_in_force", queue->mPool)
        .With("state", NameOf(job->mState));
    }
  }
  EventLine(mLog, "manifest-in-force")
    .With("version", mManifest->mVersion)
    .With("queues", std::uint64_t{ mManifest->mQueues.size() })
    .With("jobs_without_queue", withoutQueue);
}

}

#include "Dispatch/WorkerTimers.h"

namespace almondspoke::dispatch {

void
WorkerTimers::Arm(WorkerSession& aWorker, TimePoint aAt)
{
  if (aWorker.mDueAt && *aWorker.mDueAt <= aAt) {
    return;
  }
  Remove(aWorker);
  aWorker.mDueAt = aAt;
  mDue.emplace(std::make_pair(aAt, aWorker.mPosition.mNumber), &aWorker);
}

void
WorkerTimers::Remove(WorkerSession& aWorker)
{
  if (aWorker.mDueAt) {
    mDue.erase({ *aWorker.mDueAt, aWorker.mPosition.mNumber });
    aWorker.mDueAt.reset();
  }
}

std::vector<WorkerSession*>
WorkerTimers::TakeDue(TimePoint aNow)
{
  std::vector<WorkerSession*> due;
  while (!mDue.empty() && mDue.begin()->first.first <= aNow) {
    WorkerSession* worker = mDue.begin()->second;
    mDue.erase(mDue.begin());
    worker->mDueAt.reset();
    due.push_back(worker);
  }
  return due;
}

}

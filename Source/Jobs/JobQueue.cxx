#include "Jobs/JobQueue.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace almondspoke::detail {

bool
JobQueue::FairOrder::operator()(const JobPointer& aLeft,
                                const JobPointer& aRight) const
{
  return std::tie(aLeft->mUrgency, aLeft->mVirtualTime, aLeft->mSequence) <
         std::tie(aRight->mUrgency, aRight->mVirtualTime, aRight->mSequence);
}

bool
JobQueue::SubmissionOrder::operator()(const JobPointer& aLeft,
                                      const JobPointer& aRight) const
{
  return std::tie(aLeft->mUrgency, aLeft->mSequence) <
         std::tie(aRight->mUrgency, aRight->mSequence);
}

void
JobQueue::Add(const JobPointer& aJob)
{
  if (Contains(aJob)) {
    return;
  }
  aJob->mVirtualTime =
    std::max(aJob->mVirtualTime, mVirtualTimes[aJob->mUrgency]);
  mByFairOrder.insert(aJob);
  mBySubmission.insert(aJob);
}

void
JobQueue::Remove(const JobPointer& aJob)
{
  if (!aJob->mParkedBy) {
    mByFairOrder.erase(aJob);
    mBySubmission.erase(aJob);
    return;
  }
  const auto scope = mParked.find(*aJob->mParkedBy);
  aJob->mParkedBy.reset();
  --mParkedCount;
  scope->second.erase(aJob);
  if (scope->second.empty()) {
    mParked.erase(scope);
  }
}

bool
JobQueue::Contains(const JobPointer& aJob) const
{
  return aJob->mParkedBy || mBySubmission.count(aJob) != 0;
}

void
JobQueue::Park(const JobPointer& aJob, const ShareLimitScope& aScope)
{
  mBySubmission.erase(aJob);
  aJob->mParkedBy = aScope;
  mParked[aScope].insert(aJob);
  ++mParkedCount;
}

void
JobQueue::Unpark(ParkedJobs& aJobs)
{
  const JobPointer job = *aJobs.begin();
  aJobs.erase(aJobs.begin());
  --mParkedCount;
  job->mParkedBy.reset();
  Add(job);
}

void
JobQueue::UnparkFirst(const ShareLimitScope& aScope)
{
  const auto scope = mParked.find(aScope);
  if (scope == mParked.end()) {
    return;
  }
  Unpark(scope->second);
  if (scope->second.empty()) {
    mParked.erase(scope);
  }
}

void
JobQueue::UnparkFirst()
{
  for (auto scope = mParked.begin(); scope != mParked.end();) {
    Unpark(scope->second);
    scope = scope->second.empty() ? mParked.erase(scope) : std::next(scope);
  }
}

void
JobQueue::UnparkAll()
{
  while (!mParked.empty()) {
    UnparkFirst();
  }
}

JobPointer
JobQueue::FirstSubmitted() const
{
  return mBySubmission.empty() ? nullptr : *mBySubmission.begin();
}

}

#include "Dispatch/SchedulingPass.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace almondspoke::dispatch {

namespace {

/** A class is left after this many jobs in a row without a worker. */
constexpr std::size_t kMaxUnplacedOfClass = 40;

/** Number of classes that a pass looks at. */
constexpr std::size_t kMaxClasses = 64;

/** How much earlier than by its due time a job is tried for each step of its
 * size, among those of its priority. A large task fits into few gaps, and what
 * it leaves suits the smaller ones: with tasks of half a worker, +-20%, more
 * jobs of each size but the smallest end in time than in the order of due
 * times alone (AdmissionSimulationTest). */
constexpr std::chrono::milliseconds kLeadOfSizeStep{ 60 };

} // namespace

SchedulingKey
SchedulingPass::OrderOf(const Cursor& aCursor)
{
  SchedulingKey key = aCursor.mNext->first;
  key.mDueAt -= kLeadOfSizeStep * aCursor.mNext->second->mClass.mSizeStep;
  return key;
}

SchedulingPass::SchedulingPass(const ReadyQueue& aReady)
{
  const ReadyQueue::ClassesInOrder& classes = aReady.ClassesByFirstJob();
  mCursors.reserve(std::min(classes.size(), kMaxClasses));
  for (const auto& [first, jobs] : classes) {
    if (mCursors.size() == kMaxClasses) {
      break;
    }
    mCursors.push_back({ jobs->begin(), jobs->end() });
  }
}

DispatchJob*
SchedulingPass::Next()
{
  const auto isEarlier = [](const Cursor& aLeft, const Cursor& aRight) {
    return OrderOf(aLeft) < OrderOf(aRight);
  };
  const auto first =
    std::min_element(mCursors.begin(), mCursors.end(), isEarlier);
  if (first == mCursors.end()) {
    return nullptr;
  }
  DispatchJob* job = first->mNext->second;
  // Advance first: the job may leave the queue while it is scheduled, and its
  // class with it if it is the last one.
  ++first->mNext;
  mCurrent = static_cast<std::size_t>(std::distance(mCursors.begin(), first));
  if (first->mNext == first->mEnd) {
    mCursors.erase(first);
    mCurrent = mCursors.size();
  }
  return job;
}

void
SchedulingPass::OnScheduled(bool aPlaced)
{
  if (mCurrent >= mCursors.size()) {
    return;
  }
  Cursor& current = mCursors[mCurrent];
  current.mUnplaced = aPlaced ? 0 : current.mUnplaced + 1;
  if (current.mUnplaced >= kMaxUnplacedOfClass) {
    mCursors.erase(mCursors.begin() + static_cast<std::ptrdiff_t>(mCurrent));
  }
}

} // namespace almondspoke::dispatch

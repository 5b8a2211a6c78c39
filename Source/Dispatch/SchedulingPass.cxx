#include "Dispatch/SchedulingPass.h"

#include <algorithm>
#include <iterator>

namespace almondspoke::dispatch {

namespace {

/** A class is left after this many jobs in a row without a worker. */
constexpr std::size_t kMaxUnplacedOfClass = 40;

/** Number of classes that a pass looks at. */
constexpr std::size_t kMaxClasses = 64;

} // namespace

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
    return aLeft.mNext->first < aRight.mNext->first;
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

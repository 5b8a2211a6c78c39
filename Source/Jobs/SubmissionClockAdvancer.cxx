#include "Jobs/SubmissionClockAdvancer.h"

#include "Consensus/Replicator.h"

namespace almondspoke {

SubmissionClockAdvancer::SubmissionClockAdvancer(
  Replicator& aReplicator,
  const Clock& aClock,
  const SubmissionLimits& aLimits,
  std::chrono::milliseconds aPeriod)
  : mReplicator(aReplicator)
  , mClock(aClock)
  , mLimits(aLimits)
  , mPeriod(aPeriod)
{
}

void
SubmissionClockAdvancer::Tick()
{
  const bool leading = mReplicator.IsLeader();
  const Clock::Monotonic now = mClock.MonotonicNow();
  AdvanceClockCommand command;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!leading) {
      mCountedUntil.reset();
      mHasProposedLimits = false;
      return;
    }
    if (!mCountedUntil) {
      mCountedUntil = now;
    }
    if (mHasProposedLimits && now - *mCountedUntil < mPeriod) {
      return;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *mCountedUntil);
    command.mElapsedMs = static_cast<std::uint64_t>(elapsed.count());
    command.mLimits = mLimits;
    mCountedUntil = now;
    mHasProposedLimits = true;
  }
  mReplicator.Propose(Encode(command), [](const Result<std::string>&) {});
}

}

#include "Jobs/ExecutorLeaseGranter.h"

#include <utility>
#include <vector>

#include "Jobs/SubmissionStateMachine.h"

namespace almondspoke {

ExecutorLeaseGranter::ExecutorLeaseGranter(
  Replicator& aReplicator,
  const SubmissionStateMachine& aState,
  const Clock& aClock,
  const ExecutorLeaseSettings& aSettings)
  : mReplicator(aReplicator)
  , mState(aState)
  , mClock(aClock)
  , mSettings(aSettings)
{
}

Result<LeaseGrant>
ExecutorLeaseGranter::Renew(ExecutorEpoch aEpoch)
{
  if (!mReplicator.IsLeader()) {
    return Error(ErrorKind::NotLeader,
                 "this instance does not lead the submission group");
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mBeingDeclaredLost.count(aEpoch) != 0 || !mState.IsLive(aEpoch)) {
    return Error(ErrorKind::LeaseExpired,
                 "executor epoch " + std::to_string(aEpoch) +
                   " was declared lost");
  }
  const auto known = mLeases.find(aEpoch);
  const std::uint64_t won =
    known == mLeases.end() ? 0 : known->second.mClaimsWon;
  mLeases[aEpoch] = NewLease(mClock.MonotonicNow(), won);
  LeaseGrant grant;
  grant.mDuration = mSettings.mDuration;
  grant.mIdleDuration = mSettings.mIdleDuration;
  return grant;
}

void
ExecutorLeaseGranter::Tick()
{
  for (const ExecutorEpoch epoch : TakeExpiredEpochs()) {
    ExecutorLostCommand command;
    command.mExecutor = epoch;
    mReplicator.Propose(Encode(command),
                        [this, epoch](const Result<std::string>&) {
                          const std::lock_guard<std::mutex> lock(mMutex);
                          mBeingDeclaredLost.erase(epoch);
                        });
  }
}

std::set<ExecutorEpoch>
ExecutorLeaseGranter::TakeExpiredEpochs()
{
  const bool leading = mReplicator.IsLeader();
  const Term term = mReplicator.CurrentTerm();
  const std::vector<ExecutorRegistration> executors = mState.Executors();
  const Clock::Monotonic now = mClock.MonotonicNow();
  const std::lock_guard<std::mutex> lock(mMutex);
  std::set<ExecutorEpoch> expired;
  if (!leading) {
    mTerm.reset();
    mLeases.clear();
    return expired;
  }
  if (mTerm != term) {
    mTerm = term;
    mLeases.clear();
  }
  std::map<ExecutorEpoch, Lease> live;
  for (const ExecutorRegistration& executor : executors) {
    const Lease lease = KnownOrNewLease(executor, now);
    live.emplace(executor.mEpoch, lease);
    const Clock::Monotonic end =
      executor.mOpenClaims > 0 ? lease.mActiveEnd : lease.mIdleEnd;
    if (end <= now && mBeingDeclaredLost.insert(executor.mEpoch).second) {
      expired.insert(executor.mEpoch);
    }
  }
  mLeases = std::move(live);
  return expired;
}

ExecutorLeaseGranter::Lease
ExecutorLeaseGranter::NewLease(Clock::Monotonic aNow,
                               std::uint64_t aClaimsWon) const
{
  return { aNow + mSettings.mDuration,
           aNow + mSettings.mIdleDuration,
           aClaimsWon };
}

ExecutorLeaseGranter::Lease
ExecutorLeaseGranter::KnownOrNewLease(const ExecutorRegistration& aExecutor,
                                      Clock::Monotonic aNow) const
{
  const auto known = mLeases.find(aExecutor.mEpoch);
  if (known == mLeases.end() ||
      known->second.mClaimsWon != aExecutor.mClaimsWon) {
    return NewLease(aNow, aExecutor.mClaimsWon);
  }
  return known->second;
}

}

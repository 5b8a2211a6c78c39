#include "Jobs/ExecutorLease.h"

#include <algorithm>
#include <utility>

#include "Jobs/SubmissionGroup.h"

namespace almondspoke {

ExecutorLease::ExecutorLease(InstanceName aSelf,
                             SubmissionGroup& aGroup,
                             const Clock& aClock,
                             const ExecutorLeaseSettings& aSettings,
                             RandomSource aRandom)
  : mSelf(std::move(aSelf))
  , mGroup(aGroup)
  , mClock(aClock)
  , mSettings(aSettings)
  , mRandom(std::move(aRandom))
  , mNonce(mRandom())
{
}

void
ExecutorLease::Tick()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  std::optional<ExecutorEpoch> epoch;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!IsRenewalDue(now)) {
      return;
    }
    mLastSentAt = now;
    epoch = mEpoch;
  }
  if (epoch) {
    Renew(*epoch, now);
    return;
  }
  Register();
}

std::optional<ExecutorEpoch>
ExecutorLease::CurrentEpoch() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Clock::Monotonic end =
    std::max(mValidUntil, mIdleValidUntil) - mSettings.mExpiryMargin;
  if (!mEpoch || mClock.MonotonicNow() >= end) {
    return std::nullopt;
  }
  return mEpoch;
}

Clock::Monotonic
ExecutorLease::BeginClaim()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (mOpenClaims++ == 0) {
    mClaimsOpenSince = now;
  }
  return now;
}

void
ExecutorLease::EndClaim()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  --mOpenClaims;
}

void
ExecutorLease::OnClaimWon(ExecutorEpoch aEpoch, Clock::Monotonic aSentAt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  // A granter of an earlier version, which grants no idle leases, does not
  // renew leases by claims either.
  if (mEpoch == aEpoch && mLastGrant.mIdleDuration.count() > 0) {
    ExtendLease(aSentAt);
  }
}

void
ExecutorLease::OnFenced(ExecutorEpoch aEpoch)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mEpoch == aEpoch) {
    DropRegistration();
  }
}

void
ExecutorLease::OnGroupUnavailable()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  LimitIdleLease();
}

bool
ExecutorLease::HasEverBeenHeld() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mHasEverBeenHeld;
}

Result<StartPermit>
ExecutorLease::CheckStart(ExecutorEpoch aEpoch) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Clock::Monotonic end = mValidUntil - mSettings.mExpiryMargin;
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (mEpoch != aEpoch || now >= end) {
    return Error(ErrorKind::LeaseExpired,
                 "the executor lease of epoch " + std::to_string(aEpoch) +
                   " has expired at instance " + mSelf);
  }
  StartPermit permit;
  permit.mEpoch = aEpoch;
  permit.mRemaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(end - now);
  return permit;
}

void
ExecutorLease::Register()
{
  RegisterExecutorCommand command;
  command.mInstance = mSelf;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    command.mNonce = mNonce;
  }
  mGroup.Propose(
    Encode(command),
    [this, nonce = command.mNonce](const Result<std::string>& aResult) {
      if (!aResult) {
        return;
      }
      const auto response = DecodeRegisterExecutorResponse(aResult.value());
      if (!response) {
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        if (mNonce != nonce || mEpoch) {
          return;
        }
        mEpoch = response.value().mEpoch;
      }
      // A registration grants no lease. The first renewal does, with the
      // durations that the leader uses.
      Renew(response.value().mEpoch, mClock.MonotonicNow());
    });
}

void
ExecutorLease::Renew(ExecutorEpoch aEpoch, Clock::Monotonic aSentAt)
{
  mGroup.RenewLease(
    mSelf, aEpoch, [this, aEpoch, aSentAt](const Result<LeaseGrant>& aResult) {
      OnRenewed(aEpoch, aSentAt, aResult);
    });
}

void
ExecutorLease::OnRenewed(ExecutorEpoch aEpoch,
                         Clock::Monotonic aSentAt,
                         const Result<LeaseGrant>& aResult)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mEpoch != aEpoch) {
    return;
  }
  if (aResult) {
    mLastGrant = aResult.value();
    mHasEverBeenHeld = true;
    mLastCallFailed = false;
    ExtendLease(aSentAt);
    return;
  }
  if (aResult.error().Kind() == ErrorKind::LeaseExpired) {
    DropRegistration();
    return;
  }
  LimitIdleLease();
}

bool
ExecutorLease::IsRenewalDue(Clock::Monotonic aNow) const
{
  if (!mLastSentAt) {
    return true;
  }
  if (!mEpoch || mLastCallFailed || mLastGrant.mIdleDuration.count() == 0) {
    return aNow - *mLastSentAt >= mSettings.mRenewalPeriod;
  }
  if (mOpenClaims > 0 && aNow - std::max(*mLastSentAt, mClaimsOpenSince) >=
                           mSettings.mRenewalPeriod) {
    return true;
  }
  return aNow - *mLastSentAt >= mSettings.mIdleRenewalPeriod;
}

void
ExecutorLease::ExtendLease(Clock::Monotonic aSentAt)
{
  mValidUntil = std::max(mValidUntil, aSentAt + mLastGrant.mDuration);
  mIdleValidUntil =
    std::max(mIdleValidUntil, aSentAt + mLastGrant.mIdleDuration);
}

void
ExecutorLease::LimitIdleLease()
{
  // An unavailable group can grant no claims. The lease stays valid for one
  // more active lease duration, which leaves time for a few more renewals.
  mLastCallFailed = true;
  mIdleValidUntil =
    std::min(mIdleValidUntil, mClock.MonotonicNow() + mSettings.mDuration);
}

void
ExecutorLease::DropRegistration()
{
  mEpoch.reset();
  mLastGrant = LeaseGrant();
  mValidUntil = Clock::Monotonic();
  mIdleValidUntil = Clock::Monotonic();
  mNonce = mRandom();
  mLastSentAt.reset();
}

}

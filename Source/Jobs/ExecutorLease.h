#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "Base/Clock.h"
#include "Jobs/ExecutorLeaseGranter.h"
#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

class SubmissionGroup;

/** \brief Permit to start tasks under an executor epoch. */
struct StartPermit
{
  ExecutorEpoch mEpoch = 0;
  /** Remaining time of the lease, minus the expiry margin. */
  std::chrono::milliseconds mRemaining{ 0 };
};

/** \brief Holder's side of the executor lease with one submission group.
 *
 * Registers this instance as an executor of the group and renews the lease with
 * one message per period, independent of the number of jobs. Registers again
 * under a new epoch if the group has declared the epoch lost.
 *
 * There are two durations. The active lease is short and covers an epoch with
 * open claims; tasks are started under it only, and a won claim renews it too.
 * The idle lease is longer and covers an epoch without open claims, so that an
 * idle instance renews rarely.
 *
 * Durations are counted by the local monotonic clock from before the renewal or
 * the claim was sent. The lease therefore ends here before it ends at the
 * leader. */
class ExecutorLease
{
public:
  using RandomSource = std::function<std::uint64_t()>;

  ExecutorLease(InstanceName aSelf,
                SubmissionGroup& aGroup,
                const Clock& aClock,
                const ExecutorLeaseSettings& aSettings,
                RandomSource aRandom);

  /** Registers or renews when due; to be called several times per renewal
   * period. */
  void Tick();

  /** Executor epoch to make claims under; nothing while no lease is held. */
  std::optional<ExecutorEpoch> CurrentEpoch() const;

  /** To be called before a claim under the current epoch is sent. The claim
   * counts as open until EndClaim(). Returns the time to pass to
   * OnClaimWon(). */
  Clock::Monotonic BeginClaim();

  /** To be called when a claim is no longer open in the group. */
  void EndClaim();

  /** To be called when the group has granted a claim sent at aSentAt; renews
   * the lease from that time. */
  void OnClaimWon(ExecutorEpoch aEpoch, Clock::Monotonic aSentAt);

  /** To be called when the group has refused the epoch as lost. */
  void OnFenced(ExecutorEpoch aEpoch);

  /** To be called when a call on the group has failed; shortens the idle
   * lease. */
  void OnGroupUnavailable();

  bool HasEverBeenHeld() const;

  /** Returns a permit to start a task of a claim under the given epoch. To be
   * called immediately before each task is sent. Error: LeaseExpired. */
  Result<StartPermit> CheckStart(ExecutorEpoch aEpoch) const;

private:
  void Register();
  void Renew(ExecutorEpoch aEpoch, Clock::Monotonic aSentAt);
  void OnRenewed(ExecutorEpoch aEpoch,
                 Clock::Monotonic aSentAt,
                 const Result<LeaseGrant>& aResult);
  bool IsRenewalDue(Clock::Monotonic aNow) const;
  void ExtendLease(Clock::Monotonic aSentAt);
  void LimitIdleLease();
  void DropRegistration();

  const InstanceName mSelf;
  SubmissionGroup& mGroup;
  const Clock& mClock;
  const ExecutorLeaseSettings mSettings;
  const RandomSource mRandom;
  mutable std::mutex mMutex;
  std::uint64_t mNonce;
  std::optional<ExecutorEpoch> mEpoch;
  /** Durations granted by the last renewal. */
  LeaseGrant mLastGrant;
  /** End of the active lease. */
  Clock::Monotonic mValidUntil{};
  /** End of the idle lease. */
  Clock::Monotonic mIdleValidUntil{};
  std::size_t mOpenClaims = 0;
  /** Time since which at least one claim has been open without interruption. */
  Clock::Monotonic mClaimsOpenSince{};
  bool mLastCallFailed = false;
  bool mHasEverBeenHeld = false;
  std::optional<Clock::Monotonic> mLastSentAt;
};

}

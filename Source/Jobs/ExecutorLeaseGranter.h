#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include "Base/Clock.h"
#include "Consensus/Replicator.h"
#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

class SubmissionStateMachine;
struct ExecutorRegistration;

/** \brief Durations of executor leases; all instances must use the same. */
struct ExecutorLeaseSettings
{
  /** Active lease, which covers an epoch with open claims. */
  std::chrono::milliseconds mDuration{ 3000 };
  /** Interval at which the holder renews the active lease. */
  std::chrono::milliseconds mRenewalPeriod{ 750 };
  /** Last part of the lease, in which the holder starts no more tasks. */
  std::chrono::milliseconds mExpiryMargin{ 500 };
  /** Idle lease, which covers an epoch without open claims. It may be long,
   * because declaring such an epoch lost releases no keys. */
  std::chrono::milliseconds mIdleDuration{ 30'000 };
  /** Interval at which the holder renews the idle lease. */
  std::chrono::milliseconds mIdleRenewalPeriod{ 10'000 };
};

/** \brief Leader's side of the executor leases of one submission group.
 *
 * Grants renewals while this instance leads the group. Declares an executor
 * lost once its lease has expired by this instance's monotonic clock: the
 * active lease while its epoch has open claims, otherwise the idle lease. A
 * claim that is applied renews both. A new leader does not know of earlier
 * renewals, so it waits for one full lease before it declares any lost. */
class ExecutorLeaseGranter
{
public:
  ExecutorLeaseGranter(Replicator& aReplicator,
                       const SubmissionStateMachine& aState,
                       const Clock& aClock,
                       const ExecutorLeaseSettings& aSettings);

  /** Renews a lease. Errors: NotLeader; LeaseExpired if the epoch is not live
   * or is being declared lost. */
  Result<LeaseGrant> Renew(ExecutorEpoch aEpoch);

  /** Declares executors lost whose lease has expired; to be called
   * periodically. */
  void Tick();

private:
  /** \brief Lease of one epoch. */
  struct Lease
  {
    Clock::Monotonic mActiveEnd;
    Clock::Monotonic mIdleEnd;
    /** Won claims of the epoch when the lease was last renewed. */
    std::uint64_t mClaimsWon = 0;
  };

  /** Returns the epochs whose lease has expired, each once. */
  std::set<ExecutorEpoch> TakeExpiredEpochs();
  Lease NewLease(Clock::Monotonic aNow, std::uint64_t aClaimsWon) const;
  /** Returns the stored lease, or a new one if the epoch is new here or has
   * won claims since. */
  Lease KnownOrNewLease(const ExecutorRegistration& aExecutor,
                        Clock::Monotonic aNow) const;

  Replicator& mReplicator;
  const SubmissionStateMachine& mState;
  const Clock& mClock;
  const ExecutorLeaseSettings mSettings;
  std::mutex mMutex;
  /** Term that mLeases belongs to. */
  std::optional<Term> mTerm;
  std::map<ExecutorEpoch, Lease> mLeases;
  /** Epochs with an unanswered ExecutorLostCommand. */
  std::set<ExecutorEpoch> mBeingDeclaredLost;
};

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "Jobs/ExecutorLease.h"
#include "Jobs/SubmissionGroup.h"
#include "Jobs/SubmissionKey.h"
#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

class HomeDataCentres;

/** \brief Proof that this instance holds the claim on a key. */
struct ClaimTicket
{
  SubmissionKey mKey;
  ClaimantToken mClaimant = 0;
  ExecutorEpoch mExecutor = 0;
};

/** \brief State of a key as its submission group reports it. */
struct ClaimStatus
{
  enum class State
  {
    /** This call claimed the key; the ticket is valid. */
    Won,
    /** The claim is open; the instance mExecutor holds it. */
    InProgress,
    /** mAnswer holds the recorded answer. */
    Answered
  };

  State mState = State::InProgress;
  ClaimTicket mTicket;
  InstanceName mExecutor;
  std::string mAnswer;
};

/** \brief Claims idempotency keys, so that the work of each key starts at most
 * once.
 *
 * The home of a key is the data centre whose submission group stores its
 * claim. A claim is durable on a majority of that group before Claim() reports
 * it as won. Thread-safe; callbacks may run on any thread. */
class ClaimService
{
public:
  using StatusDone = std::function<void(Result<ClaimStatus>)>;
  using RecordDone = std::function<void(Result<void>)>;

  /** \brief Submission group of one data centre, and this instance's executor
   * lease with it. */
  struct HomeGroup
  {
    SubmissionGroup* mGroup = nullptr;
    ExecutorLease* mLease = nullptr;
  };

  /** \param aHomes one entry for each data centre of HomeDataCentres::All()
   * \param aRandom generates claimant tokens */
  ClaimService(std::map<DataCentreName, HomeGroup> aHomes,
               ExecutorLease::RandomSource aRandom);

  /** Claims a key.
   *
   * Errors after which this submission has not started:
   * - KeyConflict, KeyInvalid, LeaseExpired, QueueFull, QuotaExceeded
   * - NotReady: this instance has not held a lease since its start
   *
   * Other errors:
   * - KeyStateUnknown: this call started nothing, but the group could not be
   *   asked whether an earlier submission ran
   * - KeyExpired: the key is older than the retention
   * - ExecutorLost: the outcome stays unknown permanently
   * - AnswerNotKept: the work was done, but its answer is not stored
   * - OutcomeUnknown: the claim may be committed; it is released in the
   *   background */
  void Claim(const SubmissionKey& aKey,
             std::uint64_t aBodyHash,
             WorkKind aKind,
             StatusDone aDone);

  /** Returns the state of a key, or KeyConflict if it was used with another
   * body. Does not claim the key, but writes to the group's journal as Claim()
   * does. Other errors: UnknownJob if there is no claim, and those of
   * Claim(). */
  void LookupWithBody(const SubmissionKey& aKey,
                      std::uint64_t aBodyHash,
                      StatusDone aDone);

  /** Returns the state of a key without claiming it. Errors: UnknownJob if
   * there is no claim, and those of Claim(). */
  void Lookup(const SubmissionKey& aKey, StatusDone aDone);

  /** Records the answer of a won claim, which later submissions with the same
   * key then receive. If the group does not answer, the command is retried in
   * the background until it succeeds or the claim is lost. After an error the
   * answer is still valid for the submission that ran the work. */
  void RecordAnswer(const ClaimTicket& aTicket,
                    const std::string& aAnswer,
                    RecordDone aDone);

  /** Releases a won claim whose work certainly did not start, so that the key
   * may be submitted again. */
  void Release(const ClaimTicket& aTicket);

  /** Returns a permit to start a task of a won claim. To be called immediately
   * before each task is sent. Error: LeaseExpired. */
  Result<StartPermit> CheckStart(const ClaimTicket& aTicket) const;

  /** True if this instance now holds the lease under another epoch, so that
   * the claim is permanently lost. */
  bool IsFenced(const ClaimTicket& aTicket) const;

  /** Retries the records and releases that were not answered; to be called
   * periodically. */
  void Tick();

  /** Number of commands that wait for a retry. */
  std::size_t PendingCommandCount() const;

  /** Highest key epoch in the responses of a home; zero before the first
   * response. */
  std::uint32_t KeyEpochOf(const DataCentreName& aHome) const;

private:
  struct PendingCommand
  {
    DataCentreName mHome;
    std::string mCommand;
    /** Executor epoch of the claim that the command closes. */
    ExecutorEpoch mExecutor = 0;
  };

  void Propose(const SubmissionKey& aKey,
               std::uint64_t aBodyHash,
               WorkKind aKind,
               ExecutorEpoch aExecutor,
               StatusDone aDone);
  void OnClaimOutcome(const ClaimTicket& aTicket,
                      ClaimOutcome aOutcome,
                      Clock::Monotonic aSentAt);
  void EndClaim(const DataCentreName& aHome, ExecutorEpoch aExecutor);
  void QueueForRetry(PendingCommand aPending);
  void UpdateKeyEpoch(const DataCentreName& aHome, std::uint32_t aEpoch);
  bool IsPendingFull() const;
  const HomeGroup& HomeGroupOf(const SubmissionKey& aKey) const;

  const std::map<DataCentreName, HomeGroup> mHomes;
  const ExecutorLease::RandomSource mRandom;
  mutable std::mutex mMutex;
  std::deque<PendingCommand> mPending;
  std::size_t mPendingBytes = 0;
  std::map<DataCentreName, std::uint32_t> mKeyEpochs;
};

}

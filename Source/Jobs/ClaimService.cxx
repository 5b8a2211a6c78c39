#include "Jobs/ClaimService.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondspoke {

namespace {

// Limits of the commands that wait for a retry. New claims are refused once
// either limit is reached.
constexpr std::size_t kMaxPendingCommands = 50'000;
constexpr std::size_t kMaxPendingBytes = 16U << 20U;

// Executor epoch that is never registered. A claim under it returns the state
// of a known key; the group refuses it for a key that has no claim.
constexpr ExecutorEpoch kNoExecutorEpoch = 0;

// Largest answer that is replicated through the group's journal, in bytes.
constexpr std::size_t kMaxReplicatedAnswerBytes = 256U << 10U;

constexpr std::chrono::milliseconds kQueueFullRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kKeyStateRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kFirstLeaseRetryAfter{ 1000 };

struct OutcomeError
{
  ClaimOutcome mOutcome;
  ErrorKind mKind;
  const char* mMessage;
};

constexpr std::array<OutcomeError, 11> kErrorsOfOutcomes = { {
  { ClaimOutcome::AnswerNotKept,
    ErrorKind::AnswerNotKept,
    "the work was done, but its answer is not stored" },
  { ClaimOutcome::ExecutorLost,
    ErrorKind::ExecutorLost,
    "the instance that ran this submission was lost; it is unknown whether "
    "the work was done" },
  { ClaimOutcome::Conflict,
    ErrorKind::KeyConflict,
    "Idempotency-Key was used before with another body" },
  { ClaimOutcome::Expired,
    ErrorKind::KeyExpired,
    "Idempotency-Key has expired; it is older than the stored answers" },
  { ClaimOutcome::EpochNotIssued,
    ErrorKind::KeyInvalid,
    "the key epoch of Idempotency-Key has not been issued yet; allowed: the "
    "prefix that GET /v1/home returns" },
  { ClaimOutcome::ExecutorFenced,
    ErrorKind::LeaseExpired,
    "this instance holds no executor lease" },
  { ClaimOutcome::Released,
    ErrorKind::UnknownJob,
    "the submission with this key was given up before it started; it may be "
    "submitted again" },
  { ClaimOutcome::TooManyOpenClaims,
    ErrorKind::QueueFull,
    "too many submissions are running" },
  { ClaimOutcome::TooManyPlainKeys,
    ErrorKind::QuotaExceeded,
    "the limit of stored keys without a key epoch is reached; use the prefix "
    "that GET /v1/home returns" },
  { ClaimOutcome::Unknown,
    ErrorKind::UnknownJob,
    "there is no submission with this key" },
  { ClaimOutcome::Malformed,
    ErrorKind::Internal,
    "the submission group could not decode the command" },
} };

Error
ErrorForOutcome(ClaimOutcome aOutcome, const SubmissionKey& aKey)
{
  for (const OutcomeError& entry : kErrorsOfOutcomes) {
    if (entry.mOutcome != aOutcome) {
      continue;
    }
    const std::string message =
      std::string(entry.mMessage) + ": key " + aKey.Text();
    if (aOutcome == ClaimOutcome::TooManyOpenClaims) {
      return Error(entry.mKind, message, kQueueFullRetryAfter);
    }
    return Error(entry.mKind, message);
  }
  return Error(ErrorKind::Internal, "unexpected claim outcome");
}

Result<ClaimStatus>
StatusFromResponse(ClaimResponse aResponse, const SubmissionKey& aKey)
{
  ClaimStatus status;
  status.mExecutor = std::move(aResponse.mExecutor);
  status.mAnswer = std::move(aResponse.mAnswer);
  switch (aResponse.mOutcome) {
    case ClaimOutcome::Won:
      status.mState = ClaimStatus::State::Won;
      return status;
    case ClaimOutcome::InProgress:
      status.mState = ClaimStatus::State::InProgress;
      return status;
    case ClaimOutcome::Answered:
      status.mState = ClaimStatus::State::Answered;
      return status;
    default:
      return ErrorForOutcome(aResponse.mOutcome, aKey);
  }
}

// Error for a call that the group did not answer. Even if this call certainly
// started nothing, an earlier submission with the same key may have run.
Error
KeyStateUnknownError(const SubmissionKey& aKey, const Error& aError)
{
  return Error(ErrorKind::KeyStateUnknown,
               "this submission started nothing, but an earlier one with key " +
                 aKey.Text() +
                 " may have run; its state cannot be read at its home " +
                 aKey.Home() + ": " + aError.Message(),
               kKeyStateRetryAfter);
}

// Wraps a callback for an instance that has not held a lease since its start:
// reports LeaseExpired as NotReady, since no lease has expired.
ClaimService::StatusDone
NotReadyBeforeFirstLease(const SubmissionKey& aKey,
                         ClaimService::StatusDone aDone)
{
  return [aKey, done = std::move(aDone)](Result<ClaimStatus> aStatus) {
    if (!aStatus && aStatus.error().Kind() == ErrorKind::LeaseExpired) {
      done(
        Error(ErrorKind::NotReady,
              "this instance has just started and has no executor lease yet: "
              "key " +
                aKey.Text(),
              kFirstLeaseRetryAfter));
      return;
    }
    done(std::move(aStatus));
  };
}

// False if the error says that the command was not appended to the journal, so
// that the claim needs no release.
bool
MayBeCommitted(const Error& aError)
{
  return aError.Traits().mRan != Ran::No;
}

}

ClaimService::ClaimService(std::map<DataCentreName, HomeGroup> aHomes,
                           ExecutorLease::RandomSource aRandom)
  : mHomes(std::move(aHomes))
  , mRandom(std::move(aRandom))
{
}

void
ClaimService::Claim(const SubmissionKey& aKey,
                    std::uint64_t aBodyHash,
                    WorkKind aKind,
                    StatusDone aDone)
{
  if (IsPendingFull()) {
    aDone(KeyStateUnknownError(
      aKey, ErrorForOutcome(ClaimOutcome::TooManyOpenClaims, aKey)));
    return;
  }
  const ExecutorLease& lease = *HomeGroupOf(aKey).mLease;
  if (!lease.HasEverBeenHeld()) {
    aDone = NotReadyBeforeFirstLease(aKey, std::move(aDone));
  }
  Propose(aKey,
          aBodyHash,
          aKind,
          lease.CurrentEpoch().value_or(kNoExecutorEpoch),
          std::move(aDone));
}

void
ClaimService::LookupWithBody(const SubmissionKey& aKey,
                             std::uint64_t aBodyHash,
                             StatusDone aDone)
{
  Propose(aKey,
          aBodyHash,
          WorkKind::Job,
          kNoExecutorEpoch,
          [aKey, done = std::move(aDone)](Result<ClaimStatus> aStatus) {
            if (!aStatus && aStatus.error().Kind() == ErrorKind::LeaseExpired) {
              done(ErrorForOutcome(ClaimOutcome::Unknown, aKey));
              return;
            }
            done(std::move(aStatus));
          });
}

void
ClaimService::Propose(const SubmissionKey& aKey,
                      std::uint64_t aBodyHash,
                      WorkKind aKind,
                      ExecutorEpoch aExecutor,
                      StatusDone aDone)
{
  ClaimCommand command;
  command.mKey = aKey.Hash();
  command.mKeyEpoch = aKey.Epoch();
  command.mBodyHash = aBodyHash;
  command.mKind = aKind;
  command.mClaimant = mRandom();
  command.mExecutor = aExecutor;
  ClaimTicket ticket{ aKey, command.mClaimant, command.mExecutor };
  const HomeGroup& home = HomeGroupOf(aKey);
  const Clock::Monotonic sentAt = aExecutor == kNoExecutorEpoch
                                    ? Clock::Monotonic()
                                    : home.mLease->BeginClaim();
  home.mGroup->Propose(
    Encode(command),
    [this, sentAt, ticket = std::move(ticket), done = std::move(aDone)](
      Result<std::string> aResult) {
      if (!aResult) {
        HomeGroupOf(ticket.mKey).mLease->OnGroupUnavailable();
        if (!MayBeCommitted(aResult.error())) {
          EndClaim(ticket.mKey.Home(), ticket.mExecutor);
          done(KeyStateUnknownError(ticket.mKey, aResult.error()));
          return;
        }
        Release(ticket);
        done(Error(ErrorKind::OutcomeUnknown,
                   "it is unknown whether the claim on key " +
                     ticket.mKey.Text() +
                     " was committed: " + aResult.error().Message()));
        return;
      }
      Result<ClaimResponse> response = DecodeClaimResponse(aResult.value());
      if (!response) {
        Release(ticket);
        done(response.error());
        return;
      }
      UpdateKeyEpoch(ticket.mKey.Home(), response.value().mCurrentKeyEpoch);
      OnClaimOutcome(ticket, response.value().mOutcome, sentAt);
      Result<ClaimStatus> status =
        StatusFromResponse(std::move(response.value()), ticket.mKey);
      if (status) {
        status.value().mTicket = ticket;
      }
      done(std::move(status));
    });
}

void
ClaimService::Lookup(const SubmissionKey& aKey, StatusDone aDone)
{
  HomeGroupOf(aKey).mGroup->Lookup(
    aKey.Hash(),
    aKey.Epoch(),
    [this, key = aKey, done = std::move(aDone)](Result<ClaimResponse> aResult) {
      if (!aResult) {
        done(KeyStateUnknownError(key, aResult.error()));
        return;
      }
      UpdateKeyEpoch(key.Home(), aResult.value().mCurrentKeyEpoch);
      done(StatusFromResponse(std::move(aResult.value()), key));
    });
}

void
ClaimService::RecordAnswer(const ClaimTicket& aTicket,
                           const std::string& aAnswer,
                           RecordDone aDone)
{
  RecordAnswerCommand command;
  command.mKey = aTicket.mKey.Hash();
  command.mExecutor = aTicket.mExecutor;
  command.mIncludesAnswer = aAnswer.size() <= kMaxReplicatedAnswerBytes;
  if (command.mIncludesAnswer) {
    command.mAnswer = aAnswer;
  }
  const std::string encoded = Encode(command);
  HomeGroupOf(aTicket.mKey)
    .mGroup->Propose(
      encoded,
      [this, encoded, ticket = aTicket, done = std::move(aDone)](
        const Result<std::string>& aResult) {
        if (!aResult) {
          QueueForRetry({ ticket.mKey.Home(), encoded, ticket.mExecutor });
          done(aResult.error());
          return;
        }
        EndClaim(ticket.mKey.Home(), ticket.mExecutor);
        const Result<ClaimResponse> response =
          DecodeClaimResponse(aResult.value());
        if (!response) {
          done(response.error());
          return;
        }
        if (response.value().mOutcome != ClaimOutcome::Recorded) {
          done(Error(ErrorKind::ExecutorLost,
                     "the executor of the claim was declared lost before the "
                     "answer was recorded"));
          return;
        }
        done(Success());
      });
}

void
ClaimService::Release(const ClaimTicket& aTicket)
{
  ReleaseClaimCommand command;
  command.mKey = aTicket.mKey.Hash();
  command.mKeyEpoch = aTicket.mKey.Epoch();
  command.mClaimant = aTicket.mClaimant;
  const std::string encoded = Encode(command);
  const DataCentreName home = aTicket.mKey.Home();
  mHomes.at(home).mGroup->Propose(
    encoded,
    [this, home, encoded, executor = aTicket.mExecutor](
      const Result<std::string>& aResult) {
      if (!aResult) {
        QueueForRetry({ home, encoded, executor });
        return;
      }
      EndClaim(home, executor);
    });
}

Result<StartPermit>
ClaimService::CheckStart(const ClaimTicket& aTicket) const
{
  return HomeGroupOf(aTicket.mKey).mLease->CheckStart(aTicket.mExecutor);
}

bool
ClaimService::IsFenced(const ClaimTicket& aTicket) const
{
  const std::optional<ExecutorEpoch> epoch =
    HomeGroupOf(aTicket.mKey).mLease->CurrentEpoch();
  return epoch && *epoch != aTicket.mExecutor;
}

void
ClaimService::Tick()
{
  std::deque<PendingCommand> pending;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    pending.swap(mPending);
    mPendingBytes = 0;
  }
  for (PendingCommand& command : pending) {
    SubmissionGroup& group = *mHomes.at(command.mHome).mGroup;
    group.Propose(command.mCommand,
                  [this, command](const Result<std::string>& aResult) {
                    if (!aResult) {
                      QueueForRetry(command);
                      return;
                    }
                    EndClaim(command.mHome, command.mExecutor);
                  });
  }
}

std::size_t
ClaimService::PendingCommandCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPending.size();
}

std::uint32_t
ClaimService::KeyEpochOf(const DataCentreName& aHome) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mKeyEpochs.find(aHome);
  return found == mKeyEpochs.end() ? 0 : found->second;
}

void
ClaimService::OnClaimOutcome(const ClaimTicket& aTicket,
                             ClaimOutcome aOutcome,
                             Clock::Monotonic aSentAt)
{
  ExecutorLease& lease = *HomeGroupOf(aTicket.mKey).mLease;
  if (aOutcome == ClaimOutcome::Won) {
    lease.OnClaimWon(aTicket.mExecutor, aSentAt);
    return;
  }
  if (aOutcome == ClaimOutcome::ExecutorFenced) {
    lease.OnFenced(aTicket.mExecutor);
  }
  EndClaim(aTicket.mKey.Home(), aTicket.mExecutor);
}

void
ClaimService::EndClaim(const DataCentreName& aHome, ExecutorEpoch aExecutor)
{
  if (aExecutor != kNoExecutorEpoch) {
    mHomes.at(aHome).mLease->EndClaim();
  }
}

void
ClaimService::QueueForRetry(PendingCommand aPending)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPendingBytes += aPending.mCommand.size();
  mPending.push_back(std::move(aPending));
}

void
ClaimService::UpdateKeyEpoch(const DataCentreName& aHome, std::uint32_t aEpoch)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::uint32_t& saved = mKeyEpochs[aHome];
  saved = std::max(saved, aEpoch);
}

bool
ClaimService::IsPendingFull() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPending.size() >= kMaxPendingCommands ||
         mPendingBytes >= kMaxPendingBytes;
}

const ClaimService::HomeGroup&
ClaimService::HomeGroupOf(const SubmissionKey& aKey) const
{
  return mHomes.at(aKey.Home());
}

}

#include "Jobs/JobController.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Jobs/HomeDataCentres.h"
#include "Membership/InstanceView.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

namespace {

constexpr const char* kCancelMethod = "jobs.cancel";
constexpr std::chrono::milliseconds kCancelTimeout{ 5000 };
constexpr int kHttpOk = 200;

JobAnswer
ErrorAnswer(const Error& aError)
{
  return { aError.Traits().mHttpStatus, aError.ToJson() };
}

// False for errors that do not tell how the job of the key ended.
bool
IsJobOutcome(const Error& aError)
{
  return aError.Kind() != ErrorKind::KeyStateUnknown &&
         aError.Kind() != ErrorKind::OutcomeUnknown;
}

JobAnswer
RecordedAnswer(const SubmissionKey& aKey, const std::string& aRecord)
{
  const Result<JobAnswer> answer = DecodeAnswer(aRecord);
  return answer ? answer.value() : FailedAnswer(aKey.Text(), answer.error());
}

}

JobController::JobController(const Clock& aClock,
                             const HomeDataCentres& aHomes,
                             ClaimService& aClaims,
                             JobRunner& aRunner,
                             const InstanceView& aInstances,
                             PeerRpc& aRpc,
                             const JobSettings& aSettings)
  : mClock(aClock)
  , mHomes(aHomes)
  , mClaims(aClaims)
  , mRunner(aRunner)
  , mInstances(aInstances)
  , mRpc(aRpc)
  , mSettings(aSettings)
{
  mRpc.Register(
    kCancelMethod,
    [this](const InstanceName& /*aFrom*/,
           const std::string& aRequest,
           const PeerRpc::Done& aDone) { HandleCancelCall(aRequest, aDone); });
}

void
JobController::Submit(const std::string& aKey,
                      const std::string& aBody,
                      std::chrono::milliseconds aWait,
                      Done aDone)
{
  const Result<SubmissionKey> parsed = SubmissionKey::Parse(aKey, mHomes);
  if (!parsed) {
    aDone(ErrorAnswer(parsed.error()));
    return;
  }
  Result<JobRequest> request = ParseJobRequest(aBody);
  if (!request) {
    aDone(ErrorAnswer(request.error()));
    return;
  }
  const SubmissionKey& key = parsed.value();
  const std::uint64_t bodyHash = HashBody(aBody);
  const auto heldHash = mRunner.BodyHashOf(key.Hash());
  if (heldHash && *heldHash != bodyHash) {
    aDone(ErrorAnswer(Error(
      ErrorKind::KeyConflict,
      "Idempotency-Key was used before with another body: key " + key.Text())));
    return;
  }
  if (heldHash && mRunner.AddWaiter(key.Hash(), MakeWaiter(aWait, aDone))) {
    return;
  }
  if (mDraining) {
    RefuseIfNew(key,
                bodyHash,
                Error(ErrorKind::Draining, "this instance is shutting down"),
                aWait,
                std::move(aDone));
    return;
  }
  const Result<void> check = mRunner.CheckAdmission(request.value());
  if (!check) {
    RefuseIfNew(key, bodyHash, check.error(), aWait, std::move(aDone));
    return;
  }
  ++mCallsInProgress;
  const Clock::Monotonic deadline = mClock.MonotonicNow() + aWait;
  mClaims.Claim(
    key,
    bodyHash,
    WorkKind::Job,
    [this,
     key,
     bodyHash,
     deadline,
     job = std::move(request.value()),
     done = std::move(aDone)](const Result<ClaimStatus>& aStatus) {
      if (aStatus && aStatus.value().mState == ClaimStatus::State::Won) {
        mRunner.Run(aStatus.value().mTicket, bodyHash, job, { deadline, done });
      } else {
        AnswerWithStatus(key, aStatus, deadline, done);
      }
      --mCallsInProgress;
    });
}

void
JobController::Show(const std::string& aKey,
                    std::chrono::milliseconds aWait,
                    Done aDone)
{
  const Result<SubmissionKey> parsed = SubmissionKey::Parse(aKey, mHomes);
  if (!parsed) {
    aDone(ErrorAnswer(parsed.error()));
    return;
  }
  const SubmissionKey& key = parsed.value();
  const detail::JobWaiter waiter = MakeWaiter(aWait, std::move(aDone));
  if (mRunner.AddWaiter(key.Hash(), waiter)) {
    return;
  }
  mClaims.Lookup(key, [this, key, waiter](const Result<ClaimStatus>& aStatus) {
    AnswerWithStatus(key, aStatus, waiter.mDeadline, waiter.mDone);
  });
}

void
JobController::Cancel(const std::string& aKey, Done aDone)
{
  const Result<SubmissionKey> parsed = SubmissionKey::Parse(aKey, mHomes);
  if (!parsed) {
    aDone(ErrorAnswer(parsed.error()));
    return;
  }
  const SubmissionKey& key = parsed.value();
  if (mRunner.Cancel(key.Hash(), aDone)) {
    return;
  }
  mClaims.Lookup(
    key,
    [this, key, done = std::move(aDone)](const Result<ClaimStatus>& aStatus) {
      const bool isRemote =
        aStatus && aStatus.value().mState == ClaimStatus::State::InProgress &&
        aStatus.value().mExecutor != mInstances.Self().mName;
      if (isRemote) {
        CancelAtExecutor(aStatus.value().mExecutor, key, done);
        return;
      }
      AnswerWithStatus(key, aStatus, mClock.MonotonicNow(), done);
    });
}

void
JobController::Home(Done aDone)
{
  // A lookup of any key of this home refreshes the known key epoch, which the
  // prefix contains.
  const std::string probe = mHomes.Self() + ":home";
  const Result<SubmissionKey> key = SubmissionKey::Parse(probe, mHomes);
  mClaims.Lookup(
    key.value(),
    [this, done = std::move(aDone)](const Result<ClaimStatus>& aStatus) {
      const std::uint32_t epoch = mClaims.KeyEpochOf(mHomes.Self());
      if (epoch == 0) {
        const std::string reason =
          aStatus ? std::string() : ": " + aStatus.error().Message();
        done(ErrorAnswer(
          Error(ErrorKind::NotReady, "the key epoch is not known" + reason)));
        return;
      }
      nlohmann::ordered_json body;
      body["home"] = mHomes.Self();
      body["keyPrefix"] = KeyPrefix(mHomes.Self(), epoch);
      done({ kHttpOk, body.dump() });
    });
}

void
JobController::StartDraining()
{
  mDraining = true;
}

bool
JobController::IsIdle() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCallsInProgress == 0 && mFollowers.empty() && mRunner.JobCount() == 0;
}

void
JobController::Tick()
{
  std::vector<Follower> due;
  {
    const Clock::Monotonic now = mClock.MonotonicNow();
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto split = std::partition(
      mFollowers.begin(), mFollowers.end(), [now](const Follower& aFollower) {
        return aFollower.mNextPoll > now;
      });
    due.assign(std::make_move_iterator(split),
               std::make_move_iterator(mFollowers.end()));
    mFollowers.erase(split, mFollowers.end());
  }
  for (const Follower& follower : due) {
    Poll(follower);
  }
}

void
JobController::RefuseIfNew(const SubmissionKey& aKey,
                           std::uint64_t aBodyHash,
                           const Error& aRefusal,
                           std::chrono::milliseconds aWait,
                           Done aDone)
{
  const Clock::Monotonic deadline = mClock.MonotonicNow() + aWait;
  mClaims.Lookup(
    aKey,
    [this, aKey, aBodyHash, aRefusal, deadline, done = std::move(aDone)](
      const Result<ClaimStatus>& aStatus) {
      const bool isNew =
        !aStatus && aStatus.error().Kind() == ErrorKind::UnknownJob;
      if (isNew) {
        done(ErrorAnswer(aRefusal));
        return;
      }
      if (!aStatus) {
        AnswerWithStatus(aKey, aStatus, deadline, done);
        return;
      }
      // Comparing the body writes to the group's journal, so it is done only
      // for a known key.
      mClaims.LookupWithBody(
        aKey,
        aBodyHash,
        [this, aKey, deadline, done](const Result<ClaimStatus>& aKnown) {
          AnswerWithStatus(aKey, aKnown, deadline, done);
        });
    });
}

void
JobController::AnswerWithStatus(const SubmissionKey& aKey,
                                const Result<ClaimStatus>& aStatus,
                                Clock::Monotonic aDeadline,
                                Done aDone)
{
  if (!aStatus) {
    const Error& error = aStatus.error();
    aDone(IsJobOutcome(error) ? FailedAnswer(aKey.Text(), error)
                              : ErrorAnswer(error));
    return;
  }
  if (aStatus.value().mState == ClaimStatus::State::Answered) {
    aDone(RecordedAnswer(aKey, aStatus.value().mAnswer));
    return;
  }
  if (mClock.MonotonicNow() >= aDeadline) {
    aDone(PendingAnswer(aKey.Text(), JobState::Running));
    return;
  }
  Follow(aKey, aDeadline, std::move(aDone));
}

void
JobController::Follow(const SubmissionKey& aKey,
                      Clock::Monotonic aDeadline,
                      Done aDone)
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  const std::lock_guard<std::mutex> lock(mMutex);
  mFollowers.push_back({ aKey,
                         aDeadline,
                         std::min(aDeadline, now + mSettings.mPollInterval),
                         std::move(aDone) });
}

void
JobController::Poll(const Follower& aFollower)
{
  ++mCallsInProgress;
  mClaims.Lookup(
    aFollower.mKey,
    [this, follower = aFollower](const Result<ClaimStatus>& aStatus) {
      // The group may be electing a leader. That does not affect the job, so
      // keep polling.
      const bool unanswered =
        !aStatus && aStatus.error().Kind() == ErrorKind::KeyStateUnknown;
      if (unanswered && mClock.MonotonicNow() < follower.mDeadline) {
        Follow(follower.mKey, follower.mDeadline, follower.mDone);
        --mCallsInProgress;
        return;
      }
      AnswerWithStatus(
        follower.mKey, aStatus, follower.mDeadline, follower.mDone);
      --mCallsInProgress;
    });
}

void
JobController::CancelAtExecutor(const InstanceName& aExecutor,
                                const SubmissionKey& aKey,
                                Done aDone)
{
  mRpc.Call(
    aExecutor,
    kCancelMethod,
    aKey.Text(),
    kCancelTimeout,
    [aKey, done = std::move(aDone)](const Result<std::string>& aResult) {
      if (!aResult) {
        // Only the cancellation failed; the job may still be running.
        done(FailedAnswer(
          aKey.Text(),
          Error(ErrorKind::OutcomeUnknown,
                "the cancellation could not be sent to the job's executor: " +
                  aResult.error().Message())));
        return;
      }
      done(RecordedAnswer(aKey, aResult.value()));
    });
}

void
JobController::HandleCancelCall(
  const std::string& aKey,
  const std::function<void(Result<std::string>)>& aDone)
{
  const Result<SubmissionKey> key = SubmissionKey::Parse(aKey, mHomes);
  if (!key) {
    aDone(key.error());
    return;
  }
  const Done reply = [aDone](const JobAnswer& aAnswer) {
    aDone(EncodeAnswer(aAnswer));
  };
  if (mRunner.Cancel(key.value().Hash(), reply)) {
    return;
  }
  mClaims.Lookup(
    key.value(),
    [this, key = key.value(), reply](const Result<ClaimStatus>& aStatus) {
      AnswerWithStatus(key, aStatus, mClock.MonotonicNow(), reply);
    });
}

detail::JobWaiter
JobController::MakeWaiter(std::chrono::milliseconds aWait, Done aDone) const
{
  return { mClock.MonotonicNow() + aWait, std::move(aDone) };
}

}

#include "Jobs/SubmissionStateMachine.h"

#include <algorithm>

namespace almondspoke {

namespace {

// Number of key epochs in the retention time, and in the maximum number of
// claims. Evicting a claim expires all keys of its epoch that have no claim, so
// a higher number expires fewer keys at once.
constexpr std::uint32_t kKeyEpochsPerRetention = 8;

// Most claims that one command examines for eviction. Bounds the time for which
// a command occupies the state machine.
constexpr int kMaxClaimsExamined = 256;

}

std::string
SubmissionStateMachine::Apply(LogIndex /*aIndex*/, std::string_view aCommand)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return DecodeCommand(aCommand, *this);
}

ClaimResponse
SubmissionStateMachine::Lookup(const KeyHash& aKey,
                               std::uint32_t aKeyEpoch) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mClaims.find(aKey);
  if (found != mClaims.end()) {
    return DescribeClaim(aKey, found->second);
  }
  ClaimResponse response;
  response.mCurrentKeyEpoch = mKeyEpoch;
  const ClaimOutcome outcome = CheckNewKey(aKey, aKeyEpoch);
  if (outcome == ClaimOutcome::Expired) {
    response.mOutcome = outcome;
  }
  return response;
}

std::vector<ExecutorRegistration>
SubmissionStateMachine::Executors() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<ExecutorRegistration> executors;
  executors.reserve(mExecutors.size());
  for (const auto& [epoch, registration] : mExecutors) {
    executors.push_back(registration);
  }
  return executors;
}

bool
SubmissionStateMachine::IsLive(ExecutorEpoch aEpoch) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return IsLiveLocked(aEpoch);
}

SubmissionCounts
SubmissionStateMachine::Counts() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  SubmissionCounts counts;
  counts.mClaims = mClaims.size();
  counts.mAnswers = mAnswers.size();
  counts.mAnswerBytes = mAnswerBytes;
  counts.mExpiredPlainKeys = mExpiredPlainKeys.size();
  counts.mKeyEpoch = mKeyEpoch;
  counts.mMinAcceptedKeyEpoch = mMinAcceptedKeyEpoch;
  return counts;
}

std::string
SubmissionStateMachine::Visit(const RegisterExecutorCommand& aCommand)
{
  RegisterExecutorResponse response;
  const auto earlier = std::find_if(
    mExecutors.begin(), mExecutors.end(), [&aCommand](const auto& aEntry) {
      return aEntry.second.mInstance == aCommand.mInstance;
    });
  if (earlier != mExecutors.end()) {
    if (earlier->second.mNonce == aCommand.mNonce) {
      response.mEpoch = earlier->first;
      return Encode(response);
    }
    mExecutors.erase(earlier);
  }
  response.mEpoch = mNextExecutorEpoch++;
  mExecutors.emplace(
    response.mEpoch,
    ExecutorRegistration{
      aCommand.mInstance, response.mEpoch, aCommand.mNonce, 0, 0 });
  return Encode(response);
}

std::string
SubmissionStateMachine::Visit(const ClaimCommand& aCommand)
{
  const auto found = mClaims.find(aCommand.mKey);
  if (found != mClaims.end()) {
    return Encode(ClaimExistingKey(aCommand, found->second));
  }
  const ClaimOutcome check = CheckNewKey(aCommand.mKey, aCommand.mKeyEpoch);
  if (check != ClaimOutcome::Won) {
    return EncodeOutcome(check);
  }
  if (!IsLiveLocked(aCommand.mExecutor)) {
    return EncodeOutcome(ClaimOutcome::ExecutorFenced);
  }
  if (!MakeRoomForClaim()) {
    return EncodeOutcome(ClaimOutcome::TooManyOpenClaims);
  }
  // Evicting a claim may have expired the epoch of this key.
  if (CheckNewKey(aCommand.mKey, aCommand.mKeyEpoch) != ClaimOutcome::Won) {
    return EncodeOutcome(ClaimOutcome::Expired);
  }
  Claim claim;
  claim.mBodyHash = aCommand.mBodyHash;
  claim.mClaimant = aCommand.mClaimant;
  claim.mExecutor = aCommand.mExecutor;
  claim.mKeyEpoch = aCommand.mKeyEpoch;
  claim.mKind = aCommand.mKind;
  InsertClaim(aCommand.mKey, claim);
  CountClaimOpened(claim.mExecutor);
  return EncodeOutcome(ClaimOutcome::Won);
}

ClaimResponse
SubmissionStateMachine::ClaimExistingKey(const ClaimCommand& aCommand,
                                         Claim& aClaim)
{
  ClaimResponse response = DescribeClaim(aCommand.mKey, aClaim);
  const bool ownClaim = aClaim.mClaimant == aCommand.mClaimant;
  if (aClaim.mState == ClaimState::Released) {
    if (ownClaim) {
      return response;
    }
    if (!IsLiveLocked(aCommand.mExecutor)) {
      response.mOutcome = ClaimOutcome::ExecutorFenced;
      return response;
    }
    aClaim.mBodyHash = aCommand.mBodyHash;
    aClaim.mClaimant = aCommand.mClaimant;
    aClaim.mExecutor = aCommand.mExecutor;
    aClaim.mKind = aCommand.mKind;
    aClaim.mState = ClaimState::Open;
    CountClaimOpened(aClaim.mExecutor);
    response.mOutcome = ClaimOutcome::Won;
    return response;
  }
  if (aClaim.mBodyHash != aCommand.mBodyHash) {
    response = ClaimResponse();
    response.mOutcome = ClaimOutcome::Conflict;
    response.mCurrentKeyEpoch = mKeyEpoch;
    return response;
  }
  if (response.mOutcome == ClaimOutcome::InProgress && ownClaim &&
      aClaim.mExecutor == aCommand.mExecutor) {
    response.mOutcome = ClaimOutcome::Won;
  }
  return response;
}

std::string
SubmissionStateMachine::Visit(const RecordAnswerCommand& aCommand)
{
  const auto found = mClaims.find(aCommand.mKey);
  if (found == mClaims.end()) {
    return EncodeOutcome(ClaimOutcome::Unknown);
  }
  Claim& claim = found->second;
  if (claim.mExecutor != aCommand.mExecutor ||
      claim.mState == ClaimState::Released) {
    return EncodeOutcome(ClaimOutcome::ExecutorFenced);
  }
  if (claim.mState != ClaimState::Open) {
    return EncodeOutcome(ClaimOutcome::Recorded);
  }
  if (!IsLiveLocked(claim.mExecutor)) {
    return EncodeOutcome(ClaimOutcome::ExecutorFenced);
  }
  const bool keepBody = aCommand.mIncludesAnswer &&
                        aCommand.mAnswer.size() <= mLimits.mMaxAnswerBytes &&
                        aCommand.mAnswer.size() <= mLimits.mMaxTotalAnswerBytes;
  CountClaimClosed(claim.mExecutor);
  claim.mState = keepBody ? ClaimState::Answered : ClaimState::AnswerNotKept;
  if (keepBody) {
    StoreAnswer(aCommand.mKey, aCommand.mAnswer);
  }
  return EncodeOutcome(ClaimOutcome::Recorded);
}

std::string
SubmissionStateMachine::Visit(const ReleaseClaimCommand& aCommand)
{
  const auto found = mClaims.find(aCommand.mKey);
  if (found == mClaims.end()) {
    const ClaimOutcome check = CheckNewKey(aCommand.mKey, aCommand.mKeyEpoch);
    if (check != ClaimOutcome::Won) {
      return EncodeOutcome(check);
    }
    if (!MakeRoomForClaim()) {
      return EncodeOutcome(ClaimOutcome::TooManyOpenClaims);
    }
    Claim claim;
    claim.mClaimant = aCommand.mClaimant;
    claim.mKeyEpoch = aCommand.mKeyEpoch;
    claim.mState = ClaimState::Released;
    InsertClaim(aCommand.mKey, claim);
    return EncodeOutcome(ClaimOutcome::Released);
  }
  Claim& claim = found->second;
  if (claim.mClaimant == aCommand.mClaimant &&
      claim.mState == ClaimState::Open && IsLiveLocked(claim.mExecutor)) {
    claim.mState = ClaimState::Released;
    CountClaimClosed(claim.mExecutor);
  }
  return Encode(DescribeClaim(aCommand.mKey, claim));
}

std::string
SubmissionStateMachine::Visit(const ExecutorLostCommand& aCommand)
{
  mExecutors.erase(aCommand.mExecutor);
  return EncodeOutcome(ClaimOutcome::ExecutorLost);
}

std::string
SubmissionStateMachine::Visit(const AdvanceClockCommand& aCommand)
{
  mLimits = aCommand.mLimits;
  mNowMs += aCommand.mElapsedMs;
  const std::uint64_t span =
    std::max<std::uint64_t>(1, mLimits.mRetentionMs / kKeyEpochsPerRetention);
  if (mNowMs - mKeyEpochStartedMs >= span) {
    AdvanceKeyEpoch();
  }
  ExpireByTime();
  DropOldExpiredKeys();
  return EncodeOutcome(ClaimOutcome::Unknown);
}

std::string
SubmissionStateMachine::EncodeOutcome(ClaimOutcome aOutcome) const
{
  ClaimResponse response;
  response.mOutcome = aOutcome;
  response.mCurrentKeyEpoch = mKeyEpoch;
  return Encode(response);
}

ClaimResponse
SubmissionStateMachine::DescribeClaim(const KeyHash& aKey,
                                      const Claim& aClaim) const
{
  ClaimResponse response;
  response.mCurrentKeyEpoch = mKeyEpoch;
  switch (aClaim.mState) {
    case ClaimState::Released:
      response.mOutcome = ClaimOutcome::Released;
      return response;
    case ClaimState::AnswerNotKept:
      response.mOutcome = ClaimOutcome::AnswerNotKept;
      return response;
    case ClaimState::Answered:
      response.mOutcome = ClaimOutcome::Answered;
      response.mAnswer = mAnswers.at(aKey);
      return response;
    case ClaimState::Open:
      break;
  }
  const auto executor = mExecutors.find(aClaim.mExecutor);
  if (executor == mExecutors.end()) {
    response.mOutcome = ClaimOutcome::ExecutorLost;
    return response;
  }
  response.mOutcome = ClaimOutcome::InProgress;
  response.mExecutor = executor->second.mInstance;
  return response;
}

ClaimOutcome
SubmissionStateMachine::CheckNewKey(const KeyHash& aKey,
                                    std::uint32_t aKeyEpoch) const
{
  if (aKeyEpoch > mKeyEpoch) {
    return ClaimOutcome::EpochNotIssued;
  }
  if (aKeyEpoch != 0) {
    return aKeyEpoch < mMinAcceptedKeyEpoch ? ClaimOutcome::Expired
                                            : ClaimOutcome::Won;
  }
  if (mExpiredPlainKeys.count(aKey.mHigh) != 0) {
    return ClaimOutcome::Expired;
  }
  if (mPlainKeyClaims + mExpiredPlainKeys.size() >= mLimits.mMaxPlainKeys) {
    return ClaimOutcome::TooManyPlainKeys;
  }
  return ClaimOutcome::Won;
}

void
SubmissionStateMachine::CountClaimOpened(ExecutorEpoch aEpoch)
{
  ExecutorRegistration& executor = mExecutors.at(aEpoch);
  ++executor.mOpenClaims;
  ++executor.mClaimsWon;
}

void
SubmissionStateMachine::CountClaimClosed(ExecutorEpoch aEpoch)
{
  --mExecutors.at(aEpoch).mOpenClaims;
}

void
SubmissionStateMachine::InsertClaim(const KeyHash& aKey, const Claim& aClaim)
{
  Claim claim = aClaim;
  claim.mClaimedAtMs = mNowMs;
  mClaims.emplace(aKey, claim);
  mClaimOrder.push_back(aKey);
  if (claim.mKeyEpoch == 0) {
    ++mPlainKeyClaims;
  }
  const std::uint32_t claimsInEpoch =
    std::max<std::uint32_t>(1, mLimits.mMaxClaims / kKeyEpochsPerRetention);
  if (++mClaimsInKeyEpoch >= claimsInEpoch) {
    AdvanceKeyEpoch();
  }
}

bool
SubmissionStateMachine::MakeRoomForClaim()
{
  return mClaims.size() < mLimits.mMaxClaims || EvictOldest();
}

bool
SubmissionStateMachine::EvictOldest()
{
  for (int examined = 0; examined < kMaxClaimsExamined && !mClaimOrder.empty();
       ++examined) {
    const auto oldest = mClaims.find(mClaimOrder.front());
    const Claim& claim = oldest->second;
    mClaimOrder.pop_front();
    if (claim.mState == ClaimState::Open && IsLiveLocked(claim.mExecutor)) {
      mClaimOrder.push_back(oldest->first);
      continue;
    }
    Evict(oldest);
    return true;
  }
  return false;
}

void
SubmissionStateMachine::Evict(Claims::iterator aClaim)
{
  const Claim& claim = aClaim->second;
  if (claim.mKeyEpoch == 0) {
    --mPlainKeyClaims;
    if (mExpiredPlainKeys.insert(aClaim->first.mHigh).second) {
      mExpiredPlainKeyOrder.push_back({ aClaim->first.mHigh, mNowMs });
    }
  } else if (claim.mKeyEpoch >= mMinAcceptedKeyEpoch) {
    mMinAcceptedKeyEpoch = claim.mKeyEpoch + 1;
    if (mMinAcceptedKeyEpoch > mKeyEpoch) {
      AdvanceKeyEpoch();
    }
  }
  if (claim.mState == ClaimState::Answered) {
    DropAnswer(aClaim->first);
  }
  mClaims.erase(aClaim);
}

void
SubmissionStateMachine::ExpireByTime()
{
  for (int examined = 0; examined < kMaxClaimsExamined && !mClaimOrder.empty();
       ++examined) {
    const Claim& oldest = mClaims.at(mClaimOrder.front());
    if (mNowMs - oldest.mClaimedAtMs < mLimits.mRetentionMs) {
      return;
    }
    if (!EvictOldest()) {
      return;
    }
  }
}

void
SubmissionStateMachine::DropOldExpiredKeys()
{
  while (!mExpiredPlainKeyOrder.empty() &&
         mNowMs - mExpiredPlainKeyOrder.front().mExpiredAtMs >=
           mLimits.mPlainKeyRefusalMs) {
    mExpiredPlainKeys.erase(mExpiredPlainKeyOrder.front().mHash);
    mExpiredPlainKeyOrder.pop_front();
  }
}

void
SubmissionStateMachine::StoreAnswer(const KeyHash& aKey,
                                    const std::string& aAnswer)
{
  mAnswers.emplace(aKey, aAnswer);
  mAnswerOrder.push_back(aKey);
  mAnswerBytes += aAnswer.size();
  while (mAnswerBytes > mLimits.mMaxTotalAnswerBytes) {
    const KeyHash oldest = mAnswerOrder.front();
    mAnswerOrder.pop_front();
    const auto claim = mClaims.find(oldest);
    if (claim == mClaims.end()) {
      continue;
    }
    claim->second.mState = ClaimState::AnswerNotKept;
    DropAnswer(oldest);
  }
}

void
SubmissionStateMachine::DropAnswer(const KeyHash& aKey)
{
  const auto found = mAnswers.find(aKey);
  mAnswerBytes -= found->second.size();
  mAnswers.erase(found);
  while (!mAnswerOrder.empty() && mAnswers.count(mAnswerOrder.front()) == 0) {
    mAnswerOrder.pop_front();
  }
}

void
SubmissionStateMachine::AdvanceKeyEpoch()
{
  ++mKeyEpoch;
  mKeyEpochStartedMs = mNowMs;
  mClaimsInKeyEpoch = 0;
}

bool
SubmissionStateMachine::IsLiveLocked(ExecutorEpoch aEpoch) const
{
  return mExecutors.count(aEpoch) != 0;
}

}

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <utility>

#include <msgpack.hpp>

#include "Jobs/SubmissionPacking.h"
#include "Jobs/SubmissionStateMachine.h"

namespace almondspoke {

namespace {

constexpr std::uint32_t kSnapshotVersion = 1;

using Packer = msgpack::packer<detail::StringBuffer>;

/** \brief Sequential reader of the objects in a snapshot. */
class SnapshotReader
{
public:
  explicit SnapshotReader(std::string_view aBytes)
    : mBytes(aBytes)
  {
  }

  template<typename T>
  T Next()
  {
    return detail::UnpackBounded<T>(mBytes, mOffset);
  }

  bool AtEnd() const { return mOffset == mBytes.size(); }

private:
  std::string_view mBytes;
  std::size_t mOffset = 0;
};

}

std::string
SubmissionStateMachine::TakeSnapshot() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  constexpr std::size_t kTypicalClaimBytes = 64;
  detail::StringBuffer buffer;
  buffer.mBytes.reserve(mClaims.size() * kTypicalClaimBytes + mAnswerBytes);
  Packer packer(buffer);
  packer.pack(kSnapshotVersion);
  packer.pack(mLimits);
  packer.pack(mNowMs);
  packer.pack(mKeyEpoch);
  packer.pack(mMinAcceptedKeyEpoch);
  packer.pack(mKeyEpochStartedMs);
  packer.pack(mClaimsInKeyEpoch);
  packer.pack(mNextExecutorEpoch);
  packer.pack(mExecutors.size());
  for (const auto& [epoch, executor] : mExecutors) {
    packer.pack(epoch);
    packer.pack(RegisterExecutorCommand{ executor.mInstance, executor.mNonce });
  }
  packer.pack(mClaimOrder.size());
  for (const KeyHash& key : mClaimOrder) {
    const Claim& claim = mClaims.at(key);
    // The members and their order are those of SnapshotClaim.
    packer.pack_array(9);
    packer.pack(key.mHigh);
    packer.pack(key.mLow);
    packer.pack(claim.mBodyHash);
    packer.pack(claim.mClaimant);
    packer.pack(claim.mExecutor);
    packer.pack(claim.mClaimedAtMs);
    packer.pack(claim.mKeyEpoch);
    packer.pack(static_cast<std::uint8_t>(claim.mState));
    packer.pack(claim.mKind);
  }
  packer.pack(mAnswers.size());
  for (const KeyHash& key : mAnswerOrder) {
    const auto answer = mAnswers.find(key);
    if (answer == mAnswers.end()) {
      continue;
    }
    packer.pack(key);
    packer.pack(answer->second);
  }
  packer.pack(mExpiredPlainKeyOrder.size());
  for (const ExpiredPlainKey& expired : mExpiredPlainKeyOrder) {
    packer.pack(expired.mHash);
    packer.pack(expired.mExpiredAtMs);
  }
  return std::move(buffer.mBytes);
}

Result<void>
SubmissionStateMachine::RestoreSnapshot(std::string_view aSnapshot)
{
  SubmissionStateMachine restored;
  try {
    restored.ReadSnapshot(aSnapshot);
  } catch (const std::exception& error) {
    return Error(ErrorKind::StorageCorrupt,
                 std::string("malformed submission snapshot: ") + error.what());
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mLimits = restored.mLimits;
  mNowMs = restored.mNowMs;
  mKeyEpoch = restored.mKeyEpoch;
  mMinAcceptedKeyEpoch = restored.mMinAcceptedKeyEpoch;
  mKeyEpochStartedMs = restored.mKeyEpochStartedMs;
  mClaimsInKeyEpoch = restored.mClaimsInKeyEpoch;
  mNextExecutorEpoch = restored.mNextExecutorEpoch;
  mExecutors = std::move(restored.mExecutors);
  mClaims = std::move(restored.mClaims);
  mClaimOrder = std::move(restored.mClaimOrder);
  mPlainKeyClaims = restored.mPlainKeyClaims;
  mAnswers = std::move(restored.mAnswers);
  mAnswerOrder = std::move(restored.mAnswerOrder);
  mAnswerBytes = restored.mAnswerBytes;
  mExpiredPlainKeys = std::move(restored.mExpiredPlainKeys);
  mExpiredPlainKeyOrder = std::move(restored.mExpiredPlainKeyOrder);
  return Success();
}

void
SubmissionStateMachine::ReadSnapshot(std::string_view aSnapshot)
{
  SnapshotReader reader(aSnapshot);
  if (reader.Next<std::uint32_t>() != kSnapshotVersion) {
    throw std::runtime_error("unknown snapshot version");
  }
  mLimits = reader.Next<SubmissionLimits>();
  mNowMs = reader.Next<std::uint64_t>();
  mKeyEpoch = reader.Next<std::uint32_t>();
  mMinAcceptedKeyEpoch = reader.Next<std::uint32_t>();
  mKeyEpochStartedMs = reader.Next<std::uint64_t>();
  mClaimsInKeyEpoch = reader.Next<std::uint32_t>();
  mNextExecutorEpoch = reader.Next<ExecutorEpoch>();
  for (auto remaining = reader.Next<std::uint64_t>(); remaining > 0;
       --remaining) {
    const auto epoch = reader.Next<ExecutorEpoch>();
    auto executor = reader.Next<RegisterExecutorCommand>();
    mExecutors.emplace(
      epoch,
      ExecutorRegistration{
        std::move(executor.mInstance), epoch, executor.mNonce, 0, 0 });
  }
  const auto claims = reader.Next<std::uint64_t>();
  mClaims.reserve(std::min<std::size_t>(claims, aSnapshot.size()));
  for (std::uint64_t index = 0; index < claims; ++index) {
    ReadClaim(reader.Next<SnapshotClaim>());
  }
  for (auto remaining = reader.Next<std::uint64_t>(); remaining > 0;
       --remaining) {
    const auto key = reader.Next<KeyHash>();
    const auto [answer, inserted] =
      mAnswers.emplace(key, reader.Next<std::string>());
    if (!inserted) {
      throw std::runtime_error("two answers for one key");
    }
    mAnswerOrder.push_back(key);
    mAnswerBytes += answer->second.size();
  }
  for (auto remaining = reader.Next<std::uint64_t>(); remaining > 0;
       --remaining) {
    const auto hash = reader.Next<std::uint64_t>();
    mExpiredPlainKeyOrder.push_back({ hash, reader.Next<std::uint64_t>() });
    mExpiredPlainKeys.insert(hash);
  }
  CheckAnswersMatchClaims();
  if (!reader.AtEnd()) {
    throw std::runtime_error("unexpected data after the last object");
  }
}

void
SubmissionStateMachine::ReadClaim(const SnapshotClaim& aFields)
{
  const auto& [high, low, body, claimant, executor, at, epoch, state, kind] =
    aFields;
  if (state > static_cast<std::uint8_t>(ClaimState::Released)) {
    throw std::runtime_error("unknown claim state");
  }
  Claim claim;
  claim.mBodyHash = body;
  claim.mClaimant = claimant;
  claim.mExecutor = executor;
  claim.mClaimedAtMs = at;
  claim.mKeyEpoch = epoch;
  claim.mState = static_cast<ClaimState>(state);
  claim.mKind = kind;
  const KeyHash key{ high, low };
  if (!mClaims.emplace(key, claim).second) {
    throw std::runtime_error("two claims on one key");
  }
  mClaimOrder.push_back(key);
  if (claim.mState == ClaimState::Open && IsLiveLocked(claim.mExecutor)) {
    ++mExecutors.at(claim.mExecutor).mOpenClaims;
  }
  if (epoch == 0) {
    ++mPlainKeyClaims;
  }
}

void
SubmissionStateMachine::CheckAnswersMatchClaims() const
{
  std::size_t answered = 0;
  for (const auto& [key, claim] : mClaims) {
    if (claim.mState != ClaimState::Answered) {
      continue;
    }
    ++answered;
    if (mAnswers.count(key) == 0) {
      throw std::runtime_error("an answered claim has no answer");
    }
  }
  if (answered != mAnswers.size()) {
    throw std::runtime_error("an answer has no answered claim");
  }
}

}

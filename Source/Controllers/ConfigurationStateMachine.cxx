#include "Controllers/ConfigurationStateMachine.h"

#include <algorithm>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

constexpr std::uint32_t kSnapshotFormat = 2;

/** \brief The fields by which a retry is recognised as the same change. Time
 * and author are excluded because they may differ in a retry. The text is
 * represented by its hash because a retry may send it in full or as a delta. */
struct ChangeContent
{
  ChangeKind mKind;
  RulesVersion mBaseVersion;
  RulesVersion mTargetVersion;
  std::uint64_t mTextHash;
  std::uint64_t mMaxTextBytes;

  MSGPACK_DEFINE(mKind, mBaseVersion, mTargetVersion, mTextHash, mMaxTextBytes)
};

std::uint64_t
DigestOf(const ChangeCommand& aCommand)
{
  ChangeContent content{ aCommand.mKind,
                         aCommand.mBaseVersion,
                         aCommand.mTargetVersion,
                         HashOf(aCommand.mText),
                         aCommand.mText.size() };
  if (aCommand.mDelta) {
    content.mTextHash = aCommand.mDelta->mResultHash;
    content.mMaxTextBytes = aCommand.mDelta->mResultBytes;
  }
  return HashOf(PackMessage(content));
}

}

ConfigurationStateMachine::ConfigurationStateMachine(
  ConfigurationLimits aLimits,
  ConfigurationObserver& aObserver)
  : mLimits(aLimits)
  , mObserver(aObserver)
{
  mState.mFormat = kSnapshotFormat;
}

std::string
ConfigurationStateMachine::Apply(LogIndex, std::string_view aCommand)
{
  const auto command = UnpackMessage<ChangeCommand>(aCommand);
  if (!command) {
    return PackMessage(ChangeResponse{});
  }
  ChangeResponse response;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const RulesVersion before = mState.mTexts.Current().mVersion;
    response = ApplyCommand(command.value());
    mHasUnpublishedVersion |= mState.mTexts.Current().mVersion != before;
  }
  if (!mInBatch) {
    Publish();
  }
  return PackMessage(response);
}

void
ConfigurationStateMachine::BeginBatch()
{
  mInBatch = true;
}

void
ConfigurationStateMachine::EndBatch()
{
  mInBatch = false;
  Publish();
}

void
ConfigurationStateMachine::Publish()
{
  if (mHasUnpublishedVersion) {
    mHasUnpublishedVersion = false;
    mObserver.OnConfiguration(Current());
  }
}

ChangeResponse
ConfigurationStateMachine::ApplyCommand(const ChangeCommand& aCommand)
{
  const auto found = mAnswerNumbers.find(aCommand.mRequestId);
  if (found == mAnswerNumbers.end()) {
    ChangeResponse response = Change(aCommand);
    // The response to a delta that was corrupted in transit is not stored, so
    // that a retry with the correct delta can succeed.
    if (response.mOutcome != ChangeOutcome::DeltaMismatch) {
      StoreAnswer(aCommand, response);
    }
    return response;
  }
  const Answer& answer = mState.mAnswers[found->second - mRemovedAnswers];
  if (answer.mDigest == DigestOf(aCommand)) {
    return answer.mResponse;
  }
  ChangeResponse reused;
  reused.mOutcome = ChangeOutcome::RequestIdReused;
  reused.mVersion = mState.mTexts.Current().mVersion;
  return reused;
}

ChangeResponse
ConfigurationStateMachine::Change(const ChangeCommand& aCommand)
{
  if (aCommand.mBaseVersion != mState.mTexts.Current().mVersion) {
    return Conflict(aCommand.mBaseVersion);
  }
  ChangeResponse response;
  Result<std::string> text = NewTextOf(aCommand);
  if (text) {
    Accept(aCommand, std::move(text.value()));
    response.mOutcome = ChangeOutcome::Accepted;
  } else {
    response.mOutcome = aCommand.mKind == ChangeKind::Rollback
                          ? ChangeOutcome::UnknownVersion
                          : ChangeOutcome::DeltaMismatch;
  }
  response.mVersion = mState.mTexts.Current().mVersion;
  return response;
}

Result<std::string>
ConfigurationStateMachine::NewTextOf(const ChangeCommand& aCommand) const
{
  if (aCommand.mKind == ChangeKind::Rollback) {
    std::optional<std::string> text =
      mState.mTexts.Find(aCommand.mTargetVersion);
    if (!text) {
      return Error(ErrorKind::NotFound,
                   "the text of the version is no longer stored");
    }
    return std::move(*text);
  }
  if (aCommand.mDelta) {
    return ApplyDelta(mState.mTexts.Current().mText, *aCommand.mDelta);
  }
  return aCommand.mText;
}

ChangeResponse
ConfigurationStateMachine::Conflict(RulesVersion aBaseVersion) const
{
  ChangeResponse response;
  response.mOutcome = ChangeOutcome::VersionConflict;
  response.mVersion = mState.mTexts.Current().mVersion;
  response.mWinner = FindChange(aBaseVersion + 1);
  return response;
}

void
ConfigurationStateMachine::Accept(const ChangeCommand& aCommand,
                                  std::string aText)
{
  ChangeRecord record;
  record.mVersion = mState.mTexts.Current().mVersion + 1;
  record.mBaseVersion = aCommand.mBaseVersion;
  record.mRollbackOf =
    aCommand.mKind == ChangeKind::Rollback ? aCommand.mTargetVersion : 0;
  record.mRequestId = aCommand.mRequestId;
  record.mAuthor = aCommand.mAuthor;
  record.mWallMilliseconds = aCommand.mWallMilliseconds;
  record.mBytes = aText.size();

  // The size of the deltas counts towards the limits of the state, so all
  // replicas must compute identical deltas.
  const std::string& before = mState.mTexts.Current().mText;
  const bool hasDelta = aCommand.mKind == ChangeKind::Apply && aCommand.mDelta;
  TextDelta backward =
    hasDelta ? InvertDelta(before, *aCommand.mDelta) : DiffRange(aText, before);
  mState.mTexts.Advance(std::move(aText), std::move(backward));
  mState.mTexts.Trim(mLimits.mMaxChanges, mLimits.mMaxTextBytes);
  mState.mHistory.push_back(std::move(record));
  if (mState.mHistory.size() > mLimits.mMaxChanges) {
    mState.mHistory.pop_front();
  }
}

void
ConfigurationStateMachine::StoreAnswer(const ChangeCommand& aCommand,
                                       const ChangeResponse& aResponse)
{
  mAnswerNumbers[aCommand.mRequestId] =
    mRemovedAnswers + mState.mAnswers.size();
  mState.mAnswers.push_back(
    { aCommand.mRequestId, DigestOf(aCommand), aResponse });
  if (mState.mAnswers.size() > mLimits.mMaxRequestIds) {
    mAnswerNumbers.erase(mState.mAnswers.front().mRequestId);
    mState.mAnswers.pop_front();
    ++mRemovedAnswers;
  }
}

std::string
ConfigurationStateMachine::TakeSnapshot() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return PackMessage(mState);
}

Result<void>
ConfigurationStateMachine::RestoreSnapshot(std::string_view aSnapshot)
{
  Result<State> state = UnpackMessage<State>(aSnapshot);
  if (!state) {
    return Error(ErrorKind::StorageCorrupt,
                 "the configuration snapshot cannot be decoded: " +
                   state.error().Message());
  }
  if (state.value().mFormat != kSnapshotFormat) {
    return Error(ErrorKind::StorageCorrupt,
                 "the configuration snapshot has format " +
                   std::to_string(state.value().mFormat) +
                   " (allowed: " + std::to_string(kSnapshotFormat) + ")");
  }
  if (const Result<void> texts = state.value().mTexts.Restore(); !texts) {
    return Error(ErrorKind::StorageCorrupt,
                 "the configuration snapshot is damaged: " +
                   texts.error().Message());
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mState = std::move(state.value());
    mRemovedAnswers = 0;
    mAnswerNumbers.clear();
    for (const Answer& answer : mState.mAnswers) {
      mAnswerNumbers.emplace(answer.mRequestId, mAnswerNumbers.size());
    }
  }
  mHasUnpublishedVersion = false;
  mObserver.OnConfiguration(Current());
  return Success();
}

RulesText
ConfigurationStateMachine::Current() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState.mTexts.Current();
}

std::optional<RulesText>
ConfigurationStateMachine::TextOf(RulesVersion aVersion) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::optional<std::string> text = mState.mTexts.Find(aVersion);
  if (!text) {
    return std::nullopt;
  }
  return RulesText{ aVersion, std::move(*text) };
}

std::vector<ChangeRecord>
ConfigurationStateMachine::History(std::size_t aLimit) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const std::size_t count = std::min(aLimit, mState.mHistory.size());
  return { mState.mHistory.rbegin(),
           mState.mHistory.rbegin() + static_cast<std::ptrdiff_t>(count) };
}

std::optional<ChangeRecord>
ConfigurationStateMachine::FindChange(RulesVersion aVersion) const
{
  for (const ChangeRecord& record : mState.mHistory) {
    if (record.mVersion == aVersion) {
      return record;
    }
  }
  return std::nullopt;
}

}

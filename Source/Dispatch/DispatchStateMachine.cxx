#include "Dispatch/DispatchStateMachine.h"

#include <charconv>
#include <utility>

#include <glog/logging.h>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

/** The first byte of a command is its type. */
constexpr char kManifestCommand = 'M';
constexpr char kBatchCommand = 'B';
constexpr char kEvacuationCommand = 'E';

constexpr const char* kAppliedResponse = "taken";
constexpr const char* kOutdatedResponse = "outdated";
/** Followed by the current revision. */
constexpr std::string_view kOutdatedRevisionResponse = "outdated ";
constexpr const char* kFullResponse = "full";

template<typename Message>
std::string
EncodeCommand(char aKind, const Message& aMessage)
{
  return aKind + PackMessage(aMessage);
}

}

DispatchStateMachine::DispatchStateMachine(
  Observer aObserver,
  EvacuationObserver aEvacuationObserver)
  : mObserver(std::move(aObserver))
  , mEvacuationObserver(std::move(aEvacuationObserver))
{
}

std::string
DispatchStateMachine::CommandOf(const Manifest& aManifest)
{
  return EncodeCommand(kManifestCommand, aManifest);
}

std::string
DispatchStateMachine::CommandOf(const RecordBatch& aBatch)
{
  return EncodeCommand(kBatchCommand, aBatch);
}

std::string
DispatchStateMachine::CommandOf(const EvacuationRecord& aRecord)
{
  return EncodeCommand(kEvacuationCommand, aRecord);
}

bool
DispatchStateMachine::WasApplied(const std::string& aResponse)
{
  return aResponse == kAppliedResponse;
}

std::optional<std::uint64_t>
DispatchStateMachine::RevisionIfOutdated(const std::string& aResponse)
{
  const std::size_t begin = kOutdatedRevisionResponse.size();
  if (aResponse.compare(0, begin, kOutdatedRevisionResponse) != 0) {
    return std::nullopt;
  }
  std::uint64_t revision = 0;
  const char* end = aResponse.data() + aResponse.size();
  const auto parsed = std::from_chars(aResponse.data() + begin, end, revision);
  return parsed.ec == std::errc() ? std::make_optional(revision) : std::nullopt;
}

std::string
DispatchStateMachine::Apply(LogIndex aIndex, std::string_view aCommand)
{
  const char kind = aCommand.empty() ? '\0' : aCommand.front();
  aCommand.remove_prefix(aCommand.empty() ? 0 : 1);
  if (kind == kManifestCommand) {
    const Result<Manifest> manifest = UnpackMessage<Manifest>(aCommand);
    if (manifest) {
      return ApplyManifest(manifest.value());
    }
  }
  if (kind == kBatchCommand) {
    const Result<RecordBatch> batch = UnpackMessage<RecordBatch>(aCommand);
    if (batch) {
      const std::lock_guard<std::mutex> lock(mMutex);
      return ApplyBatch(mState, batch.value()) ? kAppliedResponse
                                               : kOutdatedResponse;
    }
  }
  if (kind == kEvacuationCommand) {
    const Result<EvacuationRecord> record =
      UnpackMessage<EvacuationRecord>(aCommand);
    if (record) {
      return ApplyEvacuation(record.value());
    }
  }
  LOG(ERROR) << "log entry " << aIndex << " is not a valid dispatch command";
  return {};
}

std::string
DispatchStateMachine::ApplyManifest(const Manifest& aManifest)
{
  std::shared_ptr<const Manifest> manifest;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::uint64_t version =
      mState.mManifest ? mState.mManifest->mVersion : 0;
    if (aManifest.mVersion <= version) {
      return kAppliedResponse;
    }
    manifest = std::make_shared<const Manifest>(aManifest);
    mState.mManifest = manifest;
  }
  mObserver(std::move(manifest));
  return kAppliedResponse;
}

std::string
DispatchStateMachine::ApplyEvacuation(const EvacuationRecord& aRecord)
{
  EvacuationEffect effect = EvacuationEffect::Unchanged;
  std::uint64_t revision = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    effect = mState.mEvacuations.Apply(aRecord);
    revision = mState.mEvacuations.Revision();
  }
  if (effect == EvacuationEffect::Outdated) {
    return std::string(kOutdatedRevisionResponse) + std::to_string(revision);
  }
  if (effect == EvacuationEffect::Full) {
    return kFullResponse;
  }
  if (effect == EvacuationEffect::Changed) {
    NotifyOfEvacuations();
  }
  return kAppliedResponse;
}

void
DispatchStateMachine::NotifyOfEvacuations() const
{
  if (mEvacuationObserver) {
    mEvacuationObserver();
  }
}

std::string
DispatchStateMachine::TakeSnapshot() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return PackState(mState);
}

Result<void>
DispatchStateMachine::RestoreSnapshot(std::string_view aSnapshot)
{
  BOOST_OUTCOME_TRY(state, UnpackState(aSnapshot));
  const std::shared_ptr<const Manifest> manifest = state.mManifest;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mState = std::move(state);
  }
  if (manifest) {
    mObserver(manifest);
  }
  NotifyOfEvacuations();
  return Success();
}

std::shared_ptr<const Manifest>
DispatchStateMachine::CurrentManifest() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState.mManifest;
}

DispatchState
DispatchStateMachine::CurrentState() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState;
}

Evacuations
DispatchStateMachine::CurrentEvacuations() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState.mEvacuations;
}

}

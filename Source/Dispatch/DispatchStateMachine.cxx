#include "Dispatch/DispatchStateMachine.h"

#include <utility>

#include <glog/logging.h>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

/** The first byte of a command is its type. */
constexpr char kManifestCommand = 'M';
constexpr char kBatchCommand = 'B';

constexpr const char* kAppliedResponse = "taken";
constexpr const char* kOutdatedResponse = "outdated";

template<typename Message>
std::string
EncodeCommand(char aKind, const Message& aMessage)
{
  return aKind + PackMessage(aMessage);
}

}

DispatchStateMachine::DispatchStateMachine(Observer aObserver)
  : mObserver(std::move(aObserver))
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

bool
DispatchStateMachine::WasApplied(const std::string& aResponse)
{
  return aResponse == kAppliedResponse;
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

}

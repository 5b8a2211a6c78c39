#include "Dispatch/DispatchStateMachine.h"

#include <utility>

#include <glog/logging.h>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

DispatchStateMachine::DispatchStateMachine(Observer aObserver)
  : mObserver(std::move(aObserver))
{
}

std::string
DispatchStateMachine::CommandOf(const Manifest& aManifest)
{
  return PackMessage(aManifest);
}

std::string
DispatchStateMachine::Apply(LogIndex aIndex, std::string_view aCommand)
{
  Result<Manifest> manifest = UnpackMessage<Manifest>(aCommand);
  if (!manifest) {
    LOG(ERROR) << "entry " << aIndex
               << " is no manifest: " << manifest.error().Message();
    return {};
  }
  const std::shared_ptr<const Manifest> current = Current();
  const std::uint64_t version = current ? current->mVersion : 0;
  if (manifest.value().mVersion > version) {
    Replace(std::make_shared<const Manifest>(std::move(manifest.value())));
  }
  return std::to_string(Current()->mVersion);
}

std::string
DispatchStateMachine::TakeSnapshot() const
{
  const std::shared_ptr<const Manifest> current = Current();
  return PackMessage(current ? *current : Manifest{});
}

Result<void>
DispatchStateMachine::RestoreSnapshot(std::string_view aSnapshot)
{
  BOOST_OUTCOME_TRY(manifest, UnpackMessage<Manifest>(aSnapshot));
  if (manifest.mVersion == 0) {
    const std::lock_guard<std::mutex> lock(mMutex);
    mManifest.reset();
    return Success();
  }
  Replace(std::make_shared<const Manifest>(std::move(manifest)));
  return Success();
}

std::shared_ptr<const Manifest>
DispatchStateMachine::Current() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mManifest;
}

void
DispatchStateMachine::Replace(std::shared_ptr<const Manifest> aManifest)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mManifest = aManifest;
  }
  mObserver(std::move(aManifest));
}

}

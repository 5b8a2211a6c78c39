#include "Controllers/ServedVersionStore.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include <glog/logging.h>

namespace almondspoke {

namespace {

constexpr const char* kFileName = "served-version";

Result<RulesVersion>
VersionOfLine(std::string_view aLine)
{
  RulesVersion version = 0;
  const char* const end = aLine.data() + aLine.size();
  const auto [last, failure] = std::from_chars(aLine.data(), end, version);
  if (failure != std::errc() || last != end) {
    return Error(ErrorKind::StorageFailed,
                 "the file '" + std::string(kFileName) + "' has the line '" +
                   std::string(aLine) +
                   "' (allowed: a version as a decimal number)");
  }
  return version;
}

/** Returns the highest version in the complete lines of the file. */
Result<RulesVersion>
HighestVersion(std::string_view aText)
{
  RulesVersion highest = 0;
  while (true) {
    const std::size_t end = aText.find('\n');
    if (end == std::string_view::npos) {
      return highest;
    }
    BOOST_OUTCOME_TRY(version, VersionOfLine(aText.substr(0, end)));
    highest = std::max(highest, version);
    aText.remove_prefix(end + 1);
  }
}

}

ServedVersionStore::~ServedVersionStore()
{
  Stop();
}

Result<RulesVersion>
ServedVersionStore::Open(std::unique_ptr<JournalStorage> aStorage)
{
  BOOST_OUTCOME_TRY(content, aStorage->Read(kFileName));
  if (content) {
    BOOST_OUTCOME_TRY(version, HighestVersion(*content));
    mStoredVersion = version;
    mBytes = content->size();
    mMayEndInPartialLine = !content->empty() && content->back() != '\n';
  }
  mStorage = std::move(aStorage);
  mThread = std::thread([this] { Run(); });
  return mStoredVersion;
}

void
ServedVersionStore::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ServedVersionStore::Store(RulesVersion aVersion, Done aDone)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStorage && aVersion > mStoredVersion) {
      if (!mPending || aVersion > mPending->mVersion) {
        mPending = { aVersion, std::move(aDone) };
        mChanged.notify_all();
      }
      return;
    }
  }
  aDone();
}

void
ServedVersionStore::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    mChanged.wait(lock, [this] { return mIsStopping || mPending; });
    if (mIsStopping) {
      return;
    }
    const Pending pending = *std::exchange(mPending, std::nullopt);
    lock.unlock();
    if (const Result<void> written = Write(pending.mVersion); !written) {
      LOG(ERROR) << "rules version " << pending.mVersion
                 << " is served although it could not be written to disk: "
                 << written.error().Message();
    }
    pending.mDone();
    lock.lock();
    mStoredVersion = std::max(mStoredVersion, pending.mVersion);
  }
}

Result<void>
ServedVersionStore::Write(RulesVersion aVersion)
{
  const std::string line = std::to_string(aVersion) + '\n';
  const bool replaces =
    mMayEndInPartialLine || mBytes + line.size() > kMaxFileBytes;
  mMayEndInPartialLine = true;
  if (replaces) {
    BOOST_OUTCOME_TRYV(mStorage->Replace(kFileName, line));
    mBytes = 0;
  } else {
    BOOST_OUTCOME_TRYV(mStorage->Append(kFileName, line));
    BOOST_OUTCOME_TRYV(mStorage->Sync(kFileName));
  }
  mMayEndInPartialLine = false;
  mBytes += line.size();
  return Success();
}

}

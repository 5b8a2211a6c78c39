#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "Consensus/JournalStorage.h"

namespace almondspoke::testing {

/** \brief A disk in memory that can crash at any step, fail, fill up and be
 * set back to an older copy of itself. */
class MemoryJournalStorage : public JournalStorage
{
public:
  struct File
  {
    std::string mContent;
    /** Part of the content that survives a crash for sure. */
    std::size_t mSynced = 0;
  };
  using Files = std::map<std::string, File>;

  Result<std::optional<std::string>> Read(const std::string& aName) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto file = mFiles.find(aName);
    if (file == mFiles.end()) {
      return std::optional<std::string>();
    }
    return std::optional<std::string>(file->second.mContent);
  }

  Result<void> Append(const std::string& aName,
                      std::string_view aBytes) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!Step()) {
      return Failed(aName);
    }
    const std::size_t room =
      mCapacity > Used() ? mCapacity - Used() : std::size_t{ 0 };
    mFiles[aName].mContent.append(aBytes.substr(0, room));
    if (aBytes.size() > room) {
      return Error(ErrorKind::StorageFailed, "no space left for " + aName);
    }
    return Success();
  }

  /** Loses all files, as a disk that is exchanged. */
  void Wipe()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFiles.clear();
  }

  Result<void> Sync(const std::string& aName) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mSyncs;
    if (!Step() || mSyncFails) {
      return Failed(aName);
    }
    File& file = mFiles[aName];
    file.mSynced = file.mContent.size();
    return Success();
  }

  Result<void> Replace(const std::string& aName,
                       std::string_view aBytes) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mSyncs;
    if (!Step() || mSyncFails || aBytes.size() + Used() > mCapacity) {
      return Failed(aName);
    }
    mFiles[aName] = { std::string(aBytes), aBytes.size() };
    return Success();
  }

  Result<void> Truncate(const std::string& aName, std::size_t aSize) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!Step()) {
      return Failed(aName);
    }
    File& file = mFiles[aName];
    file.mContent.resize(aSize);
    file.mSynced = aSize;
    return Success();
  }

  Result<void> Remove(const std::string& aName) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!Step()) {
      return Failed(aName);
    }
    mFiles.erase(aName);
    return Success();
  }

  /** All operations after the next aSteps fail, until Crash(). */
  void FailAfter(std::size_t aSteps) { mStepsLeft = aSteps; }

  /** Loses an arbitrary part of what was not synced, and works again. */
  template<typename Random>
  void Crash(Random& aRandom)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (auto& [name, file] : mFiles) {
      std::uniform_int_distribution<std::size_t> kept(file.mSynced,
                                                      file.mContent.size());
      file.mContent.resize(kept(aRandom));
      file.mSynced = file.mContent.size();
    }
    mStepsLeft.reset();
  }

  /** A copy of the durable content, as of a backup. */
  Files Copy() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Files copy = mFiles;
    for (auto& [name, file] : copy) {
      file.mContent.resize(file.mSynced);
    }
    return copy;
  }

  void SetFiles(Files aFiles)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFiles = std::move(aFiles);
  }

  void SetSyncFails(bool aFails)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mSyncFails = aFails;
  }

  void SetCapacity(std::size_t aBytes)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCapacity = aBytes;
  }

  /** Bytes in all files. */
  std::size_t Used() const
  {
    std::size_t used = 0;
    for (const auto& [name, file] : mFiles) {
      used += file.mContent.size();
    }
    return used;
  }

  std::size_t Syncs() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSyncs;
  }

private:
  bool Step()
  {
    if (!mStepsLeft) {
      return true;
    }
    if (*mStepsLeft == 0) {
      return false;
    }
    --*mStepsLeft;
    return true;
  }

  static Error Failed(const std::string& aName)
  {
    return { ErrorKind::StorageFailed, "cannot write " + aName };
  }

  mutable std::mutex mMutex;
  Files mFiles;
  std::optional<std::size_t> mStepsLeft;
  bool mSyncFails = false;
  std::size_t mCapacity = ~std::size_t{ 0 };
  std::size_t mSyncs = 0;
};

}

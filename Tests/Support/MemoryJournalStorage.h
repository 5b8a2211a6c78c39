#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "Consensus/JournalStorage.h"

namespace almondspoke::testing {

/** \brief A JournalStorage in memory that can simulate a crash at any
 * operation, failed writes, a full disk and the restore of an older copy. */
class MemoryJournalStorage : public JournalStorage
{
public:
  struct File
  {
    std::string mContent;
    /** Length of the prefix of mContent that is sure to survive a crash. */
    std::size_t mSynced = 0;
    /** Whether a sync failed: the bytes after mSynced never become durable,
     * even if they can be read and a later sync succeeds. */
    bool mSyncFailed = false;
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

  /** Removes all files, as when the disk is replaced. */
  void Wipe()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFiles.clear();
  }

  Result<void> Sync(const std::string& aName) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mSyncs;
    File& file = mFiles[aName];
    if (!Step() || mSyncFails) {
      file.mSyncFailed = true;
      return Failed(aName);
    }
    if (!file.mSyncFailed) {
      file.mSynced = file.mContent.size();
    }
    return Success();
  }

  Result<void> Replace(const std::string& aName,
                       std::string_view aBytes) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mSyncs;
    const bool full = mCapacity < Used() + aBytes.size();
    if (!Step() || mSyncFails || full) {
      return Failed(aName);
    }
    mFiles[aName] = { std::string(aBytes), aBytes.size(), false };
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
    if (!file.mSyncFailed) {
      file.mSynced = aSize;
    }
    file.mSynced = std::min(file.mSynced, aSize);
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

  /** Lets the next aSteps modifying operations succeed; all later ones fail
   * until Crash() or Repair(). */
  void FailAfter(std::size_t aSteps)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStepsLeft = aSteps;
  }

  /** Ends all failures: the disk takes bytes again. */
  void Repair()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStepsLeft.reset();
    mSyncFails = false;
    mCapacity = ~std::size_t{ 0 };
  }

  /** Drops a random part of the unsynced content and ends the failures that
   * FailAfter() began. */
  template<typename Random>
  void Crash(Random& aRandom)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (auto& [name, file] : mFiles) {
      std::uniform_int_distribution<std::size_t> kept(file.mSynced,
                                                      file.mContent.size());
      file.mContent.resize(kept(aRandom));
      file.mSynced = file.mContent.size();
      file.mSyncFailed = false;
    }
    mStepsLeft.reset();
  }

  /** Returns a copy of the synced content, as a backup would hold it. */
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

  /** Returns the total size of all files in bytes. */
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

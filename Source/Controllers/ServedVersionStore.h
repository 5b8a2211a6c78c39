#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "Base/Result.h"
#include "Consensus/JournalStorage.h"
#include "Rules/RuleSet.h"

namespace almondspoke {

/** \brief Stores the highest rules version that this instance has served on
 * disk. It is written before the version is served.
 *
 * Each version is appended as a line to a file, followed by a sync; a last line
 * without a line break is ignored. The file is replaced when it exceeds
 * kMaxFileBytes or after a failed write.
 *
 * A separate thread writes to the disk, so that the group's thread does not
 * block. Of several pending versions only the highest is written and served. */
class ServedVersionStore
{
public:
  using Done = std::function<void()>;

  /** Maximum size of the file; a write that would exceed it replaces the file.
   */
  static constexpr std::size_t kMaxFileBytes{ 64U << 10U };

  ServedVersionStore() = default;
  ServedVersionStore(const ServedVersionStore&) = delete;
  ServedVersionStore& operator=(const ServedVersionStore&) = delete;
  ~ServedVersionStore();

  /** Reads the storage and starts the thread. \return the stored version, or 0
   * if there is none. Errors: StorageFailed. */
  Result<RulesVersion> Open(std::unique_ptr<JournalStorage> aStorage);

  /** Stops the thread; a pending version is discarded and not served. */
  void Stop();

  /** Calls aDone once the version or a higher one is stored, or immediately if
   * there is no storage. After a disk error aDone is called as well, because
   * the instance continues to serve. It is not called for a pending version
   * that is replaced by a higher one. */
  void Store(RulesVersion aVersion, Done aDone);

private:
  struct Pending
  {
    RulesVersion mVersion = 0;
    Done mDone;
  };

  void Run();
  Result<void> Write(RulesVersion aVersion);

  std::unique_ptr<JournalStorage> mStorage;
  std::thread mThread;
  // Only used by the thread once it runs.
  std::size_t mBytes = 0;
  /** True if the file may end with a partial line. */
  bool mMayEndInPartialLine = false;
  std::mutex mMutex;
  std::condition_variable mChanged;
  RulesVersion mStoredVersion = 0;
  std::optional<Pending> mPending;
  bool mIsStopping = false;
};

}

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Result.h"
#include "Consensus/ConsensusTypes.h"
#include "Consensus/JournalStorage.h"

namespace almondspoke {

/** \brief The durable state of one replica: identity, hard state, snapshot and
 * log.
 *
 * The log file is a sequence of records, each with its length and an xxhash
 * checksum. A snapshot replaces the log file by one that starts behind it.
 * After an error the journal refuses all further writes, since what a failed
 * sync has left on the disk is unknown. Not thread-safe. */
class Journal
{
public:
  explicit Journal(JournalStorage& aStorage);

  /** Reads the state; an incomplete end of the log, as a crash leaves it, is
   * cut off. An empty storage gets aNewIncarnation.
   * Errors: StorageFailed, StorageCorrupt. */
  Result<StoredState> Open(StorageIncarnation aNewIncarnation);

  /** Writes a batch, with one sync unless it holds a snapshot or a reset. */
  Result<void> Write(const std::vector<JournalWrite>& aWrites);

  /** Bytes cut off by Open(). */
  std::size_t RepairedBytes() const { return mTruncatedBytes; }

private:
  struct LogFileContent
  {
    LogPosition mBase;
    HardState mHardState;
    std::vector<LogEntry> mEntries;
    /** Size of the part that is intact. */
    std::size_t mValidBytes = 0;
  };

  static LogFileContent Parse(std::string_view aBytes);
  static bool ApplyRecord(std::string_view aPayload, LogFileContent& aContent);
  static void DropCoveredEntries(const Snapshot& aSnapshot,
                                 LogFileContent& aContent);
  Result<void> WriteBatch(const std::vector<JournalWrite>& aWrites);
  Result<void> Flush(std::string& aBuffer);
  Result<void> Reset(const StorageIdentity& aIdentity);
  Result<void> WriteSnapshot(const Snapshot& aSnapshot);
  Result<LogFileContent> Load();
  Result<void> RewriteLog(const LogFileContent& aContent);

  JournalStorage& mStorage;
  HardState mHardState;
  bool mFailed = false;
  std::size_t mTruncatedBytes = 0;
};

}

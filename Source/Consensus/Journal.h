#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Result.h"
#include "Consensus/ConsensusTypes.h"
#include "Consensus/JournalStorage.h"

namespace almondspoke {

/** \brief Durable state of one replica: identity, hard state, snapshot and log.
 *
 * The log file is a sequence of records, each with its length and an xxhash
 * checksum. A snapshot replaces the log file by one that starts after it. After
 * an error the journal rejects all further writes until Open() has succeeded
 * again, because the contents of the disk after a failed sync are unknown. Not
 * thread-safe. */
class Journal
{
public:
  explicit Journal(JournalStorage& aStorage);

  /** Reads the state and stores it anew, since neither what a failed sync was
   * to store nor what a killed process had written without a sync survives a
   * loss of power. An incomplete record at the end of the log is dropped. Empty
   * storage gets the identity aNewIncarnation.
   *
   * After a failed write it may be called until it succeeds. It fails with
   * StorageCorrupt if the storage lacks what this journal has confirmed as
   * durable.
   * Errors: StorageFailed, StorageCorrupt. */
  Result<StoredState> Open(StorageIncarnation aNewIncarnation);

  /** Discards everything stored and returns the state of a replica that has
   * lost its storage. Errors: StorageFailed. */
  Result<StoredState> Discard(StorageIncarnation aNewIncarnation);

  /** Writes a batch durably, with a single sync unless the batch contains a
   * snapshot or a new identity. */
  Result<void> Write(const std::vector<JournalWrite>& aWrites);

  /** Number of bytes that Open() dropped from the log. */
  std::size_t TruncatedBytes() const { return mTruncatedBytes; }

private:
  struct LogFileContent
  {
    LogPosition mBase;
    HardState mHardState;
    std::vector<LogEntry> mEntries;
    /** Size of the intact part of the file. */
    std::size_t mValidBytes = 0;
  };

  /** What the journal has confirmed as durable, and a replica may therefore
   * have voted for or acknowledged. */
  struct ConfirmedState
  {
    HardState mHardState;
    /** Position of the last entry. */
    LogPosition mLast;
  };

  Result<StoredState> ReadState(StorageIncarnation aNewIncarnation);
  Result<StoredState> CreateIdentity(StorageIncarnation aNewIncarnation);
  Result<void> StoreAnew(const StoredState& aState);
  Result<void> CheckConfirmed(const StoredState& aState) const;
  void Confirm(const JournalWrite& aWrite);
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
  ConfirmedState mConfirmed;
  bool mFailed = false;
  std::size_t mTruncatedBytes = 0;
};

}

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "Consensus/ConsensusMessage.h"
#include "Consensus/FileJournalStorage.h"
#include "Consensus/Journal.h"
#include "Support/MemoryJournalStorage.h"

using namespace almondspoke;
using almondspoke::testing::MemoryJournalStorage;

namespace {

LogEntry
Entry(LogIndex aIndex, Term aTerm, const std::string& aPayload)
{
  return { aIndex, aTerm, EntryKind::Command, aPayload };
}

JournalWrite
EntryWrite(LogIndex aIndex, Term aTerm)
{
  JournalWrite write;
  write.mEntries.push_back(
    Entry(aIndex, aTerm, "entry " + std::to_string(aIndex)));
  return write;
}

JournalWrite
StateWrite(Term aTerm)
{
  JournalWrite write;
  write.mHardState = HardState{ aTerm, { "a", 7 }, 99 };
  return write;
}

JournalWrite
SnapshotWrite(LogIndex aIndex, Term aTerm)
{
  JournalWrite write;
  Snapshot snapshot;
  snapshot.mIndex = aIndex;
  snapshot.mTerm = aTerm;
  snapshot.mConfiguration.mVoters = { { "a", 7 } };
  snapshot.mData = std::make_shared<const std::string>("state");
  write.mSnapshot = snapshot;
  return write;
}

StoredState
Reopen(MemoryJournalStorage& aStorage)
{
  Journal journal(aStorage);
  return journal.Open(1234).value();
}

/** \brief Path of a temporary folder, which is removed on destruction. */
class TemporaryFolder
{
public:
  TemporaryFolder()
    : mPath(std::filesystem::temp_directory_path() /
            ("almondspoke-journal-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(mPath);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string Path() const { return mPath.string(); }

private:
  std::filesystem::path mPath;
};

}

TEST_CASE("Journal: reads back what was written")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5).value().mIdentity.mIncarnation == 5);
  REQUIRE(journal.Write({ StateWrite(3), EntryWrite(1, 3), EntryWrite(2, 3) }));
  const StoredState state = Reopen(storage);
  CHECK(state.mIdentity.mIncarnation == 5);
  CHECK(state.mHardState.mTerm == 3);
  CHECK(state.mHardState.mVotedFor == ReplicaId{ "a", 7 });
  CHECK(state.mHardState.mBootstrapId == 99);
  REQUIRE(state.mEntries.size() == 2);
  CHECK(state.mEntries[1].mPayload == "entry 2");
}

TEST_CASE("Journal: a batch of writes needs one sync")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  const std::size_t before = storage.Syncs();
  std::vector<JournalWrite> writes;
  for (LogIndex index = 1; index <= 100; ++index) {
    writes.push_back(EntryWrite(index, 1));
  }
  REQUIRE(journal.Write(writes));
  CHECK(storage.Syncs() == before + 1);
}

TEST_CASE("Journal: an entry replaces those at and after its index")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(
    journal.Write({ EntryWrite(1, 1), EntryWrite(2, 1), EntryWrite(3, 1) }));
  REQUIRE(journal.Write({ EntryWrite(2, 4) }));
  const StoredState state = Reopen(storage);
  REQUIRE(state.mEntries.size() == 2);
  CHECK(state.mEntries[1].mTerm == 4);
}

TEST_CASE("Journal: truncation at any byte loses only the incomplete record")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(journal.Write({ StateWrite(3), EntryWrite(1, 3) }));
  const std::size_t intact = storage.Copy().at("journal").mContent.size();
  REQUIRE(journal.Write({ EntryWrite(2, 3) }));
  const MemoryJournalStorage::Files whole = storage.Copy();
  const std::size_t size = whole.at("journal").mContent.size();
  for (std::size_t length = intact; length < size; ++length) {
    INFO("cut to " << length << " of " << size << " bytes");
    MemoryJournalStorage::Files torn = whole;
    torn["journal"].mContent.resize(length);
    torn["journal"].mSynced = length;
    MemoryJournalStorage other;
    other.SetFiles(torn);
    Journal reopened(other);
    const StoredState state = reopened.Open(1).value();
    REQUIRE(state.mEntries.size() == 1);
    CHECK(state.mHardState.mTerm == 3);
    CHECK(reopened.TruncatedBytes() == length - intact);
    REQUIRE(reopened.Write({ EntryWrite(2, 5) }));
    REQUIRE(Reopen(other).mEntries.size() == 2);
    CHECK(Reopen(other).mEntries[1].mTerm == 5);
  }
}

TEST_CASE("Journal: a flipped bit anywhere in the last record is detected")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(journal.Write({ EntryWrite(1, 3) }));
  const std::size_t intact = storage.Copy().at("journal").mContent.size();
  REQUIRE(journal.Write({ EntryWrite(2, 3) }));
  const MemoryJournalStorage::Files whole = storage.Copy();
  const std::size_t size = whole.at("journal").mContent.size();
  for (std::size_t byte = intact; byte < size; ++byte) {
    for (unsigned bit = 0; bit < 8; ++bit) {
      MemoryJournalStorage::Files flipped = whole;
      flipped["journal"].mContent[byte] ^= static_cast<char>(1U << bit);
      MemoryJournalStorage other;
      other.SetFiles(flipped);
      REQUIRE(Reopen(other).mEntries.size() == 1);
    }
  }
}

TEST_CASE("Journal: a snapshot replaces the log before it")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(journal.Write(
    { StateWrite(1), EntryWrite(1, 1), EntryWrite(2, 1), EntryWrite(3, 1) }));
  REQUIRE(journal.Write({ SnapshotWrite(2, 1) }));
  const StoredState state = Reopen(storage);
  REQUIRE(state.mSnapshot);
  CHECK(state.mSnapshot->mIndex == 2);
  CHECK(*state.mSnapshot->mData == "state");
  CHECK(state.mSnapshot->mConfiguration.mVoters.size() == 1);
  REQUIRE(state.mEntries.size() == 1);
  CHECK(state.mEntries[0].mIndex == 3);
  CHECK(state.mHardState.mTerm == 1);
}

TEST_CASE("Journal: a crash at each step of a snapshot loses nothing")
{
  for (std::size_t step = 0; step < 6; ++step) {
    INFO("crash after step " << step);
    MemoryJournalStorage storage;
    Journal journal(storage);
    REQUIRE(journal.Open(5));
    REQUIRE(
      journal.Write({ StateWrite(2), EntryWrite(1, 1), EntryWrite(2, 1) }));
    storage.FailAfter(step);
    const bool written =
      journal.Write({ EntryWrite(3, 2), SnapshotWrite(2, 1) }).has_value();
    std::mt19937_64 random(step);
    storage.Crash(random);
    const StoredState state = Reopen(storage);
    const LogIndex covered = state.mSnapshot ? state.mSnapshot->mIndex : 0;
    const LogIndex last = covered + state.mEntries.size();
    CHECK(state.mHardState.mTerm == 2);
    CHECK(last >= 2);
    if (written) {
      CHECK(last == 3);
    }
  }
}

TEST_CASE("Journal: a log that conflicts with the snapshot is dropped")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(
    journal.Write({ EntryWrite(1, 1), EntryWrite(2, 1), EntryWrite(3, 1) }));
  // The crash happens after the snapshot file is written and before the log
  // file is rewritten.
  storage.FailAfter(1);
  CHECK_FALSE(journal.Write({ SnapshotWrite(2, 9) }));
  std::mt19937_64 random(1);
  storage.Crash(random);
  const StoredState state = Reopen(storage);
  REQUIRE(state.mSnapshot);
  CHECK(state.mEntries.empty());
}

TEST_CASE("Journal: entries written after an interrupted snapshot are kept")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(journal.Write({ EntryWrite(1, 1) }));
  storage.FailAfter(1);
  CHECK_FALSE(journal.Write({ SnapshotWrite(20, 1) }));
  std::mt19937_64 random(1);
  storage.Crash(random);
  Journal reopened(storage);
  REQUIRE(reopened.Open(6).value().mSnapshot->mIndex == 20);
  REQUIRE(reopened.Write({ EntryWrite(21, 1) }));
  CHECK(Reopen(storage).mEntries.size() == 1);
}

TEST_CASE("Journal: rejects writes after a failed sync")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  storage.SetSyncFails(true);
  CHECK(journal.Write({ EntryWrite(1, 1) }).error().Kind() ==
        ErrorKind::StorageFailed);
  storage.SetSyncFails(false);
  CHECK(journal.Write({ EntryWrite(1, 1) }).error().Message() ==
        "the journal rejects writes because an earlier write failed");
}

TEST_CASE("Journal: stores anew what a failed sync left, before it is used")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(journal.Write({ StateWrite(2), EntryWrite(1, 1) }));
  storage.SetSyncFails(true);
  REQUIRE_FALSE(journal.Write({ EntryWrite(2, 2) }));
  CHECK(journal.Open(6).error().Kind() == ErrorKind::StorageFailed);
  CHECK_FALSE(journal.Write({ EntryWrite(3, 2) }));
  storage.SetSyncFails(false);
  const StoredState state = journal.Open(6).value();
  CHECK(state.mIdentity.mIncarnation == 5);
  CHECK(state.mHardState.mTerm == 2);
  REQUIRE(journal.Write({ EntryWrite(state.mEntries.size() + 1, 2) }));
  std::mt19937_64 random(1);
  storage.Crash(random);
  CHECK(Reopen(storage).mEntries.size() == state.mEntries.size() + 1);
}

// Guards against a process that was killed before a sync, starts again,
// acknowledges what it reads and loses it with the power.
TEST_CASE("Journal: what is read at the start survives a loss of power")
{
  MemoryJournalStorage storage;
  {
    Journal killed(storage);
    REQUIRE(killed.Open(5));
    REQUIRE(killed.Write({ StateWrite(2), EntryWrite(1, 1) }));
    storage.SetSyncFails(true);
    REQUIRE_FALSE(killed.Write({ EntryWrite(2, 2) }));
    storage.SetSyncFails(false);
  }
  Journal journal(storage);
  REQUIRE(journal.Open(6).value().mEntries.size() == 2);
  std::mt19937_64 random(1);
  storage.Crash(random);
  CHECK(Reopen(storage).mEntries.size() == 2);
}

TEST_CASE("Journal: storage that lost a confirmed write is corrupt")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  JournalWrite state = StateWrite(2);
  state.mHardState->mBootstrapId = 7;
  REQUIRE(journal.Write({ state, EntryWrite(1, 1) }));
  const MemoryJournalStorage::Files earlier = storage.Copy();
  const auto reopen = [&](const MemoryJournalStorage::Files& aFiles) {
    storage.SetSyncFails(true);
    REQUIRE_FALSE(journal.Write({ EntryWrite(9, 9) }));
    storage.SetSyncFails(false);
    storage.SetFiles(aFiles);
    return journal.Open(6);
  };
  SECTION("an entry")
  {
    REQUIRE(journal.Write({ EntryWrite(2, 2) }));
    CHECK(reopen(earlier).error().Message() ==
          "the storage lacks the confirmed log index 2");
  }
  SECTION("a vote")
  {
    state.mHardState->mVotedFor = { "b", 3 };
    REQUIRE(journal.Write({ state }));
    CHECK(reopen(earlier).error().Message() ==
          "the storage lacks the confirmed vote of term 2");
  }
  SECTION("everything")
  {
    CHECK(reopen({}).error().Kind() == ErrorKind::StorageCorrupt);
  }
  const StoredState discarded = journal.Discard(8).value();
  CHECK(discarded.mIdentity.mIncarnation == 8);
  CHECK(discarded.mIdentity.mEverAdmitted);
  REQUIRE(journal.Write({ EntryWrite(1, 3) }));
  CHECK(Reopen(storage).mEntries.size() == 1);
}

TEST_CASE("Journal: an error for a damaged snapshot or identity names the file")
{
  MemoryJournalStorage storage;
  Journal journal(storage);
  REQUIRE(journal.Open(5));
  REQUIRE(journal.Write({ EntryWrite(1, 1), SnapshotWrite(1, 1) }));
  for (const char* file : { "snapshot", "identity" }) {
    const std::string name = file;
    MemoryJournalStorage::Files damaged = storage.Copy();
    damaged[name].mContent.back() ^= 1;
    MemoryJournalStorage other;
    other.SetFiles(damaged);
    Journal reopened(other);
    const auto opened = reopened.Open(1);
    REQUIRE_FALSE(opened);
    CHECK(opened.error().Kind() == ErrorKind::StorageCorrupt);
    CHECK(opened.error().Message() ==
          "the file '" + name + "' fails its checksum");
  }
}

TEST_CASE("Journal: works on real files and locks them")
{
  const TemporaryFolder folder;
  {
    auto storage = FileJournalStorage::Open(folder.Path()).value();
    Journal journal(*storage);
    REQUIRE(journal.Open(5));
    REQUIRE(
      journal.Write({ StateWrite(2), EntryWrite(1, 1), EntryWrite(2, 2) }));
    REQUIRE(journal.Write({ SnapshotWrite(1, 1), EntryWrite(3, 2) }));
    const auto second = FileJournalStorage::Open(folder.Path());
    REQUIRE_FALSE(second);
    CHECK(second.error().Message() ==
          "the folder '" + folder.Path() + "' is in use by another process");
  }
  {
    std::ofstream journal(folder.Path() + "/journal",
                          std::ios::binary | std::ios::app);
    journal << "torn";
  }
  auto storage = FileJournalStorage::Open(folder.Path()).value();
  Journal journal(*storage);
  const StoredState state = journal.Open(6).value();
  CHECK(state.mIdentity.mIncarnation == 5);
  CHECK(journal.TruncatedBytes() == 4);
  REQUIRE(state.mEntries.size() == 2);
  CHECK(state.mEntries[1].mIndex == 3);
}

TEST_CASE("Message: decodes its encoding and rejects malformed input")
{
  ConsensusMessage message;
  message.mKind = MessageKind::Append;
  message.mTerm = 7;
  message.mEntries = { Entry(8, 7, "payload") };
  message.mConfiguration.mVoters = { { "a", 1 } };
  const std::string bytes = EncodeMessage(message);
  const ConsensusMessage decoded = DecodeMessage(bytes).value();
  CHECK(decoded.mKind == MessageKind::Append);
  CHECK(decoded.mEntries.at(0).mPayload == "payload");
  CHECK(decoded.mConfiguration.IsVoter({ "a", 1 }));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(DecodeMessage(std::string_view(bytes).substr(0, length)));
  }
  CHECK_FALSE(DecodeMessage("\x93\x01\x02\x03"));
  // An array of 1,048,575 elements in five bytes must be rejected before memory
  // is allocated for it.
  const auto huge = DecodeMessage(std::string_view("\xdd\x00\x0f\xff\xff", 5));
  REQUIRE_FALSE(huge);
  CHECK(huge.error().Message() ==
        "consensus message: declares more elements than its bytes can hold");
}

#include "Consensus/Journal.h"

#include <algorithm>
#include <cstring>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

constexpr const char* kIdentityFile = "identity";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLogFile = "journal";

enum class RecordKind : std::uint8_t
{
  /** Position before the first entry. */
  Base = 0,
  HardState = 1,
  Entry = 2
};

/** A record starts with the length of its payload and a checksum over the
 * length and the payload. */
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kHeaderBytes = kLengthBytes + kChecksumBytes;

template<typename Integer>
void
AppendLittleEndian(std::string& aBuffer, Integer aValue)
{
  for (std::size_t byte = 0; byte < sizeof(Integer); ++byte) {
    aBuffer.push_back(static_cast<char>((aValue >> (8 * byte)) & 0xffU));
  }
}

template<typename Integer>
Integer
ReadLittleEndian(std::string_view aBytes)
{
  Integer value = 0;
  for (std::size_t byte = 0; byte < sizeof(Integer); ++byte) {
    value |= static_cast<Integer>(static_cast<unsigned char>(aBytes[byte]))
             << (8 * byte);
  }
  return value;
}

std::uint64_t
Checksum(std::string_view aPayload)
{
  // The length is the seed, so that the checksum covers it too.
  return XXH64(aPayload.data(), aPayload.size(), aPayload.size());
}

void
AppendRecord(std::string& aBuffer, std::string_view aPayload)
{
  AppendLittleEndian(aBuffer, static_cast<std::uint32_t>(aPayload.size()));
  AppendLittleEndian(aBuffer, Checksum(aPayload));
  aBuffer.append(aPayload);
}

/** Reads the first record; empty if it is not intact. */
std::optional<std::string_view>
ReadRecord(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const auto length = ReadLittleEndian<std::uint32_t>(aBytes);
  const auto checksum =
    ReadLittleEndian<std::uint64_t>(aBytes.substr(kLengthBytes));
  if (length > aBytes.size() - kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = aBytes.substr(kHeaderBytes, length);
  if (Checksum(payload) != checksum) {
    return std::nullopt;
  }
  return payload;
}

template<typename Value>
std::string
Pack(RecordKind aKind, const Value& aValue)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack(static_cast<std::uint8_t>(aKind));
  packer.pack(aValue);
  return { buffer.data(), buffer.size() };
}

template<typename Value>
Value
Unpack(std::string_view aBytes, std::size_t aOffset)
{
  return UnpackValue<Value>(aBytes, aOffset, LimitsFor(aBytes));
}

using BaseRecord = std::tuple<LogIndex, Term>;
using SnapshotRecord =
  std::tuple<LogIndex, Term, GroupConfiguration, std::string>;

/** Encodes one value as the content of a file with a single record. */
template<typename Value>
std::string
SingleRecord(const Value& aValue)
{
  msgpack::sbuffer payload;
  msgpack::pack(payload, aValue);
  std::string file;
  AppendRecord(file, { payload.data(), payload.size() });
  return file;
}

template<typename Value>
Result<Value>
ReadSingleRecord(const std::string& aName, const std::string& aBytes)
{
  const std::optional<std::string_view> payload = ReadRecord(aBytes);
  const Error corrupt(ErrorKind::StorageCorrupt,
                      "the file '" + aName + "' fails its checksum");
  if (!payload) {
    return corrupt;
  }
  try {
    return Unpack<Value>(*payload, 0);
  } catch (const msgpack::unpack_error&) {
    return corrupt;
  } catch (const msgpack::type_error&) {
    return corrupt;
  }
}

Result<std::optional<Snapshot>>
ReadSnapshot(JournalStorage& aStorage)
{
  BOOST_OUTCOME_TRY(file, aStorage.Read(kSnapshotFile));
  if (!file) {
    return std::optional<Snapshot>();
  }
  BOOST_OUTCOME_TRY(record,
                    ReadSingleRecord<SnapshotRecord>(kSnapshotFile, *file));
  Snapshot snapshot;
  std::string data;
  std::tie(snapshot.mIndex, snapshot.mTerm, snapshot.mConfiguration, data) =
    std::move(record);
  snapshot.mData = std::make_shared<const std::string>(std::move(data));
  return std::optional<Snapshot>(std::move(snapshot));
}

/** Returns the position of the last entry, or of the snapshot if no entry
 * follows it. */
LogPosition
LastPosition(const StoredState& aState)
{
  if (!aState.mEntries.empty()) {
    const LogEntry& last = aState.mEntries.back();
    return { last.mTerm, last.mIndex };
  }
  return aState.mSnapshot
           ? LogPosition{ aState.mSnapshot->mTerm, aState.mSnapshot->mIndex }
           : LogPosition{};
}

}

Journal::Journal(JournalStorage& aStorage)
  : mStorage(aStorage)
{
}

Result<StoredState>
Journal::Open(StorageIncarnation aNewIncarnation)
{
  BOOST_OUTCOME_TRY(state, ReadState(aNewIncarnation));
  BOOST_OUTCOME_TRY(CheckConfirmed(state));
  BOOST_OUTCOME_TRY(StoreAnew(state));
  mFailed = false;
  mHardState = state.mHardState;
  mConfirmed = { state.mHardState, LastPosition(state) };
  return state;
}

Result<StoredState>
Journal::Discard(StorageIncarnation aNewIncarnation)
{
  StoredState state;
  state.mIdentity.mIncarnation = aNewIncarnation;
  state.mIdentity.mEverAdmitted = true;
  BOOST_OUTCOME_TRY(Reset(state.mIdentity));
  mFailed = false;
  return state;
}

Result<StoredState>
Journal::ReadState(StorageIncarnation aNewIncarnation)
{
  StoredState state;
  mTruncatedBytes = 0;
  BOOST_OUTCOME_TRY(identity, mStorage.Read(kIdentityFile));
  if (!identity) {
    return CreateIdentity(aNewIncarnation);
  }
  BOOST_OUTCOME_TRY(
    known, ReadSingleRecord<StorageIdentity>(kIdentityFile, *identity));
  state.mIdentity = known;
  if (mFailed) {
    // The smallest file first: a disk that still takes no bytes costs little.
    BOOST_OUTCOME_TRY(mStorage.Replace(kIdentityFile, *identity));
  }
  BOOST_OUTCOME_TRY(snapshot, ReadSnapshot(mStorage));
  BOOST_OUTCOME_TRY(file, mStorage.Read(kLogFile));
  const std::string bytes = file.value_or(std::string());
  LogFileContent content = Parse(bytes);
  mTruncatedBytes = bytes.size() - content.mValidBytes;
  if (snapshot) {
    DropCoveredEntries(*snapshot, content);
  }
  const LogIndex covered = snapshot ? snapshot->mIndex : 0;
  if (content.mBase.mIndex > covered) {
    return Error(ErrorKind::StorageCorrupt,
                 "the snapshot before log index " +
                   std::to_string(content.mBase.mIndex + 1) + " is missing");
  }
  state.mHardState = std::move(content.mHardState);
  state.mSnapshot = std::move(snapshot);
  state.mEntries = std::move(content.mEntries);
  return state;
}

Result<StoredState>
Journal::CreateIdentity(StorageIncarnation aNewIncarnation)
{
  // A replica without an identity has not acknowledged anything.
  BOOST_OUTCOME_TRY(mStorage.Remove(kSnapshotFile));
  BOOST_OUTCOME_TRY(mStorage.Remove(kLogFile));
  StoredState state;
  state.mIdentity.mIncarnation = aNewIncarnation;
  BOOST_OUTCOME_TRY(
    mStorage.Replace(kIdentityFile, SingleRecord(state.mIdentity)));
  return state;
}

Result<void>
Journal::StoreAnew(const StoredState& aState)
{
  const bool isEmpty = aState.mEntries.empty() && !aState.mSnapshot &&
                       aState.mHardState.mTerm == 0;
  if (isEmpty && mTruncatedBytes == 0) {
    return Success();
  }
  LogFileContent content;
  if (aState.mSnapshot) {
    content.mBase = { aState.mSnapshot->mTerm, aState.mSnapshot->mIndex };
  }
  content.mHardState = aState.mHardState;
  content.mEntries = aState.mEntries;
  return RewriteLog(content);
}

Result<void>
Journal::CheckConfirmed(const StoredState& aState) const
{
  const HardState& stored = aState.mHardState;
  const HardState& confirmed = mConfirmed.mHardState;
  const bool lostVote = stored.mTerm == confirmed.mTerm &&
                        confirmed.mVotedFor != ReplicaId{} &&
                        stored.mVotedFor != confirmed.mVotedFor;
  const bool lostState = stored.mTerm < confirmed.mTerm || lostVote ||
                         stored.mBootstrapId != confirmed.mBootstrapId;
  if (confirmed.mBootstrapId != 0 && lostState) {
    return Error(ErrorKind::StorageCorrupt,
                 "the storage lacks the confirmed vote of term " +
                   std::to_string(confirmed.mTerm));
  }
  if (LastPosition(aState) < mConfirmed.mLast) {
    return Error(ErrorKind::StorageCorrupt,
                 "the storage lacks the confirmed log index " +
                   std::to_string(mConfirmed.mLast.mIndex));
  }
  return Success();
}

void
Journal::Confirm(const JournalWrite& aWrite)
{
  if (aWrite.mNewIdentity) {
    mConfirmed = {};
  }
  if (aWrite.mHardState) {
    mConfirmed.mHardState = *aWrite.mHardState;
  }
  if (aWrite.mSnapshot) {
    mConfirmed.mLast = std::max(
      mConfirmed.mLast, { aWrite.mSnapshot->mTerm, aWrite.mSnapshot->mIndex });
  }
  if (!aWrite.mEntries.empty()) {
    const LogEntry& last = aWrite.mEntries.back();
    mConfirmed.mLast = { last.mTerm, last.mIndex };
  }
}

Journal::LogFileContent
Journal::Parse(std::string_view aBytes)
{
  LogFileContent content;
  while (const auto payload = ReadRecord(aBytes)) {
    if (!ApplyRecord(*payload, content)) {
      break;
    }
    content.mValidBytes += kHeaderBytes + payload->size();
    aBytes.remove_prefix(kHeaderBytes + payload->size());
  }
  return content;
}

bool
Journal::ApplyRecord(std::string_view aPayload, LogFileContent& aContent)
{
  try {
    std::size_t offset = 0;
    const auto kind =
      UnpackValue<std::uint8_t>(aPayload, offset, LimitsFor(aPayload));
    if (kind == static_cast<std::uint8_t>(RecordKind::Base)) {
      const auto base = Unpack<BaseRecord>(aPayload, offset);
      aContent.mBase = { std::get<1>(base), std::get<0>(base) };
      aContent.mEntries.clear();
      return true;
    }
    if (kind == static_cast<std::uint8_t>(RecordKind::HardState)) {
      aContent.mHardState = Unpack<HardState>(aPayload, offset);
      return true;
    }
    auto entry = Unpack<LogEntry>(aPayload, offset);
    std::vector<LogEntry>& entries = aContent.mEntries;
    const LogIndex next = aContent.mBase.mIndex + entries.size() + 1;
    if (entry.mIndex <= aContent.mBase.mIndex || entry.mIndex > next) {
      return false;
    }
    entries.resize(
      static_cast<std::size_t>(entry.mIndex - aContent.mBase.mIndex - 1));
    entries.push_back(std::move(entry));
    return true;
  } catch (const msgpack::unpack_error&) {
    return false;
  } catch (const msgpack::type_error&) {
    return false;
  }
}

void
Journal::DropCoveredEntries(const Snapshot& aSnapshot, LogFileContent& aContent)
{
  const LogIndex base = aContent.mBase.mIndex;
  if (base > aSnapshot.mIndex) {
    return;
  }
  std::vector<LogEntry>& entries = aContent.mEntries;
  const auto covered = static_cast<std::size_t>(aSnapshot.mIndex - base);
  const Term term = covered == 0                ? aContent.mBase.mTerm
                    : covered <= entries.size() ? entries[covered - 1].mTerm
                                                : 0;
  aContent.mBase = { aSnapshot.mTerm, aSnapshot.mIndex };
  if (term != aSnapshot.mTerm) {
    // The log conflicts with the snapshot, which is committed.
    entries.clear();
    return;
  }
  entries.erase(entries.begin(),
                entries.begin() + static_cast<std::ptrdiff_t>(covered));
}

Result<void>
Journal::Write(const std::vector<JournalWrite>& aWrites)
{
  if (mFailed) {
    return Error(ErrorKind::StorageFailed,
                 "the journal rejects writes because an earlier write failed");
  }
  Result<void> written = WriteBatch(aWrites);
  mFailed = !written;
  if (written) {
    std::for_each(aWrites.begin(), aWrites.end(), [this](const auto& aWrite) {
      Confirm(aWrite);
    });
  }
  return written;
}

Result<void>
Journal::WriteBatch(const std::vector<JournalWrite>& aWrites)
{
  std::string buffer;
  for (const JournalWrite& write : aWrites) {
    if (write.mNewIdentity) {
      buffer.clear();
      BOOST_OUTCOME_TRY(Reset(*write.mNewIdentity));
    }
    if (write.mHardState) {
      mHardState = *write.mHardState;
    }
    if (write.mSnapshot) {
      BOOST_OUTCOME_TRY(Flush(buffer));
      BOOST_OUTCOME_TRY(WriteSnapshot(*write.mSnapshot));
    }
    for (const LogEntry& entry : write.mEntries) {
      AppendRecord(buffer, Pack(RecordKind::Entry, entry));
    }
    // Written last, so that a hard state with a bootstrap id is never stored
    // without the entries of the same write.
    if (write.mHardState) {
      AppendRecord(buffer, Pack(RecordKind::HardState, mHardState));
    }
  }
  return Flush(buffer);
}

Result<void>
Journal::Flush(std::string& aBuffer)
{
  if (aBuffer.empty()) {
    return Success();
  }
  BOOST_OUTCOME_TRY(mStorage.Append(kLogFile, aBuffer));
  aBuffer.clear();
  return mStorage.Sync(kLogFile);
}

Result<void>
Journal::Reset(const StorageIdentity& aIdentity)
{
  // The identity is written first: if a crash leaves the old entries behind,
  // they belong to a replica that is not a voter.
  mConfirmed = {};
  BOOST_OUTCOME_TRY(mStorage.Replace(kIdentityFile, SingleRecord(aIdentity)));
  BOOST_OUTCOME_TRY(mStorage.Remove(kLogFile));
  BOOST_OUTCOME_TRY(mStorage.Remove(kSnapshotFile));
  mHardState = {};
  return Success();
}

Result<Journal::LogFileContent>
Journal::Load()
{
  BOOST_OUTCOME_TRY(file, mStorage.Read(kLogFile));
  return Parse(file.value_or(std::string()));
}

Result<void>
Journal::WriteSnapshot(const Snapshot& aSnapshot)
{
  const SnapshotRecord record(aSnapshot.mIndex,
                              aSnapshot.mTerm,
                              aSnapshot.mConfiguration,
                              *aSnapshot.mData);
  BOOST_OUTCOME_TRY(mStorage.Replace(kSnapshotFile, SingleRecord(record)));
  BOOST_OUTCOME_TRY(content, Load());
  DropCoveredEntries(aSnapshot, content);
  content.mHardState = mHardState;
  return RewriteLog(content);
}

Result<void>
Journal::RewriteLog(const LogFileContent& aContent)
{
  const BaseRecord base(aContent.mBase.mIndex, aContent.mBase.mTerm);
  std::string log;
  AppendRecord(log, Pack(RecordKind::Base, base));
  AppendRecord(log, Pack(RecordKind::HardState, aContent.mHardState));
  for (const LogEntry& entry : aContent.mEntries) {
    AppendRecord(log, Pack(RecordKind::Entry, entry));
  }
  return mStorage.Replace(kLogFile, log);
}

}

#include "Consensus/ReplicatedLog.h"

#include <algorithm>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

constexpr std::size_t kEntryOverheadBytes = sizeof(LogEntry);

std::size_t
SizeOf(const LogEntry& aEntry)
{
  return aEntry.mPayload.size() + kEntryOverheadBytes;
}

}

void
ReplicatedLog::Reset(LogPosition aBase, GroupConfiguration aConfiguration)
{
  mBase = aBase;
  mEntries.clear();
  mBytes = 0;
  mConfigurations.clear();
  mConfigurations.emplace_back(aBase.mIndex, std::move(aConfiguration));
}

LogPosition
ReplicatedLog::Last() const
{
  if (mEntries.empty()) {
    return mBase;
  }
  return { mEntries.back().mTerm, mEntries.back().mIndex };
}

std::optional<Term>
ReplicatedLog::TermAt(LogIndex aIndex) const
{
  if (aIndex == mBase.mIndex) {
    return mBase.mTerm;
  }
  if (aIndex < mBase.mIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).mTerm;
}

const LogEntry&
ReplicatedLog::At(LogIndex aIndex) const
{
  return mEntries[static_cast<std::size_t>(aIndex - FirstIndex())];
}

void
ReplicatedLog::Append(LogEntry aEntry)
{
  if (aEntry.mKind == EntryKind::Configuration) {
    mConfigurations.emplace_back(aEntry.mIndex,
                                 DecodeConfiguration(aEntry.mPayload));
  }
  mBytes += SizeOf(aEntry);
  mEntries.push_back(std::move(aEntry));
}

void
ReplicatedLog::TruncateFrom(LogIndex aFrom)
{
  while (!mEntries.empty() && mEntries.back().mIndex >= aFrom) {
    mBytes -= SizeOf(mEntries.back());
    mEntries.pop_back();
  }
  while (mConfigurations.size() > 1 && mConfigurations.back().first >= aFrom) {
    mConfigurations.pop_back();
  }
}

void
ReplicatedLog::CompactTo(LogIndex aIndex)
{
  while (!mEntries.empty() && mEntries.front().mIndex <= aIndex) {
    mBase = { mEntries.front().mTerm, mEntries.front().mIndex };
    mBytes -= SizeOf(mEntries.front());
    mEntries.pop_front();
  }
  while (mConfigurations.size() > 1 &&
         mConfigurations[1].first <= mBase.mIndex) {
    mConfigurations.erase(mConfigurations.begin());
  }
}

std::vector<LogEntry>
ReplicatedLog::Slice(LogIndex aFrom,
                     std::size_t aMaxEntries,
                     std::size_t aMaxBytes) const
{
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = aFrom;
       index <= LastIndex() && slice.size() < aMaxEntries;
       ++index) {
    const LogEntry& entry = At(index);
    bytes += SizeOf(entry);
    if (!slice.empty() && bytes > aMaxBytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

const GroupConfiguration&
ReplicatedLog::Configuration() const
{
  return mConfigurations.back().second;
}

LogIndex
ReplicatedLog::ConfigurationIndex() const
{
  return mConfigurations.back().first;
}

const GroupConfiguration&
ReplicatedLog::ConfigurationAt(LogIndex aIndex) const
{
  const auto after =
    std::find_if(mConfigurations.begin() + 1,
                 mConfigurations.end(),
                 [&](const auto& aItem) { return aItem.first > aIndex; });
  return std::prev(after)->second;
}

std::string
EncodeConfiguration(const GroupConfiguration& aConfiguration)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aConfiguration);
  return { buffer.data(), buffer.size() };
}

GroupConfiguration
DecodeConfiguration(const std::string& aPayload)
{
  try {
    std::size_t offset = 0;
    return UnpackValue<GroupConfiguration>(
      aPayload, offset, LimitsFor(aPayload));
  } catch (const msgpack::unpack_error&) {
    return {};
  } catch (const msgpack::type_error&) {
    return {};
  }
}

}

#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "Consensus/ConsensusTypes.h"

namespace almondspoke {

/** \brief The part of a group's log that is kept in memory, and the
 * memberships in it.
 *
 * Entries up to Base() have been compacted. */
class ReplicatedLog
{
public:
  /** Clears the log. The next entry follows the snapshot at aBase, or is the
   * first one of the group if aBase is zero. */
  void Reset(LogPosition aBase, GroupConfiguration aConfiguration);

  LogIndex Base() const { return mBase.mIndex; }
  LogIndex FirstIndex() const { return mBase.mIndex + 1; }
  LogIndex LastIndex() const { return mBase.mIndex + mEntries.size(); }
  LogPosition Last() const;

  /** Term of the entry at an index; empty if the entry is compacted or does not
   * exist. */
  std::optional<Term> TermAt(LogIndex aIndex) const;

  const LogEntry& At(LogIndex aIndex) const;

  /** Appends one entry, whose index must be LastIndex() + 1. */
  void Append(LogEntry aEntry);

  /** Removes the entry at aFrom and all later ones. */
  void TruncateFrom(LogIndex aFrom);

  /** Removes the entries up to and including aIndex. */
  void CompactTo(LogIndex aIndex);

  /** Copies entries from aFrom on, up to a number of entries and bytes. The
   * first entry is included even if it exceeds aMaxBytes. */
  std::vector<LogEntry> Slice(LogIndex aFrom,
                              std::size_t aMaxEntries,
                              std::size_t aMaxBytes) const;

  /** Membership in effect: the last one appended. */
  const GroupConfiguration& Configuration() const;

  /** Index of the entry that set Configuration(). */
  LogIndex ConfigurationIndex() const;

  /** Membership as of an index. */
  const GroupConfiguration& ConfigurationAt(LogIndex aIndex) const;

  /** Memory used by the entries, in bytes. */
  std::size_t Bytes() const { return mBytes; }
  std::size_t Size() const { return mEntries.size(); }

private:
  LogPosition mBase;
  std::deque<LogEntry> mEntries;
  std::size_t mBytes = 0;
  std::vector<std::pair<LogIndex, GroupConfiguration>> mConfigurations = {
    { 0, {} }
  };
};

/** Encodes a membership as the payload of a Configuration entry. */
std::string
EncodeConfiguration(const GroupConfiguration& aConfiguration);

/** Decodes the payload of a Configuration entry; empty if malformed. */
GroupConfiguration
DecodeConfiguration(const std::string& aPayload);

}

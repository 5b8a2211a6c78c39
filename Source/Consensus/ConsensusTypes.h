#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

#include "Base/InstanceIdentity.h"
#include "Consensus/Replicator.h"
#include "Consensus/StateMachine.h"

namespace almondspoke {

/** Random number of one copy of a replica's storage. An instance that starts
 * with an empty data folder gets a new one. */
using StorageIncarnation = std::uint64_t;

/** \brief One replica: an instance together with the storage that it has. */
struct ReplicaId
{
  InstanceName mName;
  StorageIncarnation mIncarnation = 0;

  bool operator==(const ReplicaId& aOther) const
  {
    return mIncarnation == aOther.mIncarnation && mName == aOther.mName;
  }
  bool operator!=(const ReplicaId& aOther) const { return !(*this == aOther); }
  bool operator<(const ReplicaId& aOther) const
  {
    return std::tie(mName, mIncarnation) <
           std::tie(aOther.mName, aOther.mIncarnation);
  }

  MSGPACK_DEFINE(mName, mIncarnation)
};

/** \brief A change of the voters as an operator asks for it. */
struct VoterChange
{
  /** The same for each resend of a change. */
  std::string mRequestId;
  std::string mAuthor;
  InstanceName mName;
  /** False to add the instance. */
  bool mRemove = false;
  /** Version of the membership that the change starts from. */
  std::uint64_t mBaseVersion = 0;

  /** Version that the change makes. */
  std::uint64_t Version() const { return mBaseVersion + 1; }

  bool operator==(const VoterChange& aOther) const
  {
    return mRequestId == aOther.mRequestId && mName == aOther.mName &&
           mRemove == aOther.mRemove && mBaseVersion == aOther.mBaseVersion;
  }

  MSGPACK_DEFINE(mRequestId, mAuthor, mName, mRemove, mBaseVersion)
};

/** \brief The membership of a group, replicated through its log. */
struct GroupConfiguration
{
  std::vector<ReplicaId> mVoters;
  /** Instances to be promoted to voters once their replica has caught up. */
  std::vector<InstanceName> mAwaiting;
  /** Grows by one with each change, also those that need no operator. */
  std::uint64_t mVersion = 0;
  /** The latest changes by operators, oldest first, for resends. */
  std::vector<VoterChange> mChanges;

  bool IsVoter(const ReplicaId& aReplica) const
  {
    return std::find(mVoters.begin(), mVoters.end(), aReplica) != mVoters.end();
  }

  /** Returns the voter of that instance, whatever its incarnation. */
  const ReplicaId* FindVoter(const InstanceName& aName) const
  {
    const auto found = std::find_if(
      mVoters.begin(), mVoters.end(), [&](const ReplicaId& aReplica) {
        return aReplica.mName == aName;
      });
    return found == mVoters.end() ? nullptr : &*found;
  }

  /** Returns the change with that request id, if it is still kept. */
  const VoterChange* ChangeOf(const std::string& aRequestId) const
  {
    const auto found = std::find_if(
      mChanges.begin(), mChanges.end(), [&](const VoterChange& aChange) {
        return aChange.mRequestId == aRequestId;
      });
    return found == mChanges.end() ? nullptr : &*found;
  }

  bool IsPendingVoter(const InstanceName& aName) const
  {
    return std::find(mAwaiting.begin(), mAwaiting.end(), aName) !=
           mAwaiting.end();
  }

  /** Voters needed to elect a leader and to commit an entry. */
  std::size_t Majority() const { return mVoters.size() / 2 + 1; }

  MSGPACK_DEFINE(mVoters, mAwaiting, mVersion, mChanges)
};

/** \brief What a log entry carries. */
enum class EntryKind : std::uint8_t
{
  Command = 0,
  /** Appended by a new leader, to commit the entries of earlier terms. */
  Noop = 1,
  /** A GroupConfiguration, in force from the moment it is appended. */
  Configuration = 2
};

/** \brief One entry of a group's log. */
struct LogEntry
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
  EntryKind mKind = EntryKind::Command;
  std::string mPayload;

  MSGPACK_DEFINE(mIndex, mTerm, mKind, mPayload)
};

/** \brief Position of a log's end; compares as elections compare logs. */
struct LogPosition
{
  Term mTerm = 0;
  LogIndex mIndex = 0;

  bool operator<(const LogPosition& aOther) const
  {
    return std::tie(mTerm, mIndex) < std::tie(aOther.mTerm, aOther.mIndex);
  }
};

/** \brief What a replica must never forget besides its log. */
struct HardState
{
  Term mTerm = 0;
  /** Candidate voted for in mTerm; a default ReplicaId if none. */
  ReplicaId mVotedFor;
  /** Random number of the group, drawn at its bootstrap; zero before. */
  std::uint64_t mBootstrapId = 0;

  MSGPACK_DEFINE(mTerm, mVotedFor, mBootstrapId)
};

/** \brief Identity of one copy of the storage. */
struct StorageIdentity
{
  StorageIncarnation mIncarnation = 0;
  /** True once the instance has belonged to the group, also under an earlier
   * incarnation; such a replica never bootstraps a group. */
  bool mEverAdmitted = false;

  MSGPACK_DEFINE(mIncarnation, mEverAdmitted)
};

/** \brief State machine and membership at one index of the log. */
struct Snapshot
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
  GroupConfiguration mConfiguration;
  std::shared_ptr<const std::string> mData;
};

/** \brief All that a replica finds in its storage when it starts. */
struct StoredState
{
  StorageIdentity mIdentity;
  HardState mHardState;
  std::optional<Snapshot> mSnapshot;
  /** Entries after the snapshot, without gaps. */
  std::vector<LogEntry> mEntries;
};

/** \brief One change of the storage, to be made durable as a whole before
 * DiskCompleted() is called with its sequence number. */
struct JournalWrite
{
  std::uint64_t mSequence = 0;
  /** Discards everything and takes up this identity, before the rest. */
  std::optional<StorageIdentity> mNewIdentity;
  std::optional<HardState> mHardState;
  std::optional<Snapshot> mSnapshot;
  /** Entries to append; one at an index already stored replaces that entry
   * and all after it. */
  std::vector<LogEntry> mEntries;

  bool IsEmpty() const
  {
    return !mNewIdentity && !mHardState && !mSnapshot && mEntries.empty();
  }
};

}

MSGPACK_ADD_ENUM(almondspoke::EntryKind)

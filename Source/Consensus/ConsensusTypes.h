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

/** Random number that identifies the storage of a replica. An instance that
 * starts with an empty data folder gets a new one. */
using StorageIncarnation = std::uint64_t;

/** \brief Identifies a replica by its instance and its storage. */
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

/** \brief Request of an operator to add or remove a voter. */
struct VoterChange
{
  /** Identifies the change; the same when the request is repeated. */
  std::string mRequestId;
  std::string mAuthor;
  InstanceName mName;
  /** True to remove the instance from the voters, false to add it. */
  bool mIsRemoval = false;
  /** Membership version that the change is based on. */
  std::uint64_t mBaseVersion = 0;

  /** Membership version that results from the change. */
  std::uint64_t Version() const { return mBaseVersion + 1; }

  bool operator==(const VoterChange& aOther) const
  {
    return mRequestId == aOther.mRequestId && mName == aOther.mName &&
           mIsRemoval == aOther.mIsRemoval &&
           mBaseVersion == aOther.mBaseVersion;
  }

  MSGPACK_DEFINE(mRequestId, mAuthor, mName, mIsRemoval, mBaseVersion)
};

/** \brief Membership of a group, replicated through its log. */
struct GroupConfiguration
{
  std::vector<ReplicaId> mVoters;
  /** Instances that become voters once their replica has caught up. */
  std::vector<InstanceName> mPendingVoters;
  /** Incremented by each change, whether by an operator or automatic. */
  std::uint64_t mVersion = 0;
  /** Latest changes by operators, oldest first, to recognize repeated
   * requests. */
  std::vector<VoterChange> mChanges;

  bool IsVoter(const ReplicaId& aReplica) const
  {
    return std::find(mVoters.begin(), mVoters.end(), aReplica) != mVoters.end();
  }

  /** Returns the voter with that instance name and any incarnation, or
   * null. */
  const ReplicaId* FindVoter(const InstanceName& aName) const
  {
    const auto found = std::find_if(
      mVoters.begin(), mVoters.end(), [&](const ReplicaId& aReplica) {
        return aReplica.mName == aName;
      });
    return found == mVoters.end() ? nullptr : &*found;
  }

  /** Returns the change with that request id, or null if it is not
   * recorded. */
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
    return std::find(mPendingVoters.begin(), mPendingVoters.end(), aName) !=
           mPendingVoters.end();
  }

  /** Number of voters needed to elect a leader or to commit an entry. */
  std::size_t Majority() const { return mVoters.size() / 2 + 1; }

  MSGPACK_DEFINE(mVoters, mPendingVoters, mVersion, mChanges)
};

/** \brief Kind of a log entry. */
enum class EntryKind : std::uint8_t
{
  Command = 0,
  /** Appended by a new leader, to commit the entries of earlier terms. */
  Noop = 1,
  /** A GroupConfiguration, in effect as soon as it is appended. */
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

/** \brief Term and index of a log entry, ordered as in Raft's comparison of
 * logs in elections. */
struct LogPosition
{
  Term mTerm = 0;
  LogIndex mIndex = 0;

  bool operator<(const LogPosition& aOther) const
  {
    return std::tie(mTerm, mIndex) < std::tie(aOther.mTerm, aOther.mIndex);
  }
};

/** \brief Persistent state of a replica besides its log (Raft's hard
 * state). */
struct HardState
{
  Term mTerm = 0;
  /** Candidate voted for in mTerm; a default ReplicaId if none. */
  ReplicaId mVotedFor;
  /** Random number that identifies the group, chosen at its bootstrap; zero
   * before that. */
  std::uint64_t mBootstrapId = 0;

  MSGPACK_DEFINE(mTerm, mVotedFor, mBootstrapId)
};

/** \brief Identity of a replica's storage. */
struct StorageIdentity
{
  StorageIncarnation mIncarnation = 0;
  /** Whether the instance has belonged to the group, possibly under an earlier
   * incarnation; such a replica never bootstraps a group. */
  bool mEverAdmitted = false;
  /** Whether the storage was created while the group could still be
   * bootstrapped. Such a storage has not lost an earlier membership. */
  bool mCreatedForBootstrap = false;

  MSGPACK_DEFINE(mIncarnation, mEverAdmitted, mCreatedForBootstrap)
};

/** \brief State machine and membership as of one log index. */
struct Snapshot
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
  GroupConfiguration mConfiguration;
  std::shared_ptr<const std::string> mData;
};

/** \brief Contents of a replica's storage at its start. */
struct StoredState
{
  StorageIdentity mIdentity;
  HardState mHardState;
  std::optional<Snapshot> mSnapshot;
  /** Entries after the snapshot, without gaps. */
  std::vector<LogEntry> mEntries;
};

/** \brief One change of the storage. It must be durable as a whole before
 * ConsensusCore::DiskCompleted() is called with its sequence number. */
struct JournalWrite
{
  std::uint64_t mSequence = 0;
  /** If set, everything stored is discarded and replaced by this identity
   * before the other changes. */
  std::optional<StorageIdentity> mNewIdentity;
  std::optional<HardState> mHardState;
  std::optional<Snapshot> mSnapshot;
  /** Entries to append. An entry at an index that is already stored replaces
   * that entry and all later ones. */
  std::vector<LogEntry> mEntries;

  bool IsEmpty() const
  {
    return !mNewIdentity && !mHardState && !mSnapshot && mEntries.empty();
  }
};

}

MSGPACK_ADD_ENUM(almondspoke::EntryKind)

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Result.h"
#include "Consensus/ConsensusTypes.h"

namespace almondspoke {

/** \brief Purpose of a message between replicas of a group. */
enum class MessageKind : std::uint8_t
{
  PreVote = 0,
  PreVoteReply,
  Vote,
  VoteReply,
  Append,
  AppendReply,
  Heartbeat,
  HeartbeatReply,
  SnapshotChunk,
  SnapshotReply,
  /** A replica without a leader asks to be taken in. */
  Join,
  /** Answer to Join: where the leader is. */
  JoinHint,
  /** The first entry of a group, for the replicas that it names. */
  Bootstrap,
  /** A restarted replica asks whether its storage is current. */
  Verify,
  VerifyReply,
  TimeoutNow,
  ReadIndex,
  ReadIndexReply,
  /** A command on its way to the leader, and its outcome. */
  Forward,
  ForwardReply
};

constexpr std::uint8_t kMessageKindCount = 20;

/** \brief What a voter has acknowledged, as its peers remember it. */
struct Acknowledgement
{
  ReplicaId mReplica;
  Term mTerm = 0;
  LogIndex mIndex = 0;

  MSGPACK_DEFINE(mReplica, mTerm, mIndex)
};

/** \brief One message between two replicas of a group.
 *
 * The kinds share their fields; a field that a kind does not use is empty and
 * takes one byte on the wire. */
struct ConsensusMessage
{
  MessageKind mKind = MessageKind::Heartbeat;
  /** Storage incarnation of the sender. */
  StorageIncarnation mIncarnation = 0;
  /** Incarnation that a vote is asked of. */
  StorageIncarnation mTargetIncarnation = 0;
  std::uint64_t mBootstrapId = 0;
  Term mTerm = 0;
  /** Position before the entries, of the sender's log end, of a snapshot, or
   * the index that is acknowledged. */
  Term mLogTerm = 0;
  LogIndex mIndex = 0;
  LogIndex mCommit = 0;
  /** A refusal, or in a Join a replica without any state. */
  bool mFlag = false;
  /** In a Join: the replica has a disk. In a Vote: asked for by the leader. */
  bool mSecondFlag = false;
  /** Heartbeat round, request number or byte offset. */
  std::uint64_t mContext = 0;
  /** Size of the whole snapshot in bytes, or the number of an ErrorKind. */
  std::uint64_t mTotal = 0;
  std::vector<LogEntry> mEntries;
  std::vector<Acknowledgement> mAcknowledgements;
  /** Snapshot bytes, a command, a response or an error's message. */
  std::string mData;
  /** Membership at a snapshot. */
  GroupConfiguration mConfiguration;
};

/** \brief A message and the instance it goes to. */
struct OutgoingMessage
{
  InstanceName mTo;
  ConsensusMessage mMessage;
};

/** Encodes a message as MessagePack. */
std::string
EncodeMessage(const ConsensusMessage& aMessage);

/** Decodes a message; MalformedRequest if the bytes are not one. */
Result<ConsensusMessage>
DecodeMessage(std::string_view aBytes);

}

MSGPACK_ADD_ENUM(almondspoke::MessageKind)

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Result.h"
#include "Consensus/ConsensusTypes.h"

namespace almondspoke {

/** \brief Kind of a message between replicas of a group. */
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
  /** Sent by a replica without a leader, to join the group. */
  Join,
  /** Reply to Join: names the leader, or tells a voter without state to take a
   * new incarnation. */
  JoinHint,
  /** The first entry of a group, sent to its initial voters. */
  Bootstrap,
  /** Sent by a restarted replica, to check that its storage is up to date. */
  Verify,
  VerifyReply,
  TimeoutNow,
  ReadIndex,
  ReadIndexReply,
  /** A command forwarded to the leader, and its result. */
  Forward,
  ForwardReply
};

/** Number of values of MessageKind. */
constexpr std::uint8_t kMessageKindCount = 20;

/** \brief Highest log position that a replica is known to have
 * acknowledged. */
struct Acknowledgement
{
  ReplicaId mReplica;
  Term mTerm = 0;
  LogIndex mIndex = 0;

  MSGPACK_DEFINE(mReplica, mTerm, mIndex)
};

/** \brief One message between two replicas of a group.
 *
 * All kinds share these fields. An unused field is empty and takes one byte on
 * the wire. */
struct ConsensusMessage
{
  MessageKind mKind = MessageKind::Heartbeat;
  /** Storage incarnation of the sender. */
  StorageIncarnation mIncarnation = 0;
  /** Incarnation that a vote request or JoinHint is meant for. */
  StorageIncarnation mTargetIncarnation = 0;
  /** See HardState. */
  std::uint64_t mBootstrapId = 0;
  Term mTerm = 0;
  /** Term and index of the entry before mEntries, of the sender's last entry or
   * of a snapshot. In replies mIndex is the acknowledged index. */
  Term mLogTerm = 0;
  LogIndex mIndex = 0;
  /** Commit index of the leader. */
  LogIndex mCommitIndex = 0;
  /** In a reply: the request is rejected. In a Join: the sender has no state.
   * In a JoinHint: the receiver must take a new incarnation. */
  bool mFlag = false;
  /** In a Join or a reply to the leader: the sender has a disk. In a Vote: the
   * election is a leadership transfer. */
  bool mSecondFlag = false;
  /** Heartbeat round, request number, nonce, rejected index or byte offset. */
  std::uint64_t mContext = 0;
  /** Size of the whole snapshot in bytes, or an ErrorKind as a number. */
  std::uint64_t mTotal = 0;
  std::vector<LogEntry> mEntries;
  std::vector<Acknowledgement> mAcknowledgements;
  /** Snapshot bytes, a command, a response, an error message or the name of
   * the leader. */
  std::string mData;
  /** Membership at the index of a snapshot. */
  GroupConfiguration mConfiguration;
};

/** \brief A message and its receiver. */
struct OutgoingMessage
{
  InstanceName mTo;
  ConsensusMessage mMessage;
};

/** Encodes a message as MessagePack. */
std::string
EncodeMessage(const ConsensusMessage& aMessage);

/** Decodes a message. Errors: MalformedRequest. */
Result<ConsensusMessage>
DecodeMessage(std::string_view aBytes);

}

MSGPACK_ADD_ENUM(almondspoke::MessageKind)

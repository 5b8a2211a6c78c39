#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Membership/InstanceView.h"

namespace almondspoke {

/** \brief Status of an instance as sent in membership messages.
 *
 * The membership incarnation starts at 1 when the process starts and increases
 * when the instance refutes a suspicion. The revision increases with each
 * change of the attributes (draining, rules version). */
struct MemberRecord
{
  InstanceStatus mStatus;
  std::uint64_t mRevision = 0;
};

/** \brief Kinds of membership messages. */
enum class MembershipMessageKind : std::uint8_t
{
  /** Requests an acknowledgement. */
  Ping,
  /** Answers a ping, or reports to the requester that the target of an
   * indirect ping answered. */
  Acknowledgement,
  /** Asks the receiver to ping another instance. */
  IndirectPing,
  /** Carries all records and requests those of the receiver. */
  SyncRequest,
  /** Carries all records. */
  Sync
};

/** \brief One message of the membership protocol. */
struct MembershipMessage
{
  MembershipMessageKind mKind = MembershipMessageKind::Ping;
  std::uint64_t mSequence = 0;
  /** Target of an indirect ping, or the instance that acknowledges a ping. */
  InstanceName mSubject;
  std::vector<MemberRecord> mRecords;
};

/** Encodes a message as MessagePack. */
std::string
EncodeMembershipMessage(const MembershipMessage& aMessage);

/** Decodes a message. Errors: MalformedRequest. */
Result<MembershipMessage>
DecodeMembershipMessage(std::string_view aBytes);

}

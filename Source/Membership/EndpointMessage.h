#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Result.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** \brief Kinds of messages between the endpoint tables of one data centre. */
enum class EndpointMessageKind : std::uint8_t
{
  /** New or changed entries. */
  Delta,
  /** Renewal ids of the entries whose lease was renewed at the sender. */
  Renewals,
  /** Requests all entries of the receiver. */
  SyncRequest,
  /** All entries of the sender. */
  Sync
};

/** \brief An endpoint as replicated between tables. */
struct EndpointEntry
{
  /** Short id that the sender uses for the entry in Renewals messages; zero if
   * the entry was never renewed at the sender. */
  std::uint32_t mRenewalId = 0;
  Endpoint mEndpoint;
  /** Remaining lease time. A duration, since clocks differ between instances.
   */
  std::chrono::milliseconds mRemaining{ 0 };
};

/** \brief One message between endpoint tables. */
struct EndpointMessage
{
  EndpointMessageKind mKind = EndpointMessageKind::Delta;
  /** Identifies the sender's process run; renewal ids are valid only within it.
   */
  std::uint64_t mSenderIncarnation = 0;
  std::vector<EndpointEntry> mEntries;
  std::vector<std::uint32_t> mRenewedIds;
};

/** Encodes a message as MessagePack. */
std::string
EncodeEndpointMessage(const EndpointMessage& aMessage);

/** Decodes a message. Errors: MalformedRequest. */
Result<EndpointMessage>
DecodeEndpointMessage(std::string_view aBytes);

}

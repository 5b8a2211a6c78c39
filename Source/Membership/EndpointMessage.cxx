#include "Membership/EndpointMessage.h"

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

struct WireUsage
{
  bool mPresent = false;
  double mCores = 0;
  std::uint64_t mMemory = 0;
  std::uint32_t mAccelerators = 0;
  std::int64_t mMeasuredAt = 0;
  MSGPACK_DEFINE(mPresent, mCores, mMemory, mAccelerators, mMeasuredAt)
};

struct WireEntry
{
  std::uint32_t mRenewalId = 0;
  std::string mName;
  std::string mService;
  std::string mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  double mCores = 0;
  std::uint64_t mMemory = 0;
  std::uint32_t mAccelerators = 0;
  std::string mRack;
  std::int64_t mTimeToLive = 0;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  bool mLeaving = false;
  std::int64_t mRemaining = 0;
  WireUsage mUsage;
  MSGPACK_DEFINE(mRenewalId,
                 mName,
                 mService,
                 mAddress,
                 mSlots,
                 mConnections,
                 mCores,
                 mMemory,
                 mAccelerators,
                 mRack,
                 mTimeToLive,
                 mIncarnation,
                 mDataCentre,
                 mLeaving,
                 mRemaining,
                 mUsage)
};

struct WireMessage
{
  std::uint8_t mKind = 0;
  std::uint64_t mSenderIncarnation = 0;
  std::vector<WireEntry> mEntries;
  std::vector<std::uint32_t> mRenewedIds;
  MSGPACK_DEFINE(mKind, mSenderIncarnation, mEntries, mRenewedIds)
};

WireUsage
ToWire(const std::optional<UsageReport>& aUsage)
{
  if (!aUsage) {
    return {};
  }
  return { true,
           aUsage->mCoresUsed,
           aUsage->mMemoryUsedBytes,
           aUsage->mAcceleratorsUsed,
           aUsage->mMeasuredAtMilliseconds };
}

WireEntry
ToWire(const EndpointEntry& aEntry)
{
  const EndpointAnnouncement& announcement = aEntry.mEndpoint.mAnnouncement;
  return { aEntry.mRenewalId,
           announcement.mName,
           announcement.mService,
           announcement.mAddress,
           announcement.mSlots,
           announcement.mConnections,
           announcement.mCores,
           announcement.mMemoryBytes,
           announcement.mAccelerators,
           announcement.mRack,
           announcement.mTimeToLive.count(),
           announcement.mIncarnation,
           aEntry.mEndpoint.mDataCentre,
           aEntry.mEndpoint.mLeaving,
           aEntry.mRemaining.count(),
           ToWire(aEntry.mEndpoint.mUsage) };
}

EndpointEntry
FromWire(WireEntry aWire)
{
  EndpointEntry entry;
  entry.mRenewalId = aWire.mRenewalId;
  entry.mRemaining = std::chrono::milliseconds(aWire.mRemaining);
  Endpoint& endpoint = entry.mEndpoint;
  endpoint.mAnnouncement = { std::move(aWire.mName),
                             std::move(aWire.mService),
                             std::move(aWire.mAddress),
                             aWire.mSlots,
                             aWire.mConnections,
                             aWire.mCores,
                             aWire.mMemory,
                             aWire.mAccelerators,
                             std::move(aWire.mRack),
                             std::chrono::milliseconds(aWire.mTimeToLive),
                             aWire.mIncarnation };
  endpoint.mDataCentre = std::move(aWire.mDataCentre);
  endpoint.mLeaving = aWire.mLeaving;
  if (aWire.mUsage.mPresent) {
    endpoint.mUsage = UsageReport{ aWire.mUsage.mCores,
                                   aWire.mUsage.mMemory,
                                   aWire.mUsage.mAccelerators,
                                   aWire.mUsage.mMeasuredAt };
  }
  return entry;
}

}

std::string
EncodeEndpointMessage(const EndpointMessage& aMessage)
{
  WireMessage wire;
  wire.mKind = static_cast<std::uint8_t>(aMessage.mKind);
  wire.mSenderIncarnation = aMessage.mSenderIncarnation;
  wire.mRenewedIds = aMessage.mRenewedIds;
  wire.mEntries.reserve(aMessage.mEntries.size());
  for (const EndpointEntry& entry : aMessage.mEntries) {
    wire.mEntries.push_back(ToWire(entry));
  }
  return PackMessage(wire);
}

Result<EndpointMessage>
DecodeEndpointMessage(std::string_view aBytes)
{
  Result<WireMessage> wire = UnpackMessage<WireMessage>(aBytes);
  if (wire.has_error()) {
    return wire.error();
  }
  WireMessage& decoded = wire.value();
  if (decoded.mKind > static_cast<std::uint8_t>(EndpointMessageKind::Sync)) {
    return Error(ErrorKind::MalformedRequest, "unknown endpoint message");
  }
  EndpointMessage message;
  message.mKind = static_cast<EndpointMessageKind>(decoded.mKind);
  message.mSenderIncarnation = decoded.mSenderIncarnation;
  message.mRenewedIds = std::move(decoded.mRenewedIds);
  message.mEntries.reserve(decoded.mEntries.size());
  for (WireEntry& entry : decoded.mEntries) {
    message.mEntries.push_back(FromWire(std::move(entry)));
  }
  return message;
}

}

#include "Membership/MembershipMessage.h"

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

struct WireRecord
{
  std::string mName;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mRevision = 0;
  std::uint8_t mHealth = 0;
  bool mDraining = false;
  std::uint64_t mRulesVersion = 0;
  MSGPACK_DEFINE(mName,
                 mDataCentre,
                 mIncarnation,
                 mRevision,
                 mHealth,
                 mDraining,
                 mRulesVersion)
};

struct WireMessage
{
  std::uint8_t mKind = 0;
  std::uint64_t mSequence = 0;
  std::string mSubject;
  std::vector<WireRecord> mRecords;
  MSGPACK_DEFINE(mKind, mSequence, mSubject, mRecords)
};

WireRecord
ToWire(const MemberRecord& aRecord)
{
  const InstanceStatus& status = aRecord.mStatus;
  return { status.mIdentity.mName,
           status.mIdentity.mDataCentre,
           status.mIdentity.mIncarnation,
           aRecord.mRevision,
           static_cast<std::uint8_t>(status.mHealth),
           status.mDraining,
           status.mRulesVersion };
}

MemberRecord
FromWire(WireRecord aWire)
{
  MemberRecord record;
  record.mStatus.mIdentity = { std::move(aWire.mName),
                               std::move(aWire.mDataCentre),
                               aWire.mIncarnation };
  record.mStatus.mHealth = static_cast<InstanceHealth>(aWire.mHealth);
  record.mStatus.mDraining = aWire.mDraining;
  record.mStatus.mRulesVersion = aWire.mRulesVersion;
  record.mRevision = aWire.mRevision;
  return record;
}

}

std::string
EncodeMembershipMessage(const MembershipMessage& aMessage)
{
  WireMessage wire;
  wire.mKind = static_cast<std::uint8_t>(aMessage.mKind);
  wire.mSequence = aMessage.mSequence;
  wire.mSubject = aMessage.mSubject;
  for (const MemberRecord& record : aMessage.mRecords) {
    wire.mRecords.push_back(ToWire(record));
  }
  return PackMessage(wire);
}

Result<MembershipMessage>
DecodeMembershipMessage(std::string_view aBytes)
{
  Result<WireMessage> wire = UnpackMessage<WireMessage>(aBytes);
  if (wire.has_error()) {
    return wire.error();
  }
  if (wire.value().mKind >
      static_cast<std::uint8_t>(MembershipMessageKind::Sync)) {
    return Error(ErrorKind::MalformedRequest, "unknown membership message");
  }
  MembershipMessage message;
  message.mKind = static_cast<MembershipMessageKind>(wire.value().mKind);
  message.mSequence = wire.value().mSequence;
  message.mSubject = std::move(wire.value().mSubject);
  for (WireRecord& record : wire.value().mRecords) {
    if (record.mHealth > static_cast<std::uint8_t>(InstanceHealth::Left)) {
      return Error(ErrorKind::MalformedRequest, "unknown instance health");
    }
    message.mRecords.push_back(FromWire(std::move(record)));
  }
  return message;
}

}

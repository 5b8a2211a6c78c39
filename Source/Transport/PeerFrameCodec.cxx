#include "Transport/PeerFrameCodec.h"

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

struct WireHello
{
  std::uint32_t mVersion = 0;
  std::string mName;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  bool mAcceptsAnswers = false;
  bool mSupportsIdleInterval = false;
  MSGPACK_DEFINE(mVersion,
                 mName,
                 mDataCentre,
                 mIncarnation,
                 mAcceptsAnswers,
                 mSupportsIdleInterval)
};

struct WireFrame
{
  std::uint8_t mChannel = 0;
  std::uint32_t mGroup = 0;
  std::string mPayload;
  MSGPACK_DEFINE(mChannel, mGroup, mPayload)
};

constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

std::string
WithLengthPrefix(const std::string& aBody)
{
  std::string framed;
  framed.reserve(kPeerLengthBytes + aBody.size());
  for (std::size_t i = 0; i < kPeerLengthBytes; ++i) {
    const std::size_t shift = kBitsPerByte * (kPeerLengthBytes - 1 - i);
    framed += static_cast<char>((aBody.size() >> shift) & kByteMask);
  }
  framed += aBody;
  return framed;
}

}

std::string
EncodePeerHello(const PeerHello& aHello)
{
  const InstanceIdentity& identity = aHello.mIdentity;
  return WithLengthPrefix(
    PackMessage(WireHello{ aHello.mVersion,
                           identity.mName,
                           identity.mDataCentre,
                           identity.mIncarnation,
                           aHello.mAcceptsAnswers,
                           aHello.mSupportsIdleInterval }));
}

std::string
EncodePeerFrame(const PeerFrame& aFrame)
{
  return WithLengthPrefix(
    PackMessage(WireFrame{ static_cast<std::uint8_t>(aFrame.mChannel),
                           aFrame.mGroup,
                           aFrame.mPayload }));
}

Result<std::size_t>
DecodePeerLength(const std::array<char, kPeerLengthBytes>& aBytes)
{
  std::size_t length = 0;
  for (const char byte : aBytes) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  if (length > kMaxPeerFrameBytes) {
    return Error(ErrorKind::BodyTooLarge,
                 "peer frame of " + std::to_string(length) +
                   " bytes (allowed: at most " +
                   std::to_string(kMaxPeerFrameBytes) + ")");
  }
  return length;
}

Result<PeerHello>
DecodePeerHello(std::string_view aBody)
{
  Result<WireHello> wire = UnpackMessage<WireHello>(aBody);
  if (wire.has_error()) {
    return wire.error();
  }
  WireHello& hello = wire.value();
  if (hello.mVersion != kPeerProtocolVersion) {
    return Error(ErrorKind::MalformedRequest,
                 "peer protocol version " + std::to_string(hello.mVersion) +
                   " (allowed: " + std::to_string(kPeerProtocolVersion) + ")");
  }
  return PeerHello{ hello.mVersion,
                    { hello.mName, hello.mDataCentre, hello.mIncarnation },
                    hello.mAcceptsAnswers,
                    hello.mSupportsIdleInterval };
}

Result<PeerFrame>
DecodePeerFrame(std::string_view aBody)
{
  Result<WireFrame> wire = UnpackMessage<WireFrame>(aBody);
  if (wire.has_error()) {
    return wire.error();
  }
  WireFrame& frame = wire.value();
  if (frame.mChannel > static_cast<std::uint8_t>(kLastPeerChannel)) {
    return Error(ErrorKind::MalformedRequest,
                 "peer channel " + std::to_string(frame.mChannel) +
                   " is unknown");
  }
  return PeerFrame{ static_cast<PeerChannel>(frame.mChannel),
                    frame.mGroup,
                    std::move(frame.mPayload) };
}

}

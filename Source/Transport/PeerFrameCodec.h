#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** Version of the protocol between instances; must be equal on both ends. */
constexpr std::uint32_t kPeerProtocolVersion = 1;

/** Size of the big-endian length prefix of each frame. */
constexpr std::size_t kPeerLengthBytes = 4;

/** Maximum size of a frame's body. */
constexpr std::size_t kMaxPeerFrameBytes = 64UL * 1024UL * 1024UL;

/** \brief First message on each connection; identifies the connecting instance.
 */
struct PeerHello
{
  std::uint32_t mVersion = kPeerProtocolVersion;
  InstanceIdentity mIdentity;
  /** True if the sender accepts frames on the connection that it opened. An
   * instance that does not set this receives only single liveness bytes. */
  bool mAcceptsAnswers = false;
  /** True if the sender expects liveness bytes soon after its frames and only
   * at the longer idle interval otherwise. An instance that does not set this
   * gets them every second. */
  bool mSupportsIdleInterval = false;
};

/** Number of zero bytes that are sent as a keepalive if there is no frame to
 * send: an empty frame, or a single byte to an instance that accepts no answers
 * on the connection. */
constexpr std::size_t
PeerLivenessBytes(bool aAcceptsAnswers)
{
  return aAcceptsAnswers ? kPeerLengthBytes : 1;
}

/** Encodes a hello with its length prefix. */
std::string
EncodePeerHello(const PeerHello& aHello);

/** Encodes a frame with its length prefix. */
std::string
EncodePeerFrame(const PeerFrame& aFrame);

/** Decodes a length prefix. Returns BodyTooLarge if the length exceeds
 * kMaxPeerFrameBytes. */
Result<std::size_t>
DecodePeerLength(const std::array<char, kPeerLengthBytes>& aBytes);

/** Decodes the body of a hello. */
Result<PeerHello>
DecodePeerHello(std::string_view aBody);

/** Decodes the body of a frame. */
Result<PeerFrame>
DecodePeerFrame(std::string_view aBody);

}

#include <algorithm>

#include <catch2/catch.hpp>

#include "Transport/PeerFrameCodec.h"

using namespace almondspoke;

namespace {

std::string
BodyOf(const std::string& aFramed)
{
  std::array<char, kPeerLengthBytes> length{};
  std::copy_n(aFramed.begin(), kPeerLengthBytes, length.begin());
  const auto decoded = DecodePeerLength(length);
  REQUIRE(decoded.has_value());
  REQUIRE(decoded.value() == aFramed.size() - kPeerLengthBytes);
  return aFramed.substr(kPeerLengthBytes);
}

}

TEST_CASE("PeerFrameCodec: frames and hellos are read back whole")
{
  const std::string binary("\0\xff\x00mid\n", 7);
  const auto frame = DecodePeerFrame(
    BodyOf(EncodePeerFrame({ PeerChannel::Consensus, 7, binary })));
  REQUIRE(frame.has_value());
  CHECK(frame.value().mChannel == PeerChannel::Consensus);
  CHECK(frame.value().mGroup == 7);
  CHECK(frame.value().mPayload == binary);

  const auto hello = DecodePeerHello(BodyOf(
    EncodePeerHello({ kPeerProtocolVersion, { "zagreb-1", "zagreb", 42 } })));
  REQUIRE(hello.has_value());
  CHECK(hello.value().mIdentity.mName == "zagreb-1");
  CHECK(hello.value().mIdentity.mIncarnation == 42);
  CHECK_FALSE(hello.value().mAcceptsAnswers);
  const auto taking = DecodePeerHello(
    BodyOf(EncodePeerHello({ kPeerProtocolVersion, { "a", "b", 1 }, true })));
  CHECK(taking.value().mAcceptsAnswers);
  CHECK_FALSE(taking.value().mSupportsIdleInterval);
  const auto quiet = DecodePeerHello(BodyOf(
    EncodePeerHello({ kPeerProtocolVersion, { "a", "b", 1 }, true, true })));
  CHECK(quiet.value().mSupportsIdleInterval);
}

TEST_CASE("PeerFrameCodec: a hello without the last field takes no answers")
{
  // Four members: version 1, "a", "b", incarnation 2.
  const auto hello = DecodePeerHello("\x94\x01\xa1\x61\xa1\x62\x02");
  REQUIRE(hello.has_value());
  CHECK(hello.value().mIdentity.mIncarnation == 2);
  CHECK_FALSE(hello.value().mAcceptsAnswers);
}

TEST_CASE("PeerFrameCodec: a frame cut short or with bytes too many is refused")
{
  const std::string body =
    BodyOf(EncodePeerFrame({ PeerChannel::Rpc, 1, "payload" }));
  for (std::size_t length = 0; length < body.size(); ++length) {
    CHECK(DecodePeerFrame(body.substr(0, length)).has_error());
  }
  CHECK(DecodePeerFrame(body + "x").has_error());
}

TEST_CASE("PeerFrameCodec: lengths over the bound and other versions are named")
{
  const auto length = DecodePeerLength({ '\xff', '\xff', '\xff', '\xff' });
  REQUIRE(length.has_error());
  CHECK(length.error().Kind() == ErrorKind::BodyTooLarge);

  const auto hello =
    DecodePeerHello(BodyOf(EncodePeerHello({ 99, { "a", "b", 1 } })));
  REQUIRE(hello.has_error());
  CHECK(hello.error().Message().find("version 99") != std::string::npos);
}

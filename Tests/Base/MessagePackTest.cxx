#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Base/MessagePack.h"

using namespace almondspoke;

namespace {

struct Sample
{
  std::uint32_t mNumber = 0;
  std::vector<std::string> mNames;

  MSGPACK_DEFINE(mNumber, mNames)
};

}

TEST_CASE("MessagePack: round trip; truncated and trailing bytes are errors")
{
  const std::string bytes = PackMessage(Sample{ 7, { "a", "b" } });
  const auto sample = UnpackMessage<Sample>(bytes);
  REQUIRE(sample);
  CHECK(sample.value().mNumber == 7);
  CHECK(sample.value().mNames == std::vector<std::string>{ "a", "b" });
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(UnpackMessage<Sample>(bytes.substr(0, length)));
  }
  CHECK_FALSE(UnpackMessage<Sample>(bytes + "x"));
}

TEST_CASE("MessagePack: declared sizes beyond the input allocate no memory")
{
  struct Declaration
  {
    std::string mBytes;
    /** True if the library allocates before it reads the data, as it does for
     * arrays and maps; for strings it first checks that the bytes exist. */
    bool mAllocatesFirst;
  };
  const Declaration declarations[] = {
    { std::string("\xdd\x00\x0f\xff\xff", 5), true },  // array
    { std::string("\xdf\x00\x0f\xff\xff", 5), true },  // map
    { std::string("\xdb\x00\x0f\xff\xff", 5), false }, // string
    { std::string("\xc6\x00\x0f\xff\xff", 5), false }, // binary
    { std::string("\xc9\x00\x0f\xff\xff", 5), false }, // extension
    { std::string(100, '\x91'), true },                // nested arrays
  };
  for (const auto& [bytes, allocatesFirst] : declarations) {
    std::size_t offset = 0;
    if (allocatesFirst) {
      CHECK_THROWS_AS(UnpackObject(bytes, offset, LimitsFor(bytes)),
                      msgpack::size_overflow);
    } else {
      CHECK_THROWS_AS(UnpackObject(bytes, offset, LimitsFor(bytes)),
                      msgpack::insufficient_bytes);
    }
    const auto sample = UnpackMessage<Sample>(bytes);
    REQUIRE_FALSE(sample);
    CHECK(sample.error().Kind() == ErrorKind::MalformedRequest);
  }
}

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Consensus/ConsensusMessage.h"

/** Checks that a decoded message survives encoding and decoding unchanged. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto message = almondspoke::DecodeMessage(bytes);
  if (!message) {
    return 0;
  }
  const std::string encoded = almondspoke::EncodeMessage(message.value());
  const auto again = almondspoke::DecodeMessage(encoded);
  if (!again || almondspoke::EncodeMessage(again.value()) != encoded) {
    std::abort();
  }
  return 0;
}

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "platform/WorkerCodec.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace almondspoke;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  static_cast<void>(platform::DecodeReport("i-1", text).has_value());
  static_cast<void>(platform::DecodeHoldAnswer(200, text));
  static_cast<void>(platform::DecodeOrderAnswer(409, text));
  const auto task = platform::DecodeTaskId(text);
  if (task &&
      !(platform::DecodeTaskId(platform::EncodeTaskId(*task)) == task)) {
    std::abort();
  }
  return 0;
}

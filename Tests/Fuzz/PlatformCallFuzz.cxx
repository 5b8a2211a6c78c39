#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/JobCodec.h"
#include "platform/ManifestCodec.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace almondspoke;
  const std::string body(reinterpret_cast<const char*>(aData), aSize);
  static_cast<void>(platform::DecodeJob(body).has_value());
  static_cast<void>(platform::DecodeManifest(body).has_value());
  return 0;
}

#include <cstddef>
#include <cstdint>
#include <string>

#include "Daemon/EndpointApi.h"

// Checks that every accepted announcement has values in the allowed range.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string body(reinterpret_cast<const char*>(aData), aSize);
  const auto announcement =
    almondspoke::ParseAnnouncement("e", body, { { "127.0.0.0", 8 } });
  if (announcement.has_value() &&
      (announcement.value().mSlots == 0 || announcement.value().mCores < 0 ||
       announcement.value().mAddress.rfind("127.", 0) != 0)) {
    __builtin_trap();
  }
  static_cast<void>(almondspoke::ParseUsageReport(body));
  return 0;
}

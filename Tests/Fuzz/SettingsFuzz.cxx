#include <cstddef>
#include <cstdint>
#include <string>

#include "Daemon/Settings.h"

// Checks that any text is either accepted or refused with a message.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const auto settings = almondspoke::ParseSettings("fuzz.ini", text);
  if (settings.has_error() && settings.error().Message().empty()) {
    __builtin_trap();
  }
  return 0;
}

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Jobs/HomeDataCentres.h"
#include "Jobs/SubmissionKey.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace almondspoke;
  static const HomeDataCentres kHomes("zagreb", { "sisak", "karlovac" });
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto key = SubmissionKey::Parse(text, kHomes);
  if (key && (key.value().Text() != text || text.size() > kMaxKeyBytes ||
              !kHomes.Contains(key.value().Home()))) {
    std::abort();
  }
  return 0;
}

#include "Jobs/SubmissionKey.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

#include "Jobs/HomeDataCentres.h"

namespace almondspoke {

namespace {

constexpr char kHomeSeparator = ':';
constexpr char kEpochPrefix = '@';
constexpr char kEpochEnd = '-';

bool
IsPrintable(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

KeyHash
HashKey(std::string_view aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  return { hash.high64, hash.low64 };
}

Result<std::uint32_t>
ParseEpoch(std::string_view aRest)
{
  if (aRest.empty() || aRest.front() != kEpochPrefix) {
    return 0U;
  }
  const char* first = aRest.data() + 1;
  const char* last = aRest.data() + aRest.size();
  std::uint32_t epoch = 0;
  const auto [end, error] = std::from_chars(first, last, epoch);
  if (error != std::errc() || epoch == 0 || end == last || *end != kEpochEnd) {
    return Error(ErrorKind::KeyInvalid,
                 "Idempotency-Key has a malformed key epoch; allowed: "
                 "HOME:@NUMBER-TEXT with the prefix that GET /v1/home returns");
  }
  return epoch;
}

}

Result<SubmissionKey>
SubmissionKey::Parse(std::string_view aText, const HomeDataCentres& aHomes)
{
  if (aText.empty()) {
    return Error(ErrorKind::KeyRequired,
                 "the header Idempotency-Key is missing or empty");
  }
  if (aText.size() > kMaxKeyBytes) {
    return Error(ErrorKind::KeyInvalid,
                 "Idempotency-Key has " + std::to_string(aText.size()) +
                   " bytes; allowed: 1 to " + std::to_string(kMaxKeyBytes));
  }
  if (!std::all_of(aText.begin(), aText.end(), IsPrintable)) {
    return Error(ErrorKind::KeyInvalid,
                 "Idempotency-Key has a character that is not allowed; "
                 "allowed: printable ASCII without spaces");
  }
  SubmissionKey key;
  key.mText = aText;
  key.mHash = HashKey(aText);
  const std::size_t separator = aText.find(kHomeSeparator);
  const std::string_view home = aText.substr(0, separator);
  if (separator == std::string_view::npos || !aHomes.Contains(home)) {
    key.mHome = aHomes.HomeOf(aText);
    return key;
  }
  const Result<std::uint32_t> epoch = ParseEpoch(aText.substr(separator + 1));
  if (!epoch) {
    return epoch.error();
  }
  key.mEpoch = epoch.value();
  key.mHome = home;
  return key;
}

std::string
KeyPrefix(const DataCentreName& aHome, std::uint32_t aEpoch)
{
  return aHome + kHomeSeparator + kEpochPrefix + std::to_string(aEpoch) +
         kEpochEnd;
}

std::uint64_t
HashBody(std::string_view aBody)
{
  return XXH3_64bits(aBody.data(), aBody.size());
}

}

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Transport/CallerParser.h"

namespace {

using almondspoke::detail::CallerMethods;
using almondspoke::detail::CallerParser;

const std::array<std::string, 5> kBeginnings = {
  "",
  "GET / HTTP/1.1\r\n",
  "POST / HTTP/1.0\r\nContent-Length: 2\r\n",
  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n",
  "PUT / HTTP/1.2\r\nhost: a\r\nExpect: 100-continue\r\n",
};

/** \brief What the hook found in one input, and the result of parsing it. */
struct Finding
{
  http_errno mError = HPE_OK;
  bool mHeaderPassed = false;
  std::size_t mHosts = 0;
  unsigned mMajor = 0;
  unsigned mMinor = 0;
  std::optional<std::string> mRejection;
  bool mIsContinueWanted = false;
};

restinio::incoming_http_msg_limits_t
Limits()
{
  constexpr std::size_t kMaxHeaderBytes = 512;
  constexpr std::size_t kMaxBodyBytes = 256;
  return restinio::incoming_http_msg_limits_t{}
    .max_url_size(kMaxHeaderBytes)
    .max_field_name_size(kMaxHeaderBytes)
    .max_field_value_size(kMaxHeaderBytes)
    .max_field_count(16)
    .max_body_size(kMaxBodyBytes);
}

// Skips empty reads, which the parser takes for the end of the connection.
void
Feed(http_parser& aParser, std::string_view aBytes)
{
  static const http_parser_settings settings =
    restinio::impl::create_parser_settings<CallerMethods>();
  if (!aBytes.empty() && HTTP_PARSER_ERRNO(&aParser) == HPE_OK) {
    http_parser_execute(&aParser, &settings, aBytes.data(), aBytes.size());
  }
}

// Parses the input in two reads, as a server connection does.
Finding
Parse(const std::string& aInput, std::size_t aSplit)
{
  restinio::impl::http_parser_ctx_t context{ Limits() };
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &context;
  CallerParser::TakeRejection();
  CallerParser::TakeContinueWanted();
  Feed(parser, std::string_view(aInput).substr(0, aSplit));
  Feed(parser, std::string_view(aInput).substr(aSplit));
  Finding finding;
  finding.mError = HTTP_PARSER_ERRNO(&parser);
  finding.mHeaderPassed = context.m_leading_headers_completed &&
                          finding.mError != HPE_CB_headers_complete;
  finding.mMajor = parser.http_major;
  finding.mMinor = parser.http_minor;
  context.m_header.for_each_field([&finding](const auto& aField) {
    finding.mHosts += aField.field_id() == restinio::http_field::host ? 1 : 0;
  });
  finding.mRejection = CallerParser::TakeRejection();
  finding.mIsContinueWanted = CallerParser::TakeContinueWanted();
  return finding;
}

bool
IsSame(const Finding& aLeft, const Finding& aRight)
{
  return aLeft.mError == aRight.mError &&
         aLeft.mHeaderPassed == aRight.mHeaderPassed &&
         aLeft.mRejection == aRight.mRejection &&
         aLeft.mIsContinueWanted == aRight.mIsContinueWanted;
}

bool
IsTrue(const Finding& aFinding)
{
  if (aFinding.mRejection && aFinding.mError != HPE_CB_headers_complete) {
    return false;
  }
  if (aFinding.mIsContinueWanted && !aFinding.mHeaderPassed) {
    return false;
  }
  const bool hasHost =
    aFinding.mHosts == 1 || (aFinding.mHosts == 0 && aFinding.mMinor == 0);
  return !aFinding.mHeaderPassed || (aFinding.mMajor == 1 && hasHost);
}

}

// The first byte selects where the input is split, the second its prefix.
// Checks that the hook's result doesn't depend on the split and that no header
// is accepted that the hook has to reject.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  constexpr std::size_t kSelectors = 2;
  if (aSize < kSelectors) {
    return 0;
  }
  const std::string input =
    kBeginnings[aData[1] % kBeginnings.size()] +
    std::string(reinterpret_cast<const char*>(aData) + kSelectors,
                aSize - kSelectors) +
    "\r\n\r\n";
  const Finding whole = Parse(input, input.size());
  const Finding split = Parse(input, aData[0] % input.size());
  if (!IsSame(whole, split) || !IsTrue(whole)) {
    __builtin_trap();
  }
  return 0;
}

#include "Transport/CallerParser.h"

#include <limits>
#include <utility>

#include "Transport/ArrivingRequest.h"
#include "Transport/HttpMessage.h"

namespace almondspoke::detail {

namespace {

constexpr int kAbortParsing = -1;
constexpr unsigned kSupportedMajorVersion = 1;

/** Memory that the library uses for a header field besides its text. */
constexpr std::size_t kFieldRecordBytes = 128;

thread_local std::optional<std::string> rejection;
thread_local bool isContinueWanted = false;

// Returns false if the header exceeds its limit.
bool
CountHeader(std::size_t aBytes)
{
  ArrivingRequest* request = ArrivingRequest::Current();
  return request == nullptr || request->AddHeader(aBytes);
}

bool
IsBodyTooLarge(const http_parser& aParser)
{
  const ArrivingRequest* request = ArrivingRequest::Current();
  const bool hasLength =
    aParser.content_length != std::numeric_limits<std::uint64_t>::max();
  return request != nullptr && hasLength &&
         aParser.content_length > request->MaxBodyBytes();
}

const restinio::http_request_header_t&
HeaderOf(const http_parser& aParser)
{
  return static_cast<const restinio::impl::http_parser_ctx_t*>(aParser.data)
    ->m_header;
}

// Of two Host fields, one hop may use the first and another hop the last, so
// that they would serve different targets. Duplicates are therefore rejected in
// HTTP/1.0 too, where Host is optional.
std::optional<std::string>
CheckHostField(const http_parser& aParser)
{
  std::size_t count = 0;
  HeaderOf(aParser).for_each_field([&count](const auto& aField) {
    count += aField.field_id() == restinio::http_field::host ? 1 : 0;
  });
  if (count > 1) {
    return "a request with " + std::to_string(count) +
           " Host fields is not served (allowed: one)";
  }
  if (count == 0 && aParser.http_minor > 0) {
    return "a request of HTTP/1.1 without a Host field is not served "
           "(allowed: one Host field)";
  }
  return std::nullopt;
}

std::optional<std::string>
CheckVersion(const http_parser& aParser)
{
  if (aParser.http_major == kSupportedMajorVersion) {
    return std::nullopt;
  }
  return "a request line without a version, or with version " +
         std::to_string(aParser.http_major) + '.' +
         std::to_string(aParser.http_minor) +
         ", is not served (allowed: HTTP/1.1, HTTP/1.0)";
}

bool
HasBody(const http_parser& aParser)
{
  const bool isChunked = (aParser.flags & F_CHUNKED) != 0;
  const bool hasLength =
    aParser.content_length != std::numeric_limits<std::uint64_t>::max();
  return isChunked || (hasLength && aParser.content_length > 0);
}

bool
WantsContinue(const http_parser& aParser)
{
  if (aParser.http_minor == 0 || !HasBody(aParser)) {
    return false;
  }
  const auto expected =
    HeaderOf(aParser).opt_value_of(restinio::http_field::expect);
  return expected && EqualFieldNames(*expected, "100-continue");
}

}

int
CallerParser::OnHeadersComplete(http_parser* aParser)
{
  isContinueWanted = false;
  if (ArrivingRequest* request = ArrivingRequest::Current()) {
    request->EndHeader();
  }
  rejection = CheckVersion(*aParser);
  if (rejection || IsBodyTooLarge(*aParser)) {
    return kAbortParsing;
  }
  // Only this library callback adds a trailing field that has no value.
  const int result = restinio::impl::restinio_headers_complete_cb(aParser);
  if (result != 0) {
    return result;
  }
  rejection = CheckHostField(*aParser);
  isContinueWanted = !rejection && WantsContinue(*aParser);
  return rejection ? kAbortParsing : 0;
}

int
CallerParser::OnMessageBegin(http_parser*)
{
  if (ArrivingRequest* request = ArrivingRequest::Current()) {
    request->Begin();
  }
  return 0;
}

int
CallerParser::OnUrl(http_parser* aParser, const char* aText, std::size_t aSize)
{
  if (!CountHeader(aSize)) {
    return kAbortParsing;
  }
  return restinio::impl::restinio_url_cb(aParser, aText, aSize);
}

int
CallerParser::OnField(http_parser* aParser,
                      const char* aText,
                      std::size_t aSize)
{
  const bool isNew =
    static_cast<const restinio::impl::http_parser_ctx_t*>(aParser->data)
      ->m_last_was_value;
  ArrivingRequest* request = ArrivingRequest::Current();
  if (request != nullptr && isNew) {
    request->AddRecord(kFieldRecordBytes);
  }
  if (!CountHeader(aSize)) {
    return kAbortParsing;
  }
  return restinio::impl::restinio_header_field_cb(aParser, aText, aSize);
}

int
CallerParser::OnValue(http_parser* aParser,
                      const char* aText,
                      std::size_t aSize)
{
  if (!CountHeader(aSize)) {
    return kAbortParsing;
  }
  return restinio::impl::restinio_header_value_cb(aParser, aText, aSize);
}

int
CallerParser::OnBody(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ArrivingRequest* request = ArrivingRequest::Current();
  if (request != nullptr && !request->AddBody(aSize)) {
    return kAbortParsing;
  }
  return restinio::impl::restinio_body_cb(aParser, aText, aSize);
}

int
CallerParser::OnChunkHeader(http_parser*)
{
  return 0;
}

std::optional<std::string>
CallerParser::TakeRejection()
{
  return std::exchange(rejection, std::nullopt);
}

bool
CallerParser::TakeContinueWanted()
{
  return std::exchange(isContinueWanted, false);
}

}

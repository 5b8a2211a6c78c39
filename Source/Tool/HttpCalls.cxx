#include "Tool/HttpCalls.h"

#include "Base/Error.h"

namespace almondspoke::tool {

namespace {

constexpr int kHttpFirstError = 300;

/** Returns the error in a response, or a generic one with the HTTP status. */
Error
ErrorFromResponse(const std::string& aUrl, const HttpResponse& aResponse)
{
  return ErrorFromJson(aResponse.mBody)
    .value_or(
      Error(ErrorKind::EndpointFailed,
            aUrl + ": HTTP status " + std::to_string(aResponse.mStatus)));
}

}

Result<HttpResponse>
SendOrFail(ToolContext& aContext, const HttpRequest& aRequest)
{
  BOOST_OUTCOME_TRY(response, aContext.mHttp.Send(aRequest));
  if (response.mStatus >= kHttpFirstError) {
    return ErrorFromResponse(aRequest.mUrl, response);
  }
  return response;
}

std::string
EncodeSegment(const std::string& aText)
{
  constexpr const char* kUnescaped =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrs"
    "tuvwxyz0123456789-._~:";
  constexpr const char* kHexDigits = "0123456789ABCDEF";
  constexpr unsigned kBitsPerHexDigit = 4;
  constexpr unsigned kHexDigitMask = 15;
  const std::string unescaped = kUnescaped;
  std::string encoded;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (unescaped.find(character) != std::string::npos) {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kHexDigits[code >> kBitsPerHexDigit];
      encoded += kHexDigits[code & kHexDigitMask];
    }
  }
  return encoded;
}

}

#include "Transport/HttpMessage.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace almondspoke {

namespace {

constexpr std::array<std::string_view, 11> kHopByHopFields = {
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
};

struct StatusReason
{
  int mStatus;
  std::string_view mReason;
};

constexpr std::array<StatusReason, 26> kReasons = { {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 301, "Moved Permanently" },
  { 302, "Found" },
  { 304, "Not Modified" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 405, "Method Not Allowed" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 410, "Gone" },
  { 413, "Content Too Large" },
  { 415, "Unsupported Media Type" },
  { 422, "Unprocessable Content" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 499, "Client Closed Request" },
  { 500, "Internal Server Error" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
  { 507, "Insufficient Storage" },
} };

char
LowerCase(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z'
           ? static_cast<char>(aCharacter - 'A' + 'a')
           : aCharacter;
}

std::string_view
Trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Splits a comma-separated field value and appends its elements.
void
AppendElements(std::string_view aValue, std::vector<std::string>& aNames)
{
  while (!aValue.empty()) {
    const std::size_t comma = aValue.find(',');
    const std::string_view element = Trimmed(aValue.substr(0, comma));
    if (!element.empty()) {
      aNames.emplace_back(element);
    }
    if (comma == std::string_view::npos) {
      return;
    }
    aValue.remove_prefix(comma + 1);
  }
}

}

bool
EqualFieldNames(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aOne, char aOther) {
                      return LowerCase(aOne) == LowerCase(aOther);
                    });
}

const std::string*
FindField(const HttpFields& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (EqualFieldNames(field.mName, aName)) {
      return &field.mValue;
    }
  }
  return nullptr;
}

void
RemoveField(HttpFields& aFields, std::string_view aName)
{
  aFields.erase(std::remove_if(aFields.begin(),
                               aFields.end(),
                               [aName](const HttpField& aField) {
                                 return EqualFieldNames(aField.mName, aName);
                               }),
                aFields.end());
}

void
SetField(HttpFields& aFields, std::string_view aName, std::string aValue)
{
  RemoveField(aFields, aName);
  aFields.push_back({ std::string(aName), std::move(aValue) });
}

void
RemoveHopByHopFields(HttpFields& aFields)
{
  std::vector<std::string> nominated;
  for (const HttpField& field : aFields) {
    if (EqualFieldNames(field.mName, "connection")) {
      AppendElements(field.mValue, nominated);
    }
  }
  const auto isHopByHop = [&nominated](const HttpField& aField) {
    const auto equalsName = [&aField](std::string_view aName) {
      return EqualFieldNames(aField.mName, aName);
    };
    return std::any_of(
             kHopByHopFields.begin(), kHopByHopFields.end(), equalsName) ||
           std::any_of(nominated.begin(), nominated.end(), equalsName);
  };
  aFields.erase(std::remove_if(aFields.begin(), aFields.end(), isHopByHop),
                aFields.end());
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find_first_of("?#"));
}

std::string_view
QueryParameter(std::string_view aTarget, std::string_view aName)
{
  const std::size_t question = aTarget.find('?');
  if (question == std::string_view::npos) {
    return {};
  }
  std::string_view query = aTarget.substr(question + 1);
  query = query.substr(0, query.find('#'));
  while (!query.empty()) {
    const std::size_t ampersand = query.find('&');
    const std::string_view pair = query.substr(0, ampersand);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string_view{}
                                              : pair.substr(equals + 1);
    }
    if (ampersand == std::string_view::npos) {
      break;
    }
    query.remove_prefix(ampersand + 1);
  }
  return {};
}

std::string_view
ReasonPhrase(int aStatus)
{
  for (const StatusReason& entry : kReasons) {
    if (entry.mStatus == aStatus) {
      return entry.mReason;
    }
  }
  return "Status";
}

HttpResponse
JsonResponse(int aStatus, std::string aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mFields.push_back({ "Content-Type", "application/json" });
  response.mBody = std::move(aBody);
  return response;
}

HttpResponse
ErrorResponse(const Error& aError)
{
  HttpResponse response =
    JsonResponse(aError.Traits().mHttpStatus, aError.ToJson());
  if (aError.RetryAfter()) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aError.RetryAfter());
    response.mFields.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  return response;
}

}

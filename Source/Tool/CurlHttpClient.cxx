#include "Tool/CurlHttpClient.h"

#include <array>
#include <memory>

#include <curl/curl.h>

namespace almondspoke::tool {

namespace {

using FieldList = std::unique_ptr<curl_slist, void (*)(curl_slist*)>;

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

FieldList
MakeFields(const HttpRequest& aRequest)
{
  FieldList list(nullptr, &curl_slist_free_all);
  // An empty Expect field stops libcurl from waiting for "100 Continue"
  // before it sends a large body.
  list.reset(curl_slist_append(list.release(), "Expect:"));
  for (const HttpField& field : aRequest.mFields) {
    const std::string line = field.mName + ": " + field.mValue;
    list.reset(curl_slist_append(list.release(), line.c_str()));
  }
  return list;
}

// Maps a libcurl error to an error kind. The request was certainly not sent
// if no connection was established.
ErrorKind
ErrorKindOf(CURLcode aCode)
{
  switch (aCode) {
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return ErrorKind::InvalidArgument;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
      return ErrorKind::PeerUnreachable;
    default:
      return ErrorKind::OutcomeUnknown;
  }
}

}

CurlHttpClient::CurlHttpClient()
  : mHandle(curl_easy_init())
{
}

CurlHttpClient::~CurlHttpClient()
{
  curl_easy_cleanup(mHandle);
}

Result<HttpResponse>
CurlHttpClient::Send(const HttpRequest& aRequest)
{
  HttpResponse response;
  std::array<char, CURL_ERROR_SIZE> reason{};
  const FieldList fields = MakeFields(aRequest);
  curl_easy_reset(mHandle);
  curl_easy_setopt(mHandle, CURLOPT_URL, aRequest.mUrl.c_str());
  curl_easy_setopt(mHandle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(mHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(mHandle, CURLOPT_CUSTOMREQUEST, aRequest.mMethod.c_str());
  curl_easy_setopt(mHandle, CURLOPT_HTTPHEADER, fields.get());
  if (aRequest.mMethod != "GET" && aRequest.mMethod != "DELETE") {
    curl_easy_setopt(mHandle, CURLOPT_POSTFIELDS, aRequest.mBody.data());
    curl_easy_setopt(mHandle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.mBody.size()));
  }
  curl_easy_setopt(mHandle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(mHandle, CURLOPT_WRITEDATA, &response.mBody);
  curl_easy_setopt(mHandle, CURLOPT_ERRORBUFFER, reason.data());
  curl_easy_setopt(mHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
    mHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.mTimeout.count()));
  const CURLcode code = curl_easy_perform(mHandle);
  if (code != CURLE_OK) {
    const char* text =
      reason[0] == '\0' ? curl_easy_strerror(code) : reason.data();
    return Error(ErrorKindOf(code), aRequest.mUrl + ": " + text);
  }
  long status = 0;
  curl_easy_getinfo(mHandle, CURLINFO_RESPONSE_CODE, &status);
  response.mStatus = static_cast<int>(status);
  return response;
}

}

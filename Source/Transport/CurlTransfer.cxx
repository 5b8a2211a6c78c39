#include "Transport/CurlTransfer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Base/EnumNames.h"

namespace almondspoke {

namespace {

constexpr std::array<EnumName<TransferOutcome>, 4> kOutcomeNames = { {
  { TransferOutcome::Answered, "answered" },
  { TransferOutcome::RefusedNotRun, "refused-not-run" },
  { TransferOutcome::NotSent, "not-sent" },
  { TransferOutcome::MayHaveRun, "may-have-run" },
} };

}

std::string_view
NameOf(TransferOutcome aOutcome)
{
  return NameOf(kOutcomeNames, aOutcome);
}

}

namespace almondspoke::detail {

namespace {

constexpr int kServiceUnavailable = 503;

// Fields that libcurl adds by default.
constexpr std::array<const char*, 4> kSuppressedFields = {
  "Accept",
  "Content-Type",
  "Expect",
  "User-Agent",
};

}

CurlTransfer::CurlTransfer(HttpClient::AttemptId aId,
                           HttpAttempt aAttempt,
                           HttpClient::Done aDone,
                           CURL* aEasy)
  : mId(aId)
  , mAttempt(std::move(aAttempt))
  , mDone(std::move(aDone))
  , mEasy(aEasy)
{
}

CurlTransfer::~CurlTransfer()
{
  curl_slist_free_all(mFieldList);
}

void
CurlTransfer::Prepare(const HttpClientOptions& aOptions,
                      std::chrono::milliseconds aTimeLeft)
{
  const std::string url = "http://" + mAttempt.mAddress + mAttempt.mTarget;
  const long timeLeft = std::max<long>(1, aTimeLeft.count());
  const long connectTimeout =
    std::min<long>(timeLeft, aOptions.mConnectTimeout.count());
  mMaxResponseBytes = aOptions.mMaxResponseBytes;
  curl_easy_setopt(mEasy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(mEasy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(mEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(mEasy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(mEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(mEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(mEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(mEasy, CURLOPT_TIMEOUT_MS, timeLeft);
  curl_easy_setopt(mEasy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeout);
  curl_easy_setopt(
    mEasy, CURLOPT_MAXAGE_CONN, static_cast<long>(aOptions.mMaxIdle.count()));
  curl_easy_setopt(
    mEasy, CURLOPT_FRESH_CONNECT, mAttempt.mUseNewConnection ? 1L : 0L);
  // Otherwise connections opened this way would accumulate in the pool.
  curl_easy_setopt(
    mEasy, CURLOPT_FORBID_REUSE, mAttempt.mUseNewConnection ? 1L : 0L);
  curl_easy_setopt(mEasy, CURLOPT_PREREQFUNCTION, &OnPreRequest);
  curl_easy_setopt(mEasy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(mEasy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(mEasy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_PRIVATE, this);
  SetMethodAndBody();
  SetFields();
}

void
CurlTransfer::SetMethodAndBody()
{
  if (mAttempt.mMethod == "GET") {
    curl_easy_setopt(mEasy, CURLOPT_HTTPGET, 1L);
    return;
  }
  static const std::string kNoBody;
  const std::string& body = mAttempt.mBody ? *mAttempt.mBody : kNoBody;
  curl_easy_setopt(mEasy, CURLOPT_POST, 1L);
  curl_easy_setopt(mEasy, CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(
    mEasy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
  if (mAttempt.mMethod != "POST") {
    curl_easy_setopt(mEasy, CURLOPT_CUSTOMREQUEST, mAttempt.mMethod.c_str());
  }
}

void
CurlTransfer::SetFields()
{
  std::string line;
  for (const HttpField& field : mAttempt.mFields) {
    // libcurl sends an empty field only if its name ends with a semicolon.
    line = field.mValue.empty() ? field.mName + ';'
                                : field.mName + ": " + field.mValue;
    mFieldList = curl_slist_append(mFieldList, line.c_str());
  }
  for (const char* name : kSuppressedFields) {
    if (FindField(mAttempt.mFields, name) == nullptr) {
      line = std::string(name) + ':';
      mFieldList = curl_slist_append(mFieldList, line.c_str());
    }
  }
  curl_easy_setopt(mEasy, CURLOPT_HTTPHEADER, mFieldList);
}

AttemptResult
CurlTransfer::TakeResult(CURLcode aCode)
{
  if (aCode == CURLE_OK && mHeaderComplete && HasDelimitedBody()) {
    return TakeResponseResult();
  }
  return FailureResult(aCode);
}

// A response without a length ends when its connection closes, which cannot be
// told from an endpoint that crashes halfway through the response.
bool
CurlTransfer::HasDelimitedBody() const
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return mResponse.mStatus == kNoContent || mResponse.mStatus == kNotModified ||
         FindField(mResponse.mFields, "Content-Length") != nullptr ||
         FindField(mResponse.mFields, "Transfer-Encoding") != nullptr;
}

AttemptResult
CurlTransfer::TakeResponseResult()
{
  AttemptResult result;
  const std::string* notRun = FindField(mResponse.mFields, kNotRunField);
  const bool refused = mResponse.mStatus == kServiceUnavailable &&
                       notRun != nullptr && *notRun == "true";
  result.mOutcome =
    refused ? TransferOutcome::RefusedNotRun : TransferOutcome::Answered;
  result.mResponse = std::move(mResponse);
  return result;
}

AttemptResult
CurlTransfer::FailureResult(CURLcode aCode) const
{
  AttemptResult result;
  result.mMessage = curl_easy_strerror(aCode);
  if (!mSendStarted) {
    result.mOutcome = TransferOutcome::NotSent;
    result.mErrorKind = ErrorKind::EndpointUnreachable;
    return result;
  }
  result.mOutcome = TransferOutcome::MayHaveRun;
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    result.mErrorKind = ErrorKind::EndpointTimeout;
  } else if (mResponseTooLarge) {
    result.mErrorKind = ErrorKind::EndpointFailed;
    result.mMessage = "the response is larger than this instance accepts";
  } else {
    result.mErrorKind = ErrorKind::ConnectionLost;
  }
  if (aCode == CURLE_OK) {
    result.mMessage =
      mHeaderComplete
        ? "the response has neither Content-Length nor Transfer-Encoding"
        : "the connection closed before the end of the header";
  }
  if (mResendPrevented) {
    result.mMessage = "the endpoint closed a reused connection";
  }
  return result;
}

std::size_t
CurlTransfer::OnHeader(char* aData,
                       std::size_t aSize,
                       std::size_t aCount,
                       void* aTransfer)
{
  auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  const std::size_t length = aSize * aCount;
  transfer.AddHeaderLine(std::string_view(aData, length));
  return length;
}

void
CurlTransfer::AddHeaderLine(std::string_view aLine)
{
  while (!aLine.empty() && (aLine.back() == '\r' || aLine.back() == '\n' ||
                            aLine.back() == ' ' || aLine.back() == '\t')) {
    aLine.remove_suffix(1);
  }
  if (aLine.substr(0, 5) == "HTTP/") {
    // An informational response precedes the final one, which replaces it.
    long status = 0;
    curl_easy_getinfo(mEasy, CURLINFO_RESPONSE_CODE, &status);
    mResponse.mStatus = static_cast<int>(status);
    mResponse.mFields.clear();
    mHeaderComplete = false;
    return;
  }
  if (aLine.empty()) {
    mHeaderComplete = true;
    return;
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  std::string_view value = aLine.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  mResponse.mFields.push_back(
    { std::string(aLine.substr(0, colon)), std::string(value) });
}

std::size_t
CurlTransfer::OnBody(char* aData,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aTransfer)
{
  auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  const std::size_t length = aSize * aCount;
  if (transfer.mResponse.mBody.size() + length > transfer.mMaxResponseBytes) {
    transfer.mResponseTooLarge = true;
    return 0;
  }
  transfer.mResponse.mBody.append(aData, length);
  return length;
}

int
CurlTransfer::OnPreRequest(void* aTransfer, char*, char*, int, int)
{
  auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  if (transfer.mSendStarted) {
    transfer.mResendPrevented = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer.mSendStarted = true;
  return CURL_PREREQFUNC_OK;
}

}

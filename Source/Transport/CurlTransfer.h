#pragma once

#include <string>

#include <curl/curl.h>

#include "Transport/CurlHttpClient.h"

namespace almondspoke::detail {

/** \brief Runs one attempt as a libcurl transfer.
 *
 * libcurl resends a request by itself if a reused connection closes before the
 * first byte of the response. The pre-request callback runs before each send.
 * It records that a byte may have been sent, and aborts any further send. */
class CurlTransfer
{
public:
  CurlTransfer(HttpClient::AttemptId aId,
               HttpAttempt aAttempt,
               HttpClient::Done aDone,
               CURL* aEasy);
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;
  ~CurlTransfer();

  /** Sets all options of the easy handle for this attempt. */
  void Prepare(const HttpClientOptions& aOptions,
               std::chrono::milliseconds aTimeLeft);

  /** Returns the result of the finished transfer. */
  AttemptResult TakeResult(CURLcode aCode);

  HttpClient::AttemptId Id() const { return mId; }
  const HttpAttempt& Attempt() const { return mAttempt; }
  CURL* Easy() const { return mEasy; }
  HttpClient::Done& DoneCallback() { return mDone; }

private:
  void SetMethodAndBody();
  void SetFields();
  bool HasDelimitedBody() const;
  AttemptResult TakeResponseResult();
  AttemptResult FailureResult(CURLcode aCode) const;
  void AddHeaderLine(std::string_view aLine);

  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aTransfer);
  static std::size_t OnBody(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aTransfer);
  static int OnPreRequest(void* aTransfer,
                          char* aRemoteAddress,
                          char* aLocalAddress,
                          int aRemotePort,
                          int aLocalPort);

  HttpClient::AttemptId mId;
  HttpAttempt mAttempt;
  HttpClient::Done mDone;
  CURL* mEasy;
  curl_slist* mFieldList = nullptr;
  std::size_t mMaxResponseBytes = 0;
  /** True once libcurl may have begun to write the request. */
  bool mSendStarted = false;
  bool mResendPrevented = false;
  /** True once the empty line after the last header field was received. */
  bool mHeaderComplete = false;
  bool mResponseTooLarge = false;
  HttpResponse mResponse;
};

}

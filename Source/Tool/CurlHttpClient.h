#pragma once

#include "Tool/HttpClient.h"

namespace almondspoke::tool {

/** \brief Sends requests with libcurl and reuses one keep-alive connection. */
class CurlHttpClient : public HttpClient
{
public:
  CurlHttpClient();
  CurlHttpClient(const CurlHttpClient&) = delete;
  CurlHttpClient& operator=(const CurlHttpClient&) = delete;
  ~CurlHttpClient() override;

  Result<HttpResponse> Send(const HttpRequest& aRequest) override;

private:
  /** The libcurl easy handle (CURL*). */
  void* mHandle;
};

}

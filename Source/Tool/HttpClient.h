#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "Base/Result.h"

namespace almondspoke::tool {

/** \brief One HTTP header field. */
struct HttpField
{
  std::string mName;
  std::string mValue;
};

/** \brief One HTTP request. */
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mUrl;
  std::vector<HttpField> mFields;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 30000 };
};

/** \brief The response to a request, with any status code. */
struct HttpResponse
{
  int mStatus = 0;
  std::string mBody;
};

/** \brief Sends HTTP requests, one at a time. */
class HttpClient
{
public:
  virtual ~HttpClient() = default;

  /** Sends a request and returns the response. Errors: PeerUnreachable if the
   * request was certainly not sent, OutcomeUnknown if it may have been sent but
   * no response arrived, InvalidArgument for an invalid URL. */
  virtual Result<HttpResponse> Send(const HttpRequest& aRequest) = 0;
};

}

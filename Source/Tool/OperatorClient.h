#pragma once

#include <chrono>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Base/Result.h"
#include "Tool/HttpClient.h"

namespace almondspoke::tool {

/** \brief Calls the operators' interface of an instance. */
class OperatorClient
{
public:
  /** \param aUrl base URL, such as "http://127.0.0.1:7200". */
  OperatorClient(HttpClient& aHttp,
                 std::string aUrl,
                 std::chrono::milliseconds aTimeout);

  /** Calls a method and returns its result. Errors: those that the instance
   * reports, PeerUnreachable if the call was certainly not sent, and
   * OutcomeUnknown if no valid response arrived. */
  Result<nlohmann::ordered_json> Call(
    const std::string& aMethod,
    const nlohmann::ordered_json& aParameters);

private:
  HttpClient& mHttp;
  std::string mUrl;
  std::chrono::milliseconds mTimeout;
};

}

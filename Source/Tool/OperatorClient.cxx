#include "Tool/OperatorClient.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "Tool/JsonRpcClient.h"

namespace almondspoke::tool {

namespace {

constexpr int kHttpOk = 200;

// Returns the error that the server reported. Its data has the format of
// Error::ToJson(), unless the JSON-RPC library itself created the error, for
// example for an unknown method.
Error
ReportedError(const JsonRpcOutcome& aOutcome)
{
  const std::optional<Error> error = ErrorFromJson(aOutcome.mJson);
  return error ? *error : Error(ErrorKind::MalformedRequest, aOutcome.mMessage);
}

}

OperatorClient::OperatorClient(HttpClient& aHttp,
                               std::string aUrl,
                               std::chrono::milliseconds aTimeout)
  : mHttp(aHttp)
  , mUrl(std::move(aUrl))
  , mTimeout(aTimeout)
{
}

Result<nlohmann::ordered_json>
OperatorClient::Call(const std::string& aMethod,
                     const nlohmann::ordered_json& aParameters)
{
  std::optional<Error> failure;
  const JsonRpcClient client(
    [this, &failure](const std::string& aRequest, std::string& aResponse) {
      HttpRequest request;
      request.mMethod = "POST";
      request.mUrl = mUrl + "/rpc";
      request.mFields = { { "Content-Type", "application/json" } };
      request.mBody = aRequest;
      request.mTimeout = mTimeout;
      const Result<HttpResponse> response = mHttp.Send(request);
      if (!response) {
        failure = response.error();
        return false;
      }
      aResponse = response.value().mBody;
      if (response.value().mStatus != kHttpOk) {
        failure = ErrorFromJson(aResponse).value_or(
          Error(ErrorKind::OutcomeUnknown,
                mUrl + ": unexpected HTTP status " +
                  std::to_string(response.value().mStatus)));
        return false;
      }
      return true;
    });
  const JsonRpcOutcome outcome = client.Call(aMethod, aParameters.dump());
  if (outcome.mKind == JsonRpcOutcome::Kind::Error) {
    return ReportedError(outcome);
  }
  if (outcome.mKind == JsonRpcOutcome::Kind::Failed) {
    return failure.value_or(
      Error(ErrorKind::OutcomeUnknown, mUrl + ": " + outcome.mMessage));
  }
  nlohmann::ordered_json result =
    nlohmann::ordered_json::parse(outcome.mJson, nullptr, false);
  if (!result.is_object()) {
    return Error(ErrorKind::OutcomeUnknown,
                 mUrl + ": the result is not a JSON object");
  }
  return result;
}

}

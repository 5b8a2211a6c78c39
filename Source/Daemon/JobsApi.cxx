#include "Daemon/JobsApi.h"

#include <string>
#include <string_view>
#include <utility>

#include "Transport/PercentEncoding.h"

namespace almondspoke {

namespace {

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kHomePath = "/v1/home";

JobsHandler::Done
ReplyTo(const HttpExchangePtr& aExchange)
{
  return [aExchange](JobAnswer aAnswer) {
    aExchange->Respond(JsonResponse(aAnswer.mStatus, std::move(aAnswer.mBody)));
  };
}

std::optional<std::string>
WaitOf(const HttpRequest& aRequest)
{
  const std::string_view wait = QueryParameter(aRequest.mTarget, "wait");
  return wait.empty() ? std::nullopt
                      : std::optional<std::string>(std::string(wait));
}

void
RefuseMethod(HttpExchange& aExchange, const std::string& aAllowed)
{
  aExchange.Respond(ErrorResponse(
    Error(ErrorKind::MethodNotAllowed,
          "method '" + aExchange.Request().mMethod +
            "' is not allowed here (allowed: " + aAllowed + ')')));
}

}

JobsApi::JobsApi(JobsHandler& aJobs)
  : mJobs(aJobs)
{
}

void
JobsApi::Handle(HttpExchangePtr aExchange)
{
  const std::string_view path = PathOf(aExchange->Request().mTarget);
  if (path == kHomePath) {
    HandleHome(aExchange);
  } else if (path == kJobsPath) {
    HandleJobs(aExchange);
  } else {
    HandleJob(aExchange, path.substr(kJobsPath.size() + 1));
  }
}

void
JobsApi::HandleJobs(const HttpExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.mMethod != "POST") {
    RefuseMethod(*aExchange, "POST");
    return;
  }
  const std::string* key = FindField(request.mFields, "Idempotency-Key");
  mJobs.Post(key == nullptr ? std::nullopt : std::optional<std::string>(*key),
             WaitOf(request),
             request.mBody,
             ReplyTo(aExchange));
}

void
JobsApi::HandleJob(const HttpExchangePtr& aExchange,
                   std::string_view aEncodedKey)
{
  const HttpRequest& request = aExchange->Request();
  const std::optional<std::string> key = PercentDecode(aEncodedKey);
  if (!key) {
    aExchange->Respond(ErrorResponse(
      Error(ErrorKind::KeyInvalid,
            "the key in the path is not allowed (allowed: percent-encoded "
            "text, e.g. zagreb%3A1)")));
    return;
  }
  if (request.mMethod == "GET") {
    mJobs.Get(*key, WaitOf(request), ReplyTo(aExchange));
  } else if (request.mMethod == "DELETE") {
    mJobs.Delete(*key, ReplyTo(aExchange));
  } else {
    RefuseMethod(*aExchange, "GET, DELETE");
  }
}

void
JobsApi::HandleHome(const HttpExchangePtr& aExchange)
{
  if (aExchange->Request().mMethod != "GET") {
    RefuseMethod(*aExchange, "GET");
    return;
  }
  mJobs.Home(ReplyTo(aExchange));
}

}

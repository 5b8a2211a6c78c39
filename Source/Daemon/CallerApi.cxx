#include "Daemon/CallerApi.h"

#include <utility>

namespace almondspoke {

namespace {

bool
Matches(const std::string& aRoute, std::string_view aPath)
{
  if (aRoute.back() == '/') {
    return aPath.size() > aRoute.size() &&
           aPath.substr(0, aRoute.size()) == aRoute;
  }
  return aPath == aRoute;
}

}

CallerApi::CallerApi(const Readiness& aReadiness, DaemonMetrics& aMetrics)
  : mReadiness(aReadiness)
  , mMetrics(aMetrics)
{
}

void
CallerApi::AddRoute(std::string aPath, HttpHandler& aHandler)
{
  mRoutes.push_back({ std::move(aPath), &aHandler });
}

void
CallerApi::Handle(HttpExchangePtr aExchange)
{
  const std::string path(PathOf(aExchange->Request().mTarget));
  for (const Route& route : mRoutes) {
    if (Matches(route.mPath, path)) {
      route.mHandler->Handle(std::move(aExchange));
      return;
    }
  }
  if (!HandleProbe(*aExchange, path)) {
    std::string allowed = "/healthz, /readyz, /metrics";
    for (const Route& route : mRoutes) {
      allowed += ", " + route.mPath;
    }
    aExchange->Respond(ErrorResponse(
      Error(ErrorKind::NotFound, "no such path (allowed: " + allowed + ')')));
  }
}

bool
CallerApi::HandleProbe(HttpExchange& aExchange, std::string_view aPath)
{
  if (aPath != "/healthz" && aPath != "/readyz" && aPath != "/metrics") {
    return false;
  }
  if (aExchange.Request().mMethod != "GET") {
    aExchange.Respond(
      ErrorResponse(Error(ErrorKind::MethodNotAllowed,
                          "method '" + aExchange.Request().mMethod +
                            "' is not allowed here (allowed: GET)")));
  } else if (aPath == "/healthz") {
    aExchange.Respond(JsonResponse(200, R"({"alive":true})"));
  } else if (aPath == "/readyz") {
    aExchange.Respond(ReadyResponse());
  } else {
    HttpResponse response;
    response.mFields.push_back(
      { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" });
    response.mBody = mMetrics.Text();
    aExchange.Respond(std::move(response));
  }
  return true;
}

HttpResponse
CallerApi::ReadyResponse() const
{
  const std::optional<std::string> reason = mReadiness.NotReadyReason();
  if (!reason) {
    return JsonResponse(200, R"({"ready":true})");
  }
  return ErrorResponse(
    Error(mReadiness.IsDraining() ? ErrorKind::Draining : ErrorKind::NotReady,
          *reason));
}

}

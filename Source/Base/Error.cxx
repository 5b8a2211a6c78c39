#include "Base/Error.h"

#include <nlohmann/json.hpp>

namespace almondspoke {

std::string
Error::ToJson() const
{
  const ErrorTraits& traits = Traits();
  nlohmann::ordered_json error;
  error["kind"] = traits.mName;
  error["ran"] = NameOf(traits.mRan);
  error["message"] = mMessage;
  if (mRetryAfter) {
    error["retryAfterMs"] = mRetryAfter->count();
  }
  nlohmann::ordered_json body;
  body["error"] = std::move(error);
  constexpr int kNoIndent = -1;
  return body.dump(
    kNoIndent, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<Error>
ErrorFromJson(const std::string& aBody)
{
  const nlohmann::json body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return std::nullopt;
  }
  const nlohmann::json& error = body["error"];
  const auto kindName = error.find("kind");
  const auto message = error.find("message");
  if (kindName == error.end() || !kindName->is_string() ||
      message == error.end() || !message->is_string()) {
    return std::nullopt;
  }
  const std::optional<ErrorKind> kind =
    ErrorKindOf(kindName->get_ref<const std::string&>());
  if (!kind) {
    return std::nullopt;
  }
  const auto retryAfter = error.find("retryAfterMs");
  if (retryAfter != error.end() && retryAfter->is_number_integer()) {
    return Error(*kind,
                 message->get<std::string>(),
                 std::chrono::milliseconds(retryAfter->get<long long>()));
  }
  return Error(*kind, message->get<std::string>());
}

}

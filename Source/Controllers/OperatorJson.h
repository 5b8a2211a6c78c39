#pragma once

#include <cstdint>
#include <string>

#include <json/value.h>

#include "Base/Decision.h"
#include "Base/Result.h"
#include "Controllers/Configuration.h"
#include "Membership/Endpoint.h"
#include "Membership/InstanceView.h"
#include "Rules/RuleError.h"

namespace almondspoke {
namespace detail {

/** Throws the JSON-RPC error that carries an Error. */
[[noreturn]] void
ThrowRpcError(const Error& aError);

/** Returns the value of a result, or throws its error. */
template<typename T>
T
ValueOrThrow(Result<T> aResult)
{
  if (!aResult) {
    ThrowRpcError(aResult.error());
  }
  return std::move(aResult.value());
}

/** Returns a parameter; throws InvalidArgument if it is missing or has the
 * wrong type. */
std::string
RequiredText(const Json::Value& aParameters, const char* aName);
std::uint64_t
RequiredNumber(const Json::Value& aParameters, const char* aName);

/** True if the parameter is present and not null. */
bool
HasParameter(const Json::Value& aParameters, const char* aName);

Json::Value
ToJson(const RuleError& aError);
Json::Value
ToJson(const ChangeRecord& aRecord);
Json::Value
ToJson(const InstanceStatus& aStatus);
Json::Value
ToJson(const Endpoint& aEndpoint);
Json::Value
ToJson(const Decision& aDecision);

/** Converts a range of items to a JSON array. */
template<typename Items>
Json::Value
ToJsonArray(const Items& aItems)
{
  Json::Value array(Json::arrayValue);
  for (const auto& item : aItems) {
    array.append(ToJson(item));
  }
  return array;
}

}
}

#include "Controllers/OperatorJson.h"

#include <array>

#include <jsonrpccpp/common/exception.h>

#include "Base/EnumNames.h"
#include "Base/JsonCpp.h"
#include "Controllers/OperatorApi.h"

namespace almondspoke {
namespace detail {

namespace {

constexpr std::array<EnumName<InstanceHealth>, 4> kHealthNames = { {
  { InstanceHealth::Alive, "alive" },
  { InstanceHealth::Suspected, "suspected" },
  { InstanceHealth::Dead, "dead" },
  { InstanceHealth::Left, "left" },
} };

[[noreturn]] void
ThrowInvalid(const char* aName, const char* aAllowed)
{
  ThrowRpcError(Error(ErrorKind::InvalidArgument,
                      std::string("parameter '") + aName +
                        "' is missing or invalid (allowed: " + aAllowed + ")"));
}

}

void
ThrowRpcError(const Error& aError)
{
  throw jsonrpc::JsonRpcException(
    kOperatorErrorCode, aError.Message(), ParseJsonCpp(aError.ToJson()));
}

std::string
RequiredText(const Json::Value& aParameters, const char* aName)
{
  if (!HasParameter(aParameters, aName) || !aParameters[aName].isString()) {
    ThrowInvalid(aName, "a string");
  }
  return aParameters[aName].asString();
}

std::uint64_t
RequiredNumber(const Json::Value& aParameters, const char* aName)
{
  if (!HasParameter(aParameters, aName) || !aParameters[aName].isUInt64()) {
    ThrowInvalid(aName, "a whole number from 0");
  }
  return aParameters[aName].asUInt64();
}

bool
HasParameter(const Json::Value& aParameters, const char* aName)
{
  return aParameters.isObject() && aParameters.isMember(aName) &&
         !aParameters[aName].isNull();
}

Json::Value
ToJson(const RuleError& aError)
{
  Json::Value json;
  json["line"] = aError.mLine;
  json["column"] = aError.mColumn;
  json["problem"] = aError.mProblem;
  json["allowed"] = aError.mAllowed;
  return json;
}

Json::Value
ToJson(const ChangeRecord& aRecord)
{
  Json::Value json;
  json["version"] = Json::UInt64{ aRecord.mVersion };
  json["baseVersion"] = Json::UInt64{ aRecord.mBaseVersion };
  if (aRecord.mRollbackOf != 0) {
    json["rollbackOf"] = Json::UInt64{ aRecord.mRollbackOf };
  }
  json["requestId"] = aRecord.mRequestId;
  json["author"] = aRecord.mAuthor;
  json["wallMs"] = Json::Int64{ aRecord.mWallMilliseconds };
  json["bytes"] = Json::UInt64{ aRecord.mBytes };
  return json;
}

Json::Value
ToJson(const InstanceStatus& aStatus)
{
  Json::Value json;
  json["name"] = aStatus.mIdentity.mName;
  json["dataCentre"] = aStatus.mIdentity.mDataCentre;
  json["incarnation"] = Json::UInt64{ aStatus.mIdentity.mIncarnation };
  json["health"] = std::string(NameOf(kHealthNames, aStatus.mHealth));
  json["draining"] = aStatus.mDraining;
  json["rulesVersion"] = Json::UInt64{ aStatus.mRulesVersion };
  return json;
}

Json::Value
ToJson(const Endpoint& aEndpoint)
{
  const EndpointAnnouncement& announced = aEndpoint.mAnnouncement;
  Json::Value json;
  json["name"] = announced.mName;
  json["service"] = announced.mService;
  json["address"] = announced.mAddress;
  json["dataCentre"] = aEndpoint.mDataCentre;
  json["slots"] = announced.mSlots;
  json["connections"] = announced.mConnections;
  json["cores"] = announced.mCores;
  json["memoryBytes"] = Json::UInt64{ announced.mMemoryBytes };
  json["accelerators"] = announced.mAccelerators;
  json["rack"] = announced.mRack;
  json["incarnation"] = Json::UInt64{ announced.mIncarnation };
  json["leaving"] = aEndpoint.mLeaving;
  return json;
}

Json::Value
ToJson(const Decision& aDecision)
{
  Json::Value json;
  json["id"] = aDecision.mRequestId;
  json["stage"] = aDecision.mStage;
  json["candidates"] = Json::Value(Json::arrayValue);
  for (const std::string& candidate : aDecision.mCandidates) {
    json["candidates"].append(candidate);
  }
  json["choice"] = aDecision.mChoice;
  json["reason"] = aDecision.mReason;
  json["wallMs"] = Json::Int64{ aDecision.mWallMilliseconds };
  return json;
}

}
}

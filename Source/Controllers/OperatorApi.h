#pragma once

#include <string>

#include <jsonrpccpp/server/abstractserver.h>

#include "Base/DecisionLog.h"
#include "Controllers/RulesService.h"
#include "Controllers/VotersService.h"
#include "Membership/Endpoint.h"
#include "Membership/InstanceView.h"

namespace almondspoke {

/** JSON-RPC error code of every failure that has an ErrorKind; the error's data
 * is the object of Error::ToJson(). It is in the range reserved for server
 * errors (-32000 to -32099), and the library defines no message for it. */
inline constexpr int kOperatorErrorCode = -32050;

/** \brief The JSON-RPC 2.0 methods for operators. */
class OperatorApi : public jsonrpc::AbstractServer<OperatorApi>
{
public:
  OperatorApi(jsonrpc::AbstractServerConnector& aConnector,
              RulesService& aRules,
              VotersService& aVoters,
              const InstanceView& aInstances,
              const EndpointView& aEndpoints,
              const DecisionLog& aDecisions);

private:
  using Method = void (OperatorApi::*)(const Json::Value& aParameters,
                                       Json::Value& aResult);

  void Bind(const char* aName, Method aMethod);

  void ShowRules(const Json::Value& aParameters, Json::Value& aResult);
  void CheckRules(const Json::Value& aParameters, Json::Value& aResult);
  void DiffRules(const Json::Value& aParameters, Json::Value& aResult);
  void ApplyRules(const Json::Value& aParameters, Json::Value& aResult);
  void RollbackRules(const Json::Value& aParameters, Json::Value& aResult);
  void ListHistory(const Json::Value& aParameters, Json::Value& aResult);
  void ExplainRules(const Json::Value& aParameters, Json::Value& aResult);
  void ListInstances(const Json::Value& aParameters, Json::Value& aResult);
  void ListEndpoints(const Json::Value& aParameters, Json::Value& aResult);
  void ExplainDecisions(const Json::Value& aParameters, Json::Value& aResult);
  void ShowStatus(const Json::Value& aParameters, Json::Value& aResult);
  void ShowVoters(const Json::Value& aParameters, Json::Value& aResult);
  void AddVoter(const Json::Value& aParameters, Json::Value& aResult);
  void RemoveVoter(const Json::Value& aParameters, Json::Value& aResult);
  void ChangeVoters(const Json::Value& aParameters,
                    bool aRemove,
                    Json::Value& aResult);

  RulesService& mRules;
  VotersService& mVoters;
  const InstanceView& mInstances;
  const EndpointView& mEndpoints;
  const DecisionLog& mDecisions;
};

}

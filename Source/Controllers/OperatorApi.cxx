#include "Controllers/OperatorApi.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <utility>

#include "Controllers/OperatorJson.h"
#include "Rules/RuleDiff.h"
#include "Rules/RuleExplainer.h"
#include "Rules/RuleParser.h"

namespace almondspoke {

namespace {

using detail::HasParameter;
using detail::RequiredNumber;
using detail::RequiredText;
using detail::ThrowRpcError;
using detail::ToJsonArray;
using detail::ValueOrThrow;

constexpr std::size_t kDefaultHistoryEntries = 20;

/** How long an operator's request waits for the group. */
constexpr std::chrono::seconds kChangeTimeout(10);

// Waits for an asynchronous change. After a timeout the outcome is reported as
// unknown, because the change may still be made.
std::uint64_t
WaitForChange(
  const std::function<void(std::function<void(Result<std::uint64_t>)> aDone)>&
    aStart)
{
  auto promise = std::make_shared<std::promise<Result<std::uint64_t>>>();
  std::future<Result<std::uint64_t>> future = promise->get_future();
  aStart([promise](Result<std::uint64_t> aResult) {
    promise->set_value(std::move(aResult));
  });
  if (future.wait_for(kChangeTimeout) != std::future_status::ready) {
    ThrowRpcError(Error(ErrorKind::OutcomeUnknown,
                        "the group did not answer in time; "
                        "retry the change with the same request id"));
  }
  return ValueOrThrow(future.get());
}

Json::Value
VersionJson(RulesVersion aVersion)
{
  return Json::UInt64{ aVersion };
}

std::optional<RulesVersion>
OptionalVersion(const Json::Value& aParameters)
{
  if (!HasParameter(aParameters, "version")) {
    return std::nullopt;
  }
  return RequiredNumber(aParameters, "version");
}

GroupName
GroupOf(const Json::Value& aParameters)
{
  return HasParameter(aParameters, "group") ? RequiredText(aParameters, "group")
                                            : kConfigurationGroupName;
}

}

OperatorApi::OperatorApi(jsonrpc::AbstractServerConnector& aConnector,
                         RulesService& aRules,
                         VotersService& aVoters,
                         const InstanceView& aInstances,
                         const EndpointView& aEndpoints,
                         const DecisionLog& aDecisions)
  : jsonrpc::AbstractServer<OperatorApi>(aConnector)
  , mRules(aRules)
  , mVoters(aVoters)
  , mInstances(aInstances)
  , mEndpoints(aEndpoints)
  , mDecisions(aDecisions)
{
  Bind("rules.show", &OperatorApi::ShowRules);
  Bind("rules.check", &OperatorApi::CheckRules);
  Bind("rules.diff", &OperatorApi::DiffRules);
  Bind("rules.apply", &OperatorApi::ApplyRules);
  Bind("rules.rollback", &OperatorApi::RollbackRules);
  Bind("rules.history", &OperatorApi::ListHistory);
  Bind("rules.explain", &OperatorApi::ExplainRules);
  Bind("instances.list", &OperatorApi::ListInstances);
  Bind("endpoints.list", &OperatorApi::ListEndpoints);
  Bind("decisions.explain", &OperatorApi::ExplainDecisions);
  Bind("status", &OperatorApi::ShowStatus);
  Bind("voters.show", &OperatorApi::ShowVoters);
  Bind("voters.add", &OperatorApi::AddVoter);
  Bind("voters.remove", &OperatorApi::RemoveVoter);
}

void
OperatorApi::Bind(const char* aName, Method aMethod)
{
  // The library does not check the parameters; the methods do, so that their
  // errors name the parameter.
  bindAndAddMethod(jsonrpc::Procedure(aName,
                                      jsonrpc::PARAMS_BY_NAME,
                                      jsonrpc::JSON_OBJECT,
                                      static_cast<void*>(nullptr)),
                   aMethod);
}

void
OperatorApi::ShowRules(const Json::Value& aParameters, Json::Value& aResult)
{
  const RulesText rules =
    ValueOrThrow(mRules.Show(OptionalVersion(aParameters)));
  aResult["version"] = VersionJson(rules.mVersion);
  aResult["text"] = rules.mText;
}

void
OperatorApi::CheckRules(const Json::Value& aParameters, Json::Value& aResult)
{
  const ParsedRules parsed =
    RuleParser::Parse(RequiredText(aParameters, "text"));
  aResult["rules"] = Json::UInt64{ parsed.mRules.size() };
  aResult["errors"] = ToJsonArray(parsed.mErrors);
}

void
OperatorApi::DiffRules(const Json::Value& aParameters, Json::Value& aResult)
{
  const std::string text = RequiredText(aParameters, "text");
  const auto after = ValueOrThrow(RuleSet::FromText(0, text));
  const RulesText base =
    ValueOrThrow(mRules.Show(OptionalVersion(aParameters)));
  const auto before =
    ValueOrThrow(RuleSet::FromText(base.mVersion, base.mText));
  aResult["version"] = VersionJson(base.mVersion);
  aResult["changes"] = Json::Value(Json::arrayValue);
  const auto changes = RuleDiff::Compare(before->Rules(), after->Rules());
  for (const std::string& line : RuleDiff::Format(changes)) {
    aResult["changes"].append(line);
  }
}

void
OperatorApi::ApplyRules(const Json::Value& aParameters, Json::Value& aResult)
{
  ApplyRequest request;
  request.mRequestId = RequiredText(aParameters, "requestId");
  request.mBaseVersion = RequiredNumber(aParameters, "baseVersion");
  request.mText = RequiredText(aParameters, "text");
  request.mAuthor = RequiredText(aParameters, "author");
  aResult["version"] =
    VersionJson(WaitForChange([this, &request](RulesService::Done aDone) {
      mRules.Apply(std::move(request), std::move(aDone));
    }));
}

void
OperatorApi::RollbackRules(const Json::Value& aParameters, Json::Value& aResult)
{
  RollbackRequest request;
  request.mRequestId = RequiredText(aParameters, "requestId");
  request.mBaseVersion = RequiredNumber(aParameters, "baseVersion");
  request.mTargetVersion = RequiredNumber(aParameters, "targetVersion");
  request.mAuthor = RequiredText(aParameters, "author");
  aResult["version"] =
    VersionJson(WaitForChange([this, &request](RulesService::Done aDone) {
      mRules.Rollback(std::move(request), std::move(aDone));
    }));
}

void
OperatorApi::ListHistory(const Json::Value& aParameters, Json::Value& aResult)
{
  const std::size_t limit = HasParameter(aParameters, "limit")
                              ? RequiredNumber(aParameters, "limit")
                              : kDefaultHistoryEntries;
  aResult["changes"] = ToJsonArray(mRules.History(limit));
}

void
OperatorApi::ExplainRules(const Json::Value& aParameters, Json::Value& aResult)
{
  const RulesText rules =
    ValueOrThrow(mRules.Show(OptionalVersion(aParameters)));
  const auto ruleSet =
    ValueOrThrow(RuleSet::FromText(rules.mVersion, rules.mText));
  aResult["version"] = VersionJson(rules.mVersion);
  aResult["sentences"] = Json::Value(Json::arrayValue);
  const std::vector<std::string> sentences =
    HasParameter(aParameters, "name")
      ? RuleExplainer::Explain(*ruleSet, RequiredText(aParameters, "name"))
      : RuleExplainer::Explain(*ruleSet);
  for (const std::string& sentence : sentences) {
    aResult["sentences"].append(sentence);
  }
}

void
OperatorApi::ListInstances(const Json::Value&, Json::Value& aResult)
{
  aResult["instances"] = ToJsonArray(mInstances.Instances());
}

void
OperatorApi::ListEndpoints(const Json::Value& aParameters, Json::Value& aResult)
{
  const std::vector<Endpoint> endpoints =
    HasParameter(aParameters, "service")
      ? mEndpoints.EndpointsOf(RequiredText(aParameters, "service"))
      : mEndpoints.AllEndpoints();
  aResult["endpoints"] = ToJsonArray(endpoints);
}

void
OperatorApi::ExplainDecisions(const Json::Value& aParameters,
                              Json::Value& aResult)
{
  const std::string id = RequiredText(aParameters, "id");
  const std::vector<Decision> decisions = mDecisions.Find(id);
  if (decisions.empty()) {
    ThrowRpcError(Error(ErrorKind::NotFound,
                        "no decision on '" + id +
                          "' is kept at this instance (allowed: the id of a "
                          "recent request or job that it served)"));
  }
  aResult["decisions"] = ToJsonArray(decisions);
}

void
OperatorApi::ShowStatus(const Json::Value&, Json::Value& aResult)
{
  const InstanceIdentity self = mInstances.Self();
  aResult["instance"] = self.mName;
  aResult["dataCentre"] = self.mDataCentre;
  aResult["rulesVersion"] =
    VersionJson(ValueOrThrow(mRules.Show(std::nullopt)).mVersion);
  aResult["ready"] = mRules.IsReady();
}

void
OperatorApi::ShowVoters(const Json::Value& aParameters, Json::Value& aResult)
{
  const GroupName group = GroupOf(aParameters);
  const CoreStatus status = ValueOrThrow(mVoters.Show(group));
  const GroupConfiguration& members = status.mConfiguration;
  const auto add = [&](const InstanceName& aName, const char* aState) {
    Json::Value row;
    row["name"] = aName;
    row["state"] = aState;
    row["leads"] = status.mLeader == aName;
    aResult["voters"].append(row);
  };
  aResult["group"] = group;
  aResult["version"] = Json::UInt64{ members.mVersion };
  aResult["voters"] = Json::Value(Json::arrayValue);
  for (const ReplicaId& voter : members.mVoters) {
    add(voter.mName, "voter");
  }
  for (const InstanceName& name : members.mPendingVoters) {
    add(name, "joining");
  }
}

void
OperatorApi::AddVoter(const Json::Value& aParameters, Json::Value& aResult)
{
  ChangeVoters(aParameters, false, aResult);
}

void
OperatorApi::RemoveVoter(const Json::Value& aParameters, Json::Value& aResult)
{
  ChangeVoters(aParameters, true, aResult);
}

void
OperatorApi::ChangeVoters(const Json::Value& aParameters,
                          bool aRemove,
                          Json::Value& aResult)
{
  VoterChange change;
  change.mRequestId = RequiredText(aParameters, "requestId");
  change.mBaseVersion = RequiredNumber(aParameters, "baseVersion");
  change.mAuthor = RequiredText(aParameters, "author");
  change.mName = RequiredText(aParameters, "name");
  change.mIsRemoval = aRemove;
  const GroupName group = GroupOf(aParameters);
  aResult["version"] = Json::UInt64{ WaitForChange(
    [this, &group, &change](VotersService::Done aDone) {
      mVoters.Change(group, std::move(change), std::move(aDone));
    }) };
}

}

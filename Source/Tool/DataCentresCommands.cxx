#include <ostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "Tool/Command.h"
#include "Tool/HttpCalls.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kPath = "/v1/data-centres";

Result<void>
SendEvacuation(ToolContext& aContext,
               CommandLine& aLine,
               const char* aMethod,
               const char* aState)
{
  aLine.AddPositional("NAME");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(url, aLine.OperatorsUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  const std::string name = *aLine.Text("NAME");
  HttpRequest request;
  request.mMethod = aMethod;
  request.mUrl = url + kPath + "/" + EncodeSegment(name) + "/evacuation";
  request.mTimeout = timeout;
  BOOST_OUTCOME_TRYV(SendOrFail(aContext, request));
  const Json row = { { "name", name }, { "state", aState } };
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, row);
  } else {
    PrintTable(aContext.mOut, { "name", "state" }, Json::array({ row }));
  }
  return Success();
}

}

Result<void>
RunDataCentresEvacuate(ToolContext& aContext, CommandLine& aLine)
{
  return SendEvacuation(aContext, aLine, "PUT", "evacuated");
}

Result<void>
RunDataCentresReadmit(ToolContext& aContext, CommandLine& aLine)
{
  return SendEvacuation(aContext, aLine, "DELETE", "in-service");
}

Result<void>
RunDataCentresList(ToolContext& aContext, CommandLine& aLine)
{
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(url, aLine.OperatorsUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  HttpRequest request;
  request.mUrl = url + kPath;
  request.mTimeout = timeout;
  BOOST_OUTCOME_TRY(response, SendOrFail(aContext, request));
  const Json body = Json::parse(response.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("dataCentres")) {
    return Error(ErrorKind::OutcomeUnknown,
                 request.mUrl + ": the response has no list of data centres");
  }
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, body);
  } else {
    PrintTable(aContext.mOut, { "name", "state" }, body["dataCentres"]);
  }
  return Success();
}

}

#include <ostream>

#include <nlohmann/json.hpp>

#include "Tool/Command.h"
#include "Tool/OperatorClient.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

using Json = nlohmann::ordered_json;

/** \brief A method that returns a list, and the columns to print. */
struct Listing
{
  const char* mMethod;
  /** Member of the result that contains the rows. */
  const char* mRows;
  std::vector<std::string> mColumns;
};

Result<void>
PrintListing(ToolContext& aContext,
             const CommandLine& aLine,
             const Listing& aListing,
             const Json& aParameters)
{
  BOOST_OUTCOME_TRY(url, aLine.OperatorsUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  OperatorClient client(aContext.mHttp, url, timeout);
  BOOST_OUTCOME_TRY(result, client.Call(aListing.mMethod, aParameters));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
  } else {
    PrintTable(aContext.mOut, aListing.mColumns, result[aListing.mRows]);
  }
  return Success();
}

}

Result<void>
RunEndpointsList(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddOption("service", "service whose endpoints to list");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  Json parameters = Json::object();
  if (const std::optional<std::string> service = aLine.Text("service")) {
    parameters["service"] = *service;
  }
  return PrintListing(aContext,
                      aLine,
                      { "endpoints.list",
                        "endpoints",
                        { "name",
                          "service",
                          "address",
                          "dataCentre",
                          "slots",
                          "cores",
                          "accelerators",
                          "rack",
                          "leaving" } },
                      parameters);
}

Result<void>
RunInstancesList(ToolContext& aContext, CommandLine& aLine)
{
  BOOST_OUTCOME_TRYV(aLine.Parse());
  return PrintListing(
    aContext,
    aLine,
    { "instances.list",
      "instances",
      { "name", "dataCentre", "health", "draining", "rulesVersion" } },
    Json::object());
}

Result<void>
RunExplain(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("ID");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  Json parameters;
  parameters["id"] = *aLine.Text("ID");
  return PrintListing(
    aContext,
    aLine,
    { "decisions.explain",
      "decisions",
      { "wallMs", "stage", "choice", "reason", "candidates" } },
    parameters);
}

Result<void>
RunStatus(ToolContext& aContext, CommandLine& aLine)
{
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(url, aLine.OperatorsUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  OperatorClient client(aContext.mHttp, url, timeout);
  BOOST_OUTCOME_TRY(result, client.Call("status", Json::object()));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
  } else {
    PrintTable(aContext.mOut,
               { "instance", "dataCentre", "rulesVersion", "ready" },
               Json::array({ result }));
  }
  return Success();
}

Result<void>
RunSettingsCheck(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("FILE");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  const std::string path = *aLine.Text("FILE");
  BOOST_OUTCOME_TRYV(aContext.mCheckSettings(path));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, Json{ { "file", path }, { "valid", true } });
  } else {
    aContext.mOut << path << ": no errors\n";
  }
  return Success();
}

}

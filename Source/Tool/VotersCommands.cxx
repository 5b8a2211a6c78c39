#include <ostream>

#include <nlohmann/json.hpp>

#include "Tool/Command.h"
#include "Tool/OperatorChange.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

using Json = nlohmann::ordered_json;

void
AddGroupOption(CommandLine& aLine)
{
  aLine.AddOption("group",
                  "consensus group, such as submissions-zagreb; "
                  "configuration by default");
}

Result<void>
RunChange(ToolContext& aContext, CommandLine& aLine, const char* aMethod)
{
  aLine.AddPositional("NAME");
  AddGroupOption(aLine);
  const OperatorChange change(aContext, aLine, "almondspoke voters show");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(parameters, change.Parameters());
  parameters["name"] = *aLine.Text("NAME");
  if (const auto group = aLine.Text("group")) {
    parameters["group"] = *group;
  }
  return change.Send(aMethod, parameters);
}

}

Result<void>
RunVotersShow(ToolContext& aContext, CommandLine& aLine)
{
  AddGroupOption(aLine);
  BOOST_OUTCOME_TRYV(aLine.Parse());
  Json parameters = Json::object();
  if (const auto group = aLine.Text("group")) {
    parameters["group"] = *group;
  }
  BOOST_OUTCOME_TRY(result,
                    CallOperators(aContext, aLine, "voters.show", parameters));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
    return Success();
  }
  PrintTable(aContext.mOut, { "name", "state", "leads" }, result["voters"]);
  aContext.mErr << "version " << result["version"] << '\n';
  return Success();
}

Result<void>
RunVotersAdd(ToolContext& aContext, CommandLine& aLine)
{
  return RunChange(aContext, aLine, "voters.add");
}

Result<void>
RunVotersRemove(ToolContext& aContext, CommandLine& aLine)
{
  return RunChange(aContext, aLine, "voters.remove");
}

}

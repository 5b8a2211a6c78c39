#include <ostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "Rules/RuleExplainer.h"
#include "Rules/RuleParser.h"
#include "Tool/Command.h"
#include "Tool/OperatorChange.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kVersionCommand = "almondspoke rules show";

/** Adds the value of a numeric option to the parameters, if it was given. */
Result<void>
AddNumber(const CommandLine& aLine, const std::string& aName, Json& aParameters)
{
  BOOST_OUTCOME_TRY(number, aLine.Number(aName));
  if (number) {
    aParameters[aName] = *number;
  }
  return Success();
}

void
PrintLines(std::ostream& aOut, const Json& aLines)
{
  for (const auto& line : aLines) {
    aOut << line.get<std::string>() << '\n';
  }
}

Json
ErrorsJson(const std::vector<RuleError>& aErrors)
{
  Json errors = Json::array();
  for (const RuleError& error : aErrors) {
    errors.push_back({ { "line", error.mLine },
                       { "column", error.mColumn },
                       { "problem", error.mProblem },
                       { "allowed", error.mAllowed } });
  }
  return errors;
}

/** Explains the rules of a local file, without contacting an instance. */
Result<Json>
ExplainFile(ToolContext& aContext,
            const CommandLine& aLine,
            const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadInput(aContext, aPath));
  BOOST_OUTCOME_TRY(rules, RuleSet::FromText(0, text));
  const std::optional<std::string> name = aLine.Text("NAME");
  Json result;
  result["sentences"] = name ? RuleExplainer::Explain(*rules, *name)
                             : RuleExplainer::Explain(*rules);
  return result;
}

}

Result<void>
RunRulesCheck(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("FILE");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  const std::string path = *aLine.Text("FILE");
  BOOST_OUTCOME_TRY(text, ReadInput(aContext, path));
  const ParsedRules parsed = RuleParser::Parse(text);
  if (aLine.IsJson()) {
    Json result;
    result["rules"] = parsed.mRules.size();
    result["errors"] = ErrorsJson(parsed.mErrors);
    PrintJson(aContext.mOut, result);
  }
  if (!parsed.mErrors.empty()) {
    return Error(ErrorKind::InvalidRules,
                 path + ":\n" + FormatErrors(parsed.mErrors));
  }
  if (!aLine.IsJson()) {
    aContext.mOut << path << ": " << parsed.mRules.size()
                  << " rules, no errors\n";
  }
  return Success();
}

Result<void>
RunRulesDiff(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("FILE");
  aLine.AddOption("version", "version to compare with");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(text, ReadInput(aContext, *aLine.Text("FILE")));
  Json parameters;
  parameters["text"] = text;
  BOOST_OUTCOME_TRYV(AddNumber(aLine, "version", parameters));
  BOOST_OUTCOME_TRY(result,
                    CallOperators(aContext, aLine, "rules.diff", parameters));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
    return Success();
  }
  PrintLines(aContext.mOut, result["changes"]);
  aContext.mErr << result["changes"].size() << " lines differ from version "
                << result["version"] << '\n';
  return Success();
}

Result<void>
RunRulesApply(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("FILE");
  const OperatorChange change(aContext, aLine, kVersionCommand);
  BOOST_OUTCOME_TRYV(aLine.Parse());
  const std::string path = *aLine.Text("FILE");
  BOOST_OUTCOME_TRY(text, ReadInput(aContext, path));
  const ParsedRules parsed = RuleParser::Parse(text);
  if (!parsed.mErrors.empty()) {
    return Error(ErrorKind::InvalidRules,
                 path + ":\n" + FormatErrors(parsed.mErrors));
  }
  BOOST_OUTCOME_TRY(parameters, change.Parameters());
  parameters["text"] = text;
  return change.Send("rules.apply", parameters);
}

Result<void>
RunRulesRollback(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("VERSION");
  const OperatorChange change(aContext, aLine, kVersionCommand);
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(target, aLine.Number("VERSION"));
  BOOST_OUTCOME_TRY(parameters, change.Parameters());
  parameters["targetVersion"] = *target;
  return change.Send("rules.rollback", parameters);
}

Result<void>
RunRulesShow(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddOption("version", "version to show");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  Json parameters = Json::object();
  BOOST_OUTCOME_TRYV(AddNumber(aLine, "version", parameters));
  BOOST_OUTCOME_TRY(result,
                    CallOperators(aContext, aLine, "rules.show", parameters));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
    return Success();
  }
  // Only the text goes to the standard output, so that it can be redirected to
  // a file, edited and applied.
  aContext.mOut << result["text"].get<std::string>();
  aContext.mErr << "version " << result["version"] << '\n';
  return Success();
}

Result<void>
RunRulesHistory(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddOption("limit", "number of changes");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  Json parameters = Json::object();
  BOOST_OUTCOME_TRYV(AddNumber(aLine, "limit", parameters));
  BOOST_OUTCOME_TRY(
    result, CallOperators(aContext, aLine, "rules.history", parameters));
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
  } else {
    PrintTable(
      aContext.mOut,
      { "version", "author", "rollbackOf", "bytes", "wallMs", "requestId" },
      result["changes"]);
  }
  return Success();
}

Result<void>
RunRulesExplain(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("NAME", false);
  aLine.AddOption("file", "rules file to explain in place of those in force");
  aLine.AddOption("version", "version to explain");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  Json result;
  if (const std::optional<std::string> path = aLine.Text("file")) {
    BOOST_OUTCOME_TRY(explained, ExplainFile(aContext, aLine, *path));
    result = std::move(explained);
  } else {
    Json parameters = Json::object();
    BOOST_OUTCOME_TRYV(AddNumber(aLine, "version", parameters));
    if (const std::optional<std::string> name = aLine.Text("NAME")) {
      parameters["name"] = *name;
    }
    BOOST_OUTCOME_TRY(
      explained, CallOperators(aContext, aLine, "rules.explain", parameters));
    result = std::move(explained);
  }
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, result);
  } else {
    PrintLines(aContext.mOut, result["sentences"]);
  }
  return Success();
}

}

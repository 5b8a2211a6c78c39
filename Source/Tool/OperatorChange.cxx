#include "Tool/OperatorChange.h"

#include <ostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "Tool/OperatorClient.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

using Json = nlohmann::ordered_json;

Result<Json>
CallOperators(ToolContext& aContext,
              const CommandLine& aLine,
              const std::string& aMethod,
              const Json& aParameters)
{
  BOOST_OUTCOME_TRY(url, aLine.OperatorsUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  return OperatorClient(aContext.mHttp, url, timeout)
    .Call(aMethod, aParameters);
}

OperatorChange::OperatorChange(ToolContext& aContext,
                               CommandLine& aLine,
                               std::string aVersionCommand)
  : mContext(aContext)
  , mLine(aLine)
  , mVersionCommand(std::move(aVersionCommand))
{
  mLine.AddOption("base", "version that the change is based on");
  mLine.AddOption("request-id", "id that makes sending the change again safe");
  mLine.AddOption("author", "author of the change");
}

Result<Json>
OperatorChange::Parameters() const
{
  BOOST_OUTCOME_TRY(base, mLine.Number("base"));
  if (!base) {
    return Error(ErrorKind::Usage,
                 "no base version (allowed: --base N with the version that `" +
                   mVersionCommand + "` prints)");
  }
  Json parameters;
  parameters["requestId"] =
    mLine.Text("request-id").value_or(mContext.mNewId());
  parameters["baseVersion"] = *base;
  parameters["author"] = mLine.Text("author").value_or(
    mContext.mEnvironment("USER").value_or("unknown"));
  return parameters;
}

Result<void>
OperatorChange::Send(const std::string& aMethod, const Json& aParameters) const
{
  const Result<Json> result =
    CallOperators(mContext, mLine, aMethod, aParameters);
  if (!result) {
    const Error& error = result.error();
    if (error.Traits().mRan != Ran::Unknown) {
      return error;
    }
    return Error(error.Kind(),
                 error.Message() +
                   "; the change may have been applied: send it again with "
                   "--request-id " +
                   aParameters["requestId"].get<std::string>());
  }
  if (mLine.IsJson()) {
    Json output = result.value();
    output["requestId"] = aParameters["requestId"];
    PrintJson(mContext.mOut, output);
  } else {
    mContext.mOut << "version " << result.value()["version"]
                  << " is accepted\n";
  }
  return Success();
}

}

#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Base/Result.h"
#include "Tool/CommandLine.h"
#include "Tool/ToolContext.h"

namespace almondspoke::tool {

/** \brief Sends a change to the operators' interface of an instance.
 *
 * A change is applied only if its base version is the current version
 * (compare-and-set), and only once per request id. */
class OperatorChange
{
public:
  /** Declares the options that all changes have in common.
   * \param aVersionCommand command that prints the current version. */
  OperatorChange(ToolContext& aContext,
                 CommandLine& aLine,
                 std::string aVersionCommand);

  /** Returns the parameters from the options, after CommandLine::Parse().
   * Errors: Usage if the base version is missing or invalid. */
  Result<nlohmann::ordered_json> Parameters() const;

  /** Sends the change and prints the new version. If the outcome is unknown,
   * the error contains the request id with which the change can be sent
   * again. */
  Result<void> Send(const std::string& aMethod,
                    const nlohmann::ordered_json& aParameters) const;

private:
  ToolContext& mContext;
  CommandLine& mLine;
  std::string mVersionCommand;
};

/** Calls a method of the instance given on the command line or in the
 * environment. */
Result<nlohmann::ordered_json>
CallOperators(ToolContext& aContext,
              const CommandLine& aLine,
              const std::string& aMethod,
              const nlohmann::ordered_json& aParameters);

}

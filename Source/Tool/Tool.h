#pragma once

#include <string>
#include <vector>

#include "Tool/ToolContext.h"

namespace almondspoke::tool {

/** Runs the command given by the arguments and returns the exit code. Errors
 * are printed to the error stream, as JSON if `--json` is given. */
int
RunTool(ToolContext& aContext, const std::vector<std::string>& aArguments);

}

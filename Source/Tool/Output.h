#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Base/Result.h"
#include "Tool/ToolContext.h"

namespace almondspoke::tool {

/** Prints an indented JSON value and a newline. */
void
PrintJson(std::ostream& aOut, const nlohmann::ordered_json& aValue);

/** Prints an array of objects as a table, with one column per member and the
 * member names as the header row. */
void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aMembers,
           const nlohmann::ordered_json& aRows);

/** Returns the content of a file, or of the standard input for "-". Errors:
 * InvalidArgument if the file cannot be read. */
Result<std::string>
ReadInput(ToolContext& aContext, const std::string& aPath);

}

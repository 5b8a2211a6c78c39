#pragma once

#include <string>

#include "Base/Result.h"

namespace almondspoke::tool {

/** Checks a settings file in the same way as the daemon at startup. Errors:
 * InvalidSettings with the file, the line and the allowed values. */
Result<void>
CheckSettingsFile(const std::string& aPath);

}

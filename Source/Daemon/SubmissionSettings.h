#pragma once

#include <string>

#include "Base/Result.h"

namespace almondspoke {

struct GroupSettings;
struct Settings;

/** Returns the name of the group that stores the keys of a data centre. */
std::string
SubmissionGroupName(const std::string& aDataCentre);

/** Returns the group that stores the keys of a data centre, or nullptr if none
 * is configured. */
const GroupSettings*
SubmissionGroupOf(const Settings& aSettings, const std::string& aDataCentre);

/** Checks that the submission groups and the limits of [submissions] are
 * consistent with the other settings. Errors: InvalidSettings. */
Result<void>
CheckSubmissionSettings(const Settings& aSettings);

}

#include "Tool/SettingsCheck.h"

#include "Daemon/Settings.h"

namespace almondspoke::tool {

Result<void>
CheckSettingsFile(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(LoadSettings(aPath));
  return Success();
}

}

#include "Daemon/SubmissionSettings.h"

#include <algorithm>
#include <set>
#include <string>

#include "Daemon/Settings.h"

namespace almondspoke {

namespace {

const std::string kGroupPrefix = "submissions-";

Error
SettingsError(const Settings& aSettings, int aLine, const std::string& aText)
{
  const std::string line = aLine > 0 ? ':' + std::to_string(aLine) : "";
  return Error(ErrorKind::InvalidSettings,
               aSettings.mPath + line + ": " + aText);
}

std::string
MissingGroup(const DataCentreName& aDataCentre)
{
  std::string message = "group '";
  message += kGroupPrefix;
  message += aDataCentre;
  message += "' is missing in [groups] (each data centre needs one)";
  return message;
}

// Keys are distributed over all data centres by their hash, so either every
// data centre has a group or none has.
Result<void>
CheckGroups(const Settings& aSettings)
{
  std::set<DataCentreName> dataCentres;
  for (const InstanceSettings& instance : aSettings.mInstances) {
    dataCentres.insert(instance.mDataCentre);
  }
  std::set<DataCentreName> homes;
  for (const GroupSettings& group : aSettings.mGroups) {
    if (group.mName.compare(0, kGroupPrefix.size(), kGroupPrefix) != 0) {
      continue;
    }
    const DataCentreName home = group.mName.substr(kGroupPrefix.size());
    if (dataCentres.count(home) == 0) {
      return SettingsError(aSettings,
                           group.mLine,
                           "data centre '" + home +
                             "' of the group is not allowed (allowed: those of "
                             "[instances])");
    }
    homes.insert(home);
  }
  for (const DataCentreName& dataCentre : dataCentres) {
    if (!homes.empty() && homes.count(dataCentre) == 0) {
      return SettingsError(aSettings, 0, MissingGroup(dataCentre));
    }
  }
  return Success();
}

}

std::string
SubmissionGroupName(const std::string& aDataCentre)
{
  return kGroupPrefix + aDataCentre;
}

const GroupSettings*
SubmissionGroupOf(const Settings& aSettings, const std::string& aDataCentre)
{
  const auto found =
    std::find_if(aSettings.mGroups.begin(),
                 aSettings.mGroups.end(),
                 [&](const GroupSettings& aGroup) {
                   return aGroup.mName == SubmissionGroupName(aDataCentre);
                 });
  return found == aSettings.mGroups.end() ? nullptr : &*found;
}

Result<void>
CheckSubmissionSettings(const Settings& aSettings)
{
  BOOST_OUTCOME_TRYV(CheckGroups(aSettings));
  if (aSettings.mMaxUndatedKeys < aSettings.mMaxClaims) {
    return SettingsError(aSettings,
                         0,
                         "plain-keys in [submissions] is " +
                           std::to_string(aSettings.mMaxUndatedKeys) +
                           " (allowed: at least answers, which is " +
                           std::to_string(aSettings.mMaxClaims) + ')');
  }
  return Success();
}

}

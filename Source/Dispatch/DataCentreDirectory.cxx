#include "Dispatch/DataCentreDirectory.h"

#include <algorithm>

namespace almondspoke::dispatch {

void
DataCentreDirectory::AddConfigured(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (!name.empty()) {
      mConfigured.insert(name);
    }
  }
}

void
DataCentreDirectory::OnReported(const std::string& aName, TimePoint aNow)
{
  if (aName.empty() || mConfigured.count(aName) != 0) {
    return;
  }
  mReported[aName] = aNow;
  if (mReported.size() <= kMaxReported) {
    return;
  }
  mReported.erase(std::min_element(mReported.begin(),
                                   mReported.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.second < aRight.second;
                                   }));
}

bool
DataCentreDirectory::IsKnown(const std::string& aName) const
{
  return mConfigured.count(aName) != 0 || mReported.count(aName) != 0;
}

DataCentreNames
DataCentreDirectory::All() const
{
  DataCentreNames names = mConfigured;
  for (const auto& [name, reportedAt] : mReported) {
    names.insert(name);
  }
  return names;
}

}

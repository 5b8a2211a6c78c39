#include "Dispatch/Evacuations.h"

#include <algorithm>

namespace almondspoke::dispatch {

EvacuationEffect
Evacuations::Apply(const EvacuationRecord& aRecord)
{
  const std::string& name = aRecord.mDataCentre;
  if (IsEvacuated(name) == aRecord.mIsEvacuated) {
    return EvacuationEffect::Unchanged;
  }
  if (aRecord.mKnownRevision < RevisionOf(name)) {
    return EvacuationEffect::Outdated;
  }
  const bool isFull = !IsMentioned(name) && mChanges.size() >= kMaxChanges;
  if (isFull && !RemoveReadmitted()) {
    return EvacuationEffect::Full;
  }
  mChanges[name] = { aRecord.mIsEvacuated, ++mRevision };
  return EvacuationEffect::Changed;
}

bool
Evacuations::IsEvacuated(const std::string& aDataCentre) const
{
  const auto change = mChanges.find(aDataCentre);
  return change != mChanges.end() && change->second.mIsEvacuated;
}

bool
Evacuations::IsMentioned(const std::string& aDataCentre) const
{
  return mChanges.count(aDataCentre) != 0;
}

DataCentreNames
Evacuations::Evacuated() const
{
  DataCentreNames names;
  for (const auto& [name, change] : mChanges) {
    if (change.mIsEvacuated) {
      names.insert(name);
    }
  }
  return names;
}

std::uint64_t
Evacuations::RevisionOf(const std::string& aDataCentre) const
{
  const auto change = mChanges.find(aDataCentre);
  return change == mChanges.end() ? mRemovedRevision : change->second.mRevision;
}

bool
Evacuations::RemoveReadmitted()
{
  auto oldest = mChanges.end();
  for (auto change = mChanges.begin(); change != mChanges.end(); ++change) {
    const bool isOlder = oldest == mChanges.end() ||
                         change->second.mRevision < oldest->second.mRevision;
    if (!change->second.mIsEvacuated && isOlder) {
      oldest = change;
    }
  }
  if (oldest == mChanges.end()) {
    return false;
  }
  mRemovedRevision = std::max(mRemovedRevision, oldest->second.mRevision);
  mChanges.erase(oldest);
  return true;
}

}

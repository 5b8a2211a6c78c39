#include "Dispatch/LargestCapacity.h"

namespace almondspoke::dispatch {

namespace {

using Counts = std::map<std::uint32_t, std::size_t>;

void
RemoveOne(Counts& aCounts, std::uint32_t aAmount)
{
  const auto entry = aCounts.find(aAmount);
  if (entry != aCounts.end() && --entry->second == 0) {
    aCounts.erase(entry);
  }
}

std::uint32_t
LargestOf(const Counts& aCounts)
{
  return aCounts.empty() ? 0 : aCounts.rbegin()->first;
}

}

bool
LargestCapacity::Add(const Resources& aCapacity)
{
  const Resources before = Largest();
  ++mCores[aCapacity.mMilliCores];
  ++mMemory[aCapacity.mMemoryMegabytes];
  ++mAccelerators[aCapacity.mAccelerators];
  return !Largest().FitsInto(before);
}

bool
LargestCapacity::Remove(const Resources& aCapacity)
{
  const Resources before = Largest();
  RemoveOne(mCores, aCapacity.mMilliCores);
  RemoveOne(mMemory, aCapacity.mMemoryMegabytes);
  RemoveOne(mAccelerators, aCapacity.mAccelerators);
  return !before.FitsInto(Largest());
}

bool
LargestCapacity::IsExceededBy(const Resources& aNeeds) const
{
  return !mCores.empty() && !aNeeds.FitsInto(Largest());
}

Resources
LargestCapacity::Largest() const
{
  return { LargestOf(mCores), LargestOf(mMemory), LargestOf(mAccelerators) };
}

}

#include "Consensus/DelayedJournalStorage.h"

#include <thread>

namespace almondspoke {

DelayedJournalStorage::DelayedJournalStorage(JournalStorage& aStorage,
                                             std::chrono::microseconds aDelay)
  : mStorage(aStorage)
  , mDelay(aDelay)
{
}

void
DelayedJournalStorage::Wait() const
{
  if (mDelay.count() > 0) {
    std::this_thread::sleep_for(mDelay);
  }
}

Result<std::optional<std::string>>
DelayedJournalStorage::Read(const std::string& aName)
{
  return mStorage.Read(aName);
}

Result<void>
DelayedJournalStorage::Append(const std::string& aName, std::string_view aBytes)
{
  return mStorage.Append(aName, aBytes);
}

Result<void>
DelayedJournalStorage::Sync(const std::string& aName)
{
  Wait();
  return mStorage.Sync(aName);
}

Result<void>
DelayedJournalStorage::Replace(const std::string& aName,
                               std::string_view aBytes)
{
  Wait();
  return mStorage.Replace(aName, aBytes);
}

Result<void>
DelayedJournalStorage::Truncate(const std::string& aName, std::size_t aSize)
{
  Wait();
  return mStorage.Truncate(aName, aSize);
}

Result<void>
DelayedJournalStorage::Remove(const std::string& aName)
{
  return mStorage.Remove(aName);
}

}

#pragma once

#include <chrono>
#include <string>

#include "Consensus/JournalStorage.h"

namespace almondspoke {

/** \brief Adds a fixed delay to each sync of another JournalStorage, to
 * simulate a slower disk in measurements. */
class DelayedJournalStorage : public JournalStorage
{
public:
  DelayedJournalStorage(JournalStorage& aStorage,
                        std::chrono::microseconds aDelay);

  Result<std::optional<std::string>> Read(const std::string& aName) override;
  Result<void> Append(const std::string& aName,
                      std::string_view aBytes) override;
  Result<void> Sync(const std::string& aName) override;
  Result<void> Replace(const std::string& aName,
                       std::string_view aBytes) override;
  Result<void> Truncate(const std::string& aName, std::size_t aSize) override;
  Result<void> Remove(const std::string& aName) override;

private:
  void Wait() const;

  JournalStorage& mStorage;
  std::chrono::microseconds mDelay;
};

}

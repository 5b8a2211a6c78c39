#pragma once

#include <memory>
#include <string>

#include "Consensus/JournalStorage.h"

namespace almondspoke {

/** \brief JournalStorage in a folder of the file system.
 *
 * Locks the folder against other processes for the lifetime of the object. */
class FileJournalStorage : public JournalStorage
{
public:
  /** Creates the folder if it does not exist and locks it. */
  static Result<std::unique_ptr<FileJournalStorage>> Open(
    const std::string& aFolder);

  ~FileJournalStorage() override;
  FileJournalStorage(const FileJournalStorage&) = delete;
  FileJournalStorage& operator=(const FileJournalStorage&) = delete;

  Result<std::optional<std::string>> Read(const std::string& aName) override;
  Result<void> Append(const std::string& aName,
                      std::string_view aBytes) override;
  Result<void> Sync(const std::string& aName) override;
  Result<void> Replace(const std::string& aName,
                       std::string_view aBytes) override;
  Result<void> Truncate(const std::string& aName, std::size_t aSize) override;
  Result<void> Remove(const std::string& aName) override;

private:
  FileJournalStorage(std::string aFolder, int aLock);

  std::string PathOf(const std::string& aName) const;
  Result<void> OpenForAppend(const std::string& aName);
  void CloseAppendFile();
  Result<void> SyncFolder() const;

  std::string mFolder;
  int mLock;
  std::string mAppendFileName;
  int mAppendFile = -1;
};

}

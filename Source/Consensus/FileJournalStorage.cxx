#include "Consensus/FileJournalStorage.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace almondspoke {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadBufferBytes = 1U << 20U;
constexpr const char* kLockFileName = "lock";
constexpr const char* kTemporarySuffix = ".tmp";

Error
StorageError(const std::string& aAction, const std::string& aPath)
{
  const std::string reason = std::generic_category().message(errno);
  return { ErrorKind::StorageFailed,
           "cannot " + aAction + " '" + aPath + "': " + reason };
}

Result<void>
WriteAll(int aFile, std::string_view aBytes, const std::string& aPath)
{
  while (!aBytes.empty()) {
    const ssize_t written = ::write(aFile, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return StorageError("write to", aPath);
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return Success();
}

Result<std::string>
ReadAll(int aFile, const std::string& aPath)
{
  std::string content;
  std::string part(kReadBufferBytes, '\0');
  while (true) {
    const ssize_t count = ::read(aFile, part.data(), part.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return StorageError("read", aPath);
    }
    if (count == 0) {
      return content;
    }
    content.append(part.data(), static_cast<std::size_t>(count));
  }
}

}

Result<std::unique_ptr<FileJournalStorage>>
FileJournalStorage::Open(const std::string& aFolder)
{
  std::error_code failure;
  std::filesystem::create_directories(aFolder, failure);
  if (failure) {
    return Error(ErrorKind::StorageFailed,
                 "cannot create the folder '" + aFolder +
                   "': " + failure.message());
  }
  const std::string path = aFolder + "/" + kLockFileName;
  const int lock =
    ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock < 0) {
    return StorageError("open", path);
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return Error(ErrorKind::StorageFailed,
                 "the folder '" + aFolder + "' is in use by another process");
  }
  return std::unique_ptr<FileJournalStorage>(
    new FileJournalStorage(aFolder, lock));
}

FileJournalStorage::FileJournalStorage(std::string aFolder, int aLock)
  : mFolder(std::move(aFolder))
  , mLock(aLock)
{
}

FileJournalStorage::~FileJournalStorage()
{
  CloseAppendFile();
  ::close(mLock);
}

std::string
FileJournalStorage::PathOf(const std::string& aName) const
{
  return mFolder + "/" + aName;
}

Result<std::optional<std::string>>
FileJournalStorage::Read(const std::string& aName)
{
  const std::string path = PathOf(aName);
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0 && errno == ENOENT) {
    return std::optional<std::string>();
  }
  if (file < 0) {
    return StorageError("open", path);
  }
  Result<std::string> content = ReadAll(file, path);
  ::close(file);
  if (!content) {
    return content.error();
  }
  return std::optional<std::string>(std::move(content.value()));
}

void
FileJournalStorage::CloseAppendFile()
{
  if (mAppendFile >= 0) {
    ::close(mAppendFile);
  }
  mAppendFile = -1;
  mAppendFileName.clear();
}

Result<void>
FileJournalStorage::OpenForAppend(const std::string& aName)
{
  if (mAppendFile >= 0 && mAppendFileName == aName) {
    return Success();
  }
  CloseAppendFile();
  const std::string path = PathOf(aName);
  const bool existed = ::access(path.c_str(), F_OK) == 0;
  mAppendFile =
    ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (mAppendFile < 0) {
    return StorageError("open", path);
  }
  mAppendFileName = aName;
  return existed ? Result<void>(Success()) : SyncFolder();
}

Result<void>
FileJournalStorage::Append(const std::string& aName, std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(OpenForAppend(aName));
  return WriteAll(mAppendFile, aBytes, PathOf(aName));
}

Result<void>
FileJournalStorage::Sync(const std::string& aName)
{
  BOOST_OUTCOME_TRY(OpenForAppend(aName));
  if (::fdatasync(mAppendFile) != 0) {
    return StorageError("sync", PathOf(aName));
  }
  return Success();
}

Result<void>
FileJournalStorage::SyncFolder() const
{
  const int folder =
    ::open(mFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return StorageError("open", mFolder);
  }
  const int synced = ::fsync(folder);
  const Error failure = StorageError("sync", mFolder);
  ::close(folder);
  if (synced != 0) {
    return failure;
  }
  return Success();
}

Result<void>
FileJournalStorage::Replace(const std::string& aName, std::string_view aBytes)
{
  if (mAppendFileName == aName) {
    CloseAppendFile();
  }
  const std::string temporary = PathOf(aName) + kTemporarySuffix;
  const int file = ::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return StorageError("open", temporary);
  }
  Result<void> written = WriteAll(file, aBytes, temporary);
  if (written && ::fsync(file) != 0) {
    written = StorageError("sync", temporary);
  }
  ::close(file);
  BOOST_OUTCOME_TRY(written);
  if (::rename(temporary.c_str(), PathOf(aName).c_str()) != 0) {
    return StorageError("rename", temporary);
  }
  return SyncFolder();
}

Result<void>
FileJournalStorage::Truncate(const std::string& aName, std::size_t aSize)
{
  BOOST_OUTCOME_TRY(OpenForAppend(aName));
  if (::ftruncate(mAppendFile, static_cast<off_t>(aSize)) != 0) {
    return StorageError("truncate", PathOf(aName));
  }
  if (::fsync(mAppendFile) != 0) {
    return StorageError("sync", PathOf(aName));
  }
  return Success();
}

Result<void>
FileJournalStorage::Remove(const std::string& aName)
{
  if (mAppendFileName == aName) {
    CloseAppendFile();
  }
  const std::string path = PathOf(aName);
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
    return StorageError("remove", path);
  }
  return SyncFolder();
}

}

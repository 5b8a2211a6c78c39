#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Base/Result.h"

namespace almondspoke {

/** \brief Interface to the files of one replica.
 *
 * Separates Journal from the disk, so that tests and measurements can inject
 * delays and faults. Errors are StorageFailed and name the file. After an error
 * the state of the file is unknown. */
class JournalStorage
{
public:
  virtual ~JournalStorage() = default;

  /** Returns the content of a file; empty if the file does not exist. */
  virtual Result<std::optional<std::string>> Read(const std::string& aName) = 0;

  /** Appends to a file and creates it if needed. Durable after Sync(). */
  virtual Result<void> Append(const std::string& aName,
                              std::string_view aBytes) = 0;

  /** Makes all appended bytes of a file durable. */
  virtual Result<void> Sync(const std::string& aName) = 0;

  /** Replaces a file atomically; durable on return. */
  virtual Result<void> Replace(const std::string& aName,
                               std::string_view aBytes) = 0;

  /** Truncates a file to a size in bytes; durable on return. */
  virtual Result<void> Truncate(const std::string& aName,
                                std::size_t aSize) = 0;

  /** Removes a file if it exists; durable on return. */
  virtual Result<void> Remove(const std::string& aName) = 0;
};

}

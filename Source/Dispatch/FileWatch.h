#pragma once

#include <string>

namespace almondspoke::dispatch {

/** \brief Tells when the content of a file has changed.
 *
 * Compares whole contents, since files are replaced without a signal and times
 * of files are coarse. For small files. */
class FileWatch
{
public:
  /** The present content counts as known. */
  explicit FileWatch(std::string aPath);

  /** True once for each new content. A file that cannot be read, or is empty as
   * while it is being written, counts as unchanged. */
  bool HasChanged();

private:
  std::string Read() const;

  const std::string mPath;
  std::string mKnown;
};

}

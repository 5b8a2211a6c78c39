#pragma once

#include <string>

namespace almondspoke::dispatch {

/** \brief Detects changes of a small file by comparing its whole content.
 *
 * The file may be replaced without a signal, and modification times are too
 * coarse to rely on. */
class FileWatch
{
public:
  /** Reads the file; its current content counts as unchanged. */
  explicit FileWatch(std::string aPath);

  /** Returns true once after each change. A file that cannot be read or is
   * empty, which happens while it is written, counts as unchanged. */
  bool HasChanged();

private:
  std::string Read() const;

  const std::string mPath;
  std::string mLastContent;
};

}

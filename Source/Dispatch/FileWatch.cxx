#include "Dispatch/FileWatch.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace almondspoke::dispatch {

FileWatch::FileWatch(std::string aPath)
  : mPath(std::move(aPath))
  , mLastContent(Read())
{
}

std::string
FileWatch::Read() const
{
  std::ifstream file(mPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

bool
FileWatch::HasChanged()
{
  std::string content = Read();
  if (content.empty() || content == mLastContent) {
    return false;
  }
  mLastContent = std::move(content);
  return true;
}

}

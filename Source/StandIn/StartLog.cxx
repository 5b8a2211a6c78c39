#include "StandIn/StartLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>

namespace almondspoke {

StartLog::StartLog(const std::string& aPath)
{
  if (aPath.empty()) {
    return;
  }
  constexpr int kMode = 0644;
  mFile =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  if (mFile < 0) {
    throw std::runtime_error(aPath + ": cannot be opened for appending");
  }
}

StartLog::~StartLog()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

void
StartLog::Record(const std::string& aEndpoint,
                 const std::string& aAttempt,
                 const std::string& aKey)
{
  if (mFile < 0) {
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  const std::string line = aAttempt + ' ' + aKey + ' ' + aEndpoint + ' ' +
                           std::to_string(now.count()) + '\n';
  const std::lock_guard<std::mutex> lock(mMutex);
  const ssize_t written = ::write(mFile, line.data(), line.size());
  static_cast<void>(written);
}

}

#include "Bench/StartLogAudit.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include <xxhash.h>

#include "Daemon/SettingValues.h"

namespace almondspoke::bench {

namespace {

constexpr std::size_t kFieldsOfLine = 4;
constexpr std::string_view kNoKey = "-";

std::uint64_t
HashOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

}

StartLogAudit::StartLogAudit(std::vector<std::string> aPaths)
{
  for (std::string& path : aPaths) {
    Log log{ std::move(path), 0 };
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(log.mPath, error);
    log.mStart = error ? 0 : size;
    mLogs.push_back(std::move(log));
  }
}

void
StartLogAudit::RecordNotRun(std::string_view aRequestId)
{
  if (mLogs.empty()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mNotRun.size() == kMaxRecords) {
    ++mUnchecked;
    return;
  }
  mNotRun.push_back(HashOf(aRequestId));
}

Result<StartAudit>
StartLogAudit::Read(std::string_view aKeyPrefix)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  StartAudit audit;
  std::sort(mNotRun.begin(), mNotRun.end());
  for (const Log& log : mLogs) {
    std::ifstream file(log.mPath, std::ios::binary);
    if (!file) {
      return Error(ErrorKind::InvalidSettings,
                   log.mPath + ": the start log cannot be read");
    }
    file.seekg(static_cast<std::streamoff>(log.mStart));
    std::string line;
    while (std::getline(file, line)) {
      ReadLine(line, aKeyPrefix, audit);
    }
  }
  std::sort(mStartedNotRun.begin(), mStartedNotRun.end());
  const auto last = std::unique(mStartedNotRun.begin(), mStartedNotRun.end());
  audit.mFalseNotRun =
    static_cast<std::uint64_t>(last - mStartedNotRun.begin());
  std::sort(mKeys.begin(), mKeys.end());
  const auto lastKey = std::unique(mKeys.begin(), mKeys.end());
  audit.mRepeatedKeys = static_cast<std::uint64_t>(mKeys.end() - lastKey);
  audit.mUnchecked = mUnchecked;
  mStartedNotRun.clear();
  mKeys.clear();
  return audit;
}

// Format of a line: request id/run, key, endpoint, milliseconds since the
// epoch.
void
StartLogAudit::ReadLine(std::string_view aLine,
                        std::string_view aKeyPrefix,
                        StartAudit& aAudit)
{
  const std::vector<std::string> fields = SplitWords(aLine);
  if (fields.size() != kFieldsOfLine) {
    ++aAudit.mUnreadableLines;
    return;
  }
  ++aAudit.mStarts;
  const std::string& attempt = fields[0];
  const std::string& key = fields[1];
  const std::uint64_t id =
    HashOf(std::string_view(attempt).substr(0, attempt.rfind('/')));
  if (std::binary_search(mNotRun.begin(), mNotRun.end(), id)) {
    mStartedNotRun.push_back(id);
  }
  if (key == kNoKey || key.compare(0, aKeyPrefix.size(), aKeyPrefix) != 0) {
    return;
  }
  if (mKeys.size() == kMaxRecords) {
    ++mUnchecked;
    return;
  }
  mKeys.push_back(HashOf(key));
}

}

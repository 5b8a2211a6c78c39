#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Result.h"

namespace almondspoke::bench {

/** \brief Result of comparing the start logs of the stand-ins with the
 * responses of a run. */
struct StartAudit
{
  /** Number of started attempts. */
  std::uint64_t mStarts = 0;
  /** Number of starts with an idempotency key that had already started. */
  std::uint64_t mRepeatedKeys = 0;
  /** Number of requests that were reported as `ran: no` but did start. */
  std::uint64_t mFalseNotRun = 0;
  /** Number of log lines that could not be parsed. */
  std::uint64_t mUnreadableLines = 0;
  /** Number of requests or starts not checked because kMaxRecords was reached.
   */
  std::uint64_t mUnchecked = 0;
};

/** \brief Compares responses with the start logs. Ids and keys are kept as
 * 64-bit hashes, at most kMaxRecords of each. */
class StartLogAudit
{
public:
  static constexpr std::size_t kMaxRecords = 2000000;

  /** Saves the current sizes of the logs; lines before them are ignored. */
  explicit StartLogAudit(std::vector<std::string> aPaths);

  bool HasLogs() const { return !mLogs.empty(); }

  /** Records a request whose response says `ran: no`. Thread-safe. */
  void RecordNotRun(std::string_view aRequestId);

  /** Reads the lines added to the logs since construction and checks them.
   * \param aKeyPrefix prefix of the idempotency keys that may start only once.
   * Errors: InvalidSettings if a log cannot be read.
   */
  Result<StartAudit> Read(std::string_view aKeyPrefix);

private:
  struct Log
  {
    std::string mPath;
    std::uintmax_t mStart = 0;
  };

  void ReadLine(std::string_view aLine,
                std::string_view aKeyPrefix,
                StartAudit& aAudit);

  std::vector<Log> mLogs;
  std::mutex mMutex;
  std::uint64_t mUnchecked = 0;
  std::vector<std::uint64_t> mNotRun;
  std::vector<std::uint64_t> mStartedNotRun;
  std::vector<std::uint64_t> mKeys;
};

}

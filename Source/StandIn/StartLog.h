#pragma once

#include <mutex>
#include <string>

namespace almondspoke {

/** \brief Appends one line for each started task to a file, so that tests and
 * benchmarks can check what actually ran. Each line is written in a single call
 * before the task starts. */
class StartLog
{
public:
  /** \param aPath empty for no log. */
  explicit StartLog(const std::string& aPath);
  StartLog(const StartLog&) = delete;
  StartLog& operator=(const StartLog&) = delete;
  ~StartLog();

  /** Records a start. \param aAttempt id of the attempt or request
   * \param aKey idempotency key, or "-". */
  void Record(const std::string& aEndpoint,
              const std::string& aAttempt,
              const std::string& aKey);

private:
  std::mutex mMutex;
  int mFile = -1;
};

}

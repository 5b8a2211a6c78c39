#pragma once

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace almondspoke::testing {

/** \brief A process that a test started. The destructor kills it and waits for
 * it. Only tests start processes. */
class ChildProcess
{
public:
  /** Starts the process.
   * \param aOutputPath file to which standard output and error are appended.
   * \param aMaxDataBytes memory that the system gives the process; zero for no
   * limit */
  ChildProcess(const std::vector<std::string>& aCommand,
               std::string aOutputPath,
               std::size_t aMaxDataBytes = 0);
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&&) = delete;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t Id() const { return mProcess; }

  void Signal(int aSignal) const;

  /** Waits for the process to exit. \return the exit code, or the negated
   * signal number; nothing if it did not exit within kEventuallyTimeout. */
  std::optional<int> Wait();
  bool IsRunning();

  std::string Output() const;

private:
  void Reap(int aStatus);

  pid_t mProcess = -1;
  std::string mOutputPath;
  std::optional<int> mExit;
};

/** \brief A temporary folder that the destructor removes. */
class TemporaryFolder
{
public:
  TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();

  std::string File(const std::string& aName) const;

private:
  std::string mPath;
};

std::string
ReadFile(const std::string& aPath);
void
WriteFile(const std::string& aPath, const std::string& aText);

}

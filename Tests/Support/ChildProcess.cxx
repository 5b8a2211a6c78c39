#include "Support/ChildProcess.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "Support/Eventually.h"

namespace almondspoke::testing {

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand,
                           std::string aOutputPath,
                           std::size_t aMaxDataBytes)
  : mOutputPath(std::move(aOutputPath))
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const char* outputPath = mOutputPath.c_str();
  mProcess = ::fork();
  if (mProcess < 0) {
    throw std::runtime_error("fork failed");
  }
  if (mProcess == 0) {
    constexpr int kMode = 0644;
    const int output = ::open(outputPath, O_WRONLY | O_CREAT | O_APPEND, kMode);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Inherited copies of the test's sockets would keep its connections open.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    if (aMaxDataBytes > 0) {
      const rlimit limit{ aMaxDataBytes, aMaxDataBytes };
      ::setrlimit(RLIMIT_DATA, &limit);
    }
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : mProcess(std::exchange(aOther.mProcess, -1))
  , mOutputPath(std::move(aOther.mOutputPath))
  , mExit(aOther.mExit)
{
}

ChildProcess::~ChildProcess()
{
  if (mProcess > 0 && !mExit) {
    ::kill(mProcess, SIGKILL);
    ::waitpid(mProcess, nullptr, 0);
  }
}

void
ChildProcess::Signal(int aSignal) const
{
  if (mProcess > 0 && !mExit) {
    ::kill(mProcess, aSignal);
  }
}

std::optional<int>
ChildProcess::Wait()
{
  Eventually([this] { return !IsRunning(); });
  return mExit;
}

bool
ChildProcess::IsRunning()
{
  int status = 0;
  if (!mExit && ::waitpid(mProcess, &status, WNOHANG) == mProcess) {
    Reap(status);
  }
  return !mExit;
}

void
ChildProcess::Reap(int aStatus)
{
  mExit = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -WTERMSIG(aStatus);
}

std::string
ChildProcess::Output() const
{
  return ReadFile(mOutputPath);
}

TemporaryFolder::TemporaryFolder()
{
  std::string path =
    std::filesystem::temp_directory_path() / "almondspoke-test-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("mkdtemp failed");
  }
  mPath = path;
}

TemporaryFolder::~TemporaryFolder()
{
  std::error_code ignored;
  std::filesystem::remove_all(mPath, ignored);
}

std::string
TemporaryFolder::File(const std::string& aName) const
{
  return mPath + '/' + aName;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath, std::ios::binary) << aText;
}

}

// The project's programs, started with the commands of the deploy file.
#pragma once

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>

#include <fcntl.h>
#include <sys/wait.h>

#include "ledger.h"

namespace review {

namespace fs = std::filesystem;

/** Fills in a template as DEPLOY.md says, as far as deploy/node.ini needs it.
 */
inline std::string
Render(const std::string& aTemplate,
       const std::map<std::string, std::string>& aValues)
{
  std::string out;
  std::size_t at = 0;
  while (at < aTemplate.size()) {
    const std::size_t open = aTemplate.find("{{", at);
    if (open == std::string::npos) {
      return out + aTemplate.substr(at);
    }
    out += aTemplate.substr(at, open - at);
    const std::size_t close = aTemplate.find("}}", open);
    const std::string name = aTemplate.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name[0] == '#') {
      const std::string end = "{{/" + name.substr(1) + "}}";
      const std::size_t stop = aTemplate.find(end, at);
      if (aValues.count(name.substr(1)) != 0) {
        out += Render(aTemplate.substr(at, stop - at), aValues);
      }
      at = stop + end.size();
      continue;
    }
    const auto value = aValues.find(name);
    out += value == aValues.end() ? "" : value->second;
  }
  return out;
}

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** The processes that are running, so that a signal can end them too. */
inline std::atomic<pid_t> gStarted[64];

inline void
EndStarted(int)
{
  for (const auto& pid : gStarted) {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
    }
  }
  ::_exit(2);
}

/** One machine with one process on it. */
class Node
{
public:
  Node(Ledger& aLedger,
       std::string aFolder,
       std::string aName,
       std::string aIp,
       std::string aZone,
       bool aIsCore,
       std::string aSeeds)
    : mLedger(aLedger)
    , mFolder(std::move(aFolder))
    , mName(std::move(aName))
    , mIp(std::move(aIp))
    , mZone(std::move(aZone))
    , mIsCore(aIsCore)
    , mSeeds(std::move(aSeeds))
  {
  }
  ~Node() { Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& Name() const { return mName; }
  const std::string& Zone() const { return mZone; }
  std::string Control() const { return mIp + ":8166"; }
  std::string Front() const { return mIp + ":8161"; }
  std::string Readiness() const { return mIp + ":8167"; }
  std::string LogPath() const { return mFolder + '/' + mName + ".log"; }
  bool IsRunning() const { return mPid > 0; }

  void Start()
  {
    std::map<std::string, std::string> values = {
      { "node_name", mName },
      { "zone", mZone },
      { "ip", mIp },
      { "internal_ports.0", "7720" },
      { "seeds", mSeeds },
      { "bootstrap", mHasStarted ? "false" : "true" },
      { "fault_tolerance.machines", "1" },
      { "bounds.max_hold_ms", "1000" },
      { "heartbeat_ms", "1500" },
      { "bounds.grace_s", "6" },
    };
    if (mIsCore) {
      values["listen_addrs.control_plane"] = Control();
      values["data_dir"] = mFolder + '/' + mName + ".data";
      fs::create_directories(values["data_dir"]);
    } else {
      values["listen_addrs.frontend"] = Front();
      values["listen_addrs.readiness"] = Readiness();
    }
    const std::string settings = mFolder + '/' + mName + ".settings";
    std::ofstream(settings) << Render(ReadFile("deploy/node.ini"), values);
    mHasStarted = true;
    const std::string log = LogPath();
    const std::string home = "HOME=" + mFolder;
    const pid_t pid = ::fork();
    if (pid == 0) {
      const int out =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const char* program = "target/Source/Daemon/almondspoked";
      const char* arguments[] = {
        program, "--settings", settings.c_str(), nullptr
      };
      const char* environment[] = {
        "PATH=/usr/bin:/bin", home.c_str(), "LANG=C.UTF-8", nullptr
      };
      ::execve(program,
               const_cast<char* const*>(arguments),
               const_cast<char* const*>(environment));
      ::_exit(127);
    }
    SetPid(pid);
    Note("started");
  }

  void Signal(int aSignal, const char* aWhat)
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
      Note(aWhat);
    }
  }

  void Kill()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      SetPid(0);
      Note("killed");
    }
  }

  /** SIGTERM, and SIGKILL after grace_s. */
  void Terminate()
  {
    Signal(SIGTERM, "gets SIGTERM");
    for (int waited = 0; waited < 600 && mPid > 0; ++waited) {
      if (::waitpid(mPid, nullptr, WNOHANG) == mPid) {
        SetPid(0);
        Note("ended");
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    Kill();
  }

  /** Returns whether the process has ended by itself. */
  bool HasEndedByItself()
  {
    int status = 0;
    if (mPid <= 0 || ::waitpid(mPid, &status, WNOHANG) != mPid) {
      return false;
    }
    SetPid(0);
    Note("ended by itself");
    return true;
  }

private:
  void SetPid(pid_t aPid)
  {
    for (auto& pid : gStarted) {
      pid_t expected = mPid;
      if (pid.compare_exchange_strong(expected, aPid)) {
        break;
      }
    }
    mPid = aPid;
  }

  void Note(const char* aWhat)
  {
    const std::lock_guard<std::mutex> lock(mLedger.Mutex());
    mLedger.Write("process " + mName + ' ' + aWhat);
  }

  Ledger& mLedger;
  const std::string mFolder;
  const std::string mName;
  const std::string mIp;
  const std::string mZone;
  const bool mIsCore;
  const std::string mSeeds;
  bool mHasStarted = false;
  pid_t mPid = 0;
};

}

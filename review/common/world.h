// The stand-ins of the review: runners, the operator, clients, and the platform
// that starts and kills the processes of a small deployment on loopback.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime
Now()
{
  return std::chrono::steady_clock::now();
}

inline void
SleepMs(double milliseconds)
{
  std::this_thread::sleep_for(
    std::chrono::duration<double, std::milli>(milliseconds));
}

/** Writes what was sent, answered and run, with the time since the start. */
class Record
{
public:
  explicit Record(const std::string& path)
    : mFile(path)
    , mStart(Now())
  {
  }
  double Ms() const
  {
    return std::chrono::duration<double, std::milli>(Now() - mStart).count();
  }
  void Line(const std::string& text)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << std::fixed << std::setprecision(1) << Ms() << ' ' << text
          << std::endl;
  }
  void Say(const std::string& text)
  {
    Line(text);
    const std::lock_guard<std::mutex> lock(mMutex);
    std::cout << text << std::endl;
  }

private:
  std::ofstream mFile;
  const SteadyTime mStart;
  std::mutex mMutex;
};

/** One run of a task on one runner, as the runner saw it. */
struct Run
{
  std::string task;
  std::uint64_t number = 0;
  std::string runner;
  std::string service;
  std::uint64_t born = 0;
  double start = 0;
  double end = -1;     // -1: still at work
  std::string how;     // done, failed, stopped, lapsed, crashed
  double notedAt = -1; // when ack_cursor reached the end, if it did
  bool lapsed = false; // the runner's lease lapsed before that
  std::uint64_t endNumber = 0;
  std::uint64_t cpu = 0;
  bool fails = false;
  double dueMs = 0; // length of the work
};
using RunPtr = std::shared_ptr<Run>;

/** All runs of a play. */
class History
{
public:
  void Add(const RunPtr& run)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRuns.push_back(run);
  }
  std::vector<RunPtr> All() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  mutable std::mutex mMutex;
  std::vector<RunPtr> mRuns;
};

/** A runner as PROTOCOL.md describes it. The spec of a job says what its tasks
 * do: {"ms": length, "fail": whether the run ends `failed`}. */
class Runner
{
public:
  struct Options
  {
    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::uint64_t cpu = 32000;
    std::uint64_t memory = 131072;
    double heartbeatMs = 1500;
    double maxHoldMs = 1000;
    double stopMs = 10;
    double lateShare = 0; // of the orders: unanswered, carried out late
  };

  Runner(Options options,
         std::vector<std::string> coordinators,
         Record& record,
         History& history)
    : mOptions(std::move(options))
    , mCoordinators(std::move(coordinators))
    , mRecord(record)
    , mHistory(history)
    , mRandom(std::hash<std::string>()(mOptions.id))
  {
  }
  ~Runner() { Crash(); }

  const Options& Settings() const { return mOptions; }

  /** Starts a new boot under the same id and address. */
  bool Boot()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mBorn = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
      mBootAt = Now();
      mSequence = 0;
      mFence = 0;
      mLeaseUntil = 0;
      mEndCount = 0;
      mRunning.clear();
      mEnded.clear();
      mHighest.clear();
      mUp = true;
    }
    mServer = std::make_unique<Server>(
      mOptions.address, [this](const Request& request) { return On(request); });
    if (!mServer->Open()) {
      mUp = false;
      return false;
    }
    mRecord.Line("runner " + mOptions.id + " up, born " +
                 std::to_string(mBorn));
    mEngine = std::thread([this] { Engine(); });
    mBeats = std::thread([this] { Beat(); });
    return true;
  }

  /** Ends the boot as a SIGKILL of its process does. */
  void Crash()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (!mUp) {
        return;
      }
      mUp = false;
      for (auto& [task, run] : mRunning) {
        run->end = mRecord.Ms();
        run->how = "crashed";
      }
      mRunning.clear();
    }
    mChanged.notify_all();
    mServer->Close();
    mEngine.join();
    mBeats.join();
    while (mLate > 0) {
      SleepMs(5);
    }
    mRecord.Line("runner " + mOptions.id + " crashed");
  }

  std::size_t RunningCount()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRunning.size();
  }
  std::uint64_t UsedCpu()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::uint64_t used = 0;
    for (const auto& [task, run] : mRunning) {
      used += run->cpu;
    }
    return used;
  }
  bool IsUp() const { return mUp; }

private:
  std::int64_t ClockMs() const
  {
    // Counts anew in each boot.
    return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(Now() -
                                                                        mBootAt)
                    .count();
  }

  void End(const RunPtr& run, const char* how)
  {
    run->end = mRecord.Ms();
    run->how = how;
    run->endNumber = ++mEndCount;
    mEnded.push_back(run);
    std::uint64_t& highest = mHighest[run->task];
    highest = std::max(highest, run->number);
    mRecord.Line("end " + run->task + " run " + std::to_string(run->number) +
                 " on " + mOptions.id + ": " + how);
    mChanged.notify_all();
  }

  void Engine()
  {
    while (mUp) {
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        const double now = mRecord.Ms();
        std::vector<RunPtr> over;
        const bool lapsed = ClockMs() > mLeaseUntil;
        for (const auto& [task, run] : mRunning) {
          const auto stop = mStopAt.find(run.get());
          if (lapsed || now >= run->start + run->dueMs ||
              (stop != mStopAt.end() && now >= stop->second)) {
            over.push_back(run);
          }
        }
        for (const RunPtr& run : over) {
          const bool finished = now >= run->start + run->dueMs;
          mRunning.erase(run->task);
          End(run,
              lapsed     ? "lapsed"
              : finished ? (run->fails ? "failed" : "done")
                         : "stopped");
          mStopAt.erase(run.get());
        }
        if (lapsed) {
          for (const RunPtr& run : mEnded) {
            run->lapsed = true;
          }
        }
      }
      SleepMs(1);
    }
  }

  void Beat()
  {
    std::size_t at = mRandom() % mCoordinators.size();
    double next = 0;
    while (mUp) {
      if (mRecord.Ms() < next) {
        SleepMs(2);
        continue;
      }
      next = mRecord.Ms() + mOptions.heartbeatMs * (0.95 + 0.1 * Share());
      for (std::size_t tries = 0; tries < mCoordinators.size() && mUp;
           ++tries) {
        Json beat = { { "service", mOptions.service },
                      { "address", mOptions.address },
                      { "zone", mOptions.zone },
                      { "version", "v1" },
                      { "slots", 8 },
                      { "state", "ready" },
                      { "cold_remaining_ms", 0 },
                      { "capacity",
                        { { "cpu", mOptions.cpu },
                          { "mem_mb", mOptions.memory },
                          { "gpus", 0 } } },
                      { "labels", mOptions.labels },
                      { "clock_ms", ClockMs() },
                      { "born", mBorn.load() },
                      { "sequence", ++mSequence } };
        const Response answer = Send(mCoordinators[at],
                                     "POST",
                                     "/instances/" + mOptions.id + "/heartbeat",
                                     "control",
                                     beat.dump(),
                                     1000);
        if (answer.status >= 200 && answer.status < 300) {
          break;
        }
        at = (at + 1) % mCoordinators.size();
      }
    }
  }

  double Share()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  Response Answer(int status, Json body)
  {
    body["clock_ms"] = ClockMs();
    return { status, body.dump() };
  }
  Response Refuse(const char* reason)
  {
    return Answer(409, { { "reason", reason } });
  }

  Response On(const Request& request)
  {
    if (request.target == "/health") {
      return { 200, "{}" };
    }
    if (mOptions.lateShare > 0 && Draw() < mOptions.lateShare) {
      mRecord.Line("order " + request.target + " on " + mOptions.id +
                   " is left unanswered");
      const auto born = mBorn.load();
      ++mLate;
      std::thread([this, request, born, wait = 2000 + Draw() * 10000] {
        for (double slept = 0; slept < wait && mUp; slept += 20) {
          SleepMs(20);
        }
        if (mUp && mBorn == born) {
          mRecord.Line("late order " + request.target + " on " + mOptions.id);
          CarryOut(request);
        }
        --mLate;
      }).detach();
      SleepMs(1500);
      return {};
    }
    return CarryOut(request);
  }

  double Draw()
  {
    const std::lock_guard<std::mutex> lock(mDrawMutex);
    return std::uniform_real_distribution<double>(0, 1)(mDraw);
  }

  Response CarryOut(const Request& request)
  {
    const auto expected = request.fields.find("expect-instance");
    if (expected != request.fields.end() && expected->second != mOptions.id) {
      return { 421, "{}" };
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return { 400, "{}" };
    }
    std::unique_lock<std::mutex> lock(mMutex);
    if (!mUp) {
      return {};
    }
    const auto fence = body.value("fencing_token", std::uint64_t{ 0 });
    if (fence < mFence) {
      return Refuse("fence");
    }
    mFence = fence;
    if (request.target == "/run-start") {
      return Start(body);
    }
    if (request.target == "/run-stop") {
      return Stop(body);
    }
    if (request.target == "/hold") {
      return Hold(body, lock);
    }
    return { 404, "{}" };
  }

  void Extend(const Json& body)
  {
    const auto until = body.value("deadline_ms", std::int64_t{ 0 });
    const auto most = ClockMs() + static_cast<std::int64_t>(mOptions.maxHoldMs);
    mLeaseUntil = std::max(mLeaseUntil, std::min(until, most));
  }

  Response Start(const Json& body)
  {
    const std::string task = body.value("task", "");
    const auto number = body.value("run", std::uint64_t{ 0 });
    const auto until = body.value("deadline_ms", std::int64_t{ 0 });
    if (until <= ClockMs()) {
      return Refuse("late");
    }
    Extend(body);
    const auto running = mRunning.find(task);
    if (running != mRunning.end()) {
      if (running->second->number == number) {
        return Answer(200, Json::object());
      }
      return Refuse("old");
    }
    const auto highest = mHighest.find(task);
    if (highest != mHighest.end() && number <= highest->second) {
      return Refuse("old");
    }
    const Json work = Json::parse(body.value("spec", "{}"), nullptr, false);
    const auto run = std::make_shared<Run>();
    run->task = task;
    run->number = number;
    run->runner = mOptions.id;
    run->service = mOptions.service;
    run->born = mBorn;
    run->start = mRecord.Ms();
    run->dueMs = work.value("ms", 100.0);
    run->fails = work.value("fail", false);
    run->cpu = work.value("cpu", std::uint64_t{ 0 });
    mRunning[task] = run;
    mHistory.Add(run);
    mRecord.Line("start " + task + " run " + std::to_string(number) + " on " +
                 mOptions.id + " born " + std::to_string(mBorn));
    return Answer(200, Json::object());
  }

  Response Stop(const Json& body)
  {
    const std::string task = body.value("task", "");
    const auto number = body.value("run", std::uint64_t{ 0 });
    mRecord.Line("stop order " + task + " run " + std::to_string(number) +
                 " on " + mOptions.id);
    const auto running = mRunning.find(task);
    if (running != mRunning.end() && running->second->number <= number) {
      mStopAt.emplace(running->second.get(), mRecord.Ms() + mOptions.stopMs);
    }
    std::uint64_t& highest = mHighest[task];
    highest = std::max(highest, number);
    return Answer(200, Json::object());
  }

  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock)
  {
    Extend(body);
    const auto cursor = body.value("ack_cursor", std::uint64_t{ 0 });
    while (!mEnded.empty() && mEnded.front()->endNumber <= cursor) {
      mEnded.front()->notedAt = mRecord.Ms();
      mRecord.Line("noted " + mEnded.front()->task + " run " +
                   std::to_string(mEnded.front()->number) + " " +
                   mEnded.front()->how + " on " + mOptions.id +
                   (mEnded.front()->lapsed ? " (lease had lapsed)" : ""));
      mEnded.erase(mEnded.begin());
    }
    const auto wait =
      std::min<std::int64_t>(2000, body.value("wait_ms", std::int64_t{ 0 }));
    mChanged.wait_for(lock, std::chrono::milliseconds(wait), [this] {
      return !mUp || !mEnded.empty();
    });
    if (!mUp) {
      return {};
    }
    Json running = Json::array();
    for (const auto& [task, run] : mRunning) {
      const double share = (mRecord.Ms() - run->start) / run->dueMs;
      running.push_back({ task,
                          run->number,
                          "",
                          static_cast<int>(std::min(99.0, share * 100)),
                          run->cpu });
    }
    Json finished = Json::array();
    for (const RunPtr& run : mEnded) {
      if (finished.size() == 500) {
        break;
      }
      finished.push_back(
        { run->endNumber, run->task, run->number, run->how, "" });
    }
    return Answer(200,
                  { { "running", running },
                    { "finished", finished },
                    { "born", mBorn.load() } });
  }

  const Options mOptions;
  const std::vector<std::string> mCoordinators;
  Record& mRecord;
  History& mHistory;
  std::mt19937_64 mRandom;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::mutex mDrawMutex;
  std::mt19937_64 mDraw{ std::random_device{}() };
  std::atomic<int> mLate{ 0 };
  std::atomic<bool> mUp{ false };
  std::atomic<std::uint64_t> mBorn{ 0 };
  SteadyTime mBootAt;
  std::uint64_t mSequence = 0;
  std::uint64_t mFence = 0;
  std::int64_t mLeaseUntil = 0;
  std::uint64_t mEndCount = 0;
  std::map<std::string, RunPtr> mRunning;
  std::map<const Run*, double> mStopAt;
  std::vector<RunPtr> mEnded;
  std::map<std::string, std::uint64_t> mHighest;
  std::unique_ptr<Server> mServer;
  std::thread mEngine;
  std::thread mBeats;
};

/** One process of the system. */
struct Node
{
  std::string name;
  bool isCore = false;
  std::string ip;
  std::string zone;
  std::string folder;
  pid_t pid = 0;
};

/** The processes of a small deployment, started with the commands of
 * deploy/system.toml and settings as deploy/node.ini renders them. */
class Deployment
{
public:
  Deployment(Record& record, int cores, int fronts)
    : mRecord(record)
  {
    const char* folder = std::getenv("REVIEW_FOLDER");
    mFolder = folder != nullptr ? folder : "/tmp";
    std::mt19937_64 random(std::random_device{}());
    do {
      mNet = 10 + static_cast<int>(random() % 240);
      mSubnet = static_cast<int>(random() % 250);
    } while (!IsFree(Ip(1) + ":7720"));
    const std::vector<std::string> zones = {
      "zagreb", "karlovac", "varazdin", "sisak"
    };
    for (int i = 0; i < cores + fronts; ++i) {
      Node node;
      node.isCore = i < cores;
      const int number = node.isCore ? i : i - cores;
      node.zone = zones[static_cast<std::size_t>(number) % zones.size()];
      node.name = (node.isCore ? "core-" : "frontend-") + node.zone + "-" +
                  std::to_string(number + 1);
      node.ip = Ip(i + 1);
      node.folder = mFolder + "/" + node.name;
      ::mkdir(node.folder.c_str(), 0755);
      ::mkdir((node.folder + "/data").c_str(), 0755);
      mNodes.push_back(node);
    }
  }
  ~Deployment() { KillAll(); }

  std::vector<Node>& Nodes() { return mNodes; }
  std::string Ip(int number) const
  {
    return "127." + std::to_string(mNet) + "." + std::to_string(mSubnet) + "." +
           std::to_string(number);
  }
  std::vector<std::string> Control() const { return Addresses(true, 8166); }
  std::vector<std::string> Frontends() const { return Addresses(false, 8161); }

  void StartAll()
  {
    for (Node& node : mNodes) {
      Start(node, true);
    }
  }

  void Start(Node& node, bool bootstrap)
  {
    std::string seeds;
    int count = 0;
    for (const std::string& address : Control()) {
      if (count++ < 3) {
        seeds += (seeds.empty() ? "" : ",") + address;
      }
    }
    std::ofstream settings(node.folder + "/node.toml");
    settings << "[node]\nname = " << node.name
             << "\ndata-centre = " << node.zone << "\naddress = " << node.ip
             << "\npeer-port = 7720\nseeds = " << seeds
             << "\nmetrics = " << node.ip << ":7790\n";
    if (node.isCore) {
      settings << "role = coordinator\ncontrol = " << node.ip
               << ":8166\ndata-folder = " << node.folder << "/data\n";
    } else {
      settings << "role = gateway\ncallers = " << node.ip
               << ":8161\nreadiness = " << node.ip << ":8167\n";
    }
    settings << "may-found = " << (bootstrap ? "true" : "false")
             << "\ntolerated-losses = 1\nmax-hold-ms = 1000\n"
                "worker-report-ms = 1500\ngrace-s = 6\n";
    settings.close();
    const std::string log = node.folder + "/log";
    const std::string path = node.folder + "/node.toml";
    const std::string program = "target/Source/Daemon/almondspoked";
    const pid_t pid = ::fork();
    if (pid == 0) {
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(file, 1);
      ::dup2(file, 2);
      ::execl(program.c_str(),
              program.c_str(),
              "--settings",
              path.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    node.pid = pid;
    mRecord.Line("process " + node.name + " started");
  }

  void Kill(Node& node, int signal = SIGKILL)
  {
    if (node.pid <= 0) {
      return;
    }
    ::kill(node.pid, signal);
    mRecord.Line("process " + node.name + " got signal " +
                 std::to_string(signal));
    if (signal == SIGKILL) {
      ::waitpid(node.pid, nullptr, 0);
      node.pid = 0;
    }
  }

  /** Returns whether a process has ended by itself. */
  bool HasEnded(Node& node)
  {
    int status = 0;
    if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid) {
      return false;
    }
    mRecord.Line("process " + node.name + " ended by itself, status " +
                 std::to_string(status));
    node.pid = 0;
    return true;
  }

  void KillAll()
  {
    for (Node& node : mNodes) {
      Kill(node);
    }
  }

  /** Returns the core process that took over the lead last, by its log. */
  Node* Leader()
  {
    Node* leader = nullptr;
    std::string latest;
    for (Node& node : mNodes) {
      std::ifstream log(node.folder + "/log");
      std::string line;
      while (std::getline(log, line)) {
        if (line.find("event=lead-begins") != std::string::npos &&
            line.find("local=\"\"") != std::string::npos && line > latest) {
          latest = line;
          leader = &node;
        }
      }
    }
    return leader;
  }

  /** Sends a manifest until it is acknowledged. */
  bool Put(const Json& manifest, int forMs = 30000)
  {
    const auto until = Now() + std::chrono::milliseconds(forMs);
    std::size_t at = 0;
    const auto nodes = Control();
    while (Now() < until) {
      const Response answer = review::Send(nodes[at++ % nodes.size()],
                                           "POST",
                                           "/config/put",
                                           "control",
                                           manifest.dump(),
                                           1000);
      mRecord.Line("manifest " + manifest["version"].dump() + " answered " +
                   std::to_string(answer.status));
      if (answer.status == 200) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

private:
  std::vector<std::string> Addresses(bool core, int port) const
  {
    std::vector<std::string> addresses;
    for (const Node& node : mNodes) {
      if (node.isCore == core) {
        addresses.push_back(node.ip + ":" + std::to_string(port));
      }
    }
    return addresses;
  }
  static bool IsFree(const std::string& address)
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in at = AddressOf(address);
    const bool isFree =
      ::bind(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(socket);
    return isFree;
  }

  Record& mRecord;
  std::string mFolder;
  int mNet = 0;
  int mSubnet = 0;
  std::vector<Node> mNodes;
};

/** What a client knows of a job. */
struct Job
{
  std::string id;
  std::string prefix;
  std::string group; // of the case
  double sentAt = 0;
  std::atomic<double> acceptedAt{ -1 };
  std::atomic<int> status{ 0 }; // of the last answer; 0: none
};
using JobPtr = std::shared_ptr<Job>;

/** Clients: each job is handed in by a thread of its own. */
class Clients
{
public:
  Clients(Record& record, std::vector<std::string> frontends)
    : mRecord(record)
    , mFrontends(std::move(frontends))
    , mRandom(std::random_device{}())
  {
  }
  ~Clients() { Wait(); }

  JobPtr Submit(const std::string& prefix,
                const std::string& group,
                const Json& body,
                int deadlineMs = 1500)
  {
    auto job = std::make_shared<Job>();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      std::ostringstream id;
      id << std::hex << std::setw(16) << std::setfill('0') << mRandom();
      job->id = id.str();
      job->sentAt = mRecord.Ms();
      job->prefix = prefix;
      job->group = group;
      mJobs.push_back(job);
    }
    ++mOpen;
    std::thread([this, job, text = body.dump(), deadlineMs] {
      HandIn(job, text, deadlineMs);
      --mOpen;
    }).detach();
    return job;
  }

  Response Call(const std::string& method,
                const std::string& target,
                int deadlineMs = 1500)
  {
    return Send(Frontend(), method, target, mHost, "", deadlineMs);
  }

  std::vector<JobPtr> Jobs()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mJobs;
  }
  const std::string& Host() const { return mHost; }
  void Wait()
  {
    while (mOpen > 0) {
      SleepMs(5);
    }
  }

private:
  std::string Frontend()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mFrontends[mRandom() % mFrontends.size()];
  }

  void HandIn(const JobPtr& job, const std::string& text, int deadlineMs)
  {
    for (int sends = 0; sends < 8; ++sends) {
      const std::string to = Frontend();
      mRecord.Line("submit " + job->id + " (" + job->group + ") to " + to);
      const Response answer =
        Send(to, "POST", job->prefix + job->id, mHost, text, deadlineMs);
      job->status = answer.status;
      mRecord.Line("answer " + job->id + ": " + std::to_string(answer.status) +
                   " " + answer.body);
      if (answer.status >= 200 && answer.status < 300) {
        job->acceptedAt = mRecord.Ms();
        return;
      }
      if (answer.status != 0 && answer.status != 502 && answer.status != 504) {
        return;
      }
      SleepMs(1300);
    }
  }

  Record& mRecord;
  const std::vector<std::string> mFrontends;
  const std::string mHost = "nony24.example";
  std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::vector<JobPtr> mJobs;
  std::atomic<int> mOpen{ 0 };
};

inline Json
RouteOf(const std::string& name,
        const std::string& prefix,
        const std::string& service,
        int priority,
        int attempts)
{
  return { { "name", name },
           { "host", "nony24.example" },
           { "path_prefix", prefix },
           { "type", "non_idempotent" },
           { "timeout_ms", 1500 },
           { "target_latency_ms", 60 },
           { "priority", priority },
           { "service", service },
           { "max_attempts", attempts },
           { "slack_factor", 1.6 } };
}

inline Json
ServiceOf(const std::string& name)
{
  return { { "name", name },          { "health_check_path", "/health" },
           { "max_connections", 64 }, { "protocol", "h1" },
           { "tls", false },          { "enforce_capacity", false },
           { "standby", false } };
}

inline Json
ManifestOf(std::uint64_t version, const Json& routes, const Json& services)
{
  return { { "version", version },
           { "routes", routes },
           { "services", services },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 262144 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

/** Returns whether the disruption of the case is to be left out. */
inline bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}

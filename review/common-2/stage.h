// A small installation: four zones with a core machine, a frontend machine and
// two runners each.
#pragma once

#include <memory>

#include "cluster.h"
#include "worker.h"

namespace review {

constexpr const char* kHost = "nony24.example";

/** The figures of sites/panj-raspored.toml. */
constexpr std::int64_t kMaxHoldMs = 1000;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kCancelMs = 3000;

inline void
Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

class Stage
{
public:
  static constexpr int kZones = 4;

  Stage(Ledger& aLedger, std::string aFolder, int aRunnersOfZone)
    : mLedger(aLedger)
    , mFolder(std::move(aFolder))
  {
    const std::string net = "127." + std::to_string(20 + ::getpid() % 200) +
                            '.' + std::to_string((::getpid() / 200) % 250) +
                            '.';
    std::vector<std::string> controls;
    std::string seeds;
    for (int zone = 0; zone < kZones; ++zone) {
      const std::string control = net + std::to_string(11 + zone) + ":8166";
      controls.push_back(control);
      if (zone < 3) {
        seeds += (zone > 0 ? "," : "") + control;
      }
    }
    for (int zone = 0; zone < kZones; ++zone) {
      const std::string name = "z" + std::to_string(zone);
      mCores.push_back(std::make_unique<Node>(mLedger,
                                              mFolder,
                                              "core-" + name,
                                              net + std::to_string(11 + zone),
                                              name,
                                              true,
                                              seeds));
      mFronts.push_back(std::make_unique<Node>(mLedger,
                                               mFolder,
                                               "front-" + name,
                                               net + std::to_string(21 + zone),
                                               name,
                                               false,
                                               seeds));
      for (int number = 0; number < aRunnersOfZone; ++number) {
        const int host = 31 + zone * aRunnersOfZone + number;
        mWorkers.push_back(
          std::make_unique<Worker>(mLedger,
                                   "i-" + std::to_string(host),
                                   net + std::to_string(host) + ":8080",
                                   name,
                                   controls,
                                   16000,
                                   kMaxHoldMs,
                                   kHeartbeatMs));
      }
    }
  }

  Ledger& Seen() { return mLedger; }
  Node& Core(std::size_t aZone) { return *mCores[aZone]; }
  Node& Front(std::size_t aZone) { return *mFronts[aZone]; }
  Worker& Runner(std::size_t aNumber) { return *mWorkers[aNumber]; }
  std::size_t Runners() const { return mWorkers.size(); }

  /** Starts everything and sends the first manifest.
   * \param aIsSeedKilled the process on a seed is killed 0.2 s after its start,
   * while another seed starts 0.25 s after the first, and comes back 1 s later
   */
  bool Begin(const Json& aRoutes, bool aIsSeedKilled = false)
  {
    for (std::size_t core = 0; core < mCores.size(); ++core) {
      if (core != 2 || !aIsSeedKilled) {
        mCores[core]->Start();
      }
    }
    for (auto& node : mFronts) {
      node->Start();
    }
    if (aIsSeedKilled) {
      Sleep(200);
      mCores[1]->Kill();
      Sleep(50);
      mCores[2]->Start();
      Sleep(950);
      mCores[1]->Start();
    }
    for (auto& worker : mWorkers) {
      if (!worker->Boot()) {
        return false;
      }
    }
    const bool accepted = Put(aRoutes, 7);
    const auto isReady = [this] {
      return std::all_of(
        mFronts.begin(), mFronts.end(), [](const auto& aFront) {
          return Call(aFront->Readiness(), "GET", "/readiness", "", "", 500)
                   .mStatus == 200;
        });
    };
    for (int tried = 0; tried < 60 && accepted && !isReady(); ++tried) {
      Sleep(200);
    }
    // All runners have reported twice and were asked once.
    Sleep(3500);
    return accepted && isReady();
  }

  /** Sends a manifest until it is accepted. */
  bool Put(const Json& aRoutes, int aVersion)
  {
    const Json manifest = { { "version", aVersion },
                            { "routes", aRoutes },
                            { "services",
                              { { { "name", "pool" },
                                  { "health_check_path", "/health" },
                                  { "max_connections", 64 },
                                  { "protocol", "h1" },
                                  { "tls", false },
                                  { "enforce_capacity", false },
                                  { "standby", false } } } },
                            { "limits",
                              { { "max_header_bytes", 16384 },
                                { "max_body_bytes", 262144 },
                                { "header_timeout_ms", 3000 },
                                { "idle_timeout_ms", 15000 } } } };
    const auto until = Steady::now() + std::chrono::seconds(40);
    for (int tried = 0; Steady::now() < until; ++tried) {
      const Node& core =
        *mCores[static_cast<std::size_t>(tried) % mCores.size()];
      const int status =
        Call(core.Control(), "POST", "/config/put", "", manifest.dump(), 1000)
          .mStatus;
      if (status == 200) {
        return true;
      }
      Sleep(200);
    }
    return false;
  }

  static Json Route(const char* aName,
                    const char* aPrefix,
                    int aPriority,
                    int aMaxAttempts)
  {
    return { { "name", aName },
             { "host", kHost },
             { "path_prefix", aPrefix },
             { "type", "non_idempotent" },
             { "timeout_ms", 1500 },
             { "target_latency_ms", 60 },
             { "priority", aPriority },
             { "service", "pool" },
             { "max_attempts", aMaxAttempts },
             { "slack_factor", 1.6 } };
  }

  /** Makes a job known to the ledger before it is sent. */
  void Expect(const std::string& aId,
              const std::string& aSpec,
              const Json& aSteps,
              bool aIsStored,
              int aMaxAttempts)
  {
    const std::lock_guard<std::mutex> lock(mLedger.Mutex());
    JobSeen& job = mLedger.Jobs()[aId];
    job.mSpec = aSpec;
    job.mSteps = aSteps;
    job.mIsStored = aIsStored;
    job.mMaxAttempts = aMaxAttempts;
  }

  /** One attempt to hand a job in. */
  Answer Submit(std::size_t aZone,
                const std::string& aPrefix,
                const std::string& aId,
                int aWaitMs)
  {
    Json body;
    {
      const std::lock_guard<std::mutex> lock(mLedger.Mutex());
      JobSeen& job = mLedger.Jobs()[aId];
      ++job.mAttempts;
      body = { { "spec", job.mSpec }, { "steps", job.mSteps } };
      if (!job.mIsStored) {
        body["best_effort"] = true;
      }
      mLedger.Write("POST " + aPrefix + aId + " at " + mFronts[aZone]->Name());
    }
    const Answer answer = Call(mFronts[aZone]->Front(),
                               "POST",
                               aPrefix + aId,
                               Fields(aWaitMs),
                               body.dump(),
                               aWaitMs);
    const std::lock_guard<std::mutex> lock(mLedger.Mutex());
    JobSeen& job = mLedger.Jobs()[aId];
    job.mRejections += answer.mStatus == 429 || answer.mStatus == 503 ? 1 : 0;
    if (answer.mStatus / 100 == 2 && job.mAcceptedMs < 0) {
      job.mAcceptedMs = mLedger.Now();
    }
    mLedger.Write("answer to POST " + aId + ": " +
                  std::to_string(answer.mStatus) + ' ' + answer.mBody);
    return answer;
  }

  /** GET or DELETE of a job. */
  Answer Ask(std::size_t aZone,
             const char* aMethod,
             const std::string& aPrefix,
             const std::string& aId,
             int aWaitMs)
  {
    {
      const std::lock_guard<std::mutex> lock(mLedger.Mutex());
      mLedger.Write(std::string(aMethod) + ' ' + aPrefix + aId + " at " +
                    mFronts[aZone]->Name());
    }
    const Answer answer = Call(mFronts[aZone]->Front(),
                               aMethod,
                               aPrefix + aId,
                               Fields(aWaitMs),
                               "",
                               aWaitMs);
    const std::lock_guard<std::mutex> lock(mLedger.Mutex());
    mLedger.Write("answer to " + std::string(aMethod) + ' ' + aId + ": " +
                  std::to_string(answer.mStatus) + ' ' + answer.mBody);
    return answer;
  }

  /** Returns the core machine that leads, as its log says; -1 for none. */
  int Leader() const
  {
    int leader = -1;
    std::string latest;
    for (std::size_t core = 0; core < mCores.size(); ++core) {
      if (!mCores[core]->IsRunning()) {
        continue;
      }
      std::istringstream log(ReadFile(mCores[core]->LogPath()));
      std::string line;
      std::string begun;
      while (std::getline(log, line)) {
        if (line.find("event=lead-begins") != std::string::npos &&
            line.find("local=\"\"") != std::string::npos) {
          begun = line.substr(0, line.find("event="));
        }
        if (line.find("event=lead-ends") != std::string::npos) {
          begun.clear();
        }
      }
      if (begun > latest) {
        latest = begun;
        leader = static_cast<int>(core);
      }
    }
    return leader;
  }

  /** Waits until a run of a task is under way; -1 if there is none in time. */
  bool AwaitRun(const std::string& aTask, std::size_t aCount, int aMs)
  {
    for (int waited = 0; waited < aMs; waited += 2) {
      {
        const std::lock_guard<std::mutex> lock(mLedger.Mutex());
        if (mLedger.Runs()[aTask].size() >= aCount) {
          return true;
        }
      }
      Sleep(2);
    }
    return false;
  }

private:
  static std::string Fields(int aWaitMs)
  {
    return std::string("Host: ") + kHost +
           "\r\nDeadline-Ms: " + std::to_string(aWaitMs) + "\r\n";
  }

  Ledger& mLedger;
  const std::string mFolder;
  std::vector<std::unique_ptr<Node>> mCores;
  std::vector<std::unique_ptr<Node>> mFronts;
  std::vector<std::unique_ptr<Worker>> mWorkers;
};

}

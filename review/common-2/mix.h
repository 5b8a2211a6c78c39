// A mix of jobs and disruptions, drawn by a seed: looks for broken rules.
#pragma once

#include <random>

#include "stage.h"

namespace review {

class Mix
{
public:
  Mix(Stage& aStage, unsigned aSeed, std::string aTroubles)
    : mStage(aStage)
    , mTroubles(std::move(aTroubles))
    , mRandom(aSeed)
  {
  }

  /** A steady load of stored jobs with the longest text that is allowed. */
  bool PlayLoad(int aSeconds, int aPerSecond)
  {
    std::vector<std::thread> clients;
    std::atomic<int> accepted{ 0 };
    std::atomic<int> sent{ 0 };
    for (int client = 0; client < 40; ++client) {
      clients.emplace_back([&, client] {
        const auto end = Steady::now() + std::chrono::seconds(aSeconds);
        int number = 0;
        while (Steady::now() < end) {
          char id[17];
          std::snprintf(id, sizeof id, "%08x%08x", client + 1, ++number);
          mStage.Expect(id,
                        "0=50/done;" + std::string(3900, 'x'),
                        Json::array({ Json{ { "count", 2 },
                                            { "cpu", 100 },
                                            { "mem_mb", 1 },
                                            { "estimate_ms", 50 } } }),
                        true,
                        2);
          ++sent;
          accepted +=
            mStage.Submit(
                    static_cast<std::size_t>(client) % 4, "/kept/", id, 3000)
                  .mStatus == 200
              ? 1
              : 0;
          Sleep(40000 / aPerSecond);
        }
      });
    }
    for (std::thread& client : clients) {
      client.join();
    }
    std::printf("sent %d, accepted %d\n", sent.load(), accepted.load());
    return true;
  }

  bool Play(int aSeconds)
  {
    std::vector<std::thread> clients;
    for (std::size_t runner = 0; runner < mStage.Runners(); ++runner) {
      mStage.Runner(runner).SetKind(runner % 4 == 3 ? "b" : "a");
    }
    Sleep(1600);
    const auto end = Steady::now() + std::chrono::seconds(aSeconds);
    std::thread trouble([&] { Trouble(end); });
    int number = 0;
    while (Steady::now() < end) {
      char id[17];
      std::snprintf(id, sizeof id, "%08x%08x", unsigned(mRandom()), ++number);
      const Plan plan = Draw(id);
      clients.emplace_back([this, plan] { Client(plan); });
      Sleep(Below(80) + 10);
    }
    trouble.join();
    for (std::thread& client : clients) {
      client.join();
    }
    Sleep(9000);
    for (const auto& [job, prefix] : mKept) {
      CheckState(job, prefix, true);
    }
    return true;
  }

private:
  struct Plan
  {
    std::string mId;
    bool mIsKept = false;
    bool mIsDoubled = false;
    int mCancelAfter = -1;
    unsigned mSeed = 0;
  };

  int Below(int aLimit)
  {
    const std::lock_guard<std::mutex> lock(mRandomMutex);
    return static_cast<int>(mRandom() % static_cast<unsigned>(aLimit));
  }

  Plan Draw(const std::string& aId)
  {
    Plan plan;
    plan.mId = aId;
    plan.mIsKept = Below(100) < 60;
    plan.mIsDoubled = Below(100) < 10;
    plan.mCancelAfter = Below(100) < 12 ? Below(2500) : -1;
    plan.mSeed = static_cast<unsigned>(mRandom());
    const bool isLong = plan.mIsKept || std::getenv("BEST_STEPS") != nullptr;
    const int steps = isLong ? 1 + Below(3) : 1;
    Json list = Json::array();
    std::string spec;
    for (int step = 0; step < steps; ++step) {
      const int ms = 30 + Below(Below(4) == 0 ? 2500 : 400);
      Json one = { { "count", 1 + Below(4) },
                   { "cpu", 1000 + 500 * Below(8) },
                   { "mem_mb", 64 },
                   { "estimate_ms",
                     std::max(10, ms * (60 + Below(80)) / 100) } };
      if (step > 0) {
        one["after"] = { Below(step) };
        if (step == 2 && Below(2) == 0) {
          one["after"] = { 0, 1 };
        }
      }
      if (Below(5) == 0) {
        one["anti_affinity"] = 1;
      }
      if (Below(6) == 0) {
        one["requirements"] = Below(2) == 0 ? "a" : "b";
      }
      if (Below(5) == 0) {
        one["checkpointing"] = true;
      }
      list.push_back(one);
      const int how = Below(20);
      spec += std::to_string(step) + '=' + std::to_string(ms) + '/' +
              (how == 0  ? "failed"
               : how < 3 ? "fail1"
                         : "done") +
              ';';
    }
    mStage.Expect(aId, spec, list, plan.mIsKept, 2);
    if (plan.mIsKept) {
      mKept.emplace_back(aId, "/kept/");
    }
    return plan;
  }

  void Client(const Plan& aPlan)
  {
    std::mt19937 random(aPlan.mSeed);
    const auto zone = [&] { return static_cast<std::size_t>(random() % 4); };
    const std::string prefix = aPlan.mIsKept ? "/kept/" : "/best/";
    std::thread cancel;
    if (aPlan.mCancelAfter >= 0 && aPlan.mIsKept) {
      const std::size_t at = zone();
      cancel = std::thread([this, &aPlan, prefix, at] {
        Sleep(aPlan.mCancelAfter);
        Cancel(aPlan.mId, prefix, at);
      });
    }
    for (int tried = 0; tried < 4; ++tried) {
      const Answer answer = mStage.Submit(
        zone(),
        prefix,
        aPlan.mId,
        aPlan.mIsKept                    ? 2000
        : aPlan.mIsDoubled && tried == 0 ? static_cast<int>(50 + random() % 600)
                                         : 6000);
      if (answer.mStatus / 100 == 2 || answer.mStatus == 429 ||
          answer.mStatus == 503) {
        break;
      }
      Sleep(1300);
    }
    if (aPlan.mIsDoubled) {
      Sleep(static_cast<std::int64_t>(1000 + random() % 3000));
      mStage.Submit(zone(), prefix, aPlan.mId, 2000);
    }
    for (int asked = 0; asked < 3 && aPlan.mIsKept; ++asked) {
      Sleep(static_cast<std::int64_t>(200 + random() % 2500));
      CheckState(aPlan.mId, prefix, false);
    }
    if (cancel.joinable()) {
      cancel.join();
    }
  }

  void Cancel(const std::string& aId,
              const std::string& aPrefix,
              std::size_t aAt)
  {
    Ledger& ledger = mStage.Seen();
    {
      const std::lock_guard<std::mutex> lock(ledger.Mutex());
      if (ledger.Jobs()[aId].mAcceptedMs < 0) {
        return;
      }
      ledger.Jobs()[aId].mCancelSentMs = ledger.Now();
    }
    for (int tried = 0; tried < 6; ++tried) {
      const Answer answer =
        mStage.Ask((aAt + static_cast<std::size_t>(tried)) % 4,
                   "DELETE",
                   aPrefix,
                   aId,
                   1500);
      if (answer.mStatus == 200 || answer.mStatus == 410) {
        const std::lock_guard<std::mutex> lock(ledger.Mutex());
        ledger.Jobs()[aId].mCancelAckedMs = ledger.Now();
        return;
      }
      Sleep(300);
    }
  }

  void CheckState(const std::string& aId,
                  const std::string& aPrefix,
                  bool aIsLast)
  {
    Ledger& ledger = mStage.Seen();
    std::int64_t sent = 0;
    {
      const std::lock_guard<std::mutex> lock(ledger.Mutex());
      sent = ledger.Now();
    }
    Answer answer;
    for (int tried = 0; tried < (aIsLast ? 5 : 1); ++tried) {
      answer = mStage.Ask(
        static_cast<std::size_t>(Below(4)), "GET", aPrefix, aId, 1500);
      if (answer.mStatus == 200 || answer.mStatus == 410) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(ledger.Mutex());
    const JobSeen& job = ledger.Jobs()[aId];
    if (job.mAcceptedMs < 0) {
      return;
    }
    const std::string& body = answer.mBody;
    const auto shows = [&](const char* aState) {
      return answer.mStatus == 200 && body.find(aState) != std::string::npos;
    };
    if (answer.mStatus == 410 && sent > job.mAcceptedMs + 3000) {
      ledger.Break("LOST", aId + " is accepted and answered 410");
    }
    if (shows("completed") && !ledger.IsAllDone(aId)) {
      ledger.Break("MIXED", aId + " is shown as completed");
    }
    if (shows("cancelled") && job.mCancelSentMs < 0) {
      ledger.Break("LOST", aId + " is shown as cancelled without cause");
    }
    if (shows("failed")) {
      bool hasCause = false;
      for (const auto& [task, runs] : ledger.Runs()) {
        hasCause = hasCause || (Ledger::JobOf(task) == aId &&
                                ledger.FailedEnds(task) >= job.mMaxAttempts);
      }
      if (!hasCause) {
        ledger.Break("LOST", aId + " is shown as failed without cause");
      }
    }
    if (aIsLast && !shows("completed") && !shows("failed") &&
        !shows("cancelled")) {
      ledger.Break("LOST",
                   aId + " does not end: " + std::to_string(answer.mStatus) +
                     ' ' + body);
    }
  }

  void Trouble(Steady::time_point aEnd)
  {
    if (mTroubles.empty()) {
      return;
    }
    while (Steady::now() + std::chrono::seconds(8) < aEnd) {
      Sleep(2500 + Below(1500));
      const char what =
        mTroubles[static_cast<std::size_t>(Below(int(mTroubles.size())))];
      const int leader = mStage.Leader();
      const auto at = static_cast<std::size_t>(leader < 0 ? Below(4) : leader);
      const auto any = static_cast<std::size_t>(Below(4));
      const auto runner =
        static_cast<std::size_t>(Below(int(mStage.Runners())));
      switch (what) {
        case 'k': // the leader is killed
          mStage.Core(at).Kill();
          Sleep(500 + Below(2500));
          mStage.Core(at).Start();
          break;
        case 't': // the leader is stopped and started
          mStage.Core(at).Terminate();
          Sleep(300);
          mStage.Core(at).Start();
          break;
        case 'z': // the leader freezes
          mStage.Core(at).Signal(SIGSTOP, "frozen");
          Sleep(1500 + Below(2500));
          mStage.Core(at).Signal(SIGCONT, "thawed");
          break;
        case 'y': // some core machine freezes
          mStage.Core(any).Signal(SIGSTOP, "frozen");
          Sleep(1500 + Below(2500));
          mStage.Core(any).Signal(SIGCONT, "thawed");
          break;
        case 'q': // the leader and another voter freeze
        case 'p': // two others freeze
        {
          const std::size_t one = what == 'q' ? at : (at + 1) % 4;
          const std::size_t other =
            (at + 2 + static_cast<std::size_t>(Below(2))) % 4;
          mStage.Core(one).Signal(SIGSTOP, "frozen");
          mStage.Core(other).Signal(SIGSTOP, "frozen");
          Sleep(2500 + Below(2500));
          mStage.Core(one).Signal(SIGCONT, "thawed");
          Sleep(Below(2) * Below(800));
          mStage.Core(other).Signal(SIGCONT, "thawed");
        } break;
        case 'h': // all core processes are killed
          for (std::size_t core = 0; core < 4; ++core) {
            mStage.Core(core).Kill();
          }
          Sleep(Below(700));
          for (std::size_t core = 0; core < 4; ++core) {
            mStage.Core(core).Start();
          }
          break;
        case 'f': // a frontend is killed
          mStage.Front(any).Kill();
          Sleep(1000);
          mStage.Front(any).Start();
          break;
        case 'g': // a frontend freezes
          mStage.Front(any).Signal(SIGSTOP, "frozen");
          Sleep(1500 + Below(2500));
          mStage.Front(any).Signal(SIGCONT, "thawed");
          break;
        case 'w': // a runner crashes and starts again
          mStage.Runner(runner).Crash();
          Sleep(Below(2500));
          mStage.Runner(runner).Boot();
          break;
        case 'd': // a runner leaves and starts again
          mStage.Runner(runner).Leave(2500 + Below(2000));
          Sleep(Below(1500));
          mStage.Runner(runner).Boot();
          break;
        case 'c': // the manifest changes several times
          for (int change = 0; change < 5; ++change) {
            mStage.Put(Routes(), 10 + ++mChanges * 3);
            Sleep(Below(400));
          }
          break;
        case 'l': // orders are carried out late
          for (std::size_t late = 0; late < mStage.Runners(); ++late) {
            mStage.Runner(late).SetLateShare(6);
          }
          Sleep(3000);
          for (std::size_t late = 0; late < mStage.Runners(); ++late) {
            mStage.Runner(late).SetLateShare(0);
          }
          break;
        default:
          break;
      }
    }
  }

  Stage& mStage;
  const std::string mTroubles;
  std::mutex mRandomMutex;
  int mChanges = 0;
  std::mt19937 mRandom;
  std::vector<std::pair<std::string, std::string>> mKept;
};

}

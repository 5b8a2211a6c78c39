// What clients and runners have seen, and the rules that it is held against.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"

namespace review {

using Json = nlohmann::json;

struct RunSeen
{
  std::string mWorker;
  std::int64_t mNumber = 0;
  std::int64_t mStartMs = 0;
  std::int64_t mEndMs = -1;
  std::string mHow;
  /** Time at which the cursor reached the end; -1 before. */
  std::int64_t mNotedMs = -1;
  /** The runner's lease had lapsed between the end and the cursor. */
  bool mLapsedBeforeNoted = false;
};

struct JobSeen
{
  std::string mSpec;
  Json mSteps;
  bool mIsStored = false;
  std::int64_t mMaxAttempts = 1;
  std::int64_t mAcceptedMs = -1;
  std::int64_t mCancelSentMs = -1;
  std::int64_t mCancelAckedMs = -1;
  int mAttempts = 0;
  int mRejections = 0;
};

/** Everything that was seen, in one place, and the rules that are checked as it
 * comes. All times are milliseconds since the stage began. */
class Ledger
{
public:
  Ledger(const std::string& aRecord, std::int64_t aCancelMs)
    : mCancelMs(aCancelMs)
    , mFile(aRecord)
    , mBegan(Steady::now())
  {
  }

  std::mutex& Mutex() { return mMutex; }
  std::int64_t Now() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                                 mBegan)
      .count();
  }

  // The functions below need the mutex to be held.

  void Write(const std::string& aLine)
  {
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", double(Now()) / 1000.0);
    mFile << stamp << aLine << '\n';
    mFile.flush();
  }

  void Break(const std::string& aRule, const std::string& aWhat)
  {
    mBroken.insert(aRule);
    Write("BROKEN " + aRule + ": " + aWhat);
    if (mPrinted++ < 20) {
      std::printf("BROKEN %s: %s\n", aRule.c_str(), aWhat.c_str());
      std::fflush(stdout);
    }
  }
  const std::set<std::string>& Broken() const { return mBroken; }

  std::map<std::string, JobSeen>& Jobs() { return mJobs; }
  std::map<std::string, std::vector<RunSeen>>& Runs() { return mRuns; }

  static std::string JobOf(const std::string& aTask)
  {
    return aTask.substr(0, aTask.find('.'));
  }
  static std::string StepOf(const std::string& aTask)
  {
    return aTask.substr(0, aTask.rfind('.'));
  }
  static std::size_t StepIndexOf(const std::string& aTask)
  {
    const std::string step = StepOf(aTask);
    return std::stoul(step.substr(step.rfind('.') + 1));
  }

  bool IsDone(const std::string& aTask) const
  {
    const auto runs = mRuns.find(aTask);
    return runs != mRuns.end() &&
           std::any_of(runs->second.begin(),
                       runs->second.end(),
                       [](const RunSeen& aRun) { return aRun.mHow == "done"; });
  }
  bool IsStepDone(const std::string& aJob, std::size_t aStep) const
  {
    const Json& step = mJobs.at(aJob).mSteps.at(aStep);
    for (int index = 0; index < step.at("count").get<int>(); ++index) {
      if (!IsDone(aJob + ".0." + std::to_string(aStep) + '.' +
                  std::to_string(index))) {
        return false;
      }
    }
    return true;
  }
  bool IsAllDone(const std::string& aJob) const
  {
    for (std::size_t step = 0; step < mJobs.at(aJob).mSteps.size(); ++step) {
      if (!IsStepDone(aJob, step)) {
        return false;
      }
    }
    return true;
  }
  int FailedEnds(const std::string& aTask) const
  {
    const auto runs = mRuns.find(aTask);
    return runs == mRuns.end()
             ? 0
             : static_cast<int>(std::count_if(
                 runs->second.begin(),
                 runs->second.end(),
                 [](const RunSeen& aRun) { return aRun.mHow == "failed"; }));
  }

  void OnStart(const std::string& aTask,
               std::int64_t aRun,
               const std::string& aWorker,
               const std::string& aSpec)
  {
    Write("start " + aTask + " run " + std::to_string(aRun) + " on " + aWorker);
    const auto job = mJobs.find(JobOf(aTask));
    if (job == mJobs.end() || job->second.mSpec != aSpec) {
      Break("UNASKED", aTask + " was not sent so");
      return;
    }
    for (const RunSeen& run : mRuns[aTask]) {
      if (run.mEndMs < 0) {
        Break("TWICE",
              aTask + " runs on " + run.mWorker + " (run " +
                std::to_string(run.mNumber) + ") and on " + aWorker + " (run " +
                std::to_string(aRun) + ") at the same time");
      }
    }
    const Json& step = job->second.mSteps.at(StepIndexOf(aTask));
    if (step.count("after") != 0) {
      for (const Json& earlier : step.at("after")) {
        if (!IsStepDone(job->first, earlier.get<std::size_t>())) {
          Break("ORDER", aTask + " starts before the steps that it is after");
        }
      }
    }
    if (job->second.mCancelAckedMs >= 0 &&
        Now() > job->second.mCancelAckedMs + mCancelMs) {
      Break("UNASKED", aTask + " starts long after its cancelling");
    }
    CheckPlace(aTask, step, aWorker);
    RunSeen run;
    run.mWorker = aWorker;
    run.mNumber = aRun;
    run.mStartMs = Now();
    mRuns[aTask].push_back(run);
    mOnWorker[aWorker].insert(aTask);
  }

  /** What a runner has, which does not guard its capacity. */
  void SetKind(const std::string& aWorker, const std::string& aKind)
  {
    mKinds[aWorker] = aKind;
  }
  void SetCapacity(const std::string& aWorker, std::int64_t aCpu)
  {
    mCapacity[aWorker] = aCpu;
  }

  void CheckPlace(const std::string& aTask,
                  const Json& aStep,
                  const std::string& aWorker)
  {
    auto used = aStep.at("cpu").get<std::int64_t>();
    int ofStep = 1;
    for (const std::string& other : mOnWorker[aWorker]) {
      const Json& step = mJobs.at(JobOf(other)).mSteps.at(StepIndexOf(other));
      used += step.at("cpu").get<std::int64_t>();
      ofStep += StepOf(other) == StepOf(aTask) ? 1 : 0;
    }
    if (used > mCapacity[aWorker]) {
      Break("LIMIT",
            aTask + " brings " + aWorker + " to " + std::to_string(used));
    }
    const std::string wanted = aStep.value("requirements", "");
    if (!wanted.empty() && mKinds[aWorker] != wanted) {
      Break("ROUTE", aTask + " on " + aWorker + " without its label");
    }
    if (aStep.count("anti_affinity") != 0 &&
        ofStep > aStep.at("anti_affinity").get<int>()) {
      Break("ROUTE", aTask + " on " + aWorker + " beyond anti_affinity");
    }
  }

  RunSeen* FindRun(const std::string& aTask,
                   std::int64_t aRun,
                   const std::string& aWorker)
  {
    auto& runs = mRuns[aTask];
    const auto found =
      std::find_if(runs.rbegin(), runs.rend(), [&](const RunSeen& aSeen) {
        return aSeen.mNumber == aRun && aSeen.mWorker == aWorker;
      });
    return found == runs.rend() ? nullptr : &*found;
  }

  void OnEnd(const std::string& aTask,
             std::int64_t aRun,
             const std::string& aWorker,
             const std::string& aHow)
  {
    Write("end " + aTask + " run " + std::to_string(aRun) + " on " + aWorker +
          ' ' + aHow);
    mOnWorker[aWorker].erase(aTask);
    if (RunSeen* run = FindRun(aTask, aRun, aWorker)) {
      run->mEndMs = Now();
      run->mHow = aHow;
    }
  }

  void OnNoted(const std::string& aTask,
               std::int64_t aRun,
               const std::string& aWorker,
               bool aHasLapsed)
  {
    Write("noted " + aTask + " run " + std::to_string(aRun) + " on " + aWorker +
          (aHasLapsed ? " (after a lapse)" : ""));
    if (RunSeen* run = FindRun(aTask, aRun, aWorker)) {
      run->mNotedMs = Now();
      run->mLapsedBeforeNoted = aHasLapsed;
    }
  }

  /** Checks what depends on ends that are taken note of later. */
  void CheckEnds()
  {
    for (const auto& [task, runs] : mRuns) {
      const auto job = mJobs.find(JobOf(task));
      if (job == mJobs.end() || !job->second.mIsStored) {
        continue;
      }
      for (const RunSeen& start : runs) {
        std::int64_t failed = 0;
        for (const RunSeen& earlier : runs) {
          const bool counts = earlier.mEndMs >= 0 &&
                              earlier.mEndMs <= start.mStartMs &&
                              &earlier != &start && earlier.mNotedMs >= 0 &&
                              !earlier.mLapsedBeforeNoted;
          failed += counts && earlier.mHow == "failed" ? 1 : 0;
          if (counts && earlier.mHow == "done") {
            Break("TWICE",
                  task + " run " + std::to_string(start.mNumber) +
                    " starts after run " + std::to_string(earlier.mNumber) +
                    " has ended done, which was taken note of");
          }
        }
        if (failed >= job->second.mMaxAttempts) {
          Break("BUDGET",
                task + " run " + std::to_string(start.mNumber) +
                  " starts after " + std::to_string(failed) +
                  " runs have ended failed and were taken note of; allowed " +
                  std::to_string(job->second.mMaxAttempts));
        }
      }
    }
    for (const auto& [id, job] : mJobs) {
      const bool allRejected =
        job.mAttempts > 0 && job.mRejections == job.mAttempts;
      const std::string first = id + ".0.";
      const auto run = mRuns.lower_bound(first);
      const bool hasRun = run != mRuns.end() && JobOf(run->first) == id;
      if (allRejected && hasRun) {
        Break("REFUSED", id + " has run, and all attempts were rejected");
      }
    }
  }

private:
  const std::int64_t mCancelMs;
  std::mutex mMutex;
  std::ofstream mFile;
  const Steady::time_point mBegan;
  std::map<std::string, JobSeen> mJobs;
  std::map<std::string, std::vector<RunSeen>> mRuns;
  std::map<std::string, std::int64_t> mCapacity;
  std::map<std::string, std::string> mKinds;
  std::map<std::string, std::set<std::string>> mOnWorker;
  std::set<std::string> mBroken;
  int mPrinted = 0;
};

}

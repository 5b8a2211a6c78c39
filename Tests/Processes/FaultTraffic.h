#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Processes/FaultInstallation.h"
#include "Processes/SubmissionInstallation.h"

namespace almondspoke::testing {

/** \brief Sends keyed requests, jobs and concurrent rule changes to all
 * instances of an installation with the homes zagreb and riga.
 *
 * Each request and job is resubmitted at the next instance until its answer is
 * final, as callers do. */
class FaultTraffic
{
public:
  explicit FaultTraffic(FaultInstallation& aCluster)
    : mCluster(aCluster)
  {
  }
  ~FaultTraffic() { Stop(); }
  FaultTraffic(const FaultTraffic&) = delete;
  FaultTraffic& operator=(const FaultTraffic&) = delete;

  void Start()
  {
    mStopping = false;
    for (int i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this] { RunCaller(); });
    }
    mThreads.emplace_back([this] { RunOperators(); });
  }
  /** Stops submitting and waits for the answers to all submitted work. */
  void Stop()
  {
    mStopping = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }

  /** Waits for further answers and further accepted changes. */
  bool WaitForMore()
  {
    constexpr int kAnswers = 4;
    constexpr int kChanges = 2;
    const int answers = mAnswered + kAnswers;
    const int changes = mAccepted + kChanges;
    return Eventually(
      [&] { return mAnswered >= answers && mAccepted >= changes; });
  }

  /** Checks that all answers and accepted changes are still in force, and
   * returns the violations. Call it after Stop(), when all instances serve.
   * Clears the recorded answers and changes. */
  std::vector<std::string> FindViolations()
  {
    for (const auto& [key, answer] : mAnswers) {
      const std::string second = FinalAnswer(key);
      const std::string third = FinalAnswer(key);
      // The first caller gets its answer before it is recorded. If the
      // executor is lost in between, all later callers get executor-lost.
      const bool kept = second == answer || second == kLostAnswer;
      if (answer.empty() || !kept || third != second) {
        std::string violation = key;
        for (const std::string& each : { answer, second, third }) {
          violation += " '";
          violation += each;
          violation += '\'';
        }
        mViolations.push_back(std::move(violation));
      }
    }
    for (const auto& [version, change] : mChanges) {
      const std::string& id = change["requestId"];
      const long again =
        ClusterInstallation::VersionOf(mCluster.ApplyChange(0, change));
      if (again != version) {
        mViolations.push_back("change " + id + ": first version " +
                              std::to_string(version) + ", then " +
                              std::to_string(again));
      }
    }
    const long last = mChanges.empty() ? 0 : mChanges.rbegin()->first;
    for (int node = 0; node < mCluster.Size(); ++node) {
      const auto version = mCluster.Version(node);
      if (!Eventually([&] { return mCluster.Version(node) >= last; })) {
        mViolations.push_back(mCluster.Name(node) + " serves by version " +
                              std::to_string(version.value_or(-1)));
      }
    }
    mAnswers.clear();
    mChanges.clear();
    return std::move(mViolations);
  }

private:
  using Json = ClusterInstallation::Json;

  static constexpr const char* kLostAnswer = "executor-lost unknown";
  static constexpr std::chrono::milliseconds kPause{ 20 };
  /** More than one, so that a request that waits for the end of a fault doesn't
   * block all traffic. */
  static constexpr int kCallers = 4;

  void RunCaller()
  {
    while (!mStopping) {
      const long number = mNumber++;
      const std::string home = number % 2 == 0 ? "zagreb:" : "riga:";
      const std::string key = home + std::to_string(number);
      std::string answer = FinalAnswer(key);
      Record(key, std::move(answer));
      std::this_thread::sleep_for(kPause);
    }
  }

  void Record(const std::string& aKey, std::string aAnswer)
  {
    ++mAnswered;
    const std::lock_guard<std::mutex> lock(mAnswersMutex);
    mAnswers[aKey] = std::move(aAnswer);
  }

  /** Submits work until its answer is final. \return the answer; empty on a
   * timeout. */
  std::string FinalAnswer(const std::string& aKey)
  {
    const long number = std::stol(aKey.substr(aKey.find(':') + 1));
    constexpr long kKinds = 4;
    const bool isJob = number % kKinds < 2;
    std::string answer;
    Eventually([&] {
      const HttpResponse response = mCluster.Submit(
        static_cast<int>(mNextNode++ % mCluster.Size()),
        isJob ? "/v1/jobs?wait=1000" : "/v1/services/work/x",
        aKey,
        isJob ? SubmissionInstallation::JobBody(2) : "deposit " + aKey);
      const std::string error = SubmissionInstallation::ErrorOf(response);
      const std::string state = SubmissionInstallation::StateOf(response);
      const bool complete =
        response.mStatus == 200 && (!isJob || state == "complete");
      if (complete) {
        answer = response.mBody;
      } else if (error == kLostAnswer) {
        answer = error;
      }
      return !answer.empty();
    });
    return answer;
  }

  /** Repeatedly sends two concurrent changes based on the same version to two
   * instances. */
  void RunOperators()
  {
    while (!mStopping) {
      const int node = static_cast<int>(mRound++ % mCluster.Size());
      const long base = ShownVersion(node);
      if (base < 0) {
        continue;
      }
      std::vector<Json> changes;
      std::vector<std::future<AttemptResult>> pending;
      for (const char* author : { "ana", "ivo" }) {
        changes.push_back(
          ClusterInstallation::Change(base,
                                      author + std::to_string(mRound),
                                      author,
                                      ClusterInstallation::RulesText(mRound)));
        pending.push_back(
          Begin((node + static_cast<int>(changes.size())) % mCluster.Size(),
                "rules.apply",
                changes.back()));
      }
      for (std::size_t i = 0; i < pending.size(); ++i) {
        const long version = ClusterInstallation::VersionOf(
          ClusterInstallation::ResponseOf(std::move(pending[i])));
        if (version > 0) {
          Accept(version, changes[i]);
        }
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  void Accept(long aVersion, const Json& aChange)
  {
    ++mAccepted;
    if (aVersion != aChange["baseVersion"].get<long>() + 1 ||
        !mChanges.emplace(aVersion, aChange).second) {
      mViolations.push_back("version " + std::to_string(aVersion) +
                            " was accepted twice or out of order");
    }
  }

  std::future<AttemptResult> Begin(int aNode,
                                   const std::string& aMethod,
                                   const Json& aParameters)
  {
    HttpAttempt attempt = mCluster.OperatorAttempt(aNode, aMethod, aParameters);
    attempt.mDeadline =
      std::chrono::steady_clock::now() + FaultInstallation::kCallTimeout;
    return mCluster.Client().Begin(std::move(attempt));
  }

  /** Returns the version that an instance shows; -1 if it doesn't respond. */
  long ShownVersion(int aNode)
  {
    const Json shown = ClusterInstallation::ResponseOf(
      Begin(aNode, "rules.show", Json::object()));
    return shown.contains("result") ? shown["result"].value("version", -1L)
                                    : -1;
  }

  FaultInstallation& mCluster;
  std::atomic<bool> mStopping{ true };
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mAccepted{ 0 };
  std::atomic<long> mNumber{ 0 };
  std::atomic<long> mNextNode{ 0 };
  std::mutex mAnswersMutex;
  std::map<std::string, std::string> mAnswers;
  // Used by the operators' thread; by other threads only after Stop().
  long mRound = 0;
  std::map<long, Json> mChanges;
  std::vector<std::string> mViolations;
  std::vector<std::thread> mThreads;
};

}

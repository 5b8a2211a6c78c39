// A runner as the pages describe it.
#pragma once

#include <condition_variable>
#include <memory>
#include <optional>

#include "ledger.h"

namespace review {

/** One runner. What a task does stands in the job's text, for each step:
 * "STEP=MS/HOW;...", HOW being done, failed or failN (the first N runs fail).
 * The runner starts whatever it is told to start (enforce_capacity false). */
class Worker
{
public:
  Worker(Ledger& aLedger,
         std::string aId,
         std::string aAddress,
         std::string aZone,
         std::vector<std::string> aControls,
         std::int64_t aCpu,
         std::int64_t aMaxHoldMs,
         std::int64_t aHeartbeatMs)
    : mLedger(aLedger)
    , mId(std::move(aId))
    , mAddress(std::move(aAddress))
    , mZone(std::move(aZone))
    , mControls(std::move(aControls))
    , mCpu(aCpu)
    , mMaxHoldMs(aMaxHoldMs)
    , mHeartbeatMs(aHeartbeatMs)
  {
  }
  ~Worker() { Crash(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& Id() const { return mId; }
  /** Answers to hold orders that waited are on their way for up to this long,
   * so that answers on other connections overtake them. */
  void SetMaxAnswerDelay(int aMs) { mMaxAnswerDelayMs = aMs; }
  /** Percentage of the start orders that are carried out late. */
  void SetLateShare(int aPercent) { mLateShare = aPercent; }

  bool Boot()
  {
    {
      const std::lock_guard<std::mutex> lock(mLedger.Mutex());
      mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
      mBootedAt = Steady::now();
      mIsUp = true;
      mFence = 0;
      mLeaseEnd = 0;
      mLastLapse = -1;
      mNextEnd = 1;
      mSequence = 0;
      mIsDraining = false;
      mDrainAckedMs = -1;
      mRunning.clear();
      mEnded.clear();
      mHighestEnded.clear();
      mLedger.SetCapacity(mId, mCpu);
    }
    mServer = std::make_unique<Server>(
      mAddress, [this](const Request& aRequest) { return Handle(aRequest); });
    mTicker = std::thread([this] { Tick(); });
    mReporter = std::thread([this] { Report(); });
    return mServer->IsOpen();
  }

  /** Says that it drains, works on for a while, says that it leaves, ends. */
  void Leave(std::int64_t aWorkOnMs)
  {
    {
      const std::lock_guard<std::mutex> lock(mLedger.Mutex());
      mIsDraining = true;
      mReportsNow = true;
    }
    mStopReports.notify_all();
    std::this_thread::sleep_for(std::chrono::milliseconds(aWorkOnMs));
    for (std::size_t tried = 0; tried < mControls.size(); ++tried) {
      const Answer answer = Call(mControls[tried],
                                 "POST",
                                 "/instances/" + mId + "/deregister",
                                 "",
                                 "{}",
                                 1000);
      if (answer.mStatus / 100 == 2) {
        break;
      }
    }
    Crash();
  }

  void SetKind(const std::string& aKind)
  {
    mKind = aKind;
    mLedger.SetKind(mId, aKind);
  }

  void Crash()
  {
    if (!mServer) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mLedger.Mutex());
      mIsUp = false;
      for (const auto& [task, run] : mRunning) {
        mLedger.OnEnd(task, run.mNumber, mId, "crashed");
      }
      mRunning.clear();
    }
    mChanged.notify_all();
    mStopReports.notify_all();
    mServer->Stop();
    mServer.reset();
    mTicker.join();
    mReporter.join();
  }

private:
  struct Running
  {
    std::int64_t mNumber = 0;
    Steady::time_point mDue;
    std::int64_t mStartedAt = 0;
    std::int64_t mLengthMs = 1;
    std::string mHow;
  };
  struct Ended
  {
    std::int64_t mEnd = 0;
    std::string mTask;
    std::int64_t mNumber = 0;
    std::string mHow;
    std::int64_t mAtMs = 0;
  };

  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                                 mBootedAt)
      .count();
  }

  Json Basics() const
  {
    return { { "clock_ms", ClockMs() }, { "born", mBorn } };
  }
  Answer Reject(const char* aReason) const
  {
    Json body = Basics();
    body["reason"] = aReason;
    return { 409, body.dump() };
  }

  void Extend(const Json& aBody)
  {
    if (aBody.count("deadline_ms") != 0) {
      const auto wanted = aBody["deadline_ms"].get<std::int64_t>();
      mLeaseEnd = std::max(mLeaseEnd, std::min(wanted, ClockMs() + mMaxHoldMs));
    }
  }

  Answer Handle(const Request& aRequest)
  {
    if (aRequest.mMethod != "POST") {
      return { 200, "{}" };
    }
    const Json body = Json::parse(aRequest.mBody);
    std::unique_lock<std::mutex> lock(mLedger.Mutex());
    if (!mIsUp) {
      return {};
    }
    const auto expected = aRequest.mFields.find("expect-instance");
    if (expected != aRequest.mFields.end() && expected->second != mId) {
      return { 421, Basics().dump() };
    }
    const std::int64_t fence = body.value("fencing_token", std::int64_t{ 0 });
    if (fence < mFence) {
      return Reject("fence");
    }
    mFence = fence;
    ExpireLease();
    if (aRequest.mTarget == "/run-start") {
      if (mLateShare > 0 && std::rand() % 100 < mLateShare) {
        return Late(body, lock);
      }
      return Start(body);
    }
    if (aRequest.mTarget == "/run-stop") {
      return Stop(body);
    }
    return Hold(body, lock);
  }

  /** Leaves an order unanswered and carries it out 2 to 12 s later. */
  Answer Late(const Json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    mLedger.Write("late " + aBody.dump() + " at " + mId);
    const auto due =
      Steady::now() + std::chrono::milliseconds(2000 + std::rand() % 6000);
    const std::int64_t born = mBorn;
    while (mIsUp && mBorn == born &&
           mStopReports.wait_until(aLock, due) != std::cv_status::timeout) {
    }
    if (mIsUp && mBorn == born) {
      ExpireLease();
      const std::int64_t fence =
        aBody.value("fencing_token", std::int64_t{ 0 });
      if (fence >= mFence) {
        mFence = fence;
        mLedger.Write("late one now, " + Start(aBody).mBody);
      }
    }
    return {};
  }

  Answer Start(const Json& aBody)
  {
    const auto task = aBody["task"].get<std::string>();
    const auto number = aBody["run"].get<std::int64_t>();
    const auto running = mRunning.find(task);
    if (running != mRunning.end() && running->second.mNumber == number) {
      Extend(aBody);
      return { 200, Basics().dump() };
    }
    if (aBody["deadline_ms"].get<std::int64_t>() <= ClockMs()) {
      return Reject("late");
    }
    Extend(aBody);
    const auto highest = mHighestEnded.find(task);
    const bool isOld =
      (highest != mHighestEnded.end() && number <= highest->second) ||
      running != mRunning.end();
    if (isOld) {
      return Reject("old");
    }
    const auto spec = aBody["spec"].get<std::string>();
    Running run;
    run.mNumber = number;
    run.mStartedAt = ClockMs();
    Plan(task, spec, run);
    run.mDue = Steady::now() + std::chrono::milliseconds(run.mLengthMs);
    mLedger.OnStart(task, number, mId, spec);
    if (mDrainAckedMs >= 0 && mLedger.Now() > mDrainAckedMs + 2000) {
      mLedger.Break("DRAIN", task + " starts on " + mId);
    }
    const std::string saved = aBody.value("checkpoint", "");
    if (!saved.empty() && saved != "of " + task) {
      mLedger.Break("UNASKED", task + " starts with the checkpoint " + saved);
    }
    mRunning[task] = run;
    return { 200, Basics().dump() };
  }

  void Plan(const std::string& aTask, const std::string& aSpec, Running& aRun)
  {
    const std::string key = std::to_string(Ledger::StepIndexOf(aTask)) + '=';
    aRun.mLengthMs = 100;
    aRun.mHow = "done";
    const std::string spec = ';' + aSpec;
    const std::size_t at = spec.find(';' + key);
    if (at == std::string::npos) {
      return;
    }
    const std::size_t begin = at + 1 + key.size();
    const std::string entry = spec.substr(begin, spec.find(';', begin) - begin);
    const std::size_t slash = entry.find('/');
    aRun.mLengthMs = std::stoll(entry.substr(0, slash));
    aRun.mHow = entry.substr(slash + 1);
    if (aRun.mHow.size() > 4 && aRun.mHow.substr(0, 4) == "fail" &&
        std::isdigit(aRun.mHow[4]) != 0) {
      const int fails = std::stoi(aRun.mHow.substr(4));
      aRun.mHow = mLedger.FailedEnds(aTask) < fails ? "failed" : "done";
    }
  }

  Answer Stop(const Json& aBody)
  {
    const auto task = aBody["task"].get<std::string>();
    const auto number = aBody["run"].get<std::int64_t>();
    const auto running = mRunning.find(task);
    if (running != mRunning.end() && running->second.mNumber == number) {
      End(running, "stopped");
    }
    std::int64_t& highest = mHighestEnded[task];
    highest = std::max(highest, number);
    return { 200, Basics().dump() };
  }

  Answer Hold(const Json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    Extend(aBody);
    const std::int64_t cursor = aBody.value("ack_cursor", std::int64_t{ 0 });
    while (!mEnded.empty() && mEnded.front().mEnd <= cursor) {
      const Ended& end = mEnded.front();
      mLedger.OnNoted(end.mTask, end.mNumber, mId, mLastLapse >= end.mAtMs);
      mEnded.erase(mEnded.begin());
    }
    const std::int64_t wait = aBody.value("wait_ms", std::int64_t{ 0 });
    const auto until = Steady::now() + std::chrono::milliseconds(wait);
    const std::int64_t born = mBorn;
    while (mEnded.empty() && mIsUp && mBorn == born &&
           mChanged.wait_until(aLock, until) != std::cv_status::timeout) {
    }
    if (!mIsUp || mBorn != born) {
      return {};
    }
    Json body = Basics();
    body["running"] = Json::array();
    body["finished"] = Json::array();
    for (const auto& [task, run] : mRunning) {
      const std::int64_t percent =
        std::min<std::int64_t>(99,
                               (ClockMs() - run.mStartedAt) * 100 /
                                 std::max<std::int64_t>(1, run.mLengthMs));
      body["running"].push_back({ task, run.mNumber, "", percent, 0 });
    }
    for (const Ended& end : mEnded) {
      if (body["finished"].size() == 500) {
        break;
      }
      body["finished"].push_back(
        { end.mEnd, end.mTask, end.mNumber, end.mHow, "of " + end.mTask });
    }
    const int delay = mMaxAnswerDelayMs;
    if (wait > 0 && delay > 0) {
      aLock.unlock();
      std::this_thread::sleep_for(
        std::chrono::milliseconds(std::rand() % delay));
    }
    return { 200, body.dump() };
  }

  void End(std::map<std::string, Running>::iterator aRun, const char* aHow)
  {
    std::int64_t& highest = mHighestEnded[aRun->first];
    highest = std::max(highest, aRun->second.mNumber);
    mEnded.push_back(
      { mNextEnd++, aRun->first, aRun->second.mNumber, aHow, mLedger.Now() });
    mLedger.OnEnd(aRun->first, aRun->second.mNumber, mId, aHow);
    mRunning.erase(aRun);
    mChanged.notify_all();
  }

  void ExpireLease()
  {
    if (mLeaseEnd == 0 || ClockMs() < mLeaseEnd) {
      return;
    }
    mLeaseEnd = 0;
    mLastLapse = mLedger.Now();
    while (!mRunning.empty()) {
      End(mRunning.begin(), "lapsed");
    }
  }

  void Tick()
  {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
      const std::lock_guard<std::mutex> lock(mLedger.Mutex());
      if (!mIsUp) {
        return;
      }
      ExpireLease();
      const auto now = Steady::now();
      for (auto run = mRunning.begin(); run != mRunning.end();) {
        const auto current = run++;
        if (current->second.mDue <= now) {
          const std::string how = current->second.mHow;
          End(current, how.c_str());
        }
      }
    }
  }

  void Report()
  {
    std::size_t next = std::hash<std::string>()(mId) % mControls.size();
    auto due = Steady::now();
    while (true) {
      std::string text;
      bool isDraining = false;
      {
        std::unique_lock<std::mutex> lock(mLedger.Mutex());
        while (mIsUp && !mReportsNow &&
               mStopReports.wait_until(lock, due) != std::cv_status::timeout) {
        }
        mReportsNow = false;
        isDraining = mIsDraining;
        if (!mIsUp) {
          return;
        }
        Json body = Basics();
        body["service"] = "pool";
        body["address"] = mAddress;
        body["zone"] = mZone;
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = mIsDraining ? "draining" : "ready";
        if (mIsDraining) {
          body["drain_remaining_ms"] = 2000;
        }
        body["cold_remaining_ms"] = 0;
        body["capacity"] = { { "cpu", mCpu },
                             { "mem_mb", 32768 },
                             { "gpus", 0 } };
        body["labels"] = { mKind, "r1-1" };
        body["sequence"] = ++mSequence;
        text = body.dump();
      }
      for (std::size_t tried = 0; tried < mControls.size(); ++tried) {
        const Answer answer = Call(mControls[next],
                                   "POST",
                                   "/instances/" + mId + "/heartbeat",
                                   "",
                                   text,
                                   1000);
        if (answer.mStatus / 100 == 2) {
          const std::lock_guard<std::mutex> lock(mLedger.Mutex());
          if (isDraining && mDrainAckedMs < 0) {
            mDrainAckedMs = mLedger.Now();
            mLedger.Write("draining acknowledged, " + mId);
          }
          break;
        }
        next = (next + 1) % mControls.size();
      }
      due =
        std::max(due + std::chrono::milliseconds(mHeartbeatMs), Steady::now());
    }
  }

  Ledger& mLedger;
  const std::string mId;
  const std::string mAddress;
  const std::string mZone;
  const std::vector<std::string> mControls;
  const std::int64_t mCpu;
  const std::int64_t mMaxHoldMs;
  const std::int64_t mHeartbeatMs;
  std::unique_ptr<Server> mServer;
  std::thread mTicker;
  std::thread mReporter;
  std::condition_variable mChanged;
  std::condition_variable mStopReports;
  std::int64_t mBorn = 0;
  Steady::time_point mBootedAt;
  bool mIsUp = false;
  bool mIsDraining = false;
  bool mReportsNow = false;
  std::int64_t mDrainAckedMs = -1;
  std::string mKind = "a";
  std::atomic<int> mLateShare{ 0 };
  std::atomic<int> mMaxAnswerDelayMs{ 0 };
  std::int64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mLastLapse = -1;
  std::int64_t mNextEnd = 1;
  std::int64_t mSequence = 0;
  std::map<std::string, Running> mRunning;
  std::vector<Ended> mEnded;
  std::map<std::string, std::int64_t> mHighestEnded;
};

}

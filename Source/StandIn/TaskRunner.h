#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "Jobs/Resources.h"
#include "StandIn/StandInOptions.h"
#include "StandIn/StartLog.h"
#include "Transport/HttpExchange.h"

namespace almondspoke {

/** \brief Processes the requests of a runner and the tasks of a worker. The
 * work is simulated by a delay; the response body is the request body. */
class TaskRunner : public HttpHandler
{
public:
  TaskRunner(asio::io_context& aContext, const StandInOptions& aOptions);

  void Handle(HttpExchangePtr aExchange) override;

  /** Refuses all further work without running it, and drops the requests that
   * were deliberately left without a response. */
  void RefuseAll();

  /** Returns the number of running tasks. */
  std::size_t Running() const;

  /** Returns the cores and memory declared by the running tasks. */
  Resources Usage() const;

private:
  /** \brief Simulated outcome of one request. */
  enum class SimulatedOutcome
  {
    Run,
    Fail,
    Silent,
    Refuse,
    Close
  };

  struct Task
  {
    /** Unique number of this run, also among runs of the same attempt. */
    std::uint64_t mRun = 0;
    std::string mAttempt;
    std::string mKey = "-";
    std::chrono::steady_clock::time_point mArrival;
    std::chrono::milliseconds mWorkTime{ 0 };
    double mCores = 0;
    std::uint64_t mMemoryBytes = 0;
    bool mIsWorkerTask = false;
    /** Response to the request, for success or failure. */
    HttpResponse mResponse;
  };

  /** \brief A request queued until a slot is free. */
  struct WaitingTask
  {
    HttpExchangePtr mExchange;
    Task mTask;
    SimulatedOutcome mSimulatedOutcome = SimulatedOutcome::Run;
    /** True once the caller has disconnected. */
    std::shared_ptr<std::atomic<bool>> mIsCallerGone;
  };

  struct RunningTask
  {
    std::string mAttempt;
    double mCores = 0;
    std::uint64_t mMemoryBytes = 0;
    std::function<void()> mStop;
  };

  void StartWork(const HttpExchangePtr& aExchange,
                 std::chrono::steady_clock::time_point aArrival);
  void LeaveUnanswered(HttpExchangePtr aExchange);
  Task ReadTask(const HttpRequest& aRequest);
  SimulatedOutcome ChooseOutcome(const HttpRequest& aRequest);
  bool HandleControl(HttpExchange& aExchange);
  bool TryStart(const Task& aTask);
  bool TryQueue(const HttpExchangePtr& aExchange,
                const Task& aTask,
                SimulatedOutcome aOutcome);
  void Start(const HttpExchangePtr& aExchange,
             Task aTask,
             SimulatedOutcome aOutcome);
  void StartWaiting();
  void Run(const HttpExchangePtr& aExchange, Task aTask);
  void End(std::uint64_t aRun);
  bool ExceedsLimits(const Task& aTask) const;
  void SaveHighestConcurrency(std::size_t aRunning);

  asio::io_context& mContext;
  const StandInOptions& mOptions;
  StartLog mStartLog;
  std::atomic<bool> mRefuseAll{ false };
  std::atomic<std::uint64_t> mNextTask{ 0 };
  mutable std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::map<std::uint64_t, RunningTask> mRunning;
  std::deque<WaitingTask> mWaiting;
  std::vector<HttpExchangePtr> mUnanswered;
  std::size_t mHighestConcurrency = 0;
};

}

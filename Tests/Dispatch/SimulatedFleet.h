#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Dispatch/Coordinator.h"
#include "Dispatch/WorkerCalls.h"
#include "Support/ManualClock.h"

namespace almondspoke::testing {

/** \brief Workers that carry out orders in simulated time, and watch over what
 * must hold: room, one run of a task at a time, nothing after its end.
 *
 * Broken rules are collected in Errors(). */
class SimulatedFleet
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = std::chrono::milliseconds;

  /** \brief What becomes of the orders of one worker. */
  struct NetworkFaults
  {
    /** Orders do not arrive. */
    bool mUnreachable = false;
    /** Orders arrive, answers do not. */
    bool mAnswersLost = false;
    /** Orders to stop do not arrive. */
    bool mStopsLost = false;
    /** Part of the starts that get no answer and are carried out late. */
    double mLateStartFraction = 0;
  };

  /** \brief How a worker runs what it starts. */
  struct RunBehavior
  {
    bool mFails = false;
    bool mHangs = false;
    double mDurationFactor = 1.0;
  };

  /** \brief What the tasks of a job are like. */
  struct JobModel
  {
    dispatch::Resources mNeeds;
    Milliseconds mDuration{ 50 };
    /** Whether the job is stored, so that its ends count for good. */
    bool mIsStored = false;
  };

  SimulatedFleet(ManualClock& aClock, std::uint64_t aSeed);

  /** Adds a worker and returns what it reports. */
  dispatch::WorkerReport AddWorker(const std::string& aId,
                                   std::uint32_t aMilliCores);
  /** The worker dies; what runs on it is gone. */
  void Crash(const std::string& aId);
  /** The worker starts again under its id, with nothing of before. */
  dispatch::WorkerReport Restart(const std::string& aId);
  NetworkFaults& NetworkFaultsOf(const std::string& aId);
  RunBehavior& RunBehaviorOf(const std::string& aId);

  void DescribeJob(const std::string& aJob, JobModel aModel);

  /** Advances the clock by one millisecond and lets happen what is due. */
  void Step();

  /** Calls a function after a time. */
  void After(Milliseconds aDelay, std::function<void()> aWhat);

  void Start(const dispatch::StartOrder& aOrder,
             Milliseconds aTimeout,
             const dispatch::WorkerCalls::OrderDone& aDone);
  void Stop(const dispatch::StopOrder& aOrder,
            Milliseconds aTimeout,
            const dispatch::WorkerCalls::OrderDone& aDone);
  void Hold(const dispatch::HoldOrder& aOrder,
            Milliseconds aTimeout,
            const dispatch::WorkerCalls::HoldDone& aDone);

  /** Starts of tasks of a job, on any worker. */
  std::size_t StartsOf(const std::string& aJob) const;
  std::size_t RunningOn(const std::string& aId) const;
  std::size_t Running() const;
  std::size_t HoldsOf(const std::string& aId) const;
  const std::vector<std::string>& Errors() const { return mErrors; }
  std::mt19937_64& Random() { return mRandom; }
  ManualClock& Time() { return mClock; }

private:
  struct Run
  {
    dispatch::RunNumber mNumber = 0;
    TimePoint mBegan{};
    TimePoint mEnds{};
    bool mStopping = false;
  };
  struct WaitingHold
  {
    std::uint64_t mAcknowledged = 0;
    TimePoint mUntil{};
    std::function<void()> mAnswer;
  };
  struct Worker
  {
    dispatch::WorkerReport mReport;
    bool mUp = true;
    TimePoint mBooted{};
    dispatch::Fence mFence = 0;
    TimePoint mLeaseEnds{};
    std::map<dispatch::TaskId, Run> mRunning;
    std::map<dispatch::TaskId, dispatch::RunNumber> mHighest;
    std::vector<dispatch::ListedEnd> mEnded;
    std::uint64_t mNextEnd = 1;
    std::vector<WaitingHold> mHolds;
    NetworkFaults mNetworkFaults;
    RunBehavior mRunBehavior;
    std::size_t mHoldsSeen = 0;
  };

  Worker* FindReachable(const dispatch::OrderTarget& aTarget);
  dispatch::WorkerTime ClockOf(const Worker& aWorker) const;
  dispatch::OrderResult Answer(const Worker& aWorker,
                               dispatch::OrderOutcome aOutcome) const;
  dispatch::OrderOutcome CarryOutStart(Worker& aWorker,
                                       const dispatch::StartOrder& aOrder);
  void Extend(Worker& aWorker, dispatch::WorkerTime aUntil);
  void End(Worker& aWorker,
           const dispatch::TaskId& aTask,
           dispatch::RunEnd aEnd);
  dispatch::HoldResult ListsOf(const Worker& aWorker) const;
  void EndDueRuns(Worker& aWorker);
  void AnswerHolds(Worker& aWorker);
  void CheckStart(const Worker& aWorker, const dispatch::TaskId& aTask);
  void Fail(const std::string& aWhat);
  bool Chance(double aProbability);

  ManualClock& mClock;
  std::mt19937_64 mRandom;
  std::map<std::string, Worker> mWorkers;
  std::map<std::string, JobModel> mJobModels;
  std::map<std::string, std::size_t> mStarts;
  /** Tasks of stored jobs whose end has been acknowledged. */
  std::set<dispatch::TaskId> mAcknowledgedTasks;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<std::string> mErrors;
};

/** \brief The way of one leader to the workers. */
class LeaderTransport : public dispatch::WorkerCalls
{
public:
  explicit LeaderTransport(SimulatedFleet& aFleet)
    : mFleet(aFleet)
  {
  }

  void Start(const dispatch::StartOrder& aOrder,
             std::chrono::milliseconds aTimeout,
             OrderDone aDone) override;
  void Stop(const dispatch::StopOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            OrderDone aDone) override;
  void Hold(const dispatch::HoldOrder& aOrder,
            std::chrono::milliseconds aTimeout,
            HoldDone aDone) override;

  /** Orders leave only after this delay, as those of a process that was frozen
   * in the middle of sending them. */
  std::chrono::milliseconds mDelay{ 0 };
  /** True once the lease has ended: nothing more is sent. */
  bool mLeaseEnded = false;
  /** Workers that this leader does not reach, nor their answers it. */
  std::set<std::string> mDisconnected;

private:
  bool IsDisconnected(const dispatch::OrderTarget& aTarget) const;

  SimulatedFleet& mFleet;
};

}

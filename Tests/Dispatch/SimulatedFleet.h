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

/** \brief Simulated workers that carry out orders in simulated time and check
 * invariants.
 *
 * The capacity of a worker must not be exceeded, a task must not have two
 * concurrent runs, a task must not start after its end was acknowledged, nor
 * after as many failed ends as its queue allows, nor after its job was shown as
 * ended. Violations are collected in Errors(). */
class SimulatedFleet
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = std::chrono::milliseconds;

  /** \brief Network faults between leaders and a worker. */
  struct NetworkFaults
  {
    /** Orders are lost. */
    bool mUnreachable = false;
    /** Orders arrive, but answers are lost. */
    bool mAnswersLost = false;
    /** Stop orders are lost. */
    bool mStopsLost = false;
    /** Fraction of start orders that are carried out late and not answered. */
    double mLateStartFraction = 0;
    /** Orders and answers take up to this much longer, each for itself, so that
     * they overtake each other. */
    Milliseconds mMaxExtraDelay{ 0 };
  };

  /** \brief How the runs on a worker behave. */
  struct RunBehavior
  {
    bool mFails = false;
    bool mHangs = false;
    double mDurationFactor = 1.0;
  };

  /** \brief Properties of a job's tasks that only the workers know. */
  struct JobModel
  {
    dispatch::Resources mNeeds;
    Milliseconds mDuration{ 50 };
    /** True if the job is stored, so that acknowledged ends are final. */
    bool mIsStored = false;
    /** True if all runs of the first step fail. */
    bool mFails = false;
  };

  SimulatedFleet(ManualClock& aClock, std::uint64_t aSeed);

  /** Adds a worker and returns its report. */
  dispatch::WorkerReport AddWorker(const std::string& aId,
                                   std::uint32_t aMilliCores);
  /** Crashes a worker; all of its runs are lost. */
  void Crash(const std::string& aId);
  /** Restarts a worker under its id with a new boot and without any state. */
  dispatch::WorkerReport Restart(const std::string& aId);
  /** Returns whether this boot of a worker is the current one and up. */
  bool IsUp(const dispatch::WorkerBoot& aBoot) const;
  NetworkFaults& NetworkFaultsOf(const std::string& aId);
  RunBehavior& RunBehaviorOf(const std::string& aId);

  void DescribeJob(const std::string& aJob, JobModel aModel);

  /** Records that a caller was told that a job has ended, so that no order
   * which is given from now on may start its tasks. */
  void NoteShownAsEnded(const std::string& aJob);

  /** Checks an order when a leader gives it. */
  void CheckOrder(const dispatch::StartOrder& aOrder);

  /** Advances the clock by one millisecond and processes due events. */
  void Step();

  /** Schedules a function call. */
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

  /** Returns how many runs of a job's tasks were started on all workers. */
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
    TimePoint mStartedAt{};
    TimePoint mEndsAt{};
    bool mIsStopping = false;
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
    bool mIsUp = true;
    TimePoint mBootedAt{};
    dispatch::Fence mFence = 0;
    TimePoint mLeaseEndsAt{};
    std::map<dispatch::TaskId, Run> mRunning;
    std::map<dispatch::TaskId, dispatch::RunNumber> mHighestRunNumbers;
    std::vector<dispatch::EndedRun> mEnded;
    std::uint64_t mNextEndNumber = 1;
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
  void ExtendLease(Worker& aWorker, dispatch::WorkerTime aUntil);
  void End(Worker& aWorker,
           const dispatch::TaskId& aTask,
           dispatch::RunEnd aEnd);
  dispatch::HoldResult ListsOf(const Worker& aWorker) const;
  void EndDueRuns(Worker& aWorker);
  void AnswerHolds(Worker& aWorker);
  void CheckStart(const Worker& aWorker, const dispatch::TaskId& aTask);
  /** Records the ends that a worker may discard. */
  void Acknowledge(Worker& aWorker, std::uint64_t aLastEnd);
  /** Returns how long a message to or from a worker is on its way. */
  Milliseconds Delay(const dispatch::WorkerId& aWorker);
  void ReportViolation(const std::string& aWhat);
  bool Chance(double aProbability);

  ManualClock& mClock;
  std::mt19937_64 mRandom;
  std::map<std::string, Worker> mWorkers;
  std::map<std::string, JobModel> mJobModels;
  std::map<std::string, std::size_t> mStarts;
  /** Tasks of stored jobs whose successful end was acknowledged. */
  std::set<dispatch::TaskId> mAcknowledgedTasks;
  /** Acknowledged failed ends of the tasks of stored jobs. */
  std::map<dispatch::TaskId, std::size_t> mAcknowledgedFailures;
  std::set<std::string> mShownAsEnded;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<std::string> mErrors;
};

}

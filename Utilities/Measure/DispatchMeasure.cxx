// Measures the processor time of the leader's decisions by the number of
// workers: a task from its submission to its end, the choice of its worker by
// the index and by a walk over all workers, the work ahead of a submission, and
// a report without news.
// Usage: measure_dispatch
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Base/EventLog.h"
#include "Dispatch/Coordinator.h"
#include "LinearFit.h"
#include "Support/ManualClock.h"
#include "Support/PlacementWalk.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using std::chrono::milliseconds;

namespace {

constexpr int kWorkerCounts[] = { 350, 1100, 3000, 10'000 };
constexpr std::uint32_t kMilliCoresOfWorker = 32'000;
constexpr std::uint32_t kMilliCoresOfTask = 16'000;
constexpr std::uint32_t kTasksOfJob = 4;
/** Starts for each worker in a second. */
constexpr double kStartRate = 4.0;
/** Jobs that are measured for each worker, and their least number. */
constexpr int kJobsOfWorker = 4;
constexpr int kMinJobs = 5000;
constexpr int kTickMs = 10;

/** \brief Time since its construction. */
class Stopwatch
{
public:
  double Microseconds() const
  {
    const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - mStart;
    return elapsed.count();
  }

private:
  std::chrono::steady_clock::time_point mStart =
    std::chrono::steady_clock::now();
};

/** \brief Log sink that drops all text. */
class NullSink : public LogSink
{
public:
  std::size_t Write(std::string_view aBytes) override { return aBytes.size(); }
};

/** \brief Workers that accept all orders; the measurement ends their runs. */
class PlayedWorkers : public WorkerCalls
{
public:
  void Start(const StartOrder& aOrder, milliseconds, OrderDone aDone) override
  {
    const WorkerId& worker = aOrder.mTarget.mBoot.mId;
    mStarted.push_back({ worker, aOrder.mRun });
    mLists[worker].mRunning.push_back(aOrder.mRun);
    mAnswers.push_back(std::move(aDone));
  }
  void Stop(const StopOrder&, milliseconds, OrderDone) override {}
  void Hold(const HoldOrder& aOrder, milliseconds, HoldDone aDone) override
  {
    mHolds[aOrder.mTarget.mBoot.mId] = std::move(aDone);
  }

  void AnswerStarts(WorkerTime aClock)
  {
    std::vector<OrderDone> answers;
    answers.swap(mAnswers);
    for (const OrderDone& answer : answers) {
      answer({ OrderOutcome::Done, aClock });
    }
  }
  void AnswerAllHolds(WorkerTime aClock)
  {
    std::map<WorkerId, HoldDone> holds;
    holds.swap(mHolds);
    for (const auto& [id, answer] : holds) {
      HoldResult result;
      result.mOutcome = OrderOutcome::Done;
      result.mClock = aClock;
      answer(result);
    }
  }
  /** Ends the oldest run and reports it in the answer to a hold order. */
  void EndOldest(WorkerTime aClock)
  {
    const Placed oldest = mStarted.front();
    mStarted.pop_front();
    Lists& lists = mLists[oldest.mWorker];
    HoldResult result;
    result.mOutcome = OrderOutcome::Done;
    result.mClock = aClock;
    result.mEnded.push_back(
      { ++lists.mEnds, oldest.mRun, RunEnd::Done, std::string() });
    // The runs of a worker end in the order of their starts.
    lists.mRunning.pop_front();
    for (const RunId& run : lists.mRunning) {
      ActiveRun active;
      active.mRun = run;
      active.mPercent = 50;
      result.mRunning.push_back(active);
    }
    const auto hold = mHolds.find(oldest.mWorker);
    if (hold == mHolds.end()) {
      return;
    }
    const HoldDone answer = std::move(hold->second);
    mHolds.erase(hold);
    const Stopwatch watch;
    answer(result);
    mMicroseconds += watch.Microseconds();
  }

  std::size_t Running() const { return mStarted.size(); }
  /** Time that the leader has spent on ends of runs. */
  double mMicroseconds = 0;

private:
  struct Placed
  {
    WorkerId mWorker;
    RunId mRun;
  };
  struct Lists
  {
    std::deque<RunId> mRunning;
    std::uint64_t mEnds = 0;
  };

  std::deque<Placed> mStarted;
  std::vector<OrderDone> mAnswers;
  std::map<WorkerId, HoldDone> mHolds;
  std::map<WorkerId, Lists> mLists;
};

/** \brief A leader with many workers under a steady load. */
class LeaderBench
  : public ReplySink
  , public RecordSink
{
public:
  LeaderBench(int aWorkers, const CoordinatorOptions& aOptions)
    : mLog(mClock, mSink)
    , mCoordinator(aOptions, mClock, mWorkers, *this, *this, mLog)
  {
    Manifest manifest;
    manifest.mVersion = 1;
    manifest.mPools.push_back({ "pool", false, 64 });
    manifest.mQueues.push_back(
      { "queue", "desk", "/queue/", "pool", 0, 2, 1500, 1.6, 60 });
    mCoordinator.SetManifest(std::make_shared<const Manifest>(manifest));
    DispatchState state;
    state.mFence = 2;
    for (int i = 0; i < aWorkers; ++i) {
      mReports.push_back(ReportOf(i));
      state.mWorkers[mReports.back().mBoot.mId] = mReports.back();
    }
    mCoordinator.BeginLeading(2, state, mReports);
    mWorkers.AnswerAllHolds(ClockOfWorkers());
    mTasksOfTick = kStartRate * aWorkers * kTickMs / 1000;
  }

  /** Returns the leader's microseconds for a task. */
  double MicrosecondsOfTask()
  {
    const std::size_t running = mReports.size();
    while (mWorkers.Running() < running) {
      Submit();
    }
    mWorkers.mMicroseconds = 0;
    mMicroseconds = 0;
    const int jobs =
      std::max(kMinJobs, kJobsOfWorker * static_cast<int>(running));
    for (int i = 0; i < jobs; ++i) {
      Submit();
      for (std::uint32_t task = 0; task < kTasksOfJob; ++task) {
        mWorkers.EndOldest(ClockOfWorkers());
      }
    }
    return (mMicroseconds + mWorkers.mMicroseconds) / (jobs * kTasksOfJob);
  }

  double MicrosecondsOfReport()
  {
    const Stopwatch watch;
    for (WorkerReport& report : mReports) {
      ++report.mSequence;
      mCoordinator.OnReport(report);
    }
    return watch.Microseconds() / static_cast<double>(mReports.size());
  }

  void Reply(CallId, const JobReply&) override {}
  void Store(const RecordBatch&, RecordSink::Done) override {}

private:
  static WorkerReport ReportOf(int aNumber)
  {
    WorkerReport report;
    report.mBoot = { "i-" + std::to_string(100'000 + aNumber), 1 };
    report.mPool = "pool";
    report.mAddress = "127.0.0.1:8080";
    report.mCapacity = { kMilliCoresOfWorker, 131'072, 0 };
    report.mLabels = { "a", "rack-" + std::to_string(aNumber / 20) };
    report.mSequence = 1;
    report.mClockMs = 1000;
    return report;
  }

  WorkerTime ClockOfWorkers() const { return 1000 + mElapsedMs; }

  void Submit()
  {
    JobCall call;
    call.mKind = JobCallKind::Submit;
    call.mHost = "desk";
    call.mPath = "/queue/5c0e7a21" + std::to_string(10'000'000 + ++mJobs);
    call.mJob.mBestEffort = true;
    call.mJob.mPayload = std::string(1000, 'x');
    StepSpec step;
    step.mCount = kTasksOfJob;
    step.mNeeds = { kMilliCoresOfTask, 64, 0 };
    step.mEstimateMs = 250;
    call.mJob.mSteps.push_back(step);
    const Stopwatch watch;
    mCoordinator.Call(static_cast<CallId>(mJobs), call);
    mWorkers.AnswerStarts(ClockOfWorkers());
    mTasks += kTasksOfJob;
    if (mTasks >= mTasksOfTick) {
      mTasks = 0;
      mElapsedMs += kTickMs;
      mClock.Advance(milliseconds(kTickMs));
      mCoordinator.Tick();
      mLog.Flush();
    }
    mMicroseconds += watch.Microseconds();
  }

  testing::ManualClock mClock;
  NullSink mSink;
  EventLog mLog;
  PlayedWorkers mWorkers;
  Coordinator mCoordinator;
  std::vector<WorkerReport> mReports;
  std::int64_t mElapsedMs = 0;
  int mJobs = 0;
  double mTasks = 0;
  double mTasksOfTick = 0;
  double mMicroseconds = 0;
};

/** \brief Half-used workers, on which tasks are placed by both ways. */
class PlacementBench
{
public:
  explicit PlacementBench(int aWorkers)
  {
    mJob.mQueue.mPool = "pool";
    StepSpec step;
    step.mNeeds = { kMilliCoresOfTask, 64, 0 };
    mJob.mSubmission.mSteps.push_back(step);
    mJob.mSteps.emplace_back(1);
    for (int i = 0; i < aWorkers; ++i) {
      WorkerReport report;
      report.mBoot = { "i-" + std::to_string(100'000 + i), 1 };
      report.mPool = "pool";
      report.mCapacity = { kMilliCoresOfWorker, 131'072, 0 };
      const auto added = mWorkers.emplace(
        report.mBoot.mId,
        WorkerSession(
          static_cast<std::uint64_t>(i) + 1, report, mNow, milliseconds(1000)));
      WorkerSession& worker = added.first->second;
      worker.mRegistered = true;
      worker.mFenceAccepted = true;
      mIndex.Add(worker);
    }
  }

  /** Returns the microseconds to choose a worker and reserve its room. */
  double ByIndex()
  {
    return Place([this] { return mIndex.Choose(mJob, mTask, mNow, mWindows); },
                 20'000);
  }
  double ByWalk()
  {
    return Place(
      [this] {
        return testing::PlacementWalk::Choose(mWorkers, mJob, mTask, mNow);
      },
      300);
  }

private:
  template<typename Choose>
  double Place(const Choose& aChoose, int aRounds)
  {
    std::deque<std::pair<WorkerSession*, TaskId>> placed;
    std::uint32_t number = 0;
    const Stopwatch watch;
    for (int i = 0; i < aRounds; ++i) {
      WorkerSession* worker = aChoose();
      const TaskId task{ "5c0e7a21d94b36f8", 0, 0, ++number };
      TrackedRun run;
      run.mNeeds = mJob.mSubmission.mSteps.front().mNeeds;
      worker->Add(task, run);
      placed.emplace_back(worker, task);
      if (placed.size() > mWorkers.size()) {
        placed.front().first->Remove(placed.front().second);
        placed.pop_front();
      }
    }
    const double microseconds = watch.Microseconds() / aRounds;
    for (const auto& [worker, task] : placed) {
      worker->Remove(task);
    }
    return microseconds;
  }

  Clock::Monotonic mNow{ std::chrono::hours(1) };
  WorkerSessions mWorkers;
  StartWindows mWindows;
  WorkerIndex mIndex;
  DispatchJob mJob;
  const TaskId mTask{ "5c0e7a21d94b36f8", 0, 0, 0 };
};

}

int
main()
{
  std::vector<measure::Point> task;
  std::vector<measure::Point> learning;
  std::vector<measure::Point> expectedEnd;
  std::vector<measure::Point> index;
  std::vector<measure::Point> walk;
  std::vector<measure::Point> report;
  CoordinatorOptions learningOptions;
  learningOptions.mLearnRunTimes = true;
  CoordinatorOptions expectedEndOptions;
  expectedEndOptions.mAdmission = AdmissionPolicy::ExpectedEnd;
  for (const int workers : kWorkerCounts) {
    const auto count = static_cast<double>(workers);
    LeaderBench leader(workers, {});
    task.push_back({ count, leader.MicrosecondsOfTask() });
    learning.push_back(
      { count, LeaderBench(workers, learningOptions).MicrosecondsOfTask() });
    report.push_back({ count, leader.MicrosecondsOfReport() });
    LeaderBench other(workers, expectedEndOptions);
    expectedEnd.push_back({ count, other.MicrosecondsOfTask() });
    PlacementBench placement(workers);
    index.push_back({ count, placement.ByIndex() });
    walk.push_back({ count, placement.ByWalk() });
  }
  measure::PrintSeries("dispatch, a task in all", "workers", "us", task);
  measure::PrintSeries(
    "dispatch, a task in all, run times learned", "workers", "us", learning);
  measure::PrintSeries("dispatch, a task in all, admission by expected end",
                       "workers",
                       "us",
                       expectedEnd);
  measure::PrintSeries("dispatch, placement by index", "workers", "us", index);
  measure::PrintSeries("dispatch, placement by a walk", "workers", "us", walk);
  measure::PrintSeries(
    "dispatch, a report without news", "workers", "us", report);
  return 0;
}

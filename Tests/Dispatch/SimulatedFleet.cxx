#include "Dispatch/SimulatedFleet.h"

#include <algorithm>

namespace almondspoke::testing {

namespace {

using dispatch::HoldOrder;
using dispatch::HoldResult;
using dispatch::OrderOutcome;
using dispatch::OrderResult;
using dispatch::RunEnd;
using dispatch::StartOrder;
using dispatch::StopOrder;
using dispatch::TaskId;
using dispatch::WorkerTime;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kOneWayDelay{ 2 };
constexpr milliseconds kMaxLease{ 1000 };
constexpr milliseconds kStopDuration{ 20 };
constexpr std::size_t kMaxEndsListed = 500;
/** Failed runs that the queues of the fixtures allow. */
constexpr std::size_t kMaxAttempts = 2;

std::string
NameOf(const TaskId& aTask)
{
  return aTask.mJob + "." + std::to_string(aTask.mStep) + "." +
         std::to_string(aTask.mIndex);
}

// An order names the worker's id only: a later boot takes it, too.
bool
IsMeantFor(const dispatch::OrderTarget& aTarget,
           const dispatch::WorkerReport& aWorker)
{
  return aTarget.mBoot.mId == aWorker.mBoot.mId;
}

}

SimulatedFleet::SimulatedFleet(ManualClock& aClock, std::uint64_t aSeed)
  : mClock(aClock)
  , mRandom(aSeed)
{
}

dispatch::WorkerReport
SimulatedFleet::AddWorker(const std::string& aId, std::uint32_t aMilliCores)
{
  Worker& worker = mWorkers[aId];
  worker.mBootedAt = mClock.MonotonicNow();
  worker.mReport.mBoot = { aId, 1 };
  worker.mReport.mPool = "pool";
  worker.mReport.mAddress = "127.0.0.1:8080";
  worker.mReport.mCapacity = { aMilliCores, 64'000, 0 };
  worker.mReport.mSequence = 1;
  return worker.mReport;
}

void
SimulatedFleet::Crash(const std::string& aId)
{
  Worker& worker = mWorkers.at(aId);
  worker.mIsUp = false;
  worker.mRunning.clear();
  worker.mEnded.clear();
  worker.mHolds.clear();
  worker.mHighestRunNumbers.clear();
}

dispatch::WorkerReport
SimulatedFleet::Restart(const std::string& aId)
{
  Crash(aId);
  Worker& worker = mWorkers.at(aId);
  worker.mIsUp = true;
  worker.mBootedAt = mClock.MonotonicNow();
  worker.mFence = 0;
  worker.mNextEndNumber = 1;
  worker.mLeaseEndsAt = {};
  ++worker.mReport.mBoot.mStartTimeMs;
  worker.mReport.mSequence = 1;
  return worker.mReport;
}

bool
SimulatedFleet::IsUp(const dispatch::WorkerBoot& aBoot) const
{
  const Worker& worker = mWorkers.at(aBoot.mId);
  return worker.mIsUp && worker.mReport.mBoot == aBoot;
}

SimulatedFleet::NetworkFaults&
SimulatedFleet::NetworkFaultsOf(const std::string& aId)
{
  return mWorkers.at(aId).mNetworkFaults;
}

SimulatedFleet::RunBehavior&
SimulatedFleet::RunBehaviorOf(const std::string& aId)
{
  return mWorkers.at(aId).mRunBehavior;
}

void
SimulatedFleet::DescribeJob(const std::string& aJob, JobModel aModel)
{
  mJobModels[aJob] = aModel;
}

void
SimulatedFleet::NoteShownAsEnded(const std::string& aJob)
{
  mShownAsEnded.insert(aJob);
}

SimulatedFleet::Milliseconds
SimulatedFleet::Delay(const dispatch::WorkerId& aWorker)
{
  const auto worker = mWorkers.find(aWorker);
  const Milliseconds extra = worker == mWorkers.end()
                               ? Milliseconds(0)
                               : worker->second.mNetworkFaults.mMaxExtraDelay;
  if (extra.count() == 0) {
    return kOneWayDelay;
  }
  return kOneWayDelay + Milliseconds(std::uniform_int_distribution<int>(
                          0, static_cast<int>(extra.count()))(mRandom));
}

void
SimulatedFleet::Step()
{
  mClock.Advance(milliseconds(1));
  const TimePoint now = mClock.MonotonicNow();
  while (!mEvents.empty() && mEvents.begin()->first <= now) {
    const std::function<void()> event = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    event();
  }
  for (auto& [id, worker] : mWorkers) {
    if (worker.mIsUp) {
      EndDueRuns(worker);
      AnswerHolds(worker);
    }
  }
}

void
SimulatedFleet::After(Milliseconds aDelay, std::function<void()> aWhat)
{
  mEvents.emplace(mClock.MonotonicNow() + aDelay, std::move(aWhat));
}

SimulatedFleet::Worker*
SimulatedFleet::FindReachable(const dispatch::OrderTarget& aTarget)
{
  const auto worker = mWorkers.find(aTarget.mBoot.mId);
  const bool reached = worker != mWorkers.end() && worker->second.mIsUp &&
                       !worker->second.mNetworkFaults.mUnreachable;
  return reached ? &worker->second : nullptr;
}

WorkerTime
SimulatedFleet::ClockOf(const Worker& aWorker) const
{
  // Clocks of workers are up to 2% slow.
  return 1000 +
         duration_cast<milliseconds>(mClock.MonotonicNow() - aWorker.mBootedAt)
             .count() *
           98 / 100;
}

OrderResult
SimulatedFleet::Answer(const Worker& aWorker, OrderOutcome aOutcome) const
{
  return { aOutcome, ClockOf(aWorker) };
}

void
SimulatedFleet::ExtendLease(Worker& aWorker, WorkerTime aUntil)
{
  const milliseconds left(
    std::min<WorkerTime>(aUntil - ClockOf(aWorker), kMaxLease.count()));
  const TimePoint ends = mClock.MonotonicNow() + left * 100 / 98;
  aWorker.mLeaseEndsAt = std::max(aWorker.mLeaseEndsAt, ends);
}

void
SimulatedFleet::CheckStart(const Worker& aWorker, const TaskId& aTask)
{
  const JobModel& truth = mJobModels[aTask.mJob];
  std::uint32_t used = truth.mNeeds.mMilliCores;
  for (const auto& [task, run] : aWorker.mRunning) {
    used += mJobModels[task.mJob].mNeeds.mMilliCores;
  }
  if (used > aWorker.mReport.mCapacity.mMilliCores) {
    ReportViolation("capacity exceeded on worker " + aWorker.mReport.mBoot.mId +
                    ": " + NameOf(aTask));
  }
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mIsUp && worker.mRunning.count(aTask) != 0) {
      ReportViolation("two concurrent runs of one task: " + NameOf(aTask));
    }
  }
  if (mAcknowledgedTasks.count(aTask) != 0) {
    ReportViolation("task started after its end was acknowledged: " +
                    NameOf(aTask));
  }
  const auto failures = mAcknowledgedFailures.find(aTask);
  const bool isOverBudget =
    failures != mAcknowledgedFailures.end() && failures->second >= kMaxAttempts;
  if (isOverBudget) {
    ReportViolation("task started after its last attempt had failed: " +
                    NameOf(aTask));
  }
}

void
SimulatedFleet::CheckOrder(const StartOrder& aOrder)
{
  if (mShownAsEnded.count(aOrder.mRun.mTask.mJob) != 0) {
    ReportViolation("start ordered after the job was shown as ended: " +
                    NameOf(aOrder.mRun.mTask));
  }
}

void
SimulatedFleet::Acknowledge(Worker& aWorker, std::uint64_t aLastEnd)
{
  auto& ended = aWorker.mEnded;
  while (!ended.empty() && ended.front().mNumber <= aLastEnd) {
    const TaskId& task = ended.front().mRun.mTask;
    const bool isStored = mJobModels[task.mJob].mIsStored;
    if (ended.front().mEnd == RunEnd::Done && isStored) {
      mAcknowledgedTasks.insert(task);
    }
    if (ended.front().mEnd == RunEnd::Failed && isStored) {
      ++mAcknowledgedFailures[task];
    }
    ended.erase(ended.begin());
  }
}

OrderOutcome
SimulatedFleet::CarryOutStart(Worker& aWorker, const StartOrder& aOrder)
{
  if (!IsMeantFor(aOrder.mTarget, aWorker.mReport)) {
    return OrderOutcome::OtherBoot;
  }
  if (aOrder.mTarget.mFence < aWorker.mFence) {
    return OrderOutcome::Fenced;
  }
  aWorker.mFence = aOrder.mTarget.mFence;
  if (aOrder.mLeaseEnd <= ClockOf(aWorker)) {
    return OrderOutcome::LeaseExpired;
  }
  ExtendLease(aWorker, aOrder.mLeaseEnd);
  const TaskId& task = aOrder.mRun.mTask;
  const auto present = aWorker.mRunning.find(task);
  if (present != aWorker.mRunning.end() &&
      present->second.mNumber == aOrder.mRun.mNumber) {
    return OrderOutcome::Done;
  }
  if (aOrder.mRun.mNumber <= aWorker.mHighestRunNumbers[task]) {
    return OrderOutcome::Superseded;
  }
  CheckStart(aWorker, task);
  ++mStarts[task.mJob];
  Run run;
  run.mNumber = aOrder.mRun.mNumber;
  run.mStartedAt = mClock.MonotonicNow();
  const double length =
    static_cast<double>(mJobModels[task.mJob].mDuration.count()) *
    aWorker.mRunBehavior.mDurationFactor;
  run.mEndsAt =
    aWorker.mRunBehavior.mHangs
      ? TimePoint::max()
      : run.mStartedAt + milliseconds(static_cast<std::int64_t>(length));
  aWorker.mRunning[task] = run;
  aWorker.mHighestRunNumbers[task] = run.mNumber;
  return OrderOutcome::Done;
}

void
SimulatedFleet::Start(const StartOrder& aOrder,
                      Milliseconds aTimeout,
                      const dispatch::WorkerCalls::OrderDone& aDone)
{
  const Worker* target = FindReachable(aOrder.mTarget);
  const bool late =
    target != nullptr && Chance(target->mNetworkFaults.mLateStartFraction);
  if (late) {
    const milliseconds delay(
      std::uniform_int_distribution<int>(2000, 12'000)(mRandom));
    const dispatch::WorkerBoot receiver = target->mReport.mBoot;
    After(delay, [this, aOrder, receiver] {
      Worker* worker = FindReachable(aOrder.mTarget);
      if (worker != nullptr && worker->mReport.mBoot == receiver) {
        CarryOutStart(*worker, aOrder);
      }
    });
    After(aTimeout, [aDone] { aDone({ OrderOutcome::Unknown, 0 }); });
    return;
  }
  const milliseconds there = Delay(aOrder.mTarget.mBoot.mId);
  After(there, [this, aOrder, aTimeout, aDone, there] {
    Worker* worker = FindReachable(aOrder.mTarget);
    if (worker == nullptr) {
      After(aTimeout, [aDone] { aDone({ OrderOutcome::Unknown, 0 }); });
      return;
    }
    const OrderResult result = Answer(*worker, CarryOutStart(*worker, aOrder));
    const milliseconds back = Delay(aOrder.mTarget.mBoot.mId);
    if (worker->mNetworkFaults.mAnswersLost || there + back > aTimeout) {
      After(aTimeout, [aDone] { aDone({ OrderOutcome::Unknown, 0 }); });
      return;
    }
    After(back, [aDone, result] { aDone(result); });
  });
}

void
SimulatedFleet::Stop(const StopOrder& aOrder,
                     Milliseconds aTimeout,
                     const dispatch::WorkerCalls::OrderDone& aDone)
{
  const milliseconds there = Delay(aOrder.mTarget.mBoot.mId);
  After(there, [this, aOrder, aTimeout, aDone, there] {
    Worker* worker = FindReachable(aOrder.mTarget);
    if (worker == nullptr || worker->mNetworkFaults.mStopsLost) {
      After(aTimeout, [aDone] { aDone({ OrderOutcome::Unknown, 0 }); });
      return;
    }
    OrderOutcome outcome = OrderOutcome::Done;
    if (!IsMeantFor(aOrder.mTarget, worker->mReport)) {
      outcome = OrderOutcome::OtherBoot;
    } else if (aOrder.mTarget.mFence < worker->mFence) {
      outcome = OrderOutcome::Fenced;
    } else {
      worker->mFence = aOrder.mTarget.mFence;
      dispatch::RunNumber& highest =
        worker->mHighestRunNumbers[aOrder.mRun.mTask];
      highest = std::max(highest, aOrder.mRun.mNumber);
      const auto run = worker->mRunning.find(aOrder.mRun.mTask);
      if (run != worker->mRunning.end() &&
          run->second.mNumber == aOrder.mRun.mNumber) {
        run->second.mIsStopping = true;
        run->second.mEndsAt =
          std::min(run->second.mEndsAt, mClock.MonotonicNow() + kStopDuration);
      }
    }
    const OrderResult result = Answer(*worker, outcome);
    const milliseconds back = Delay(aOrder.mTarget.mBoot.mId);
    const bool isAnswered =
      !worker->mNetworkFaults.mAnswersLost && there + back <= aTimeout;
    After(isAnswered ? back : aTimeout, [aDone, result, isAnswered] {
      aDone(isAnswered ? result : OrderResult{ OrderOutcome::Unknown, 0 });
    });
  });
}

void
SimulatedFleet::Hold(const HoldOrder& aOrder,
                     Milliseconds aTimeout,
                     const dispatch::WorkerCalls::HoldDone& aDone)
{
  // Either the answer or the timeout completes the order, whichever comes
  // first.
  const auto pending = std::make_shared<bool>(true);
  const auto finish = [pending, aDone](const HoldResult& aResult) {
    if (*pending) {
      *pending = false;
      aDone(aResult);
    }
  };
  After(aTimeout, [finish] { finish({}); });
  After(Delay(aOrder.mTarget.mBoot.mId), [this, aOrder, finish] {
    Worker* worker = FindReachable(aOrder.mTarget);
    if (worker == nullptr) {
      return;
    }
    HoldResult refusal;
    refusal.mClock = ClockOf(*worker);
    if (!IsMeantFor(aOrder.mTarget, worker->mReport)) {
      refusal.mOutcome = OrderOutcome::OtherBoot;
      After(kOneWayDelay, [finish, refusal] { finish(refusal); });
      return;
    }
    if (aOrder.mTarget.mFence < worker->mFence) {
      refusal.mOutcome = OrderOutcome::Fenced;
      After(kOneWayDelay, [finish, refusal] { finish(refusal); });
      return;
    }
    ++worker->mHoldsSeen;
    worker->mFence = aOrder.mTarget.mFence;
    if (aOrder.mLeaseEnd > 0) {
      ExtendLease(*worker, aOrder.mLeaseEnd);
    }
    Acknowledge(*worker, aOrder.mAcknowledgedEnds);
    const std::string id = worker->mReport.mBoot.mId;
    worker->mHolds.push_back({ aOrder.mAcknowledgedEnds,
                               mClock.MonotonicNow() + aOrder.mMaxWait,
                               [this, id, finish] {
                                 const Worker& answering = mWorkers.at(id);
                                 if (answering.mNetworkFaults.mAnswersLost) {
                                   return;
                                 }
                                 const HoldResult lists = ListsOf(answering);
                                 After(Delay(id),
                                       [finish, lists] { finish(lists); });
                               } });
  });
}

HoldResult
SimulatedFleet::ListsOf(const Worker& aWorker) const
{
  HoldResult result;
  result.mOutcome = OrderOutcome::Done;
  result.mClock = ClockOf(aWorker);
  result.mStartTimeMs = aWorker.mReport.mBoot.mStartTimeMs;
  const TimePoint now = mClock.MonotonicNow();
  for (const auto& [task, run] : aWorker.mRunning) {
    dispatch::ActiveRun listed;
    listed.mRun = { task, run.mNumber };
    if (run.mEndsAt != TimePoint::max() && !run.mIsStopping) {
      listed.mPercent =
        static_cast<std::uint32_t>(100 * (now - run.mStartedAt).count() /
                                   (run.mEndsAt - run.mStartedAt).count());
    }
    result.mRunning.push_back(listed);
  }
  const std::size_t listed = std::min(aWorker.mEnded.size(), kMaxEndsListed);
  result.mEnded.assign(aWorker.mEnded.begin(),
                       aWorker.mEnded.begin() +
                         static_cast<std::ptrdiff_t>(listed));
  result.mIsEndListComplete = listed < kMaxEndsListed;
  return result;
}

void
SimulatedFleet::End(Worker& aWorker, const TaskId& aTask, RunEnd aEnd)
{
  dispatch::EndedRun end;
  end.mNumber = aWorker.mNextEndNumber++;
  end.mRun = { aTask, aWorker.mRunning.at(aTask).mNumber };
  end.mEnd = aEnd;
  aWorker.mEnded.push_back(end);
  aWorker.mRunning.erase(aTask);
}

void
SimulatedFleet::EndDueRuns(Worker& aWorker)
{
  const TimePoint now = mClock.MonotonicNow();
  std::vector<std::pair<TaskId, RunEnd>> ended;
  for (const auto& [task, run] : aWorker.mRunning) {
    if (now > aWorker.mLeaseEndsAt) {
      ended.emplace_back(task, RunEnd::LeaseExpired);
    } else if (now >= run.mEndsAt) {
      const bool fails = aWorker.mRunBehavior.mFails ||
                         (task.mStep == 0 && mJobModels[task.mJob].mFails);
      const RunEnd how = fails ? RunEnd::Failed : RunEnd::Done;
      ended.emplace_back(task, run.mIsStopping ? RunEnd::Stopped : how);
    }
  }
  for (const auto& [task, how] : ended) {
    End(aWorker, task, how);
  }
}

void
SimulatedFleet::AnswerHolds(Worker& aWorker)
{
  const TimePoint now = mClock.MonotonicNow();
  std::vector<WaitingHold> waiting;
  waiting.swap(aWorker.mHolds);
  for (WaitingHold& hold : waiting) {
    const bool hasNewEnds = !aWorker.mEnded.empty() &&
                            aWorker.mEnded.back().mNumber > hold.mAcknowledged;
    if (hasNewEnds || now >= hold.mUntil) {
      hold.mAnswer();
    } else {
      aWorker.mHolds.push_back(std::move(hold));
    }
  }
}

std::size_t
SimulatedFleet::StartsOf(const std::string& aJob) const
{
  const auto starts = mStarts.find(aJob);
  return starts == mStarts.end() ? 0 : starts->second;
}

std::size_t
SimulatedFleet::RunningOn(const std::string& aId) const
{
  return mWorkers.at(aId).mRunning.size();
}

std::size_t
SimulatedFleet::Running() const
{
  std::size_t running = 0;
  for (const auto& [id, worker] : mWorkers) {
    running += worker.mRunning.size();
  }
  return running;
}

std::size_t
SimulatedFleet::HoldsOf(const std::string& aId) const
{
  return mWorkers.at(aId).mHoldsSeen;
}

void
SimulatedFleet::ReportViolation(const std::string& aWhat)
{
  mErrors.push_back(aWhat);
}

bool
SimulatedFleet::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

}

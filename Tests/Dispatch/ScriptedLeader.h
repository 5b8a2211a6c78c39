#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Base/EventLog.h"
#include "Dispatch/Coordinator.h"
#include "Support/DiscardingSink.h"
#include "Support/ManualClock.h"

namespace almondspoke::testing {

/** \brief Keeps the orders of a leader until the test answers them. */
class OrderRecorder : public dispatch::WorkerCalls
{
public:
  template<typename Order, typename Done>
  struct Pending
  {
    Order mOrder;
    Done mDone;
  };
  using PendingStart = Pending<dispatch::StartOrder, OrderDone>;
  using PendingStop = Pending<dispatch::StopOrder, OrderDone>;
  using PendingHold = Pending<dispatch::HoldOrder, HoldDone>;

  void Start(const dispatch::StartOrder& aOrder,
             std::chrono::milliseconds /*aTimeout*/,
             OrderDone aDone) override
  {
    mStarts.push_back({ aOrder, std::move(aDone) });
  }
  void Stop(const dispatch::StopOrder& aOrder,
            std::chrono::milliseconds /*aTimeout*/,
            OrderDone aDone) override
  {
    mStops.push_back({ aOrder, std::move(aDone) });
  }
  void Hold(const dispatch::HoldOrder& aOrder,
            std::chrono::milliseconds /*aTimeout*/,
            HoldDone aDone) override
  {
    mHolds.push_back({ aOrder, std::move(aDone) });
  }

  bool MaySend() const override { return mMaySend; }

  /** Removes the oldest order of a kind and returns it. */
  template<typename Entry>
  static Entry TakeFirst(std::deque<Entry>& aQueue)
  {
    Entry first = std::move(aQueue.front());
    aQueue.pop_front();
    return first;
  }

  std::deque<PendingStart> mStarts;
  std::deque<PendingStop> mStops;
  std::deque<PendingHold> mHolds;
  /** False while the leader does not hold its lease. */
  bool mMaySend = true;
};

/** \brief An elected leader whose workers are played by the test. Records are
 * stored at once. */
class ScriptedLeader
  : public dispatch::ReplySink
  , public dispatch::RecordSink
{
public:
  using Milliseconds = std::chrono::milliseconds;

  explicit ScriptedLeader(dispatch::CoordinatorOptions aOptions = {})
    : mLog(mClock, mSink)
    , mCoordinator(aOptions, mClock, mOrders, *this, *this, mLog)
  {
    dispatch::Manifest manifest;
    manifest.mVersion = 1;
    manifest.mPools.push_back({ "pool", false, 64 });
    manifest.mQueues.push_back(
      { "urgent", "desk", "/urgent/", "pool", 0, 2, 1500, 1.6, 60 });
    manifest.mQueues.push_back(
      { "patient", "desk", "/patient/", "pool", 2, 2, 1500, 1.6, 60 });
    mCoordinator.SetManifest(
      std::make_shared<const dispatch::Manifest>(manifest));
  }

  /** Begins to lead. The workers are registered and have free clocks. */
  void Begin(const std::vector<dispatch::WorkerReport>& aWorkers,
             const std::vector<dispatch::WorkerReport>& aReports = {})
  {
    dispatch::DispatchState state;
    state.mFence = kFence;
    for (const dispatch::WorkerReport& worker : aWorkers) {
      state.mWorkers[worker.mBoot.mId] = worker;
    }
    mCoordinator.BeginLeading(kFence, state, aReports);
  }

  static dispatch::WorkerReport ReportOf(const std::string& aId,
                                         std::uint32_t aMilliCores = 20'000)
  {
    dispatch::WorkerReport report;
    report.mBoot = { aId, 1 };
    report.mPool = "pool";
    report.mAddress = "127.0.0.1:8080";
    report.mCapacity = { aMilliCores, 64'000, 0 };
    report.mSequence = 1;
    report.mClockMs = 1000;
    return report;
  }

  /** Submits a best-effort job with one step. */
  void Submit(const std::string& aId,
              std::uint32_t aTasks,
              std::uint32_t aMilliCores,
              const std::string& aQueue = "urgent",
              std::uint32_t aEarlierSends = 0)
  {
    dispatch::JobCall call;
    call.mKind = dispatch::JobCallKind::Submit;
    call.mHost = "desk";
    call.mPath = "/" + aQueue + "/" + aId;
    call.mEarlierSends = aEarlierSends;
    call.mWaitMs = 1500;
    call.mJob.mBestEffort = true;
    dispatch::StepSpec step;
    step.mCount = aTasks;
    step.mNeeds = { aMilliCores, 64, 0 };
    step.mEstimateMs = 50;
    call.mJob.mSteps.push_back(step);
    mCoordinator.Call(++mLastCall, call);
  }

  /** Sends a call without a job, such as a query, for a path below a queue. */
  dispatch::JobReply Ask(dispatch::JobCallKind aKind, const std::string& aPath)
  {
    dispatch::JobCall call;
    call.mKind = aKind;
    call.mHost = "desk";
    call.mPath = aPath;
    mCoordinator.Call(++mLastCall, call);
    return mReplies[mLastCall];
  }

  void AnswerStart(dispatch::OrderOutcome aOutcome)
  {
    const auto start = OrderRecorder::TakeFirst(mOrders.mStarts);
    start.mDone({ aOutcome, 1000 + mElapsedMs });
  }
  /** Answers the oldest start order as a boot whose clock began anew. */
  void AnswerStartByLaterBoot(dispatch::OrderOutcome aOutcome)
  {
    const auto start = OrderRecorder::TakeFirst(mOrders.mStarts);
    start.mDone({ aOutcome, kFirstClock });
  }
  /** Answers the oldest hold order with lists of runs. */
  void AnswerHold(std::vector<dispatch::ActiveRun> aRunning = {},
                  std::vector<dispatch::EndedRun> aEnded = {})
  {
    AnswerHoldAs(0, 1000 + mElapsedMs, std::move(aRunning), std::move(aEnded));
  }
  /** Answers the oldest hold order with lists that were made when the worker's
   * clock showed a time. */
  void AnswerHoldOf(dispatch::WorkerTime aClock,
                    std::vector<dispatch::ActiveRun> aRunning,
                    std::vector<dispatch::EndedRun> aEnded = {})
  {
    AnswerHoldAs(0, aClock, std::move(aRunning), std::move(aEnded));
  }
  /** Answers the latest hold order with empty lists. */
  void AnswerLastHold()
  {
    std::swap(mOrders.mHolds.front(), mOrders.mHolds.back());
    AnswerHold();
  }
  /** Answers the oldest hold order with a part of the ends. */
  void AnswerHoldInPart(std::vector<dispatch::EndedRun> aEnded)
  {
    const auto hold = OrderRecorder::TakeFirst(mOrders.mHolds);
    dispatch::HoldResult result;
    result.mOutcome = dispatch::OrderOutcome::Done;
    result.mClock = 1000 + mElapsedMs;
    result.mEnded = std::move(aEnded);
    result.mIsEndListComplete = false;
    hold.mDone(result);
  }
  /** Answers the oldest hold order as a boot whose clock began anew.
   * \param aStartTimeMs start time of the boot */
  void AnswerHoldByLaterBoot(std::uint64_t aStartTimeMs,
                             std::vector<dispatch::ActiveRun> aRunning = {},
                             std::vector<dispatch::EndedRun> aEnded = {})
  {
    AnswerHoldAs(
      aStartTimeMs, kFirstClock, std::move(aRunning), std::move(aEnded));
  }

  void Run(Milliseconds aTime)
  {
    constexpr int kTickMs = 10;
    for (std::int64_t i = 0; i < aTime.count(); i += kTickMs) {
      mClock.Advance(Milliseconds(kTickMs));
      mElapsedMs += kTickMs;
      mCoordinator.Tick();
    }
  }

  void Reply(dispatch::CallId aCall, const dispatch::JobReply& aReply) override
  {
    mReplies[aCall] = aReply;
  }
  void Store(const dispatch::RecordBatch& aBatch,
             dispatch::RecordSink::Done aDone) override
  {
    mBatches.push_back(aBatch);
    mStored.push_back(std::move(aDone));
  }
  /** Completes the batches that were handed in for storing. */
  void CompleteStores()
  {
    std::vector<dispatch::RecordSink::Done> stored;
    stored.swap(mStored);
    for (const auto& done : stored) {
      done(true);
    }
  }

  static constexpr dispatch::Fence kFence = 2;
  /** What a boot's clock shows soon after its start. */
  static constexpr dispatch::WorkerTime kFirstClock = 5;

  ManualClock mClock;
  DiscardingSink mSink;
  EventLog mLog;
  OrderRecorder mOrders;
  dispatch::Coordinator mCoordinator;
  std::map<dispatch::CallId, dispatch::JobReply> mReplies;
  std::vector<dispatch::RecordSink::Done> mStored;
  /** All batches that were handed in for storing. */
  std::vector<dispatch::RecordBatch> mBatches;
  dispatch::CallId mLastCall = 0;
  std::int64_t mElapsedMs = 0;

private:
  void AnswerHoldAs(std::uint64_t aStartTimeMs,
                    dispatch::WorkerTime aClock,
                    std::vector<dispatch::ActiveRun> aRunning,
                    std::vector<dispatch::EndedRun> aEnded)
  {
    const auto hold = OrderRecorder::TakeFirst(mOrders.mHolds);
    dispatch::HoldResult result;
    result.mOutcome = dispatch::OrderOutcome::Done;
    result.mClock = aClock;
    result.mStartTimeMs = aStartTimeMs;
    result.mRunning = std::move(aRunning);
    result.mEnded = std::move(aEnded);
    hold.mDone(result);
  }
};

}

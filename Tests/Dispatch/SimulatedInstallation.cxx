#include "Dispatch/SimulatedInstallation.h"

#include <utility>

namespace almondspoke::testing {

namespace {

using namespace almondspoke::dispatch;
using std::chrono::milliseconds;
using Cost = SimulatedProcessor::Cost;

constexpr Term kTerm = 2;
constexpr int kRelayCount = 5;
constexpr int kDataCentres = kRelayCount + 1;
constexpr int kWorkersOfDataCentre = 180;
constexpr std::uint32_t kMilliCoresOfWorker = 32'000;
constexpr std::uint32_t kMilliCoresOfTask = 16'000;

constexpr milliseconds kPeerDelay{ 1 };
/** What an order costs its relay: the exchange with the worker, and the two
 * messages from and to the leader. */
constexpr Cost kExchangeCost{ 600 };
constexpr Cost kPeerMessageCost{ 200 };
constexpr Cost kConnectCost{ 1000 };
/** What a message costs the leader, which handles those of all relays. */
constexpr Cost kLeaderMessageCost{ 40 };
constexpr Cost kCallCost{ 100 };
constexpr Cost kTickCost{ 200 };

constexpr milliseconds kCallerPatience{ 1500 };

/** \brief What the jobs of a queue need. */
struct QueueModel
{
  const char* mName;
  milliseconds mDuration;
  /** Jobs of this queue out of each ten. */
  int mShareOfTen;
};

constexpr QueueModel kQueues[] = {
  { "urgent", milliseconds(60), 3 },
  { "patient", milliseconds(200), 7 },
};

std::string
DataCentreName(int aNumber)
{
  return "dc" + std::to_string(aNumber);
}

}

template<typename Order, typename Answer>
void
CostlyWorkerCalls::Send(
  const Order& aOrder,
  milliseconds aTimeout,
  std::function<void(const Answer&)> aDone,
  void (SimulatedFleet::*aDeliver)(const Order&,
                                   milliseconds,
                                   const std::function<void(const Answer&)>&))
{
  const WorkerId worker = aOrder.mTarget.mBoot.mId;
  const bool isNew = mConnected.insert(worker).second;
  const auto isOpen = std::make_shared<bool>(true);
  const auto finish =
    [this, isOpen, worker, done = std::move(aDone)](const Answer& aAnswer) {
      if (std::exchange(*isOpen, false)) {
        if (aAnswer.mOutcome == OrderOutcome::Unknown) {
          mConnected.erase(worker);
        }
        done(aAnswer);
      }
    };
  mFleet.After(aTimeout, [finish] { finish({}); });
  const Cost cost = kExchangeCost + (isNew ? kConnectCost : Cost(0));
  mProcessor.Handle(cost / 2, [this, cost, aOrder, aTimeout, aDeliver, finish] {
    (mFleet.*
     aDeliver)(aOrder, aTimeout, [this, cost, finish](const Answer& aAnswer) {
      mProcessor.Handle(cost / 2, [finish, aAnswer] { finish(aAnswer); });
    });
  });
}

void
CostlyWorkerCalls::Start(const StartOrder& aOrder,
                         milliseconds aTimeout,
                         OrderDone aDone)
{
  Send(aOrder, aTimeout, std::move(aDone), &SimulatedFleet::Start);
}

void
CostlyWorkerCalls::Stop(const StopOrder& aOrder,
                        milliseconds aTimeout,
                        OrderDone aDone)
{
  Send(aOrder, aTimeout, std::move(aDone), &SimulatedFleet::Stop);
}

void
CostlyWorkerCalls::Hold(const HoldOrder& aOrder,
                        milliseconds aTimeout,
                        HoldDone aDone)
{
  Send(aOrder, aTimeout, std::move(aDone), &SimulatedFleet::Hold);
}

void
CostlyPeerRpc::Call(const InstanceName& aTo,
                    const std::string& aMethod,
                    std::string aRequest,
                    milliseconds aTimeout,
                    Done aDone)
{
  CostlyPeerRpc* const peer = mPeers.at(aTo);
  const auto isOpen = std::make_shared<bool>(true);
  const auto finish =
    [isOpen, done = std::move(aDone)](const Result<std::string>& aAnswer) {
      if (std::exchange(*isOpen, false)) {
        done(aAnswer);
      }
    };
  mProcessor.Spend(kLeaderMessageCost);
  mFleet.After(aTimeout, [finish] {
    finish(Error(ErrorKind::PeerTimeout, "no response"));
  });
  const auto answer = [this, peer, finish](const Result<std::string>& aAnswer) {
    peer->mProcessor.Spend(kPeerMessageCost);
    mFleet.After(kPeerDelay, [this, finish, aAnswer] {
      mProcessor.Handle(kLeaderMessageCost,
                        [finish, aAnswer] { finish(aAnswer); });
    });
  };
  mFleet.After(kPeerDelay,
               [peer, aMethod, request = std::move(aRequest), answer] {
                 peer->mProcessor.Handle(
                   kPeerMessageCost, [peer, aMethod, request, answer] {
                     peer->mHandlers.at(aMethod)("leader", request, answer);
                   });
               });
}

/** \brief A coordinator that sends orders for the leader. */
struct SimulatedInstallation::Relay
{
  Relay(SimulatedInstallation& aOwner, std::string aDataCentre)
    : mDataCentre(std::move(aDataCentre))
    , mProcessor(aOwner.mFleet)
    , mRpc(aOwner.mFleet, mProcessor)
    , mCalls(aOwner.mFleet, mProcessor)
    , mRelay(aOwner.mClock, aOwner.mLog, mRpc, mCalls, [] { return kTerm; })
  {
    mRelay.Register();
  }

  const std::string mDataCentre;
  SimulatedProcessor mProcessor;
  CostlyPeerRpc mRpc;
  CostlyWorkerCalls mCalls;
  OrderRelay mRelay;
};

SimulatedInstallation::SimulatedInstallation(std::uint64_t aSeed)
  : mFleet(mClock, aSeed)
  , mLog(mClock, mSink)
  , mGroup(mFleet)
  , mProcessor(mFleet)
  , mRpc(mFleet, mProcessor)
  , mDirect(mFleet, mProcessor)
  , mRelayDirectory(mClock, mLog)
  , mCalls(mClock,
           mRpc,
           mDirect,
           mRelayDirectory,
           [] { return std::make_optional(kTerm); })
  , mRecords(mGroup)
  , mCoordinator(std::make_unique<Coordinator>(CoordinatorOptions{},
                                               mClock,
                                               mCalls,
                                               *this,
                                               mRecords,
                                               mLog))
{
  mClock.Advance(std::chrono::hours(1));
  AddWorkers();
  AddRelays();
  Manifest manifest;
  manifest.mVersion = 1;
  manifest.mPools.push_back({ "pool", false, 64 });
  manifest.mQueues.push_back(
    { "urgent", "desk", "/urgent/", "pool", 0, 2, 1500, 1.6, 60 });
  manifest.mQueues.push_back(
    { "patient", "desk", "/patient/", "pool", 2, 2, 1500, 1.6, 60 });
  mCoordinator->SetManifest(std::make_shared<const Manifest>(manifest));
  RecordBatch begin;
  begin.mFence = kTerm;
  ApplyBatch(mGroup.mState, begin);
  mCoordinator->BeginLeading(kTerm, mGroup.mState, mReports);
  Offer(0, milliseconds(1500));
}

SimulatedInstallation::~SimulatedInstallation() = default;

void
SimulatedInstallation::AddWorkers()
{
  for (int i = 0; i < kDataCentres * kWorkersOfDataCentre; ++i) {
    WorkerReport report =
      mFleet.AddWorker("w" + std::to_string(i), kMilliCoresOfWorker);
    report.mDataCentre = DataCentreName(i % kDataCentres);
    mReports.push_back(report);
  }
}

void
SimulatedInstallation::AddRelays()
{
  for (int i = 0; i < kRelayCount; ++i) {
    const std::string name = DataCentreName(i);
    mRelays.push_back(std::make_unique<Relay>(*this, name));
    mRpc.mPeers[name] = &mRelays.back()->mRpc;
    mRelayDirectory.Update(name, name, true, PeerTimeOf(mClock));
  }
}

void
SimulatedInstallation::TellRelayStatus(Relay& aRelay)
{
  aRelay.mProcessor.Handle(kPeerMessageCost, [this, &aRelay] {
    const PeerTime time = PeerTimeOf(mClock);
    mFleet.After(kPeerDelay, [this, &aRelay, time] {
      mProcessor.Handle(kLeaderMessageCost, [this, &aRelay, time] {
        mRelayDirectory.Update(
          aRelay.mDataCentre, aRelay.mDataCentre, true, time);
      });
    });
  });
}

void
SimulatedInstallation::Tick()
{
  if (std::exchange(mIsTickQueued, true)) {
    return;
  }
  const auto due = mClock.MonotonicNow();
  mProcessor.Handle(kTickCost, [this, due] {
    mIsTickQueued = false;
    mCoordinator->ObserveDelay(
      std::chrono::duration_cast<milliseconds>(mClock.MonotonicNow() - due));
    mCoordinator->Tick();
  });
}

void
SimulatedInstallation::Step()
{
  mFleet.Step();
  ++mElapsedMs;
  constexpr std::uint64_t kTickInterval = 10;
  constexpr std::uint64_t kStatusInterval = 1000;
  if (mElapsedMs % kTickInterval == 0) {
    Tick();
  }
  if (mElapsedMs % kStatusInterval != 0) {
    return;
  }
  for (const auto& relay : mRelays) {
    TellRelayStatus(*relay);
  }
  for (WorkerReport& report : mReports) {
    ++report.mSequence;
    mCoordinator->OnReport(report);
  }
}

void
SimulatedInstallation::Submit(Figures& aFigures)
{
  const CallId id = ++mLastCall;
  const bool isUrgent = static_cast<int>(id % 10) < kQueues[0].mShareOfTen;
  const QueueModel& queue = isUrgent ? kQueues[0] : kQueues[1];
  const std::string job = "job" + std::to_string(id);
  const Resources needs{ kMilliCoresOfTask, 64, 0 };
  mFleet.DescribeJob(job, { needs, queue.mDuration, false });
  JobCall call;
  call.mKind = JobCallKind::Submit;
  call.mHost = "desk";
  call.mPath = "/" + std::string(queue.mName) + "/" + job;
  call.mWaitMs = kCallerPatience.count();
  call.mJob.mBestEffort = true;
  StepSpec step;
  step.mCount = kTasksOfJob;
  step.mNeeds = needs;
  step.mEstimateMs = static_cast<std::uint32_t>(queue.mDuration.count());
  call.mJob.mSteps.push_back(step);
  QueueFigures& figures = aFigures[queue.mName];
  ++figures.mOffered;
  mOpen[id] = { &figures, mClock.MonotonicNow() + kCallerPatience };
  mProcessor.Handle(kCallCost,
                    [this, id, call] { mCoordinator->Call(id, call); });
}

SimulatedInstallation::Figures
SimulatedInstallation::Offer(double aLoad, Milliseconds aTime)
{
  constexpr double kMillisecondsOfSecond = 1000;
  Figures figures;
  const double jobsOfStep =
    aLoad * kCapacity / kTasksOfJob / kMillisecondsOfSecond;
  for (std::int64_t i = 0; i < aTime.count(); ++i) {
    for (mDueJobs += jobsOfStep; mDueJobs >= 1; mDueJobs -= 1) {
      Submit(figures);
    }
    Step();
  }
  // The figures do not outlive this call: what is open counts only if its
  // caller has waited in vain.
  for (const auto& [id, job] : mOpen) {
    job.mFigures->mOffered -= mClock.MonotonicNow() < job.mDeadline ? 1 : 0;
  }
  mOpen.clear();
  return figures;
}

void
SimulatedInstallation::Reply(CallId aCall, const JobReply& aReply)
{
  mProcessor.Spend(kLeaderMessageCost);
  const auto open = mOpen.find(aCall);
  if (open == mOpen.end()) {
    return;
  }
  const bool isServed = aReply.mKind == JobReplyKind::Accepted &&
                        aReply.mState == JobState::Completed &&
                        mClock.MonotonicNow() <= open->second.mDeadline;
  open->second.mFigures->mServed += isServed ? 1 : 0;
  mOpen.erase(open);
}

std::size_t
SimulatedInstallation::CountedButAbsentRuns() const
{
  const std::size_t counted = mCoordinator->AssignedRuns();
  const std::size_t present = mFleet.Running();
  return counted > present ? counted - present : 0;
}

}

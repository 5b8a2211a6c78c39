#include "Dispatch/SimulatedInstallation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondspoke::testing {

namespace {

using namespace almondspoke::dispatch;
using std::chrono::milliseconds;
using Cost = SimulatedProcessor::Cost;

constexpr int kRelayCount = 5;
constexpr int kDataCentres = kRelayCount + 1;

constexpr milliseconds kPeerDelay{ 1 };
constexpr Cost kPeerMessageCost{ 200 };
constexpr Cost kConnectCost{ 1000 };
/** What a message costs the leader, which handles those of all relays. */
constexpr Cost kLeaderMessageCost{ 40 };
constexpr Cost kCallCost{ 100 };
constexpr Cost kTickCost{ 200 };

constexpr milliseconds kCallerPatience{ 1500 };

constexpr double kSlackFactor = 1.6;
constexpr milliseconds kLatencyTarget{ 60 };
/** A late answer is of use up to this multiple of the objective. */
constexpr int kUsefulObjectives = 3;
/** Time after which a new leader has recovered at the latest. */
constexpr milliseconds kRecoveryTime{ 1060 };

CoordinatorOptions
OptionsOf(const InstallationModel& aModel)
{
  CoordinatorOptions options;
  options.mAdmission = aModel.mAdmission;
  return options;
}

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
  const Cost cost = mExchangeCost + (isNew ? kConnectCost : Cost(0));
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
    , mRelay(aOwner.mClock, aOwner.mLog, mRpc, mCalls, [&aOwner] {
      return aOwner.mTerm;
    })
  {
    mRelay.Register();
  }

  const std::string mDataCentre;
  SimulatedProcessor mProcessor;
  CostlyPeerRpc mRpc;
  CostlyWorkerCalls mCalls;
  OrderRelay mRelay;
};

SimulatedInstallation::SimulatedInstallation(std::uint64_t aSeed,
                                             InstallationModel aModel)
  : mModel(std::move(aModel))
  , mRandom(aSeed)
  , mFleet(mClock, aSeed)
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
           [this] { return std::make_optional(mTerm); })
  , mRecords(mGroup)
{
  mClock.Advance(std::chrono::hours(1));
  AddWorkers();
  AddRelays();
  Manifest manifest;
  manifest.mVersion = 1;
  manifest.mPools.push_back({ "pool", false, 64 });
  for (const QueueModel& queue : mModel.mQueues) {
    manifest.mQueues.push_back({ queue.mName,
                                 "desk",
                                 "/" + std::string(queue.mName) + "/",
                                 "pool",
                                 queue.mPriority,
                                 2,
                                 kCallerPatience.count(),
                                 kSlackFactor,
                                 kLatencyTarget.count() });
  }
  mManifest = std::make_shared<const Manifest>(manifest);
  BeginLeading();
  Offer(0, milliseconds(1500));
}

SimulatedInstallation::~SimulatedInstallation() = default;

void
SimulatedInstallation::BeginLeading()
{
  mCoordinator = std::make_unique<Coordinator>(
    OptionsOf(mModel), mClock, mCalls, *this, mRecords, mLog);
  mCoordinator->SetManifest(mManifest);
  RecordBatch begin;
  begin.mFence = mTerm;
  ApplyBatch(mGroup.mState, begin);
  mRecoveryEndsBy = mClock.MonotonicNow() + kRecoveryTime;
  mCoordinator->BeginLeading(mTerm, mGroup.mState, mReports);
}

void
SimulatedInstallation::ChangeLeader(const std::string& aSilentWorker)
{
  mFleet.NetworkFaultsOf(aSilentWorker).mUnreachable = true;
  mCoordinator->Resign();
  mFormerLeaders.push_back(std::move(mCoordinator));
  mOpen.clear();
  ++mTerm;
  BeginLeading();
}

void
SimulatedInstallation::AddWorkers()
{
  for (int i = 0; i < kDataCentres * mModel.mWorkersOfDataCentre; ++i) {
    WorkerReport report =
      mFleet.AddWorker("w" + std::to_string(i), mModel.mMilliCoresOfWorker);
    report.mDataCentre = DataCentreName(i % kDataCentres);
    mReports.push_back(report);
  }
}

void
SimulatedInstallation::AddRelays()
{
  mDirect.SetExchangeCost(mModel.mExchangeCost);
  for (int i = 0; i < kRelayCount; ++i) {
    const std::string name = DataCentreName(i);
    mRelays.push_back(std::make_unique<Relay>(*this, name));
    mRelays.back()->mCalls.SetExchangeCost(mModel.mExchangeCost);
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

const QueueModel&
SimulatedInstallation::QueueOf(CallId aCall) const
{
  constexpr int kTen = 10;
  int left = static_cast<int>(aCall % kTen);
  for (const QueueModel& queue : mModel.mQueues) {
    left -= queue.mShareOfTen;
    if (left < 0) {
      return queue;
    }
  }
  return mModel.mQueues.back();
}

milliseconds
SimulatedInstallation::DrawDuration(const QueueModel& aQueue)
{
  std::normal_distribution<double> spread(0, 1);
  const double factor = std::exp(mModel.mDurationSpread * spread(mRandom));
  return milliseconds(static_cast<std::int64_t>(
    static_cast<double>(aQueue.mDuration.count()) * factor));
}

std::uint32_t
SimulatedInstallation::DrawMilliCores()
{
  std::uniform_real_distribution<double> spread(-mModel.mTaskSpread,
                                                mModel.mTaskSpread);
  return static_cast<std::uint32_t>(mModel.mMilliCoresOfTask *
                                    (1.0 + spread(mRandom)));
}

void
SimulatedInstallation::Submit(Figures& aFigures)
{
  const CallId id = ++mLastCall;
  const QueueModel& queue = QueueOf(id);
  const milliseconds duration = DrawDuration(queue);
  const double logError = std::log(mModel.mEstimateError);
  std::uniform_real_distribution<double> error(-logError, logError);
  const double estimate =
    static_cast<double>(duration.count()) * std::exp(error(mRandom));
  const std::string job = "job" + std::to_string(id);
  const Resources needs{ DrawMilliCores(), 64, 0 };
  mFleet.DescribeJob(job, { needs, duration, false });
  JobCall call;
  call.mKind = JobCallKind::Submit;
  call.mHost = "desk";
  call.mPath = "/" + std::string(queue.mName) + "/" + job;
  call.mWaitMs = kCallerPatience.count();
  call.mJob.mBestEffort = true;
  StepSpec step;
  step.mCount = queue.mTasksOfJob;
  step.mNeeds = needs;
  step.mEstimateMs = static_cast<std::uint32_t>(estimate);
  call.mJob.mSteps.push_back(step);
  QueueFigures& figures = aFigures[queue.mName];
  ++figures.mOffered;
  OpenJob open;
  open.mFigures = &figures;
  open.mArrivedAt = mClock.MonotonicNow();
  open.mDeadline = open.mArrivedAt + kCallerPatience;
  open.mDuration = duration;
  open.mObjective =
    kLatencyTarget + milliseconds(static_cast<std::int64_t>(
                       static_cast<double>(duration.count()) * kSlackFactor));
  open.mJob = { queue.mName, queue.mTasksOfJob, needs.mMilliCores };
  mOpen[id] = open;
  mProcessor.Handle(kCallCost,
                    [this, id, call] { mCoordinator->Call(id, call); });
}

SimulatedInstallation::Figures
SimulatedInstallation::Offer(double aLoad, Milliseconds aTime)
{
  constexpr double kMillisecondsOfSecond = 1000;
  double tasksOfTen = 0;
  for (const QueueModel& queue : mModel.mQueues) {
    tasksOfTen += queue.mShareOfTen * queue.mTasksOfJob;
  }
  constexpr double kTen = 10;
  Figures figures;
  const double jobsOfStep = aLoad * mModel.mTasksPerSecond /
                            (tasksOfTen / kTen) / kMillisecondsOfSecond;
  for (std::int64_t i = 0; i < aTime.count(); ++i) {
    for (mDueJobs += jobsOfStep; mDueJobs >= 1; mDueJobs -= 1) {
      Submit(figures);
    }
    Step();
  }
  // The figures do not outlive this call: what is open counts only if its
  // caller has waited in vain.
  for (auto entry = mOpen.begin(); entry != mOpen.end();) {
    OpenJob& job = entry->second;
    const bool hasWaitedInVain = mClock.MonotonicNow() >= job.mDeadline;
    if (job.mFigures != nullptr) {
      job.mFigures->mOffered -= hasWaitedInVain ? 0 : 1;
      job.mFigures = nullptr;
    }
    if (!hasWaitedInVain) {
      ++entry;
      continue;
    }
    mOffered.push_back(job.mJob);
    entry = mOpen.erase(entry);
  }
  return figures;
}

std::vector<OfferedJob>
SimulatedInstallation::TakeOffered()
{
  return std::exchange(mOffered, {});
}

std::size_t
SimulatedInstallation::KnownRoomFor(std::uint32_t aMilliCores) const
{
  std::size_t room = 0;
  for (const auto& [id, worker] : mCoordinator->Workers()) {
    room += worker.IsUsable() ? worker.Free().mMilliCores / aMilliCores : 0;
  }
  return room;
}

JobFate
SimulatedInstallation::FateOf(const OpenJob& aJob, const JobReply& aReply) const
{
  const auto now = mClock.MonotonicNow();
  if (aReply.mKind == JobReplyKind::Refused) {
    const auto latestUsefulStart =
      std::min(aJob.mArrivedAt + aJob.mObjective * kUsefulObjectives,
               aJob.mDeadline) -
      aJob.mDuration;
    const bool hasRoom =
      KnownRoomFor(aJob.mJob.mMilliCores) >= aJob.mJob.mTasks &&
      (mCoordinator->IsRecoveryComplete() ||
       mRecoveryEndsBy <= latestUsefulStart);
    return hasRoom ? JobFate::RefusedWithRoom : JobFate::Refused;
  }
  const bool isServed = aReply.mKind == JobReplyKind::Accepted &&
                        aReply.mState == JobState::Completed &&
                        now <= aJob.mDeadline;
  const auto took = now - aJob.mArrivedAt;
  if (!isServed || took > aJob.mObjective * kUsefulObjectives) {
    return JobFate::Unanswered;
  }
  return took <= aJob.mObjective ? JobFate::OnTime : JobFate::Late;
}

void
SimulatedInstallation::Reply(CallId aCall, const JobReply& aReply)
{
  mProcessor.Spend(kLeaderMessageCost);
  const auto open = mOpen.find(aCall);
  if (open == mOpen.end()) {
    return;
  }
  OpenJob& job = open->second;
  const bool isServed = aReply.mKind == JobReplyKind::Accepted &&
                        aReply.mState == JobState::Completed &&
                        mClock.MonotonicNow() <= job.mDeadline;
  if (job.mFigures != nullptr) {
    job.mFigures->mServed += isServed ? 1 : 0;
  }
  job.mJob.mFate = FateOf(job, aReply);
  mOffered.push_back(job.mJob);
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

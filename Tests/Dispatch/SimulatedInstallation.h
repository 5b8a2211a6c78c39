#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Base/EventLog.h"
#include "Dispatch/Coordinator.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/OrderRelay.h"
#include "Dispatch/RelayDirectory.h"
#include "Dispatch/RelayedWorkerCalls.h"
#include "Dispatch/SimulatedFleet.h"
#include "Dispatch/SimulatedProcessor.h"

namespace almondspoke::testing {

/** \brief Calls workers from one instance; each exchange costs its processor,
 * one on a new connection more. */
class CostlyWorkerCalls : public dispatch::WorkerCalls
{
public:
  CostlyWorkerCalls(SimulatedFleet& aFleet, SimulatedProcessor& aProcessor)
    : mFleet(aFleet)
    , mProcessor(aProcessor)
  {
  }

  /** Sets what an order costs this instance. */
  void SetExchangeCost(SimulatedProcessor::Cost aCost)
  {
    mExchangeCost = aCost;
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

private:
  template<typename Order, typename Answer>
  void Send(const Order& aOrder,
            std::chrono::milliseconds aTimeout,
            std::function<void(const Answer&)> aDone,
            void (SimulatedFleet::*aDeliver)(
              const Order&,
              std::chrono::milliseconds,
              const std::function<void(const Answer&)>&));

  SimulatedFleet& mFleet;
  SimulatedProcessor& mProcessor;
  SimulatedProcessor::Cost mExchangeCost{ 600 };
  std::set<dispatch::WorkerId> mConnected;
};

/** \brief Calls from one instance to others; each message costs the processor
 * of its receiver. */
class CostlyPeerRpc : public PeerRpc
{
public:
  CostlyPeerRpc(SimulatedFleet& aFleet, SimulatedProcessor& aProcessor)
    : mFleet(aFleet)
    , mProcessor(aProcessor)
  {
  }

  void Call(const InstanceName& aTo,
            const std::string& aMethod,
            std::string aRequest,
            std::chrono::milliseconds aTimeout,
            Done aDone) override;
  void Register(const std::string& aMethod, Handler aHandler) override
  {
    mHandlers[aMethod] = std::move(aHandler);
  }

  std::map<InstanceName, CostlyPeerRpc*> mPeers;

private:
  SimulatedFleet& mFleet;
  SimulatedProcessor& mProcessor;
  std::map<std::string, Handler> mHandlers;
};

/** \brief The jobs of a queue. Sizes and durations vary from job to job by the
 * spreads of the InstallationModel. */
struct QueueModel
{
  const char* mName;
  std::uint32_t mPriority;
  std::chrono::milliseconds mDuration;
  std::uint32_t mTasksOfJob;
  /** Jobs of this queue out of each ten. */
  int mShareOfTen;
};

/** \brief Workers, tasks and costs of a SimulatedInstallation. */
struct InstallationModel
{
  int mWorkersOfDataCentre = 180;
  std::uint32_t mMilliCoresOfWorker = 32'000;
  std::uint32_t mMilliCoresOfTask = 16'000;
  /** The cores of a task differ from mMilliCoresOfTask by up to this part. */
  double mTaskSpread = 0;
  /** Standard deviation of the logarithm of the durations of a queue. */
  double mDurationSpread = 0;
  /** Declared durations are wrong by up to this factor either way. */
  double mEstimateError = 1;
  /** What an order costs its relay: the exchange with the worker, and the two
   * messages from and to the leader. */
  std::chrono::microseconds mExchangeCost{ 600 };
  /** Tasks a second that are offered at load 1. */
  double mTasksPerSecond = 2500;
  dispatch::AdmissionPolicy mAdmission = dispatch::AdmissionPolicy::Fixed;
  std::vector<QueueModel> mQueues = {
    { "urgent", 0, std::chrono::milliseconds(60), 4, 3 },
    { "patient", 2, std::chrono::milliseconds(200), 4, 7 },
  };
};

/** \brief What became of a job. */
enum class JobFate : std::uint8_t
{
  /** Not answered in the time that its caller waits. */
  Unanswered,
  /** Ended within its objective. */
  OnTime,
  /** Ended within three times its objective. */
  Late,
  Refused,
  /** Refused while by what the leader knew all of its tasks had room, which
   * could be used, at the end of a recovery, while the answer was of use. */
  RefusedWithRoom
};

/** \brief A job that was offered, and what became of it. */
struct OfferedJob
{
  std::string mQueue;
  std::uint32_t mTasks = 0;
  std::uint32_t mMilliCores = 0;
  JobFate mFate = JobFate::Unanswered;
};

/** \brief How the jobs of a queue fared. */
struct QueueFigures
{
  std::size_t mOffered = 0;
  std::size_t mServed = 0;
};

/** \brief A leader and relays whose processors are limited, many workers, and
 * callers that offer jobs at a rate, in simulated time. */
class SimulatedInstallation : public dispatch::ReplySink
{
public:
  using Milliseconds = std::chrono::milliseconds;
  /** Figures by queue. */
  using Figures = std::map<std::string, QueueFigures>;

  /** Tasks of each job. */
  static constexpr std::uint32_t kTasksOfJob = 4;
  /** Tasks a second that the relays bear if each needs one start and one list.
   */
  static constexpr double kCapacity = 2500;

  explicit SimulatedInstallation(std::uint64_t aSeed,
                                 InstallationModel aModel = {});
  ~SimulatedInstallation() override;

  /** Offers jobs for a time and returns how those fared that were offered in
   * it. Jobs that are open at its end count only if their callers have left.
   * \param aLoad offered tasks, as a multiple of kCapacity */
  Figures Offer(double aLoad, Milliseconds aTime);

  /** Lets another leader take over from the stored state. Callers that wait for
   * the former one are forgotten.
   * \param aSilentWorker is not reached from now on, so that the recovery ends
   *        only when its lease has */
  void ChangeLeader(const std::string& aSilentWorker);

  /** Returns the jobs that were offered since the last call and whose callers
   * have an answer or wait no longer. */
  std::vector<OfferedJob> TakeOffered();

  /** Runs, or what may be one, that the leader counts on the workers, without
   * those that are there. */
  std::size_t CountedButAbsentRuns() const;
  const std::vector<std::string>& Errors() const { return mFleet.Errors(); }
  const dispatch::Coordinator& Leader() const { return *mCoordinator; }

  void Reply(dispatch::CallId aCall, const dispatch::JobReply& aReply) override;

private:
  struct Relay;
  struct OpenJob
  {
    /** Null once the Offer() in which the job was offered has returned. */
    QueueFigures* mFigures = nullptr;
    Clock::Monotonic mDeadline{};
    Clock::Monotonic mArrivedAt{};
    Milliseconds mDuration{ 0 };
    Milliseconds mObjective{ 0 };
    OfferedJob mJob;
  };

  void AddWorkers();
  void BeginLeading();
  const QueueModel& QueueOf(dispatch::CallId aCall) const;
  /** Returns the duration of the tasks of a job. */
  Milliseconds DrawDuration(const QueueModel& aQueue);
  std::uint32_t DrawMilliCores();
  /** Returns how many tasks of a size have room by what the leader knows. */
  std::size_t KnownRoomFor(std::uint32_t aMilliCores) const;
  JobFate FateOf(const OpenJob& aJob, const dispatch::JobReply& aReply) const;
  void AddRelays();
  void Submit(Figures& aFigures);
  void Step();
  void Tick();
  void TellRelayStatus(Relay& aRelay);

  const InstallationModel mModel;
  std::mt19937_64 mRandom;
  ManualClock mClock;
  SimulatedFleet mFleet;
  TextSink mSink;
  EventLog mLog;
  SimulatedGroup mGroup;
  SimulatedProcessor mProcessor;
  CostlyPeerRpc mRpc;
  CostlyWorkerCalls mDirect;
  dispatch::RelayDirectory mRelayDirectory;
  dispatch::RelayedWorkerCalls mCalls;
  std::vector<std::unique_ptr<Relay>> mRelays;
  std::vector<dispatch::WorkerReport> mReports;
  struct GroupSink : dispatch::RecordSink
  {
    explicit GroupSink(SimulatedGroup& aGroup)
      : mGroup(aGroup)
    {
    }
    void Store(const dispatch::RecordBatch& aBatch, Done aDone) override
    {
      mGroup.Store(aBatch, std::move(aDone));
    }
    SimulatedGroup& mGroup;
  } mRecords;
  dispatch::Fence mTerm = 2;
  Clock::Monotonic mRecoveryEndsBy{};
  std::shared_ptr<const dispatch::Manifest> mManifest;
  std::unique_ptr<dispatch::Coordinator> mCoordinator;
  /** Answers to their orders may still arrive. */
  std::vector<std::unique_ptr<dispatch::Coordinator>> mFormerLeaders;
  std::map<dispatch::CallId, OpenJob> mOpen;
  std::vector<OfferedJob> mOffered;
  dispatch::CallId mLastCall = 0;
  std::uint64_t mElapsedMs = 0;
  /** Jobs that are due and not submitted yet, in part. */
  double mDueJobs = 0;
  bool mIsTickQueued = false;
};

}

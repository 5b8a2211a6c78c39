#pragma once

#include <cstdint>
#include <map>
#include <memory>
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

  explicit SimulatedInstallation(std::uint64_t aSeed);
  ~SimulatedInstallation() override;

  /** Offers jobs for a time and returns how those fared that were offered in
   * it. Jobs that are open at its end count only if their callers have left.
   * \param aLoad offered tasks, as a multiple of kCapacity */
  Figures Offer(double aLoad, Milliseconds aTime);

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
    QueueFigures* mFigures;
    Clock::Monotonic mDeadline{};
  };

  void AddWorkers();
  void AddRelays();
  void Submit(Figures& aFigures);
  void Step();
  void Tick();
  void TellRelayStatus(Relay& aRelay);

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
  std::unique_ptr<dispatch::Coordinator> mCoordinator;
  std::map<dispatch::CallId, OpenJob> mOpen;
  dispatch::CallId mLastCall = 0;
  std::uint64_t mElapsedMs = 0;
  /** Jobs that are due and not submitted yet, in part. */
  double mDueJobs = 0;
  bool mIsTickQueued = false;
};

}

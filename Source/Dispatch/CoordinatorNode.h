#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Consensus/ConsensusChannel.h"
#include "Consensus/ConsensusGroup.h"
#include "Dispatch/Coordinator.h"
#include "Dispatch/DataCentreDirectory.h"
#include "Dispatch/DispatchStateMachine.h"
#include "Dispatch/EvacuationRequests.h"
#include "Dispatch/LeasedWorkerCalls.h"
#include "Dispatch/LocalLeadership.h"
#include "Dispatch/NodeSettings.h"
#include "Dispatch/OrderRelay.h"
#include "Dispatch/PeerContacts.h"
#include "Dispatch/RelayDirectory.h"
#include "Dispatch/RelayedWorkerCalls.h"
#include "Dispatch/ReportExchange.h"
#include "Dispatch/Services.h"
#include "Dispatch/StorageWatch.h"
#include "Dispatch/WorkerDirectory.h"
#include "Transport/PeerRpc.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {
class FileJournalStorage;
}

namespace almondspoke::dispatch {

/** \brief Objects that a CoordinatorNode uses; they must outlive it. */
struct CoordinatorNodeParts
{
  asio::io_context& mContext;
  const Clock& mClock;
  EventLog& mLog;
  PeerTransport& mTransport;
  PeerRpc& mRpc;
  WorkerCalls& mCalls;
};

/** \brief An instance in the coordinator role.
 *
 * Takes part in the consensus group. Leads the installation while it is the
 * elected leader, or its own data centre while it is the local leader (see
 * LocalLeadership.h). Everything but the consensus group runs on the single
 * thread of the io_context. */
class CoordinatorNode
  : public ControlService
  , public ReplySink
  , public RecordSink
{
public:
  CoordinatorNode(const NodeSettings& aSettings,
                  const CoordinatorNodeParts& aParts);
  CoordinatorNode(const CoordinatorNode&) = delete;
  CoordinatorNode& operator=(const CoordinatorNode&) = delete;
  ~CoordinatorNode() override;

  /** Opens the storage and joins the consensus group. Errors: StorageFailed. */
  Result<void> Start();
  void Stop();

  /** Transfers leadership to another coordinator, which then gets the jobs. */
  void StartDraining();
  /** Whether this instance has stopped leading. */
  bool IsDrained() const;

  /** Adds coordinators to exchange reports with, and data centres, for example
   * after a change of settings. */
  void AddSeeds(const NodeSettings& aSettings);

  void Report(const WorkerReport& aReport) override;
  void OnUnreadableReport(const WorkerId& aId,
                          const std::string& aReason) override;
  void OnWorkerLeft(const WorkerId& aId) override;
  void PutManifest(const Manifest& aManifest,
                   ControlService::Done aDone) override;
  void ReadManifest(ManifestDone aDone) override;
  void SetEvacuated(const std::string& aDataCentre,
                    bool aIsEvacuated,
                    ControlService::Done aDone) override;
  void ReadDataCentres(DataCentresDone aDone) override;

  void Reply(CallId aCall, const JobReply& aReply) override;
  void Store(const RecordBatch& aBatch, RecordSink::Done aDone) override;

  const Coordinator& GetCoordinator() const { return mCoordinator; }
  CoreStatus ConsensusStatus() const { return mGroup->Status(); }
  bool HasStorageFailed() const { return mGroup->HasFailed(); }
  std::uint64_t StorageFailures() const { return mGroup->FailureCount(); }
  const RelayCounters& OrderCounters() const
  {
    return mRelayedCalls.Counters();
  }
  /** Number of orders that this instance is sending for a leader. */
  std::size_t OrdersInFlight() const { return mOrderRelay.OrdersInFlight(); }
  std::size_t KnownWorkerCount() const { return mDirectory.Size(); }
  const RelayLoad& OrdersTaken() const { return mOrderRelay.Load(); }
  /** Numbers of reports that were ignored, by their defect. */
  const ReportExchange::DefectCounts& IgnoredReports() const
  {
    return mReportExchange.Defects();
  }
  const EvacuationCounters& EvacuationRequestCounters() const
  {
    return mEvacuationRequests.Counters();
  }
  /** Number of evacuated data centres as stored on this instance. */
  std::size_t EvacuatedCount() const;
  /** Version of this instance's current manifest; zero if there is none yet. */
  std::uint64_t ManifestVersion() const;

private:
  /** \brief A call of a gateway that has no reply yet. */
  struct OpenCall
  {
    PeerRpc::Done mDone;
    InstanceName mGateway;
    /** Host and path of the call. */
    CallerLeft mCaller;
  };

  void RegisterMethods();
  /** Returns the known data centres, with those in stored requests. */
  DataCentreNames KnownDataCentres() const;
  void OnJobCall(const InstanceName& aFrom,
                 const std::string& aRequest,
                 PeerRpc::Done aDone);
  /** Ends the calls of gateways that are silent, since their callers may have
   * lost them and hand their jobs in elsewhere. */
  void EndCallsOfLostGateways(Clock::Monotonic aNow);
  void OnCallerLeft(const std::string& aRequest, const PeerRpc::Done& aDone);
  void OnLeaderQuery(const InstanceName& aFrom,
                     const std::string& aRequest,
                     const PeerRpc::Done& aDone);
  /** Whether this instance leads now, as the elected or the local leader. */
  bool IsLeadingNow() const;
  /** Returns the term in which this instance leads now as the elected leader.
   */
  std::optional<Term> TermOfLeadership() const;
  void ScheduleTick();
  void Tick();
  void UpdateLeadership();
  void UpdateLocalLeadership();
  void BeginLocalLeadership();
  void BeginLeadership(Term aTerm);
  void OnFenceStored(Term aTerm, bool aTookEffect);
  void Resign();
  std::set<InstanceName> Peers() const;
  void UpdatePeers();
  void QueryPeers();
  void OnPeerStatus(const InstanceName& aFrom,
                    const Result<std::string>& aAnswer);
  /** Records whether another coordinator in reach is a local leader. */
  void NoteLocalLeader(const InstanceName& aPeer, const LeaderStatus& aStatus);

  const NodeSettings mSettings;
  asio::io_context& mContext;
  const Clock& mClock;
  EventLog& mLog;
  PeerRpc& mRpc;
  const InstanceName mSelf;
  WorkerDirectory mDirectory;
  DataCentreDirectory mDataCentres;
  RelayDirectory mRelays;
  LeasedWorkerCalls mLeasedCalls;
  RelayedWorkerCalls mRelayedCalls;
  OrderRelay mOrderRelay;
  Coordinator mCoordinator;
  ReportExchange mReportExchange;
  DispatchStateMachine mStateMachine;
  EvacuationRequests mEvacuationRequests;
  ConsensusChannel mChannel;
  std::unique_ptr<FileJournalStorage> mStorage;
  std::unique_ptr<ConsensusGroup> mGroup;
  StorageWatch mStorageWatch;
  asio::steady_timer mTimer;
  std::map<CallId, OpenCall> mOpenCalls;
  /** When this instance, as a local leader, heard from each gateway last. */
  std::map<InstanceName, Clock::Monotonic> mGatewaysHeardAt;
  CallId mNextCallId = 1;
  LocalLeadership mLocalLead;
  /** Other coordinators that led locally when they answered last. */
  std::set<InstanceName> mLocalLeadersInReach;
  /** Latest term in which this instance has led as the elected leader. */
  Term mLeadingTerm = 0;
  /** Term whose fence is being stored before this instance leads in it; zero
   * for none. */
  Term mFencingTerm = 0;
  bool mDraining = false;
  PeerContacts mContacts;
  Clock::Monotonic mTickedAt{};
  Clock::Monotonic mNextPeerUpdateAt{};
  Clock::Monotonic mNextExpiryCheckAt{};
};

}

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
#include "Dispatch/DispatchStateMachine.h"
#include "Dispatch/LeasedWorkerCalls.h"
#include "Dispatch/LocalLead.h"
#include "Dispatch/NodeSettings.h"
#include "Dispatch/ReportExchange.h"
#include "Dispatch/Services.h"
#include "Dispatch/WorkerDirectory.h"
#include "Transport/PeerRpc.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {
class FileJournalStorage;
}

namespace almondspoke::dispatch {

/** \brief What a CoordinatorNode is built on; all outlive it. */
struct CoordinatorNodeParts
{
  asio::io_context& mContext;
  const Clock& mClock;
  EventLog& mLog;
  PeerTransport& mTransport;
  PeerRpc& mRpc;
  WorkerCalls& mCalls;
};

/** \brief One instance that takes part in the agreement and leads if elected.
 *
 * Everything but the consensus group runs on the one thread of the context. */
class CoordinatorNode
  : public ControlService
  , public CallReplies
  , public RecordSink
{
public:
  CoordinatorNode(const NodeSettings& aSettings,
                  const CoordinatorNodeParts& aParts);
  CoordinatorNode(const CoordinatorNode&) = delete;
  CoordinatorNode& operator=(const CoordinatorNode&) = delete;
  ~CoordinatorNode() override;

  /** Opens the storage and joins the group. Errors: StorageFailed. */
  Result<void> Start();
  void Stop();

  /** Hands leadership over; further jobs go to the next leader. */
  void StartDraining();
  /** Whether nothing depends on this instance's lead any more. */
  bool IsDrained() const;

  /** Adds instances to exchange with, as from changed settings. */
  void AddSeeds(const NodeSettings& aSettings);

  void Report(const WorkerReport& aReport) override;
  void OnWorkerLeft(const WorkerId& aId) override;
  void PutManifest(const Manifest& aManifest,
                   ControlService::Done aDone) override;
  void ReadManifest(ManifestDone aDone) override;

  void Reply(CallId aCall, const JobReply& aReply) override;
  void Store(const RecordBatch& aBatch, RecordSink::Done aDone) override;

  const Coordinator& Decisions() const { return mCoordinator; }
  CoreStatus GroupStatus() const { return mGroup->Status(); }
  std::size_t KnownWorkers() const { return mDirectory.Size(); }
  /** Version of the manifest in force here; zero before the first. */
  std::uint64_t ManifestVersion() const;

private:
  void RegisterMethods();
  void OnJobCall(const std::string& aRequest, PeerRpc::Done aDone);
  void OnCallerLeft(const std::string& aRequest, const PeerRpc::Done& aDone);
  void OnLeaderQuery(const InstanceName& aFrom,
                     const std::string& aRequest,
                     const PeerRpc::Done& aDone);
  /** Whether this instance leads at this moment, elected or alone. */
  bool HoldsLead() const;
  void ScheduleTick();
  void Tick();
  void FollowLead();
  void FollowLocalLead();
  void BeginLocalLead();
  void BeginLead(Term aTerm);
  void OnLeadBegun(Term aTerm, bool aTakenEffect);
  void Resign();
  std::set<InstanceName> Peers() const;
  void UpdatePeers();
  void QueryPeers();
  void OnPeerStatus(const InstanceName& aFrom,
                    const Result<std::string>& aAnswer);

  const NodeSettings mSettings;
  asio::io_context& mContext;
  const Clock& mClock;
  EventLog& mLog;
  PeerRpc& mRpc;
  const InstanceName mSelf;
  WorkerDirectory mDirectory;
  LeasedWorkerCalls mLeasedCalls;
  Coordinator mCoordinator;
  ReportExchange mExchange;
  DispatchStateMachine mMachine;
  ConsensusChannel mChannel;
  std::unique_ptr<FileJournalStorage> mStorage;
  std::unique_ptr<ConsensusGroup> mGroup;
  asio::steady_timer mTimer;
  std::map<CallId, PeerRpc::Done> mOpenCalls;
  CallId mNextCall = 1;
  LocalLead mLocalLead;
  Term mLedTerm = 0;
  /** Term for which the beginning of the lead is being stored. */
  Term mBeginningTerm = 0;
  bool mDraining = false;
  std::set<InstanceName> mSeeds;
  /** Coordinators that this one has had contact with, and when. */
  std::map<InstanceName, Clock::Monotonic> mSeenPeers;
  /** Coordinators that others have had contact with. */
  std::map<InstanceName, Clock::Monotonic> mNamedPeers;
  Clock::Monotonic mNextPeerUpdate{};
  Clock::Monotonic mNextExpiry{};
};

}

#include "Dispatch/CoordinatorNode.h"

#include <algorithm>
#include <random>
#include <utility>

#include <asio/post.hpp>

#include "Base/MessagePack.h"
#include "Consensus/FileJournalStorage.h"
#include "Dispatch/PeerNames.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

constexpr GroupId kGroup = 100;
constexpr const char* kJournalFolder = "/journal";

/** Interval of the coordinator's timers while it leads, and otherwise. */
constexpr milliseconds kLeadingTick{ 10 };
constexpr milliseconds kIdleTick{ 25 };
constexpr milliseconds kPeerInterval{ 1000 };
constexpr milliseconds kPeerExpiry{ 6000 };
constexpr milliseconds kExpiryInterval{ 1000 };

/** A worker that is silent for so many intervals of its reports is forgotten;
 * its lease has long ended then. */
constexpr int kIntervalsToForget = 4;

/** Heartbeats and elections: a lost leader is replaced before the leases of the
 * workers, at most a second, have ended. */
ConsensusTimings
GroupTimings()
{
  ConsensusTimings timings;
  timings.mHeartbeat = milliseconds(100);
  timings.mLearnerHeartbeat = milliseconds(250);
  timings.mElectionMin = milliseconds(400);
  timings.mElectionMax = milliseconds(650);
  timings.mRetransmit = milliseconds(250);
  timings.mJoinInterval = milliseconds(200);
  timings.mVerifyInterval = milliseconds(100);
  // Disks here keep what was synced or are lost whole, so that a storage that
  // is there is current; a lost one never answers.
  timings.mVerifyTimeout = milliseconds(400);
  return timings;
}

ConsensusLimits
GroupLimits()
{
  constexpr std::size_t kMebibyte = 1024 * kKibibyte;
  ConsensusLimits limits;
  limits.mCompactBytes = 4 * kMebibyte;
  limits.mUncommittedBytes = 16 * kMebibyte;
  limits.mCompactEntries = 2000;
  limits.mRetainedEntries = 200;
  return limits;
}

CoordinatorOptions
OptionsOf(const NodeSettings& aSettings)
{
  CoordinatorOptions options;
  options.mMaxHold = aSettings.mMaxHold;
  options.mHoldWait = aSettings.mMaxHold * 3 / 10;
  options.mWorkerExpiry = aSettings.mWorkerReport * kIntervalsToForget;
  options.mSeed = std::random_device{}();
  return options;
}

}

CoordinatorNode::CoordinatorNode(const NodeSettings& aSettings,
                                 const CoordinatorNodeParts& aParts)
  : mSettings(aSettings)
  , mContext(aParts.mContext)
  , mClock(aParts.mClock)
  , mLog(aParts.mLog)
  , mRpc(aParts.mRpc)
  , mSelf(PeerNameOf(aSettings.mAddress, aSettings.mPeerPort))
  , mDirectory(aSettings.mWorkerReport * kIntervalsToForget)
  , mLeasedCalls(aParts.mContext,
                 aParts.mCalls,
                 [this] { return mGroup && HoldsLead(); })
  , mCoordinator(OptionsOf(aSettings),
                 aParts.mClock,
                 mLeasedCalls,
                 *this,
                 *this,
                 aParts.mLog)
  , mExchange(
      aParts.mClock,
      aParts.mRpc,
      mDirectory,
      mSelf,
      [this](const WorkerReport& aReport) { mCoordinator.OnReport(aReport); })
  , mMachine([this](std::shared_ptr<const Manifest> aManifest) {
    asio::post(mContext, [this, manifest = std::move(aManifest)] {
      mCoordinator.SetManifest(manifest);
    });
  })
  , mChannel(aParts.mTransport)
  , mTimer(aParts.mContext)
{
  AddSeeds(aSettings);
  mExchange.Register();
  RegisterMethods();
}

CoordinatorNode::~CoordinatorNode()
{
  Stop();
}

Result<void>
CoordinatorNode::Start()
{
  BOOST_OUTCOME_TRY(
    storage, FileJournalStorage::Open(mSettings.mDataFolder + kJournalFolder));
  mStorage = std::move(storage);
  ConsensusGroupOptions options;
  options.mSelf = mSelf;
  options.mGroup = kGroup;
  options.mInitialVoters = SeedNamesOf(mSettings);
  options.mMayFound = mSettings.mMayFound;
  options.mTargetVoters = 2 * mSettings.mToleratedLosses + 1;
  options.mTimings = GroupTimings();
  options.mLimits = GroupLimits();
  mGroup = std::make_unique<ConsensusGroup>(
    std::move(options), mChannel, mMachine, mClock, mStorage.get());
  BOOST_OUTCOME_TRYV(mGroup->Start());
  UpdatePeers();
  ScheduleTick();
  return Success();
}

void
CoordinatorNode::Stop()
{
  mTimer.cancel();
  if (mGroup) {
    mGroup->Stop();
  }
}

void
CoordinatorNode::AddSeeds(const NodeSettings& aSettings)
{
  for (const InstanceName& seed : SeedNamesOf(aSettings)) {
    mSeeds.insert(seed);
  }
}

void
CoordinatorNode::RegisterMethods()
{
  mRpc.Register(
    kJobCallMethod,
    [this](const InstanceName&,
           const std::string& aRequest,
           PeerRpc::Done aDone) { OnJobCall(aRequest, std::move(aDone)); });
  mRpc.Register(
    kCallerLeftMethod,
    [this](const InstanceName&,
           const std::string& aRequest,
           const PeerRpc::Done& aDone) { OnCallerLeft(aRequest, aDone); });
  mRpc.Register(kLeaderStatusMethod,
                [this](const InstanceName& aFrom,
                       const std::string& aRequest,
                       const PeerRpc::Done& aDone) {
                  OnLeaderQuery(aFrom, aRequest, aDone);
                });
}

void
CoordinatorNode::OnJobCall(const std::string& aRequest, PeerRpc::Done aDone)
{
  const Result<JobCall> call = UnpackMessage<JobCall>(aRequest);
  if (!call) {
    aDone(call.error());
    return;
  }
  if (!HoldsLead() || call.value().mLocal != mCoordinator.IsLocal()) {
    aDone(Error(ErrorKind::NotLeader, mGroup->Leader().value_or("")));
    return;
  }
  const CallId id = mNextCall++;
  mOpenCalls.emplace(id, std::move(aDone));
  mCoordinator.Call(id, call.value());
}

void
CoordinatorNode::OnCallerLeft(const std::string& aRequest,
                              const PeerRpc::Done& aDone)
{
  const Result<CallerLeft> left = UnpackMessage<CallerLeft>(aRequest);
  if (!left) {
    aDone(left.error());
    return;
  }
  mCoordinator.OnCallerLeft(left.value());
  aDone(std::string());
}

void
CoordinatorNode::OnLeaderQuery(const InstanceName& aFrom,
                               const std::string& aRequest,
                               const PeerRpc::Done& aDone)
{
  const Result<LeaderQuery> unpacked = UnpackMessage<LeaderQuery>(aRequest);
  if (!unpacked) {
    aDone(unpacked.error());
    return;
  }
  const LeaderQuery& query = unpacked.value();
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (query.mFromCoordinator) {
    mSeenPeers[aFrom] = now;
  }
  if (query.mWantsLocalLeader && query.mDataCentre == mSettings.mDataCentre) {
    mLocalLead.OnAsked(now);
    mCoordinator.BarCalls(query.mUnresolvedCalls);
  }
  LeaderStatus status;
  status.mLeads = HoldsLead() && !mCoordinator.IsLocal() && !mDraining;
  status.mLeadsLocally = mCoordinator.IsLocal();
  status.mDataCentre = mSettings.mDataCentre;
  status.mTerm = mGroup->CurrentTerm();
  status.mLeader = mGroup->Leader().value_or("");
  for (const auto& [peer, seen] : mSeenPeers) {
    status.mMembers.push_back(peer);
  }
  status.mMembers.push_back(mSelf);
  aDone(PackMessage(status));
}

void
CoordinatorNode::Reply(CallId aCall, const JobReply& aReply)
{
  const auto open = mOpenCalls.find(aCall);
  if (open == mOpenCalls.end()) {
    return;
  }
  const PeerRpc::Done done = std::move(open->second);
  mOpenCalls.erase(open);
  JobReply reply = aReply;
  reply.mManifest = mCoordinator.ManifestInForce();
  done(PackMessage(reply));
}

void
CoordinatorNode::Report(const WorkerReport& aReport)
{
  mExchange.Take(aReport);
}

void
CoordinatorNode::OnWorkerLeft(const WorkerId& aId)
{
  mExchange.TakeLeft(aId);
}

void
CoordinatorNode::PutManifest(const Manifest& aManifest,
                             ControlService::Done aDone)
{
  EventLine(mLog, "manifest-received")
    .With("version", aManifest.mVersion)
    .With("queues", std::uint64_t{ aManifest.mQueues.size() });
  mGroup->Propose(
    DispatchStateMachine::CommandOf(aManifest),
    [this, version = aManifest.mVersion, done = std::move(aDone)](
      Result<std::string> aResult) {
      asio::post(mContext, [this, version, done, result = std::move(aResult)] {
        EventLine(mLog, "manifest-answered")
          .With("version", version)
          .With("stored", result.has_value())
          .With("reason", result ? "" : result.error().Message());
        if (result) {
          done(Success());
          return;
        }
        done(result.error());
      });
    });
}

void
CoordinatorNode::ReadManifest(ManifestDone aDone)
{
  mGroup->Barrier([this, done = std::move(aDone)](const Result<void>& aPassed) {
    asio::post(mContext, [this, done, aPassed] {
      if (!aPassed) {
        done(aPassed.error());
        return;
      }
      const std::shared_ptr<const Manifest> current =
        mMachine.CurrentManifest();
      if (!current) {
        done(Error(ErrorKind::NotFound, "no manifest has been stored yet"));
        return;
      }
      done(current);
    });
  });
}

std::uint64_t
CoordinatorNode::ManifestVersion() const
{
  const std::shared_ptr<const Manifest> current = mMachine.CurrentManifest();
  return current ? current->mVersion : 0;
}

void
CoordinatorNode::ScheduleTick()
{
  mTimer.expires_after(mCoordinator.IsLeading() ? kLeadingTick : kIdleTick);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    Tick();
    ScheduleTick();
  });
}

void
CoordinatorNode::Tick()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (now >= mNextPeerUpdate) {
    mNextPeerUpdate = now + kPeerInterval;
    UpdatePeers();
    QueryPeers();
  }
  if (now >= mNextExpiry) {
    mNextExpiry = now + kExpiryInterval;
    mDirectory.Expire(now);
  }
  FollowLead();
  mExchange.Tick();
  if (HoldsLead()) {
    mCoordinator.Tick();
  }
  mLog.Flush();
}

void
CoordinatorNode::FollowLead()
{
  const std::optional<InstanceName> leader = mGroup->Leader();
  const Term term = mGroup->CurrentTerm();
  const bool leads = leader == mSelf && term > 0;
  const bool lost = !leads || term != mLedTerm;
  if (mCoordinator.IsLeading() && !mCoordinator.IsLocal() && lost) {
    Resign();
  }
  FollowLocalLead();
  if (!leads || mCoordinator.IsLeading() || !mGroup->IsLeader() || mDraining) {
    return;
  }
  if (mBeginningTerm != term) {
    BeginLead(term);
  }
}

bool
CoordinatorNode::HoldsLead() const
{
  return mCoordinator.IsLocal()
           ? mLocalLead.IsActive()
           : mCoordinator.IsLeading() && mGroup->IsLeader();
}

void
CoordinatorNode::FollowLocalLead()
{
  const std::optional<InstanceName> leader = mGroup->Leader();
  LocalLeadInputs inputs;
  inputs.mLeaderKnown = leader && (*leader != mSelf || mGroup->IsLeader());
  inputs.mHasManifest = mMachine.CurrentManifest() != nullptr;
  inputs.mDraining = mDraining;
  inputs.mFencedOut = mCoordinator.IsFencedOut();
  switch (mLocalLead.Advance(inputs, mClock.MonotonicNow())) {
    case LocalLead::Change::Begin:
      BeginLocalLead();
      break;
    case LocalLead::Change::End:
      Resign();
      break;
    case LocalLead::Change::None:
      break;
  }
}

void
CoordinatorNode::BeginLocalLead()
{
  if (mCoordinator.IsLeading()) {
    Resign();
  }
  const DispatchState state = mMachine.CurrentState();
  mCoordinator.SetManifest(state.mManifest);
  mCoordinator.Lead(mGroup->CurrentTerm(),
                    state,
                    mDirectory.All(),
                    { mSettings.mDataCentre, LocalSlotOf(mSettings.mAddress) });
}

// Once the fence is stored, nothing that an earlier leader still sends to the
// group changes the state that this one begins with.
void
CoordinatorNode::BeginLead(Term aTerm)
{
  mBeginningTerm = aTerm;
  RecordBatch begin;
  begin.mFence = aTerm;
  Store(begin,
        [this, aTerm](bool aTakenEffect) { OnLeadBegun(aTerm, aTakenEffect); });
}

void
CoordinatorNode::OnLeadBegun(Term aTerm, bool aTakenEffect)
{
  const bool leads = mGroup->Leader() == mSelf && mGroup->IsLeader() &&
                     mGroup->CurrentTerm() == aTerm && !mDraining;
  mBeginningTerm = 0;
  if (!aTakenEffect || !leads || mCoordinator.IsLeading()) {
    return;
  }
  mLedTerm = aTerm;
  const DispatchState state = mMachine.CurrentState();
  if (state.mManifest) {
    mCoordinator.SetManifest(state.mManifest);
  }
  mCoordinator.Lead(aTerm, state, mDirectory.All());
}

void
CoordinatorNode::Store(const RecordBatch& aBatch, RecordSink::Done aDone)
{
  mGroup->Propose(
    DispatchStateMachine::CommandOf(aBatch),
    [this, done = std::move(aDone)](const Result<std::string>& aResult) {
      const bool taken =
        aResult && DispatchStateMachine::HasTakenEffect(aResult.value());
      asio::post(mContext, [done, taken] { done(taken); });
    });
}

void
CoordinatorNode::Resign()
{
  mCoordinator.Resign();
  std::map<CallId, PeerRpc::Done> open;
  open.swap(mOpenCalls);
  for (const auto& [id, done] : open) {
    // What was started may run on: the next leader takes it over.
    done(Error(ErrorKind::PeerTimeout, "this instance leads no more"));
  }
}

std::set<InstanceName>
CoordinatorNode::Peers() const
{
  std::set<InstanceName> peers = mSeeds;
  for (const auto* heard : { &mSeenPeers, &mNamedPeers }) {
    for (const auto& [peer, seen] : *heard) {
      peers.insert(peer);
    }
  }
  for (const ReplicaId& voter : mGroup->Status().mConfiguration.mVoters) {
    peers.insert(voter.mName);
  }
  peers.erase(mSelf);
  return peers;
}

void
CoordinatorNode::UpdatePeers()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  for (auto* heard : { &mSeenPeers, &mNamedPeers }) {
    for (auto peer = heard->begin(); peer != heard->end();) {
      const bool old = now - peer->second > kPeerExpiry;
      peer = old ? heard->erase(peer) : std::next(peer);
    }
  }
  mExchange.SetPeers(Peers());
}

// Tells the other coordinators that this one is there.
void
CoordinatorNode::QueryPeers()
{
  LeaderQuery query;
  query.mFromCoordinator = true;
  query.mDataCentre = mSettings.mDataCentre;
  const std::string request = PackMessage(query);
  for (const InstanceName& peer : Peers()) {
    mRpc.Call(peer,
              kLeaderStatusMethod,
              request,
              kPeerInterval,
              [this, peer](const Result<std::string>& aAnswer) {
                OnPeerStatus(peer, aAnswer);
              });
  }
}

void
CoordinatorNode::OnPeerStatus(const InstanceName& aFrom,
                              const Result<std::string>& aAnswer)
{
  if (!aAnswer) {
    return;
  }
  const Result<LeaderStatus> status =
    UnpackMessage<LeaderStatus>(aAnswer.value());
  if (!status) {
    return;
  }
  const Clock::Monotonic now = mClock.MonotonicNow();
  mSeenPeers[aFrom] = now;
  for (const InstanceName& member : status.value().mMembers) {
    mNamedPeers[member] = now;
  }
}

void
CoordinatorNode::StartDraining()
{
  mDraining = true;
  EventLine(mLog, "draining").With("leads", mCoordinator.IsLeading());
  mGroup->TransferLeadership([](const Result<void>&) {
    // The end of the lead shows whether it worked.
  });
}

bool
CoordinatorNode::IsDrained() const
{
  return !mCoordinator.IsLeading();
}

}

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

constexpr GroupId kDispatchGroupId = 100;
constexpr const char* kJournalFolder = "/journal";

/** Interval of Tick() while this instance leads, and while it does not. */
constexpr milliseconds kLeadingTickInterval{ 10 };
constexpr milliseconds kIdleTickInterval{ 25 };
constexpr milliseconds kPeerQueryInterval{ 1000 };

/** After a longer time between two ticks, this instance has not read what other
 * instances sent meanwhile. */
constexpr milliseconds kMaxTickDelay{ 100 };
constexpr milliseconds kWorkerExpiryCheckInterval{ 1000 };

/** A worker is removed after this many report intervals without a report. Its
 * lease has ended long before. */
constexpr int kMissedReportsUntilExpiry = 4;

/** Heartbeat and election times with which a failed leader is replaced before
 * the workers' leases, of at most one second, end. */
ConsensusTimings
GroupTimings()
{
  ConsensusTimings timings;
  timings.mHeartbeatInterval = milliseconds(100);
  timings.mLearnerHeartbeatInterval = milliseconds(250);
  timings.mElectionTimeoutMin = milliseconds(400);
  timings.mElectionTimeoutMax = milliseconds(650);
  timings.mRetransmitTimeout = milliseconds(250);
  timings.mJoinInterval = milliseconds(200);
  timings.mVerifyInterval = milliseconds(100);
  // A disk either keeps everything that was synced or is lost completely.
  // Storage that exists is therefore up to date, and a voter whose storage was
  // lost never answers: there is no use in waiting longer.
  timings.mVerifyTimeout = milliseconds(400);
  return timings;
}

ConsensusLimits
GroupLimits()
{
  constexpr std::size_t kMebibyte = 1024 * kKibibyte;
  ConsensusLimits limits;
  limits.mCompactionBytes = 4 * kMebibyte;
  limits.mMaxUncommittedBytes = 16 * kMebibyte;
  limits.mCompactionEntries = 2000;
  limits.mMaxRetainedEntries = 200;
  return limits;
}

CoordinatorOptions
OptionsOf(const NodeSettings& aSettings)
{
  CoordinatorOptions options;
  options.mMaxLease = aSettings.mMaxLease;
  options.mHoldWait = aSettings.mMaxLease * 3 / 10;
  options.mWorkerExpiry =
    aSettings.mWorkerReportInterval * kMissedReportsUntilExpiry;
  options.mLearnRunTimes = aSettings.mLearnRunTimes;
  options.mSpreadFactor = aSettings.mSpreadFactor;
  options.mAdmission = aSettings.mAdmission;
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
  , mDirectory(aSettings.mWorkerReportInterval * kMissedReportsUntilExpiry)
  , mRelays(aParts.mClock, aParts.mLog)
  , mLeasedCalls(aParts.mContext,
                 aParts.mCalls,
                 [this] { return mGroup && IsLeadingNow(); })
  , mRelayedCalls(aParts.mClock,
                  aParts.mRpc,
                  mLeasedCalls,
                  mRelays,
                  [this] { return TermOfLeadership(); })
  , mOrderRelay(aParts.mClock,
                aParts.mLog,
                aParts.mRpc,
                aParts.mCalls,
                [this] { return mGroup ? mGroup->CurrentTerm() : 0; })
  , mCoordinator(OptionsOf(aSettings),
                 aParts.mClock,
                 mRelayedCalls,
                 *this,
                 *this,
                 aParts.mLog)
  , mReportExchange(
      aParts.mClock,
      aParts.mRpc,
      aParts.mLog,
      mDirectory,
      mSelf,
      [this](const PoolName& aPool) { return mCoordinator.IsPoolNamed(aPool); },
      [this](const WorkerReport& aReport) {
        mDataCentres.OnReported(aReport.mDataCentre, mClock.MonotonicNow());
        mCoordinator.OnReport(aReport);
      })
  , mStateMachine(
      [this](std::shared_ptr<const Manifest> aManifest) {
        asio::post(mContext, [this, manifest = std::move(aManifest)] {
          mCoordinator.SetManifest(manifest);
        });
      },
      [this] {
        // The state is read when the notification is handled, since a new
        // leader may have begun with a later one by then.
        asio::post(mContext, [this] {
          mCoordinator.SetEvacuated(
            mStateMachine.CurrentEvacuations().Evacuated());
        });
      })
  , mEvacuationRequests(
      aParts.mClock,
      aParts.mLog,
      [this](std::string aCommand, EvacuationRequests::ProposalDone aDone) {
        mGroup->Propose(
          std::move(aCommand),
          [this, done = std::move(aDone)](Result<std::string> aResult) {
            asio::post(mContext,
                       [done, result = std::move(aResult)] { done(result); });
          });
      },
      [this] { return mStateMachine.CurrentEvacuations().Revision(); })
  , mChannel(aParts.mTransport)
  , mStorageWatch(aParts.mLog)
  , mTimer(aParts.mContext)
{
  AddSeeds(aSettings);
  mReportExchange.Register();
  mOrderRelay.Register();
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
  options.mGroup = kDispatchGroupId;
  options.mInitialVoters = SeedNamesOf(mSettings);
  options.mMayBootstrap = mSettings.mMayCreateGroup;
  options.mTargetVoterCount = 2 * mSettings.mToleratedLosses + 1;
  options.mTimings = GroupTimings();
  options.mLimits = GroupLimits();
  mGroup = std::make_unique<ConsensusGroup>(
    std::move(options), mChannel, mStateMachine, mClock, mStorage.get());
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
    mContacts.AddSeed(seed);
  }
  mDataCentres.AddConfigured(aSettings.mDataCentres);
  mDataCentres.AddConfigured({ aSettings.mDataCentre });
}

void
CoordinatorNode::RegisterMethods()
{
  mRpc.Register(kJobCallMethod,
                [this](const InstanceName& aFrom,
                       const std::string& aRequest,
                       PeerRpc::Done aDone) {
                  OnJobCall(aFrom, aRequest, std::move(aDone));
                });
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
CoordinatorNode::ScheduleTick()
{
  mTimer.expires_after(mCoordinator.IsLeading() ? kLeadingTickInterval
                                                : kIdleTickInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    mCoordinator.ObserveDelay(std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - mTimer.expiry()));
    Tick();
    ScheduleTick();
  });
}

void
CoordinatorNode::Tick()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (now >= mNextPeerUpdateAt) {
    mNextPeerUpdateAt = now + kPeerQueryInterval;
    UpdatePeers();
    QueryPeers();
  }
  if (now >= mNextExpiryCheckAt) {
    mNextExpiryCheckAt = now + kWorkerExpiryCheckInterval;
    mDirectory.Expire(now);
  }
  mStorageWatch.Observe(*mGroup);
  mEvacuationRequests.Tick();
  UpdateLeadership();
  mReportExchange.Tick();
  mOrderRelay.Tick();
  // What gateways sent while this instance was held up is handled after this.
  const bool wasHeldUp = now - mTickedAt > kMaxTickDelay;
  mTickedAt = now;
  if (mCoordinator.IsLocal() && !wasHeldUp) {
    EndCallsOfLostGateways(now);
  }
  if (IsLeadingNow()) {
    mCoordinator.Tick();
  }
  mLog.Flush();
}

void
CoordinatorNode::UpdateLeadership()
{
  const std::optional<InstanceName> leader = mGroup->Leader();
  const Term term = mGroup->CurrentTerm();
  const bool leads = leader == mSelf && term > 0;
  const bool leadershipLost = !leads || term != mLeadingTerm;
  if (mCoordinator.IsLeading() && !mCoordinator.IsLocal() && leadershipLost) {
    Resign();
  }
  UpdateLocalLeadership();
  if (!leads || mCoordinator.IsLeading() || !mGroup->IsLeader() || mDraining) {
    return;
  }
  if (mFencingTerm != term) {
    BeginLeadership(term);
  }
}

bool
CoordinatorNode::IsLeadingNow() const
{
  return mCoordinator.IsLocal()
           ? mLocalLead.IsActive()
           : mCoordinator.IsLeading() && mGroup->IsLeader();
}

std::optional<Term>
CoordinatorNode::TermOfLeadership() const
{
  const bool leads = mGroup && mCoordinator.IsLeading() &&
                     !mCoordinator.IsLocal() && mGroup->IsLeader();
  return leads ? std::make_optional(mLeadingTerm) : std::nullopt;
}

void
CoordinatorNode::UpdateLocalLeadership()
{
  const std::optional<InstanceName> leader = mGroup->Leader();
  LocalLeadershipInputs inputs;
  inputs.mLeaderKnown = leader && (*leader != mSelf || mGroup->IsLeader());
  inputs.mHasManifest = mStateMachine.CurrentManifest() != nullptr;
  inputs.mDraining = mDraining;
  inputs.mFencedOut = mCoordinator.IsFencedOut();
  switch (mLocalLead.Advance(inputs, mClock.MonotonicNow())) {
    case LocalLeadership::Change::Begin:
      BeginLocalLeadership();
      break;
    case LocalLeadership::Change::End:
      Resign();
      break;
    case LocalLeadership::Change::None:
      break;
  }
}

void
CoordinatorNode::BeginLocalLeadership()
{
  if (mCoordinator.IsLeading()) {
    Resign();
  }
  const DispatchState state = mStateMachine.CurrentState();
  mCoordinator.SetManifest(state.mManifest);
  mCoordinator.BeginLeading(
    mGroup->CurrentTerm(),
    state,
    mDirectory.All(),
    { mSettings.mDataCentre, LocalLeaderSlotOf(mSettings.mAddress) });
}

// Stores the fence first: after that, records that an earlier leader still
// proposes no longer change the state that this leader starts from.
void
CoordinatorNode::BeginLeadership(Term aTerm)
{
  mFencingTerm = aTerm;
  RecordBatch begin;
  begin.mFence = aTerm;
  Store(begin,
        [this, aTerm](bool aTookEffect) { OnFenceStored(aTerm, aTookEffect); });
}

void
CoordinatorNode::OnFenceStored(Term aTerm, bool aTookEffect)
{
  const bool leads = mGroup->Leader() == mSelf && mGroup->IsLeader() &&
                     mGroup->CurrentTerm() == aTerm && !mDraining;
  mFencingTerm = 0;
  if (!aTookEffect || !leads || mCoordinator.IsLeading()) {
    return;
  }
  mLeadingTerm = aTerm;
  const DispatchState state = mStateMachine.CurrentState();
  if (state.mManifest) {
    mCoordinator.SetManifest(state.mManifest);
  }
  mCoordinator.BeginLeading(aTerm, state, mDirectory.All());
}

void
CoordinatorNode::Store(const RecordBatch& aBatch, RecordSink::Done aDone)
{
  mGroup->Propose(
    DispatchStateMachine::CommandOf(aBatch),
    [this, done = std::move(aDone)](const Result<std::string>& aResult) {
      const bool tookEffect =
        aResult && DispatchStateMachine::WasApplied(aResult.value());
      asio::post(mContext, [done, tookEffect] { done(tookEffect); });
    });
}

void
CoordinatorNode::Resign()
{
  mCoordinator.Resign();
  std::map<CallId, OpenCall> open;
  open.swap(mOpenCalls);
  mGatewaysHeardAt.clear();
  for (const auto& [id, call] : open) {
    // The call may have been acted on: the next leader takes over the runs.
    call.mDone(Error(ErrorKind::PeerTimeout,
                     "this instance is not the leader any more"));
  }
}

std::set<InstanceName>
CoordinatorNode::Peers() const
{
  std::set<InstanceName> peers = mContacts.All();
  for (const ReplicaId& voter : mGroup->Status().mConfiguration.mVoters) {
    peers.insert(voter.mName);
  }
  peers.erase(mSelf);
  return peers;
}

void
CoordinatorNode::UpdatePeers()
{
  mContacts.Expire(mClock.MonotonicNow());
  mReportExchange.SetPeers(Peers());
}

// Makes this coordinator known to the others and learns of further ones from
// their answers.
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
              kPeerQueryInterval,
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
  mContacts.OnMessage(aFrom, now);
  mRelays.Update(aFrom,
                 status.value().mDataCentre,
                 status.value().mRelaysOrders,
                 status.value().mClock);
  mContacts.OnNamed(status.value().mMembers, now);
  NoteLocalLeader(aFrom, status.value());
}

// More than one data centre may be led locally while their coordinators reach
// each other, since all that is missing is a majority.
void
CoordinatorNode::NoteLocalLeader(const InstanceName& aPeer,
                                 const LeaderStatus& aStatus)
{
  const bool hasChanged = aStatus.mLeadsLocally
                            ? mLocalLeadersInReach.insert(aPeer).second
                            : mLocalLeadersInReach.erase(aPeer) != 0;
  if (hasChanged) {
    EventLine(mLog, "peer-leads-locally")
      .With("peer", aPeer)
      .With("data_centre", aStatus.mDataCentre)
      .With("now", aStatus.mLeadsLocally)
      .With("leading_locally_here", mCoordinator.IsLocal());
  }
}

void
CoordinatorNode::StartDraining()
{
  mDraining = true;
  mOrderRelay.StartDraining();
  EventLine(mLog, "draining").With("leads", mCoordinator.IsLeading());
  mGroup->TransferLeadership([](const Result<void>&) {
    // Tick() notices when this instance stops leading.
  });
}

bool
CoordinatorNode::IsDrained() const
{
  return !mCoordinator.IsLeading() && mOrderRelay.OrdersInFlight() == 0;
}

}

// Calls and queries of gateways and of other coordinators.
#include "Dispatch/CoordinatorNode.h"

#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

/** A gateway that a local leader has not heard from for this long may have
 * failed; it sends a query every 60 ms while it knows no elected leader. With
 * the longest lease added, shorter than the time after which a caller whose
 * connection has broken hands its job in again. */
constexpr std::chrono::milliseconds kMaxGatewaySilence{ 250 };

}

void
CoordinatorNode::OnJobCall(const InstanceName& aFrom,
                           const std::string& aRequest,
                           PeerRpc::Done aDone)
{
  const Result<JobCall> call = UnpackMessage<JobCall>(aRequest);
  if (!call) {
    aDone(call.error());
    return;
  }
  if (!IsLeadingNow() ||
      call.value().mForLocalLeader != mCoordinator.IsLocal()) {
    aDone(Error(ErrorKind::NotLeader, mGroup->Leader().value_or("")));
    return;
  }
  const CallId id = mNextCallId++;
  OpenCall open{ std::move(aDone), aFrom, {} };
  if (mCoordinator.IsLocal()) {
    mGatewaysHeardAt[aFrom] = mClock.MonotonicNow();
    open.mCaller = { call.value().mHost, call.value().mPath, true };
  }
  mOpenCalls.emplace(id, std::move(open));
  mCoordinator.Call(id, call.value());
}

void
CoordinatorNode::EndCallsOfLostGateways(Clock::Monotonic aNow)
{
  std::vector<CallId> lost;
  for (const auto& [id, call] : mOpenCalls) {
    if (aNow - mGatewaysHeardAt[call.mGateway] > kMaxGatewaySilence) {
      lost.push_back(id);
    }
  }
  for (const CallId id : lost) {
    const OpenCall call = std::move(mOpenCalls.at(id));
    mOpenCalls.erase(id);
    EventLine(mLog, "gateway-silent")
      .With("gateway", call.mGateway)
      .With("path", call.mCaller.mPath);
    mCoordinator.OnCallLost(id, call.mCaller);
    call.mDone(Error(ErrorKind::PeerTimeout,
                     "the local leader has not heard from the gateway"));
  }
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
    mContacts.OnMessage(aFrom, now);
  }
  if (query.mWantsLocalLeader && query.mDataCentre == mSettings.mDataCentre) {
    mLocalLead.OnRequested(now);
    mCoordinator.ExcludeCalls(query.mUnresolvedCalls);
    mGatewaysHeardAt[aFrom] = now;
  }
  LeaderStatus status;
  status.mLeads = IsLeadingNow() && !mCoordinator.IsLocal() && !mDraining;
  status.mLeadsLocally = mCoordinator.IsLocal();
  status.mDataCentre = mSettings.mDataCentre;
  status.mRelaysOrders = !mOrderRelay.IsDraining();
  status.mClock = PeerTimeOf(mClock);
  status.mManifestVersion = mCoordinator.CurrentManifestVersion();
  status.mCallerLimits = mCoordinator.CurrentCallerLimits();
  status.mTerm = mGroup->CurrentTerm();
  status.mLeader = mGroup->Leader().value_or("");
  status.mMembers = mContacts.Contacted();
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
  const PeerRpc::Done done = std::move(open->second.mDone);
  mOpenCalls.erase(open);
  JobReply reply = aReply;
  reply.mManifestVersion = mCoordinator.CurrentManifestVersion();
  done(PackMessage(reply));
}

}

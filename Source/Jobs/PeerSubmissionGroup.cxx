#include "Jobs/PeerSubmissionGroup.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "Jobs/SubmissionPeerMessages.h"
#include "Membership/InstanceView.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

namespace {

// Number of members that one call tries.
constexpr std::size_t kMaxInstancesPerCall = 3;

}

struct PeerSubmissionGroup::PeerCall
{
  std::string mMethod;
  std::string mRequest;
  Replicator::Done mDone;
  std::vector<InstanceName> mCandidates;
  std::size_t mNextCandidate = 0;
  bool mMayHaveArrived = false;
};

PeerSubmissionGroup::PeerSubmissionGroup(DataCentreName aHome,
                                         PeerRpc& aRpc,
                                         const InstanceView& aInstances,
                                         std::vector<InstanceName> aVoters)
  : mHome(std::move(aHome))
  , mRpc(aRpc)
  , mInstances(aInstances)
  , mVoters(std::move(aVoters))
{
}

void
PeerSubmissionGroup::Propose(std::string aCommand, Replicator::Done aDone)
{
  StartCall(ProposeMethod(mHome), std::move(aCommand), std::move(aDone));
}

void
PeerSubmissionGroup::Lookup(const KeyHash& aKey,
                            std::uint32_t aKeyEpoch,
                            LookupDone aDone)
{
  LookupRequest request;
  request.mKey = aKey;
  request.mKeyEpoch = aKeyEpoch;
  StartCall(LookupMethod(mHome),
            Encode(request),
            [done = std::move(aDone)](const Result<std::string>& aResult) {
              if (!aResult) {
                done(aResult.error());
                return;
              }
              done(DecodeClaimResponse(aResult.value()));
            });
}

void
PeerSubmissionGroup::RenewLease(const InstanceName& /*aInstance*/,
                                ExecutorEpoch aEpoch,
                                RenewDone aDone)
{
  RenewRequest request;
  request.mEpoch = aEpoch;
  StartCall(RenewMethod(mHome),
            Encode(request),
            [done = std::move(aDone)](const Result<std::string>& aReply) {
              done(DecodeLeaseGrant(aReply));
            });
}

void
PeerSubmissionGroup::StartCall(std::string aMethod,
                               std::string aRequest,
                               Replicator::Done aDone)
{
  auto call = std::make_shared<PeerCall>();
  call->mMethod = std::move(aMethod);
  call->mRequest = std::move(aRequest);
  call->mDone = std::move(aDone);
  call->mCandidates = LiveCandidates();
  if (!call->mCandidates.empty()) {
    // The hash of the own name selects the first peer, which spreads the load
    // of all instances over the peers.
    const std::size_t first =
      std::hash<std::string>{}(mInstances.Self().mName) %
      call->mCandidates.size();
    std::rotate(call->mCandidates.begin(),
                call->mCandidates.begin() + static_cast<std::ptrdiff_t>(first),
                call->mCandidates.end());
  }
  TryNext(call);
}

std::vector<InstanceName>
PeerSubmissionGroup::LiveCandidates() const
{
  if (mVoters.empty()) {
    return mInstances.LiveInstances(mHome);
  }
  std::vector<InstanceName> live;
  for (const InstanceStatus& instance : mInstances.Instances()) {
    const InstanceName& name = instance.mIdentity.mName;
    const bool isVoter =
      std::find(mVoters.begin(), mVoters.end(), name) != mVoters.end();
    if (isVoter && IsLive(instance.mHealth)) {
      live.push_back(name);
    }
  }
  return live;
}

void
PeerSubmissionGroup::TryNext(const std::shared_ptr<PeerCall>& aCall)
{
  const std::size_t attempts =
    std::min(kMaxInstancesPerCall, aCall->mCandidates.size());
  if (aCall->mNextCandidate >= attempts) {
    aCall->mDone(UnreachableError(*aCall));
    return;
  }
  const InstanceName& peer = aCall->mCandidates[aCall->mNextCandidate++];
  mRpc.Call(peer,
            aCall->mMethod,
            aCall->mRequest,
            kSubmissionPeerTimeout,
            [this, aCall](Result<std::string> aResult) {
              if (aResult) {
                aCall->mDone(std::move(aResult));
                return;
              }
              const Error& error = aResult.error();
              if (error.Kind() == ErrorKind::LeaseExpired) {
                aCall->mDone(error);
                return;
              }
              if (error.Traits().mRan != Ran::No) {
                aCall->mMayHaveArrived = true;
              }
              TryNext(aCall);
            });
}

Error
PeerSubmissionGroup::UnreachableError(const PeerCall& aCall) const
{
  if (aCall.mMayHaveArrived) {
    return Error(ErrorKind::OutcomeUnknown,
                 "the submission group of data centre " + mHome +
                   " did not answer in time");
  }
  return Error(ErrorKind::HomeUnreachable,
               "the submission group of data centre " + mHome +
                 " cannot be reached");
}

}

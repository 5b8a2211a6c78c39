#include "Jobs/LocalSubmissionGroup.h"

#include <utility>

#include "Jobs/ExecutorLeaseGranter.h"
#include "Jobs/SubmissionPeerMessages.h"
#include "Jobs/SubmissionStateMachine.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

namespace {

SubmissionGroup::RenewDone
ReplyWithGrant(PeerRpc::Done aDone)
{
  return [done = std::move(aDone)](const Result<LeaseGrant>& aResult) {
    if (!aResult) {
      done(aResult.error());
      return;
    }
    done(EncodeLeaseGrant(aResult.value()));
  };
}

}

LocalSubmissionGroup::LocalSubmissionGroup(const DataCentreName& aHome,
                                           Replicator& aReplicator,
                                           const SubmissionStateMachine& aState,
                                           ExecutorLeaseGranter& aGranter,
                                           PeerRpc& aRpc)
  : mHome(aHome)
  , mReplicator(aReplicator)
  , mState(aState)
  , mGranter(aGranter)
  , mRpc(aRpc)
{
  RegisterMethods();
}

void
LocalSubmissionGroup::Propose(std::string aCommand, Replicator::Done aDone)
{
  mReplicator.Propose(std::move(aCommand), std::move(aDone));
}

void
LocalSubmissionGroup::Lookup(const KeyHash& aKey,
                             std::uint32_t aKeyEpoch,
                             LookupDone aDone)
{
  mReplicator.Barrier([this, aKey, aKeyEpoch, done = std::move(aDone)](
                        const Result<void>& aResult) {
    if (!aResult) {
      done(aResult.error());
      return;
    }
    done(mState.Lookup(aKey, aKeyEpoch));
  });
}

void
LocalSubmissionGroup::RenewLease(const InstanceName& /*aInstance*/,
                                 ExecutorEpoch aEpoch,
                                 RenewDone aDone)
{
  if (mReplicator.IsLeader()) {
    aDone(mGranter.Renew(aEpoch));
    return;
  }
  const std::optional<InstanceName> leader = mReplicator.Leader();
  if (!leader) {
    aDone(Error(ErrorKind::NoQuorum,
                "the submission group of " + mHome + " has no leader"));
    return;
  }
  RenewRequest request;
  request.mEpoch = aEpoch;
  request.mForwarded = true;
  mRpc.Call(*leader,
            RenewMethod(mHome),
            Encode(request),
            kSubmissionPeerTimeout,
            [done = std::move(aDone)](const Result<std::string>& aReply) {
              done(DecodeLeaseGrant(aReply));
            });
}

void
LocalSubmissionGroup::RegisterMethods()
{
  mRpc.Register(ProposeMethod(mHome),
                [this](const InstanceName& /*aFrom*/,
                       const std::string& aRequest,
                       PeerRpc::Done aDone) {
                  mReplicator.Propose(aRequest, std::move(aDone));
                });
  mRpc.Register(
    LookupMethod(mHome),
    [this](const InstanceName& /*aFrom*/,
           const std::string& aRequest,
           PeerRpc::Done aDone) {
      const Result<LookupRequest> request = DecodeLookupRequest(aRequest);
      if (!request) {
        aDone(request.error());
        return;
      }
      Lookup(request.value().mKey,
             request.value().mKeyEpoch,
             [done = std::move(aDone)](const Result<ClaimResponse>& aResult) {
               if (!aResult) {
                 done(aResult.error());
                 return;
               }
               done(Encode(aResult.value()));
             });
    });
  mRpc.Register(
    RenewMethod(mHome),
    [this](const InstanceName& /*aFrom*/,
           const std::string& aRequest,
           PeerRpc::Done aDone) { HandleRenewal(aRequest, std::move(aDone)); });
}

void
LocalSubmissionGroup::HandleRenewal(
  const std::string& aRequest,
  std::function<void(Result<std::string>)> aDone)
{
  const Result<RenewRequest> request = DecodeRenewRequest(aRequest);
  if (!request) {
    aDone(request.error());
    return;
  }
  const ExecutorEpoch epoch = request.value().mEpoch;
  RenewDone reply = ReplyWithGrant(std::move(aDone));
  if (request.value().mForwarded) {
    reply(mGranter.Renew(epoch));
    return;
  }
  RenewLease(InstanceName(), epoch, std::move(reply));
}

}

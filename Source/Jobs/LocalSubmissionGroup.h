#pragma once

#include "Jobs/SubmissionGroup.h"

namespace almondspoke {

class ExecutorLeaseGranter;
class PeerRpc;
class SubmissionStateMachine;

/** \brief A submission group that this instance is a member of.
 *
 * Also registers PeerRpc methods through which other instances call the group.
 * Must be constructed before the transport starts. */
class LocalSubmissionGroup : public SubmissionGroup
{
public:
  /** \param aHome data centre of the group; part of the method names */
  LocalSubmissionGroup(const DataCentreName& aHome,
                       Replicator& aReplicator,
                       const SubmissionStateMachine& aState,
                       ExecutorLeaseGranter& aGranter,
                       PeerRpc& aRpc);

  void Propose(std::string aCommand, Replicator::Done aDone) override;
  void Lookup(const KeyHash& aKey,
              std::uint32_t aKeyEpoch,
              LookupDone aDone) override;
  void RenewLease(const InstanceName& aInstance,
                  ExecutorEpoch aEpoch,
                  RenewDone aDone) override;

private:
  void RegisterMethods();
  void HandleRenewal(const std::string& aRequest,
                     std::function<void(Result<std::string>)> aDone);

  const DataCentreName mHome;
  Replicator& mReplicator;
  const SubmissionStateMachine& mState;
  ExecutorLeaseGranter& mGranter;
  PeerRpc& mRpc;
};

}

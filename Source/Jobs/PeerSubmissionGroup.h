#pragma once

#include <memory>
#include <vector>

#include "Jobs/SubmissionGroup.h"

namespace almondspoke {

class InstanceView;
class PeerRpc;

/** \brief A submission group called through other instances by PeerRpc.
 *
 * Tries several live members of the group one after the other. Commands are
 * idempotent, so a call that is not answered is retried at the next member. */
class PeerSubmissionGroup : public SubmissionGroup
{
public:
  /** \param aHome data centre of the group
   * \param aVoters voters of the group; if empty, all instances of aHome */
  PeerSubmissionGroup(DataCentreName aHome,
                      PeerRpc& aRpc,
                      const InstanceView& aInstances,
                      std::vector<InstanceName> aVoters = {});

  void Propose(std::string aCommand, Replicator::Done aDone) override;
  void Lookup(const KeyHash& aKey,
              std::uint32_t aKeyEpoch,
              LookupDone aDone) override;
  void RenewLease(const InstanceName& aInstance,
                  ExecutorEpoch aEpoch,
                  RenewDone aDone) override;

private:
  struct PeerCall;

  void StartCall(std::string aMethod,
                 std::string aRequest,
                 Replicator::Done aDone);
  void TryNext(const std::shared_ptr<PeerCall>& aCall);
  std::vector<InstanceName> LiveCandidates() const;
  Error UnreachableError(const PeerCall& aCall) const;

  const DataCentreName mHome;
  PeerRpc& mRpc;
  const InstanceView& mInstances;
  const std::vector<InstanceName> mVoters;
};

}

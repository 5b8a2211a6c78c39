#pragma once

#include <map>

#include "Base/InstanceIdentity.h"
#include "Consensus/VoterGroup.h"
#include "Controllers/VotersService.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

/** \brief Validates voter changes for this instance's groups and forwards them
 * to the leader. */
class VotersController : public VotersService
{
public:
  /** Maps each instance in the settings to whether it has a disk. */
  using DiskPresence = std::map<InstanceName, bool>;

  /** The groups that this instance has a replica of; they must outlive the
   * controller. */
  using Groups = std::map<GroupName, VoterGroup*>;

  /** Registers the RPC methods by which other instances forward changes. */
  VotersController(Groups aGroups, PeerRpc& aRpc, DiskPresence aDiskPresence);

  Result<CoreStatus> Show(const GroupName& aGroup) const override;
  void Change(const GroupName& aGroup,
              VoterChange aChange,
              Done aDone) override;

private:
  Result<VoterGroup*> Find(const GroupName& aGroup) const;
  Result<void> Check(const VoterChange& aChange) const;

  const Groups mGroups;
  PeerRpc& mRpc;
  const DiskPresence mDiskPresence;
};

}

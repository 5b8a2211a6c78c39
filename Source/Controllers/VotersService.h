#pragma once

#include <cstdint>
#include <functional>

#include "Base/Result.h"
#include "Consensus/VoterGroup.h"

namespace almondspoke {

/** \brief Operator interface to the voters of a consensus group. Thread-safe.
 */
class VotersService
{
public:
  using Done = std::function<void(Result<std::uint64_t>)>;

  virtual ~VotersService() = default;

  /** State of the group as known to this instance. Errors: NotFound if this
   * instance has no replica of the group. */
  virtual Result<CoreStatus> Show(const GroupName& aGroup) const = 0;

  /** Adds or removes a voter. The change is forwarded to the leader if this
   * instance is not the leader.
   *
   * \param aDone receives the new version of the membership. Errors: NotFound
   * if this instance has no replica of the group; InvalidArgument,
   * VersionConflict, KeyConflict, NotLeader and NoQuorum (nothing was changed),
   * OutcomeUnknown and PeerTimeout (retry with the same request id). May be
   * called on any thread. */
  virtual void Change(const GroupName& aGroup,
                      VoterChange aChange,
                      Done aDone) = 0;
};

}

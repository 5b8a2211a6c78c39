#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Base/Result.h"
#include "Consensus/ConsensusCore.h"

namespace almondspoke {

/** Name of a group, as in section [groups] of the settings. */
using GroupName = std::string;

/** Name of the group that replicates the rules. */
inline constexpr const char* kConfigurationGroupName = "configuration";

/** \brief Interface for operators to show and change the voters of a group. */
class VoterGroup
{
public:
  using VersionDone = std::function<void(Result<std::uint64_t>)>;

  virtual ~VoterGroup() = default;

  /** State of this replica. */
  virtual CoreStatus Status() const = 0;

  /** Adds or removes a voter; must be called on the leader. The callback
   * receives the new membership version once it is committed. An added instance
   * becomes a voter once it has caught up.
   *
   * With the errors NotLeader, NoQuorum, InvalidArgument, VersionConflict and
   * KeyConflict nothing was changed. After OutcomeUnknown the request should be
   * repeated with the same request id. */
  virtual void ChangeVoters(const VoterChange& aChange,
                            const VersionDone& aDone) = 0;
};

}

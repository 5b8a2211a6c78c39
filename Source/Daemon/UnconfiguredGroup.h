#pragma once

#include "Consensus/Replicator.h"

namespace almondspoke {

/** \brief Takes the place of a consensus group that the settings do not
 * configure. Its state never changes: every barrier succeeds and every
 * proposal fails with NoQuorum. */
class UnconfiguredGroup : public Replicator
{
public:
  /** \param aName key of the group in [groups]. */
  explicit UnconfiguredGroup(std::string aName);

  void Propose(std::string aCommand, Done aDone) override;
  void Barrier(std::function<void(Result<void>)> aDone) override;
  bool IsLeader() const override { return false; }
  std::optional<InstanceName> Leader() const override { return std::nullopt; }
  Term CurrentTerm() const override { return 0; }

private:
  const std::string mName;
};

}

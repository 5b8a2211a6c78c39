#pragma once

#include "Base/Clock.h"
#include "Consensus/Replicator.h"
#include "Controllers/ConfigurationStateMachine.h"
#include "Controllers/RulesPublisher.h"
#include "Controllers/RulesService.h"

namespace almondspoke {

/** \brief Changes the rules through the configuration group and confirms
 * through it that this instance has the current version. */
class ConfigurationController : public RulesService
{
public:
  ConfigurationController(Replicator& aReplicator,
                          const ConfigurationStateMachine& aStateMachine,
                          RulesPublisher& aPublisher,
                          const Clock& aClock);

  /** Waits for a barrier of the group, which confirms that this instance has
   * applied all agreed changes. Call it repeatedly until IsReady() returns
   * true. */
  void ConfirmThroughGroup();

  void Apply(ApplyRequest aRequest, Done aDone) override;
  void Rollback(RollbackRequest aRequest, Done aDone) override;
  Result<RulesText> Show(std::optional<RulesVersion> aVersion) const override;
  std::vector<ChangeRecord> History(std::size_t aLimit) const override;
  bool IsReady() const override { return mPublisher.IsReady(); }

private:
  void Propose(ChangeCommand aCommand, Done aDone);

  Replicator& mReplicator;
  const ConfigurationStateMachine& mStateMachine;
  RulesPublisher& mPublisher;
  const Clock& mClock;
};

}

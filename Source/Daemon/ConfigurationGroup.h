#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Consensus/ConsensusChannel.h"
#include "Consensus/ConsensusGroup.h"
#include "Consensus/FileJournalStorage.h"
#include "Controllers/ConfigurationController.h"
#include "Controllers/ConfigurationStateMachine.h"
#include "Controllers/RulesPublisher.h"
#include "Daemon/Settings.h"
#include "Daemon/UnconfiguredGroup.h"

namespace almondspoke {

/** Consensus group id of the configuration group. */
inline constexpr GroupId kConfigurationGroupId = 1;

/** \brief This instance's replica of the configuration group and its state.
 *
 * The initial voters are listed under the key `configuration` in [groups]. An
 * instance with a disk stores the group's log, so that it can become a voter;
 * an instance without a disk is a learner that keeps the log in memory. If the
 * key is not set, the default rules (version 0) apply and changes are
 * rejected. */
class ConfigurationGroup
{
public:
  /** All references must outlive the object. */
  ConfigurationGroup(const Settings& aSettings,
                     ConsensusChannel& aChannel,
                     RulesPublisher& aPublisher,
                     const Clock& aClock);
  ~ConfigurationGroup();
  ConfigurationGroup(const ConfigurationGroup&) = delete;
  ConfigurationGroup& operator=(const ConfigurationGroup&) = delete;

  /** Opens the storage and starts the replica. Errors: StorageFailed. */
  Result<void> Start();
  void Stop();

  /** Must not be called before Start(). */
  ConfigurationController& Controller() { return *mController; }

  /** Returns null if no group is configured. Must not be called before
   * Start(). */
  VoterGroup* Voters() { return mGroup.get(); }

  /** Starts a leadership transfer if this replica is the leader and the group
   * has other voters. */
  void TransferLeadership();

  /** Returns true while this replica leads and another voter could take over
   * the leadership. */
  bool CanTransferLeadership() const;

  /** Returns the state of the replica; no value if no group is configured. */
  std::optional<CoreStatus> Status() const;

  /** Returns the log index of the last command applied. */
  LogIndex Applied() const;

private:
  Result<void> OpenStorage();

  const InstanceName mSelf;
  const std::string mDataFolder;
  const std::vector<InstanceName> mVoters;
  ConsensusChannel& mChannel;
  RulesPublisher& mPublisher;
  const Clock& mClock;
  ConfigurationStateMachine mStateMachine;
  UnconfiguredGroup mUnconfiguredGroup;
  std::unique_ptr<FileJournalStorage> mStorage;
  std::unique_ptr<ConsensusGroup> mGroup;
  std::unique_ptr<ConfigurationController> mController;
};

}

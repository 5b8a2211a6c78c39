#include "Daemon/ConfigurationGroup.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace almondspoke {

namespace {

constexpr const char* kGroupName = kConfigurationGroupName;

std::vector<InstanceName>
VotersOf(const Settings& aSettings)
{
  for (const GroupSettings& group : aSettings.mGroups) {
    if (group.mName == kGroupName) {
      return group.mVoters;
    }
  }
  return {};
}

}

ConfigurationGroup::ConfigurationGroup(const Settings& aSettings,
                                       ConsensusChannel& aChannel,
                                       RulesPublisher& aPublisher,
                                       const Clock& aClock)
  : mSelf(aSettings.mName)
  , mDataFolder(aSettings.mDataFolder)
  , mVoters(VotersOf(aSettings))
  , mChannel(aChannel)
  , mPublisher(aPublisher)
  , mClock(aClock)
  , mStateMachine({}, aPublisher)
  , mUnconfiguredGroup(kGroupName)
{
}

ConfigurationGroup::~ConfigurationGroup()
{
  Stop();
}

Result<void>
ConfigurationGroup::Start()
{
  if (mVoters.empty()) {
    mController = std::make_unique<ConfigurationController>(
      mUnconfiguredGroup, mStateMachine, mPublisher, mClock);
    return Success();
  }
  BOOST_OUTCOME_TRYV(OpenStorage());
  ConsensusGroupOptions options;
  options.mSelf = mSelf;
  options.mGroup = kConfigurationGroupId;
  options.mInitialVoters = mVoters;
  mGroup = std::make_unique<ConsensusGroup>(
    std::move(options), mChannel, mStateMachine, mClock, mStorage.get());
  mController = std::make_unique<ConfigurationController>(
    *mGroup, mStateMachine, mPublisher, mClock);
  return mGroup->Start();
}

Result<void>
ConfigurationGroup::OpenStorage()
{
  if (mDataFolder.empty()) {
    return Success();
  }
  BOOST_OUTCOME_TRY(storage,
                    FileJournalStorage::Open(mDataFolder + '/' + kGroupName));
  mStorage = std::move(storage);
  return Success();
}

void
ConfigurationGroup::Stop()
{
  if (mGroup) {
    mGroup->Stop();
  }
}

void
ConfigurationGroup::TransferLeadership()
{
  if (!CanTransferLeadership()) {
    return;
  }
  mGroup->TransferLeadership([](const Result<void>& aBegun) {
    LOG_IF(INFO, aBegun.has_value())
      << "group=" << kGroupName << " hands leadership over";
  });
}

bool
ConfigurationGroup::CanTransferLeadership() const
{
  if (!mGroup) {
    return false;
  }
  const CoreStatus status = mGroup->Status();
  return status.mRole == ReplicaRole::Leader &&
         status.mConfiguration.mVoters.size() > 1;
}

std::optional<CoreStatus>
ConfigurationGroup::Status() const
{
  return mGroup ? std::make_optional(mGroup->Status()) : std::nullopt;
}

LogIndex
ConfigurationGroup::Applied() const
{
  return mGroup ? mGroup->Applied() : 0;
}

}

#include "Jobs/FallbackSubmissionGroup.h"

#include <utility>

namespace almondspoke {

FallbackSubmissionGroup::FallbackSubmissionGroup(
  SubmissionGroup& aLocal,
  SubmissionGroup& aRemote,
  std::function<bool()> aIsVoting)
  : mLocal(aLocal)
  , mRemote(aRemote)
  , mIsVoting(std::move(aIsVoting))
{
}

void
FallbackSubmissionGroup::Propose(std::string aCommand, Replicator::Done aDone)
{
  ActiveGroup().Propose(std::move(aCommand), std::move(aDone));
}

void
FallbackSubmissionGroup::Lookup(const KeyHash& aKey,
                                std::uint32_t aKeyEpoch,
                                LookupDone aDone)
{
  ActiveGroup().Lookup(aKey, aKeyEpoch, std::move(aDone));
}

void
FallbackSubmissionGroup::RenewLease(const InstanceName& aInstance,
                                    ExecutorEpoch aEpoch,
                                    RenewDone aDone)
{
  ActiveGroup().RenewLease(aInstance, aEpoch, std::move(aDone));
}

}

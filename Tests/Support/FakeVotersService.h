#pragma once

#include <vector>

#include "Controllers/VotersService.h"

namespace almondspoke::testing {

/** \brief A VotersService whose status and answer the test sets. Records the
 * requested changes. */
class FakeVotersService : public VotersService
{
public:
  Result<CoreStatus> Show(const GroupName& aGroup) const override
  {
    if (aGroup != mGroup) {
      return Error(ErrorKind::NotFound, "no group '" + aGroup + "'");
    }
    return mStatus;
  }

  void Change(const GroupName& aGroup, VoterChange aChange, Done aDone) override
  {
    if (aGroup != mGroup) {
      aDone(Error(ErrorKind::NotFound, "no group '" + aGroup + "'"));
      return;
    }
    mChanges.push_back(aChange);
    aDone(mAnswer);
  }

  GroupName mGroup = kConfigurationGroupName;
  CoreStatus mStatus;
  Result<std::uint64_t> mAnswer = std::uint64_t{ 1 };
  std::vector<VoterChange> mChanges;
};

}

#pragma once

#include <utility>

#include "Jobs/SubmissionGroup.h"

namespace almondspoke {

/** \brief Null object for a data centre that has no submission group in the
 * settings. Every call fails with HomeUnreachable. */
class UnconfiguredSubmissionGroup : public SubmissionGroup
{
public:
  explicit UnconfiguredSubmissionGroup(DataCentreName aHome)
    : mHome(std::move(aHome))
  {
  }

  void Propose(std::string /*aCommand*/, Replicator::Done aDone) override
  {
    aDone(Refusal());
  }

  void Lookup(const KeyHash& /*aKey*/,
              std::uint32_t /*aKeyEpoch*/,
              LookupDone aDone) override
  {
    aDone(Refusal());
  }

  void RenewLease(const InstanceName& /*aInstance*/,
                  ExecutorEpoch /*aEpoch*/,
                  RenewDone aDone) override
  {
    aDone(Refusal());
  }

private:
  Error Refusal() const
  {
    return Error(ErrorKind::HomeUnreachable,
                 "the settings have no group submissions-" + mHome +
                   " in the section [groups]");
  }

  const DataCentreName mHome;
};

}

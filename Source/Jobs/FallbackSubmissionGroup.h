#pragma once

#include <functional>

#include "Jobs/SubmissionGroup.h"

namespace almondspoke {

/** \brief Calls a submission group through this instance's own replica, or
 * through the other voters while the own replica has no vote. */
class FallbackSubmissionGroup : public SubmissionGroup
{
public:
  /** \param aLocal the group through the own replica
   * \param aRemote the group through the other voters
   * \param aIsVoting returns whether the own replica has a vote; called from
   * any thread */
  FallbackSubmissionGroup(SubmissionGroup& aLocal,
                          SubmissionGroup& aRemote,
                          std::function<bool()> aIsVoting);

  void Propose(std::string aCommand, Replicator::Done aDone) override;
  void Lookup(const KeyHash& aKey,
              std::uint32_t aKeyEpoch,
              LookupDone aDone) override;
  void RenewLease(const InstanceName& aInstance,
                  ExecutorEpoch aEpoch,
                  RenewDone aDone) override;

private:
  SubmissionGroup& ActiveGroup() { return mIsVoting() ? mLocal : mRemote; }

  SubmissionGroup& mLocal;
  SubmissionGroup& mRemote;
  const std::function<bool()> mIsVoting;
};

}

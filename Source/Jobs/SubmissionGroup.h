#pragma once

#include <functional>
#include <string>

#include "Consensus/Replicator.h"
#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

/** \brief Interface to the submission group of one data centre.
 *
 * A submission group is the consensus group that stores the claims and answers
 * of the idempotency keys of its data centre. The instance that calls need not
 * be a member. */
class SubmissionGroup
{
public:
  using LookupDone = std::function<void(Result<ClaimResponse>)>;
  using RenewDone = std::function<void(Result<LeaseGrant>)>;

  virtual ~SubmissionGroup() = default;

  /** Replicates a command; see Replicator::Propose(). The error HomeUnreachable
   * means that no member received the command. */
  virtual void Propose(std::string aCommand, Replicator::Done aDone) = 0;

  /** Reads the state of a key with a linearizable read. */
  virtual void Lookup(const KeyHash& aKey,
                      std::uint32_t aKeyEpoch,
                      LookupDone aDone) = 0;

  /** Renews the lease of an executor at the leader of the group.
   *
   * \param aDone receives the durations of the lease, which count from before
   * this call. The error LeaseExpired means that the epoch was declared
   * lost. */
  virtual void RenewLease(const InstanceName& aInstance,
                          ExecutorEpoch aEpoch,
                          RenewDone aDone) = 0;
};

}

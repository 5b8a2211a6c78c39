#pragma once

#include <asio/io_context.hpp>

#include "Jobs/SubmissionGroup.h"

namespace almondspoke {

/** \brief Decorator that runs the callbacks of another submission group on the
 * threads of an io_context, so that they do not block the thread of the
 * consensus core. */
class CallbackPostingSubmissionGroup : public SubmissionGroup
{
public:
  CallbackPostingSubmissionGroup(asio::io_context& aContext,
                                 SubmissionGroup& aGroup);

  void Propose(std::string aCommand, Replicator::Done aDone) override;
  void Lookup(const KeyHash& aKey,
              std::uint32_t aKeyEpoch,
              LookupDone aDone) override;
  void RenewLease(const InstanceName& aInstance,
                  ExecutorEpoch aEpoch,
                  RenewDone aDone) override;

private:
  asio::io_context& mContext;
  SubmissionGroup& mGroup;
};

}

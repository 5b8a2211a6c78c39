#include "Jobs/CallbackPostingSubmissionGroup.h"

#include <utility>

#include <asio/post.hpp>

namespace almondspoke {

namespace {

template<typename T>
std::function<void(Result<T>)>
PostTo(asio::io_context& aContext, std::function<void(Result<T>)> aDone)
{
  return [&aContext, done = std::move(aDone)](Result<T> aResult) {
    asio::post(aContext, [done, result = std::move(aResult)]() mutable {
      done(std::move(result));
    });
  };
}

}

CallbackPostingSubmissionGroup::CallbackPostingSubmissionGroup(
  asio::io_context& aContext,
  SubmissionGroup& aGroup)
  : mContext(aContext)
  , mGroup(aGroup)
{
}

void
CallbackPostingSubmissionGroup::Propose(std::string aCommand,
                                        Replicator::Done aDone)
{
  mGroup.Propose(std::move(aCommand), PostTo(mContext, std::move(aDone)));
}

void
CallbackPostingSubmissionGroup::Lookup(const KeyHash& aKey,
                                       std::uint32_t aKeyEpoch,
                                       LookupDone aDone)
{
  mGroup.Lookup(aKey, aKeyEpoch, PostTo(mContext, std::move(aDone)));
}

void
CallbackPostingSubmissionGroup::RenewLease(const InstanceName& aInstance,
                                           ExecutorEpoch aEpoch,
                                           RenewDone aDone)
{
  mGroup.RenewLease(aInstance, aEpoch, PostTo(mContext, std::move(aDone)));
}

}

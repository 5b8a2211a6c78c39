#include "Filters/RequestContext.h"

#include <string>
#include <utility>

#include "Filters/RequestFields.h"

namespace almondspoke {

namespace {

// With kNotRunField, tells the forwarding instance that the work did not run
// here.
constexpr int kServiceUnavailable = 503;

}

RequestContext::RequestContext(HttpExchangePtr aExchange,
                               std::string aId,
                               Clock::Monotonic aArrival)
  : mExchange(std::move(aExchange))
  , mId(std::move(aId))
  , mArrival(aArrival)
{
}

RequestContext::~RequestContext()
{
  if (!mAnswered) {
    Fail(Error(ErrorKind::Internal, "the request was dropped"));
  }
}

void
RequestContext::Answer(HttpResponse aResponse, Ran aRan)
{
  if (mAnswered.exchange(true)) {
    return;
  }
  std::vector<AnswerHook> hooks;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    hooks.swap(mAnswerHooks);
    mDisconnectHandler = nullptr;
  }
  SetField(aResponse.mFields, kRequestIdField, mId);
  if (mSpillOrigin && aRan == Ran::No) {
    aResponse.mStatus = kServiceUnavailable;
    SetField(aResponse.mFields, kNotRunField, "true");
  }
  if (mRulesVersion) {
    SetField(
      aResponse.mFields, kRulesVersionField, std::to_string(*mRulesVersion));
  }
  for (auto hook = hooks.rbegin(); hook != hooks.rend(); ++hook) {
    (*hook)(aResponse, aRan);
  }
  mExchange->Respond(std::move(aResponse));
}

void
RequestContext::Fail(const Error& aError)
{
  // An earlier attempt may have run, even if the last one certainly did not.
  if (mMayHaveRun && aError.Traits().mRan == Ran::No) {
    Fail(Error(ErrorKind::OutcomeUnknown, aError.Message()));
    return;
  }
  Answer(ErrorResponse(aError), aError.Traits().mRan);
}

void
RequestContext::AddAnswerHook(AnswerHook aHook)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAnswerHooks.push_back(std::move(aHook));
}

void
RequestContext::SetDisconnectHandler(std::function<void()> aHandler)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mCallerDisconnected) {
      mDisconnectHandler = std::move(aHandler);
      return;
    }
  }
  if (aHandler) {
    aHandler();
  }
}

void
RequestContext::SetAttemptStop(std::uint32_t aNumber,
                               std::function<void()> aStop)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  // A later attempt may have set its function first.
  if (aNumber > mStoppableAttempt) {
    mStoppableAttempt = aNumber;
    mAttemptStop = std::move(aStop);
  }
}

void
RequestContext::StopAttempt(std::uint32_t aNumber)
{
  std::function<void()> stop;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (aNumber == mStoppableAttempt) {
      stop.swap(mAttemptStop);
    }
  }
  if (stop) {
    stop();
  }
}

void
RequestContext::WatchCallerConnection()
{
  mExchange->OnCallerDisconnected([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    std::function<void()> handler;
    {
      const std::lock_guard<std::mutex> lock(self->mMutex);
      self->mCallerDisconnected = true;
      handler.swap(self->mDisconnectHandler);
    }
    if (handler) {
      handler();
    }
  });
}

}

#include "Transport/ArrivingRequest.h"

#include <utility>

namespace almondspoke::detail {

namespace {

thread_local ArrivingRequest* currentRequest = nullptr;

}

ArrivingRequest::Scope::Scope(ArrivingRequest& aRequest)
  : mPrevious(std::exchange(currentRequest, &aRequest))
{
}

ArrivingRequest::Scope::~Scope()
{
  currentRequest = mPrevious;
}

ArrivingRequest*
ArrivingRequest::Current()
{
  return currentRequest;
}

ArrivingRequest::ArrivingRequest(std::shared_ptr<RequestMemory> aMemory,
                                 std::shared_ptr<ConnectionState> aConnection,
                                 std::shared_ptr<const ArrivalLimits> aLimits)
  : mMemory(std::move(aMemory))
  , mConnection(std::move(aConnection))
  , mLimits(std::move(aLimits))
{
}

ArrivingRequest::~ArrivingRequest()
{
  mMemory->Remove(*this);
}

void
ArrivingRequest::Begin()
{
  mHasBegun = true;
  mHasHeader = false;
  mIsCharged = false;
  mBytes = 0;
  mHeaderBytes = 0;
  mBodyBytes = 0;
}

bool
ArrivingRequest::AddHeader(std::size_t aBytes)
{
  mBytes += aBytes;
  mHeaderBytes += aBytes;
  return mHeaderBytes <= mLimits->MaxHeaderBytes();
}

bool
ArrivingRequest::AddBody(std::size_t aBytes)
{
  mBytes += aBytes;
  mBodyBytes += aBytes;
  return mBodyBytes <= mLimits->MaxBodyBytes();
}

std::size_t
ArrivingRequest::Finish()
{
  mHasBegun = false;
  mIsDisplaced = false;
  if (std::exchange(mIsCharged, false)) {
    mMemory->Remove(*this);
    const std::lock_guard<std::mutex> lock(mMutex);
    mRefusal.reset();
  }
  return std::exchange(mBytes, 0);
}

// A request that arrives in one read is finished by now, so that it costs no
// update of the account.
void
ArrivingRequest::Settle()
{
  if (!mHasBegun) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIsDetached) {
      return;
    }
  }
  if (!std::exchange(mIsCharged, true)) {
    mBeganAt = std::chrono::steady_clock::now();
  }
  mMemory->Update(*this,
                  mBytes,
                  mBeganAt + (mHasHeader ? mLimits->RequestTimeout()
                                         : mLimits->HeaderTimeout()));
}

void
ArrivingRequest::Attach(Post aPost, Task aCancel)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPost = std::move(aPost);
  mCancel = std::move(aCancel);
}

bool
ArrivingRequest::IsAttached() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPost != nullptr;
}

void
ArrivingRequest::Detach()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsDetached = true;
    mCancel = nullptr;
    mRefusal.reset();
  }
  mMemory->Remove(*this);
}

std::optional<ArrivingRequest::Refusal>
ArrivingRequest::TakeRefusal()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return std::exchange(mRefusal, std::nullopt);
}

bool
ArrivingRequest::MayBeRefused() const
{
  return mConnection->Outstanding() == 0;
}

void
ArrivingRequest::Refuse(std::optional<Error> aError)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mIsDetached || !mPost || weak_from_this().expired()) {
    return;
  }
  mRefusal = Refusal{ std::move(aError) };
  PostCancel(&ArrivingRequest::IsRefused);
}

void
ArrivingRequest::Displace()
{
  mIsDisplaced = true;
  ContinueDisplacement();
}

void
ArrivingRequest::ContinueDisplacement()
{
  if (!mIsDisplaced) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mIsDetached && mPost) {
    PostCancel(&ArrivingRequest::MayBeDisplaced);
  }
}

bool
ArrivingRequest::TakeDisplacement()
{
  return mIsDisplaced.exchange(false) && !mConnection->HasUnanswered();
}

void
ArrivingRequest::PostCancel(bool (ArrivingRequest::*aMayCancel)() const)
{
  mPost([weak = weak_from_this(), aMayCancel] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    const std::lock_guard<std::mutex> lock(self->mMutex);
    if ((*self.*aMayCancel)() && self->mCancel) {
      self->mCancel();
    }
  });
}

}

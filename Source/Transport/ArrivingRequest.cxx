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
ArrivingRequest::Attach(Post aPost, Task aCancelRead)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPost = std::move(aPost);
  mCancelRead = std::move(aCancelRead);
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
    mCancelRead = nullptr;
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
  const std::weak_ptr<ArrivingRequest> weak = weak_from_this();
  if (mIsDetached || !mPost || weak.expired()) {
    return;
  }
  mRefusal = Refusal{ std::move(aError) };
  mPost([weak] {
    if (const auto self = weak.lock()) {
      self->CancelRead();
    }
  });
}

void
ArrivingRequest::CancelRead()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mRefusal && mCancelRead) {
    mCancelRead();
  }
}

}

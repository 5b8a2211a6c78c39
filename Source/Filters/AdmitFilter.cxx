#include "Filters/AdmitFilter.h"

#include <chrono>
#include <utility>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kRetryAfterMemoryFull{ 1000 };
constexpr std::chrono::milliseconds kRetryAfterNotReady{ 1000 };
/** Memory counted for each request in addition to its body. */
constexpr std::size_t kRequestOverheadBytes = 4096;

}

AdmitFilter::AdmitFilter(const RequestRules& aRules, std::size_t aMaxBytes)
  : mRules(aRules)
  , mMaxBytes(aMaxBytes)
  , mReservedBytes(std::make_shared<std::atomic<std::size_t>>(0))
{
}

void
AdmitFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  if (!mRules.AreKnown()) {
    aContext->Fail(Error(
      ErrorKind::NotReady, "the rules are not known yet", kRetryAfterNotReady));
    return;
  }
  const std::size_t bytes = aContext->mBody->size() + kRequestOverheadBytes;
  if (mReservedBytes->fetch_add(bytes) + bytes > mMaxBytes) {
    *mReservedBytes -= bytes;
    aContext->Fail(
      Error(ErrorKind::QueueFull,
            "the requests in progress have reached the memory limit",
            kRetryAfterMemoryFull));
    return;
  }
  aContext->AddAnswerHook([held = mReservedBytes, bytes](
                            const HttpResponse&, Ran) { *held -= bytes; });
  aNext(std::move(aContext));
}

}

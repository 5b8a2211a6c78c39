#include "Transport/RequestMemory.h"

#include <algorithm>

namespace almondspoke::detail {

namespace {

/** Part of the account that only small requests may use. */
constexpr std::size_t kReserveDivisor = 8;

/** State of a request in progress: the exchange, the call and its timers, and
 * the headers of the answer. */
constexpr std::size_t kStateBytes = 4096;

/** Number of copies of a request besides its text, and their limit. */
constexpr std::size_t kCopies = 3;
constexpr std::size_t kMaxCopyBytes = 65536;

constexpr std::chrono::milliseconds kRetryAfter{ 1000 };

/** Time until a request that may not be refused at its deadline is looked at
 * again. */
constexpr std::chrono::milliseconds kExpiryRetry{ 500 };

std::size_t
InBlocks(std::size_t aBytes)
{
  const std::size_t blocks = aBytes / RequestMemory::kBlockBytes +
                             (aBytes % RequestMemory::kBlockBytes == 0 ? 0 : 1);
  return blocks * RequestMemory::kBlockBytes;
}

}

RequestMemory::RequestMemory(std::size_t aMaxBytes,
                             RequestRefusalObserver aObserver)
  : mMaxBytes(aMaxBytes)
  , mObserver(std::move(aObserver))
{
}

Error
RequestMemory::ExhaustedError()
{
  return { ErrorKind::QueueFull,
           "the memory for requests is full; the request was not run",
           kRetryAfter };
}

void
RequestMemory::Update(Request& aRequest, std::size_t aBytes, Time aDeadline)
{
  Refusals refusals;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (aRequest.mIsRefused) {
      return;
    }
    const std::size_t total = InBlocks(aBytes);
    const std::size_t growth =
      total > aRequest.mCharged ? total - aRequest.mCharged : 0;
    Unlist(aRequest);
    // What has arrived is in memory already, so it is charged in any case.
    const bool hasRoom =
      growth == 0 || MakeRoom(growth, aRequest.mCharged + growth, refusals);
    aRequest.mCharged += growth;
    mHeldBytes += growth;
    if (hasRoom) {
      aRequest.mDeadline = aDeadline;
      List(aRequest);
    } else {
      RefuseRequest(aRequest, RequestLimit::Memory, refusals);
    }
  }
  Notify(refusals);
}

void
RequestMemory::Remove(Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Unlist(aRequest);
  mHeldBytes -= aRequest.mCharged;
  mReturningBytes -= aRequest.mIsRefused ? aRequest.mCharged : 0;
  aRequest.mCharged = 0;
  aRequest.mIsRefused = false;
}

std::size_t
RequestMemory::InProgressBytes(std::size_t aBytes)
{
  return kStateBytes + aBytes + std::min(kCopies * aBytes, kMaxCopyBytes);
}

bool
RequestMemory::Acquire(std::size_t aBytes)
{
  Refusals refusals;
  bool hasRoom = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    hasRoom = MakeRoom(aBytes, aBytes, refusals);
    mHeldBytes += hasRoom ? aBytes : 0;
    if (!hasRoom) {
      ++mRefusedForMemory;
      refusals.push_back({ RequestLimit::Memory, aBytes, mHeldBytes });
    }
  }
  Notify(refusals);
  return hasRoom;
}

void
RequestMemory::Hold(std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mHeldBytes += aBytes;
}

void
RequestMemory::Release(std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mHeldBytes -= aBytes;
}

void
RequestMemory::RefuseExpired(Time aNow)
{
  Refusals refusals;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    while (!mByDeadline.empty() && mByDeadline.begin()->first <= aNow) {
      Request& request = *mByDeadline.begin()->second;
      Unlist(request);
      if (request.MayBeRefused()) {
        RefuseRequest(request, RequestLimit::Time, refusals);
      } else {
        request.mDeadline = aNow + kExpiryRetry;
        List(request);
      }
    }
  }
  Notify(refusals);
}

RequestMemoryCounters
RequestMemory::Counters() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { mRefusedForMemory, mRefusedForTime, mHeldBytes };
}

// The memory of refused requests counts as free, since their connections are
// closed before the next read of most others.
bool
RequestMemory::MakeRoom(std::size_t aGrowth,
                        std::size_t aTotal,
                        Refusals& aRefusals)
{
  const std::size_t limit = aTotal <= kSmallRequestBytes
                              ? mMaxBytes
                              : mMaxBytes - mMaxBytes / kReserveDivisor;
  while (aGrowth > limit || mHeldBytes - mReturningBytes > limit - aGrowth) {
    if (mBySize.empty() || mBySize.rbegin()->first <= aTotal) {
      return false;
    }
    Request& largest = *mBySize.rbegin()->second;
    Unlist(largest);
    RefuseRequest(largest, RequestLimit::Memory, aRefusals);
  }
  return true;
}

void
RequestMemory::RefuseRequest(Request& aRequest,
                             RequestLimit aLimit,
                             Refusals& aRefusals)
{
  const bool isMemory = aLimit == RequestLimit::Memory;
  ++(isMemory ? mRefusedForMemory : mRefusedForTime);
  aRequest.mIsRefused = true;
  mReturningBytes += aRequest.mCharged;
  aRefusals.push_back({ aLimit, aRequest.mCharged, mHeldBytes });
  aRequest.Refuse(isMemory ? std::optional<Error>(ExhaustedError())
                           : std::nullopt);
}

void
RequestMemory::List(Request& aRequest)
{
  aRequest.mIsListed = true;
  aRequest.mIsCandidate = aRequest.MayBeRefused();
  mByDeadline.emplace(aRequest.mDeadline, &aRequest);
  if (aRequest.mIsCandidate) {
    mBySize.emplace(aRequest.mCharged, &aRequest);
  }
}

void
RequestMemory::Unlist(Request& aRequest)
{
  if (!aRequest.mIsListed) {
    return;
  }
  aRequest.mIsListed = false;
  mByDeadline.erase({ aRequest.mDeadline, &aRequest });
  if (aRequest.mIsCandidate) {
    mBySize.erase({ aRequest.mCharged, &aRequest });
  }
}

void
RequestMemory::Notify(const Refusals& aRefusals) const
{
  if (!mObserver) {
    return;
  }
  for (const RequestRefusal& refusal : aRefusals) {
    mObserver(refusal);
  }
}

}

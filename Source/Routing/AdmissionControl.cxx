#include "Routing/AdmissionControl.h"

#include <algorithm>
#include <utility>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kNoEndpointRetryAfter(500);
constexpr std::chrono::milliseconds kMinRetryAfter(20);
constexpr std::chrono::milliseconds kMaxRetryAfter(30000);

// Expected wait while no attempt is in progress, so that no slot is about to be
// released.
constexpr std::chrono::hours kUnboundedWait(1);

}

Error
NoSpillRoomError(const ServiceName& aService)
{
  return { ErrorKind::KindCeilingReached,
           "service '" + aService +
             "' has no slot left for work of other data centres",
           kNoEndpointRetryAfter };
}

AdmissionControl::AdmissionControl(ServiceName aService,
                                   bool aHasQueue,
                                   Parts aParts)
  : mName(std::move(aService))
  , mHasQueue(aHasQueue)
  , mParts(aParts)
{
}

void
AdmissionControl::RecordStart(KindIndex aKind, Clock::Monotonic aNow)
{
  mDeadlines.RecordStart(aKind, aNow, mParts.mQueue.Waiting(aKind));
}

AdmissionInput
AdmissionControl::InputFor(const WorkItem& aItem, KindIndex aKind) const
{
  AdmissionInput input;
  input.mKind = aKind;
  input.mWorkAhead = mParts.mQueue.WaitingAhead(aKind, aItem.mUrgency);
  input.mSlots =
    mParts.mQueue.CeilingSlots(aKind, mParts.mFleet.Supply().mTotal);
  input.mRunTime = mParts.mRunTimes.Expected(aKind, aItem.mDeclaredRunTime);
  input.mDeadline = aItem.mDeadline;
  return input;
}

std::chrono::milliseconds
AdmissionControl::RetryAfterFor(const WorkItem& aItem,
                                KindIndex aKind,
                                Clock::Monotonic aNow) const
{
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
    mDeadlines.ExpectedWait(InputFor(aItem, aKind), aNow));
  return std::clamp(wait / 2, kMinRetryAfter, kMaxRetryAfter);
}

std::optional<Error>
AdmissionControl::CheckQueue(const WorkItem& aItem,
                             KindIndex aKind,
                             Clock::Monotonic aNow)
{
  const std::optional<ErrorKind> capacityError =
    mParts.mQueue.CheckCapacity(aKind);
  const bool canEvict = capacityError == ErrorKind::QueueFull &&
                        mParts.mQueue.FindEvictionCandidate(aKind).has_value();
  if (capacityError && !canEvict) {
    const std::string message =
      *capacityError == ErrorKind::QueueFull
        ? "the queue of service '" + mName + "' is full"
        : "kind '" + aItem.mKind + "' has reached its ceiling in the queue";
    return Error(*capacityError, message, RetryAfterFor(aItem, aKind, aNow));
  }
  const auto retryAfter =
    mDeadlines.CheckDeadline(InputFor(aItem, aKind), aNow);
  if (retryAfter) {
    return Error(ErrorKind::DeadlineUnreachable,
                 "work of kind '" + aItem.mKind +
                   "' cannot finish by its deadline",
                 *retryAfter);
  }
  return std::nullopt;
}

std::optional<Error>
AdmissionControl::Check(const WorkItem& aItem,
                        KindIndex aKind,
                        Clock::Monotonic aNow)
{
  if (mParts.mFleet.IsEmpty()) {
    return Error(ErrorKind::NoEndpoint,
                 "service '" + mName + "' has no live endpoint",
                 kNoEndpointRetryAfter);
  }
  if (aItem.mIsSpilled &&
      mParts.mQueue.SpillRoom(mParts.mFleet.Supply()) == 0) {
    return NoSpillRoomError(mName);
  }
  if (mHasQueue) {
    std::optional<Error> error = CheckQueue(aItem, aKind, aNow);
    if (error) {
      return error;
    }
  }
  if (!mParts.mTeams.TryAdmit(aItem.mTeam)) {
    return Error(ErrorKind::QuotaExceeded,
                 "team '" + aItem.mTeam + "' has too much work outstanding",
                 RetryAfterFor(aItem, aKind, aNow));
  }
  return std::nullopt;
}

std::chrono::microseconds
AdmissionControl::ExpectedWait(const QueueKey& aKey) const
{
  const std::uint32_t inFlight = mParts.mFleet.InFlight();
  if (inFlight == 0) {
    return kUnboundedWait;
  }
  return mParts.mRunTimes.Median(aKey.mKind) *
         mParts.mQueue.WaitingUpTo(aKey.mUrgency) / inFlight;
}

}

#include "Routing/ServiceScheduler.h"

namespace almondspoke {

std::size_t
ServiceScheduler::Outstanding() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mWork.size();
}

ServiceStatus
ServiceScheduler::Status() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ServiceStatus status;
  status.mService = mName;
  status.mWaiting = mQueue.Length() + mQuotaWaiters.Length();
  status.mTotalSlots = mFleet.Supply().mTotal;
  status.mInUse = mFleet.InFlight();
  status.mRetries = mRetryCount;
  status.mRetriesDenied = mRetriesDenied;
  status.mStoppedAttempts = mStopCount;
  status.mEjectedEndpoints = mFleet.EjectedCount();
  status.mEndpoints = mFleet.Status();
  status.mKinds = mCounters.Status(mQueue, mRunTimes);
  return status;
}

bool
ServiceScheduler::HasEndpoint() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return !mFleet.IsEmpty();
}

std::uint32_t
ServiceScheduler::SpillRoom() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mQueue.SpillRoom(mFleet.Supply());
}

}

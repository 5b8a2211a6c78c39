#include "Dispatch/RefusalLog.h"

#include <chrono>
#include <utility>

namespace almondspoke::dispatch {

RefusalLog::RefusalLog(const Clock& aClock,
                       EventLog& aLog,
                       std::string aListener)
  : mClock(aClock)
  , mLog(aLog)
  , mListener(std::move(aListener))
{
}

void
RefusalLog::OnRefusal(const RequestRefusal& aRefusal)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mUnreported;
  const auto now = mClock.MonotonicNow();
  if (now - mSecondBeganAt >= std::chrono::seconds(1)) {
    mSecondBeganAt = now;
    mLines = 0;
  }
  if (mLines == kMaxLines) {
    return;
  }
  ++mLines;
  EventLine(mLog, "request-refused")
    .With("listener", mListener)
    .With("limit", NameOf(kRequestLimitNames, aRefusal.mLimit))
    .With("bytes", std::uint64_t{ aRefusal.mBytes })
    .With("held", std::uint64_t{ aRefusal.mHeldBytes })
    .With("refused", std::exchange(mUnreported, 0));
}

}

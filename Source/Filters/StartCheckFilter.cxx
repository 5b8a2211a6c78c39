#include "Filters/StartCheckFilter.h"

#include <utility>

#include <asio/post.hpp>

#include "Filters/StartCheck.h"

namespace almondspoke {

StartCheckFilter::StartCheckFilter(asio::io_context& aContext,
                                   const Clock& aClock,
                                   RequestScheduler& aScheduler)
  : mContext(aContext)
  , mClock(aClock)
  , mScheduler(aScheduler)
{
}

void
StartCheckFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  const Result<void> allowed =
    CheckStart(*aContext, aContext->mAttempt.mDeadline, mClock.MonotonicNow());
  if (allowed.has_value()) {
    aNext(std::move(aContext));
    return;
  }
  FailUnsent(aContext, allowed.error());
}

// Posted, since RequestScheduler::Finish() must not be called from within the
// dispatch handler.
void
StartCheckFilter::FailUnsent(const RequestContextPtr& aContext,
                             const Error& aError)
{
  asio::post(mContext, [this, aContext, aError] {
    AttemptReport report;
    report.mAbandoned = true;
    mScheduler.Finish(aContext->mTicket, report);
    aContext->Fail(aError);
  });
}

}

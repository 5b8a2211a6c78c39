#include "Filters/ForwardFilter.h"

#include <utility>

namespace almondspoke {

namespace {

HttpAttempt
MakeAttempt(const RequestContext& aContext)
{
  HttpAttempt attempt;
  attempt.mAddress = aContext.mAttempt.mAddress;
  attempt.mTarget = aContext.mTarget;
  attempt.mFields = aContext.mForwardFields;
  attempt.mBody = aContext.mBody;
  attempt.mDeadline = aContext.mAttempt.mDeadline;
  attempt.mUseNewConnection = !aContext.mIdempotent;
  attempt.mMaxConnections = aContext.mAttempt.mMaxConnections;
  return attempt;
}

bool
HasAnswer(const AttemptResult& aResult)
{
  return aResult.mOutcome == TransferOutcome::Answered ||
         aResult.mOutcome == TransferOutcome::RefusedNotRun;
}

}

ForwardFilter::ForwardFilter(const Clock& aClock,
                             HttpClient& aClient,
                             RequestScheduler& aScheduler)
  : mClock(aClock)
  , mClient(aClient)
  , mScheduler(aScheduler)
{
}

void
ForwardFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  HttpAttempt attempt = MakeAttempt(*aContext);
  const Clock::Monotonic start = mClock.MonotonicNow();
  const std::uint32_t number = aContext->mAttempt.mNumber;
  const HttpClient::AttemptId id = mClient.Start(
    std::move(attempt), [this, aContext, start, aNext](AttemptResult aResult) {
      OnAttemptEnd(aContext, start, std::move(aResult), aNext);
    });
  if (aContext->mIdempotent) {
    aContext->SetAttemptStop(number, [this, id] { mClient.Cancel(id); });
  }
}

void
ForwardFilter::OnAttemptEnd(const RequestContextPtr& aContext,
                            Clock::Monotonic aStart,
                            AttemptResult aResult,
                            const Next& aNext)
{
  AttemptReport report;
  report.mOutcome = aResult.mOutcome;
  report.mStatus = HasAnswer(aResult) ? aResult.mResponse.mStatus : 0;
  report.mErrorKind = aResult.mErrorKind;
  report.mElapsed = std::chrono::duration_cast<std::chrono::microseconds>(
    mClock.MonotonicNow() - aStart);
  if (aResult.mOutcome == TransferOutcome::MayHaveRun) {
    aContext->mMayHaveRun = true;
  }
  // Finish() may start the next attempt, which changes mTicket, before it
  // returns.
  const RequestScheduler::Ticket ticket = aContext->mTicket;
  if (mScheduler.Finish(ticket, report)) {
    return;
  }
  aContext->mResult = std::move(aResult);
  aNext(aContext);
}

}

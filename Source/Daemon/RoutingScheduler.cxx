#include "Daemon/RoutingScheduler.h"

#include <utility>

namespace almondspoke {

namespace {

constexpr int kFirstServerError = 500;

WorkItem
WorkItemOf(ScheduledRequest aRequest)
{
  WorkItem item;
  item.mRequestId = std::move(aRequest.mRequestId);
  item.mService = std::move(aRequest.mService);
  item.mKind = std::move(aRequest.mKind);
  item.mTeam = std::move(aRequest.mTeam);
  item.mUrgency = aRequest.mUrgency;
  item.mIdempotent = aRequest.mIdempotent;
  item.mDeadline = aRequest.mDeadline;
  item.mIsSpilled = aRequest.mIsSpilled;
  item.mOnStop = std::move(aRequest.mStop);
  return item;
}

ScheduledAttempt
ScheduledAttemptOf(const Dispatch& aDispatch)
{
  ScheduledAttempt attempt;
  attempt.mEndpoint = aDispatch.mEndpoint;
  attempt.mAddress = aDispatch.mAddress;
  attempt.mMaxConnections = aDispatch.mMaxConnections;
  attempt.mNumber = aDispatch.mAttempt;
  attempt.mDeadline = aDispatch.mDeadline;
  return attempt;
}

AttemptOutcome
UnansweredOutcome(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::EndpointTimeout:
      return AttemptOutcome::TimedOut;
    case ErrorKind::EndpointFailed:
      return AttemptOutcome::Failed;
    default:
      return AttemptOutcome::ConnectionLost;
  }
}

AttemptOutcome
AttemptOutcomeOf(const AttemptReport& aReport)
{
  if (aReport.mAbandoned) {
    return AttemptOutcome::Abandoned;
  }
  switch (aReport.mOutcome) {
    case TransferOutcome::Answered:
      return aReport.mStatus < kFirstServerError
               ? AttemptOutcome::Succeeded
               : AttemptOutcome::ErrorAnswered;
    case TransferOutcome::RefusedNotRun:
      return AttemptOutcome::Refused;
    case TransferOutcome::NotSent:
      return AttemptOutcome::Unreachable;
    case TransferOutcome::MayHaveRun:
      return UnansweredOutcome(aReport.mErrorKind);
  }
  return AttemptOutcome::Failed;
}

}

RoutingScheduler::RoutingScheduler(const Clock& aClock,
                                   EndpointView& aEndpoints,
                                   SlotHolder& aSlots,
                                   DecisionSink& aDecisions,
                                   const SchedulerSettings& aSettings)
  : mScheduler(aClock, aSlots, aDecisions, aSettings)
{
  aEndpoints.Observe(
    [this](const EndpointChange& aChange) { mScheduler.Apply(aChange); });
  for (const Endpoint& endpoint : aEndpoints.AllEndpoints()) {
    mScheduler.Apply({ EndpointChange::Kind::Added, endpoint });
  }
}

bool
RoutingScheduler::HasEndpoint(const ServiceName& aService) const
{
  return mScheduler.HasEndpoint(aService);
}

std::uint32_t
RoutingScheduler::SpillRoom(const ServiceName& aService) const
{
  return mScheduler.SpillRoom(aService);
}

Result<RequestScheduler::Ticket>
RoutingScheduler::Submit(ScheduledRequest aRequest,
                         DispatchHandler aDispatch,
                         RefuseHandler aRefuse)
{
  return mScheduler.Submit(
    WorkItemOf(std::move(aRequest)),
    [dispatch = std::move(aDispatch)](const Dispatch& aAttempt) {
      dispatch(aAttempt.mId, ScheduledAttemptOf(aAttempt));
    },
    std::move(aRefuse));
}

bool
RoutingScheduler::Cancel(Ticket aTicket)
{
  const Cancellation found = mScheduler.Cancel(aTicket);
  return found == Cancellation::NotStarted || found == Cancellation::MayHaveRun;
}

bool
RoutingScheduler::Finish(Ticket aTicket, const AttemptReport& aReport)
{
  const CompletionResult result =
    mScheduler.Complete(aTicket, AttemptOutcomeOf(aReport), aReport.mElapsed);
  return result.mNext == Completion::Retrying;
}

void
RoutingScheduler::ApplyRules(const RoutingRules& aRules)
{
  mScheduler.ApplyRules(aRules);
}

void
RoutingScheduler::Tick()
{
  mScheduler.Tick();
}

std::vector<ServiceStatus>
RoutingScheduler::Status() const
{
  return mScheduler.Status();
}

}

#include "Dispatch/EvacuationRequests.h"

#include <utility>
#include <vector>

#include "Dispatch/DispatchStateMachine.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Longest time until a request is answered: covers an election, and is as long
 * as an acknowledgement may take at no cost to the operator. */
constexpr milliseconds kMaxTime{ 1000 };

/** Time before a request is proposed again whose outcome is unknown. */
constexpr milliseconds kRetryPause{ 50 };

/** Number of open requests; more are refused. */
constexpr std::size_t kMaxOpen = 64;

/** Longest name in a line of the log; names of unknown data centres come from
 * the path of a request. */
constexpr std::size_t kMaxLoggedBytes = 128;

Error
NotStoredInTime()
{
  return { ErrorKind::OutcomeUnknown,
           "the request is not known to be stored yet; send it again, to this "
           "or another coordinator" };
}

}

EvacuationRequests::EvacuationRequests(const Clock& aClock,
                                       EventLog& aLog,
                                       Propose aPropose,
                                       Revision aRevision)
  : mClock(aClock)
  , mLog(aLog)
  , mPropose(std::move(aPropose))
  , mRevision(std::move(aRevision))
{
}

void
EvacuationRequests::Submit(const std::string& aDataCentre,
                           bool aIsEvacuated,
                           Done aDone)
{
  EventLine(mLog, "evacuation-requested")
    .With("data_centre", aDataCentre)
    .With("evacuate", aIsEvacuated)
    .With("known", true);
  if (mOpen.size() >= kMaxOpen) {
    ++mCounters.mNotStored;
    aDone(Error(ErrorKind::QueueFull, "too many requests are being stored"));
    return;
  }
  const std::uint64_t id = mNextId++;
  Request& request = mOpen[id];
  request.mRecord = { aDataCentre, aIsEvacuated, mRevision() };
  request.mDone = std::move(aDone);
  request.mReceivedAt = mClock.MonotonicNow();
  SendProposal(id, request);
}

void
EvacuationRequests::OnUnknown(const std::string& aDataCentre, bool aIsEvacuated)
{
  ++mCounters.mUnknown;
  EventLine(mLog, "evacuation-requested")
    .With("data_centre", aDataCentre.substr(0, kMaxLoggedBytes))
    .With("evacuate", aIsEvacuated)
    .With("known", false);
}

void
EvacuationRequests::Tick()
{
  const TimePoint now = mClock.MonotonicNow();
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> due;
  for (const auto& [id, request] : mOpen) {
    if (now - request.mReceivedAt >= kMaxTime) {
      late.push_back(id);
    } else if (request.mProposeAt && now >= *request.mProposeAt) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : late) {
    Finish(id, NotStoredInTime());
  }
  for (const std::uint64_t id : due) {
    SendProposal(id, mOpen.at(id));
  }
}

void
EvacuationRequests::SendProposal(std::uint64_t aId, Request& aRequest)
{
  aRequest.mProposeAt.reset();
  mPropose(DispatchStateMachine::CommandOf(aRequest.mRecord),
           [this, aId](const Result<std::string>& aResult) {
             OnProposalDone(aId, aResult);
           });
}

void
EvacuationRequests::OnProposalDone(std::uint64_t aId,
                                   const Result<std::string>& aResult)
{
  const auto open = mOpen.find(aId);
  if (open == mOpen.end()) {
    return;
  }
  Request& request = open->second;
  if (!aResult) {
    // The leader was replaced, for example; a further copy does no harm.
    const bool mayBeStored =
      aResult.error().Kind() == ErrorKind::OutcomeUnknown;
    if (mayBeStored) {
      request.mProposeAt = mClock.MonotonicNow() + kRetryPause;
      return;
    }
    Finish(aId, aResult.error());
    return;
  }
  if (DispatchStateMachine::WasApplied(aResult.value())) {
    Finish(aId, Success());
    return;
  }
  const auto revision =
    DispatchStateMachine::RevisionIfOutdated(aResult.value());
  if (revision) {
    request.mRecord.mKnownRevision = *revision;
    request.mProposeAt = mClock.MonotonicNow();
    return;
  }
  Finish(aId,
         Error(ErrorKind::QueueFull,
               "too many data centres are evacuated; readmit one first"));
}

void
EvacuationRequests::Finish(std::uint64_t aId, const Result<void>& aResult)
{
  const auto open = mOpen.find(aId);
  const Request request = std::move(open->second);
  mOpen.erase(open);
  ++(aResult ? mCounters.mStored : mCounters.mNotStored);
  EventLine(mLog, "evacuation-answered")
    .With("data_centre", request.mRecord.mDataCentre)
    .With("evacuate", request.mRecord.mIsEvacuated)
    .With("stored", aResult.has_value())
    .With("reason", aResult ? "" : aResult.error().Message())
    .With("took_ms",
          std::int64_t{ std::chrono::duration_cast<milliseconds>(
                          mClock.MonotonicNow() - request.mReceivedAt)
                          .count() });
  request.mDone(aResult);
}

}

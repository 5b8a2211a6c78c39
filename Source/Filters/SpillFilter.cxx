#include "Filters/SpillFilter.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Filters/RequestFields.h"
#include "Filters/StartCheck.h"

namespace almondspoke {

namespace {

constexpr std::size_t kMaxAttempts = 2;

// Maximum number of connections to one instance for spilled requests.
constexpr std::size_t kMaxConnectionsPerInstance = 64;

std::chrono::microseconds
TimeLeft(const RequestContext& aContext, Clock::Monotonic aNow)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
    aContext.mDeadline - aNow);
}

std::vector<std::string>
DescribeAll(const std::vector<SpillCandidate>& aCandidates)
{
  std::vector<std::string> texts;
  texts.reserve(aCandidates.size());
  for (const SpillCandidate& candidate : aCandidates) {
    texts.push_back(SpillPolicy::Describe(candidate));
  }
  return texts;
}

// This instance has claimed the key. In the spill field, the other instance
// passes it to the endpoint without claiming it.
void
MoveKeyToSpillField(HttpFields& aFields, const std::optional<std::string>& aKey)
{
  RemoveField(aFields, kIdempotencyKeyField);
  RemoveField(aFields, kSpilledKeyField);
  if (aKey) {
    SetField(aFields, kSpilledKeyField, *aKey);
  }
}

}

/** \brief State of a request that is forwarded to another data centre. */
struct SpillFilter::Spill
{
  RequestContextPtr mContext;
  Next mNext;
  /** Instances that had no capacity left or were sent an attempt. */
  std::vector<InstanceName> mTried;
  std::size_t mAttempts = 0;
  /** Error of the last attempt that may have run. */
  std::optional<Error> mLost;
};

SpillFilter::SpillFilter(SpillFilterDependencies aDependencies)
  : mDependencies(std::move(aDependencies))
  , mRetries({}, mDependencies.mClock.MonotonicNow())
{
}

void
SpillFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  if (aContext->mSpillOrigin) {
    RecordSpilledRequest(*aContext);
    aNext(std::move(aContext));
    return;
  }
  if (mDependencies.mScheduler.HasEndpoint(aContext->mService)) {
    aNext(std::move(aContext));
    return;
  }
  auto spill = std::make_shared<Spill>();
  spill->mContext = std::move(aContext);
  spill->mNext = std::move(aNext);
  FindTarget(spill);
}

void
SpillFilter::RecordSpilledRequest(const RequestContext& aContext)
{
  const SpillOrigin& origin = *aContext.mSpillOrigin;
  mDependencies.mDecisions.Record({ aContext.Id(),
                                    "spill",
                                    {},
                                    "serve here",
                                    "from data centre '" + origin.mDataCentre +
                                      "', request '" + origin.mRequestId +
                                      "' there",
                                    0 });
}

void
SpillFilter::FindTarget(const SpillPtr& aSpill)
{
  mDependencies.mTargets.Find(
    aSpill->mContext->mService,
    [this, aSpill](std::vector<SpillCandidate> aCandidates) {
      ChooseTarget(aSpill, std::move(aCandidates));
    });
}

void
SpillFilter::ChooseTarget(const SpillPtr& aSpill,
                          std::vector<SpillCandidate> aCandidates)
{
  const RequestContext& context = *aSpill->mContext;
  const auto timeLeft = TimeLeft(context, mDependencies.mClock.MonotonicNow());
  SpillChoice choice = mPolicy.Choose(aCandidates, timeLeft, aSpill->mTried);
  // Other requests may have taken the capacity in the meantime; then try the
  // next instance.
  while (choice.mTarget) {
    const InstanceName& instance = aCandidates[*choice.mTarget].mInstance;
    aSpill->mTried.push_back(instance);
    if (mDependencies.mTargets.TryReserve(context.mService, instance)) {
      break;
    }
    choice = mPolicy.Choose(aCandidates, timeLeft, aSpill->mTried);
  }
  if (!aCandidates.empty()) {
    mDependencies.mDecisions.Record(
      { context.Id(),
        "spill",
        DescribeAll(aCandidates),
        choice.mTarget ? aCandidates[*choice.mTarget].mInstance : "none",
        choice.mReason,
        0 });
  }
  if (!choice.mTarget) {
    FinishWithoutAnswer(aSpill);
    return;
  }
  Send(aSpill, aCandidates[*choice.mTarget]);
}

HttpAttempt
SpillFilter::MakeAttempt(const RequestContext& aContext,
                         const SpillCandidate& aTarget) const
{
  const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
    TimeLeft(aContext, mDependencies.mClock.MonotonicNow()) -
    aTarget.mRoundTrip);
  HttpAttempt attempt;
  attempt.mAddress = aTarget.mAddress;
  attempt.mTarget =
    std::string(kServicesPrefix) + aContext.mService + aContext.mTarget;
  attempt.mFields = aContext.mForwardFields;
  MoveKeyToSpillField(attempt.mFields, aContext.mKey);
  SetField(attempt.mFields, kSpilledFromField, mDependencies.mDataCentre);
  SetField(
    attempt.mFields, kIdempotentField, aContext.mIdempotent ? "true" : "false");
  SetField(attempt.mFields,
           kTimeoutField,
           std::to_string(std::max<std::int64_t>(1, timeLeft.count())));
  attempt.mBody = aContext.mBody;
  attempt.mDeadline = aContext.mDeadline;
  attempt.mUseNewConnection = !aContext.mIdempotent;
  attempt.mMaxConnections = kMaxConnectionsPerInstance;
  return attempt;
}

void
SpillFilter::Send(const SpillPtr& aSpill, const SpillCandidate& aTarget)
{
  RequestContext& context = *aSpill->mContext;
  const Result<void> allowed =
    CheckStart(context, context.mDeadline, mDependencies.mClock.MonotonicNow());
  if (allowed.has_error()) {
    mDependencies.mTargets.ReleaseReservation(
      context.mService, aTarget.mInstance, true);
    context.Fail(allowed.error());
    return;
  }
  if (aSpill->mAttempts++ == 0) {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRetries.Deposit();
  }
  ++mDependencies.mCounters.mSent;
  mDependencies.mClient.Start(MakeAttempt(context, aTarget),
                              [this, aSpill, aTarget](AttemptResult aResult) {
                                OnAttemptEnd(
                                  aSpill, aTarget, std::move(aResult));
                              });
}

void
SpillFilter::OnAttemptEnd(const SpillPtr& aSpill,
                          const SpillCandidate& aTarget,
                          AttemptResult aResult)
{
  RequestContext& context = *aSpill->mContext;
  const bool isAnswered = aResult.mOutcome == TransferOutcome::Answered;
  mDependencies.mTargets.ReleaseReservation(
    context.mService, aTarget.mInstance, isAnswered);
  if (isAnswered) {
    RemoveHopByHopFields(aResult.mResponse.mFields);
    context.Answer(std::move(aResult.mResponse), Ran::Yes);
    return;
  }
  mDependencies.mDecisions.Record(
    { context.Id(),
      "spill",
      { aTarget.mInstance },
      std::string(NameOf(aResult.mOutcome)),
      "attempt " + std::to_string(aSpill->mAttempts) + " in data centre '" +
        aTarget.mDataCentre + "' ended without an answer",
      0 });
  if (aResult.mOutcome == TransferOutcome::MayHaveRun) {
    RecordLostAttempt(aSpill, aTarget, aResult);
  } else {
    ++mDependencies.mCounters.mRefused;
  }
  if (TryAcquireRetry(*aSpill)) {
    FindTarget(aSpill);
    return;
  }
  FinishWithoutAnswer(aSpill);
}

void
SpillFilter::RecordLostAttempt(const SpillPtr& aSpill,
                               const SpillCandidate& aTarget,
                               const AttemptResult& aResult)
{
  ++mDependencies.mCounters.mLost;
  aSpill->mContext->mMayHaveRun = true;
  aSpill->mLost =
    Error(aResult.mErrorKind,
          "instance '" + aTarget.mInstance + "' of data centre '" +
            aTarget.mDataCentre + "': " + aResult.mMessage);
}

bool
SpillFilter::TryAcquireRetry(const Spill& aSpill)
{
  const bool isSafe = !aSpill.mLost || aSpill.mContext->mIdempotent;
  if (!isSafe || aSpill.mAttempts >= kMaxAttempts) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRetries.TryWithdraw(mDependencies.mClock.MonotonicNow());
}

void
SpillFilter::FinishWithoutAnswer(const SpillPtr& aSpill)
{
  if (aSpill->mLost) {
    aSpill->mContext->Fail(*aSpill->mLost);
    return;
  }
  if (aSpill->mAttempts == 0) {
    ++mDependencies.mCounters.mWithoutCapacity;
  }
  aSpill->mNext(aSpill->mContext);
}

}

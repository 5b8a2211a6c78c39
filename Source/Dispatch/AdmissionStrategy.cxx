#include "Dispatch/AdmissionStrategy.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using FloatMilliseconds = std::chrono::duration<double, std::milli>;
using TimePoint = DispatchJob::TimePoint;

/** Declared run times are wrong by up to this factor either way. The objective
 * is judged by the true run time. */
constexpr double kEstimateError = 1.4;

/** Time for the start order, the list of the run's end and the answer on their
 * way: 95 of 100 first starts were ordered within 22 ms under load. */
constexpr milliseconds kOrderTime{ 20 };

/** A late answer is of use up to this multiple of the objective. */
constexpr double kUsefulObjectives = 3;

/** The list that shows the end of a run takes about as long as the order that
 * started it. */
constexpr int kWaysOfOrder = 2;

constexpr double kMilliCoresOfCore = 1000;

milliseconds
Rounded(FloatMilliseconds aTime)
{
  constexpr FloatMilliseconds kLongest{ std::chrono::hours(1) };
  return duration_cast<milliseconds>(std::min(aTime, kLongest));
}

milliseconds
OrderTimeOf(const DispatchJob& aJob)
{
  return std::max(kOrderTime, aJob.mOrderTime);
}

double
CoreMsOf(const DispatchJob& aJob)
{
  double work = 0;
  for (const StepSpec& step : aJob.mSubmission.mSteps) {
    work += step.mNeeds.mMilliCores / kMilliCoresOfCore * step.mEstimateMs *
            step.mCount;
  }
  return work;
}

/** Returns the longest time that a job may wait for its start so that it ends
 * within a multiple of its objective, whatever its true run time. With the true
 * run time t, the slack is (multiple * factor - 1) * t + multiple * target,
 * which is lowest at one end of the range of t. */
milliseconds
SlackOf(const DispatchJob& aJob, double aMultiple)
{
  const FloatMilliseconds expected(aJob.mExpectedDuration);
  const double growth = aMultiple * aJob.mQueue.mSlackFactor - 1;
  const FloatMilliseconds target(
    static_cast<double>(aJob.mQueue.mLatencyTargetMs));
  const FloatMilliseconds lowest = std::min(expected / kEstimateError * growth,
                                            expected * kEstimateError * growth);
  return Rounded(target * aMultiple + lowest) - OrderTimeOf(aJob);
}

/** Returns the latest start with which the caller still gets an answer if the
 * job takes as long as declared. */
TimePoint
LatestAnsweredStart(const DispatchJob& aJob)
{
  return aJob.mAnswerBy
           ? *aJob.mAnswerBy - aJob.mExpectedDuration - OrderTimeOf(aJob)
           : TimePoint::max();
}

milliseconds
TimeFor(double aCoreMs, double aCores)
{
  return Rounded(FloatMilliseconds(aCoreMs / aCores));
}

}

AdmissionDecision
FixedAdmission::Decide(const DispatchJob& aJob,
                       const AdmissionInputs& aInputs) const
{
  AdmissionDecision decision;
  decision.mCoreMsAhead = aInputs.mBacklog.mCoreMsAhead;
  decision.mSlack = Admission::MaxQueueTime(aJob);
  decision.mCores =
    aInputs.mBacklog.mUsableCores * Admission::kUsableCoreFraction;
  decision.mRetryDelay =
    Admission::RetryDelay(aInputs.mBacklog, aInputs.mJitter);
  const bool mayBeRefused = !aInputs.mRecoveryEndsBy && !aJob.mMayHaveRun;
  if (mayBeRefused &&
      Admission::RetryDelayIfRefused(aJob, aInputs.mBacklog, 0)) {
    decision.mVerdict = AdmissionVerdict::Refuse;
  }
  return decision;
}

DispatchJob::TimePoint
FixedAdmission::WaitLimit(const DispatchJob& aJob) const
{
  return aJob.MayBeRefused() ? aJob.mArrivedAt + Admission::MaxQueueTime(aJob)
                             : Admission::GiveUpTime(aJob);
}

AdmissionVerdict
FixedAdmission::OnWaitLimit(const DispatchJob& aJob, TimePoint) const
{
  return aJob.MayBeRefused() ? AdmissionVerdict::Refuse
                             : AdmissionVerdict::GiveUp;
}

DispatchJob::TimePoint
ExpectedEndAdmission::LatestStartInTime(const DispatchJob& aJob)
{
  return std::min(aJob.mArrivedAt + std::max(milliseconds(0), SlackOf(aJob, 1)),
                  LatestAnsweredStart(aJob));
}

DispatchJob::TimePoint
ExpectedEndAdmission::LatestUsefulStart(const DispatchJob& aJob)
{
  return std::min(aJob.mArrivedAt + SlackOf(aJob, kUsefulObjectives),
                  LatestAnsweredStart(aJob));
}

// Work that is done already is lost with the job, so that no margin is taken.
// The later steps of a job need less than its whole run time.
DispatchJob::TimePoint
ExpectedEndAdmission::LatestTimelyContinuation(const DispatchJob& aJob)
{
  const bool isSingleStep = aJob.mSubmission.mSteps.size() == 1;
  return isSingleStep ? aJob.mDueAt - aJob.mExpectedDuration : aJob.mDueAt;
}

// While work waits, the last task of a wide job starts later than the first.
milliseconds
ExpectedEndAdmission::OrderTime(const DispatchJob& aJob,
                                const AdmissionInputs& aInputs) const
{
  const bool isContended = aInputs.mObservedCores.value_or(0) > 0;
  const milliseconds untilLast =
    isContended ? TimeFor(CoreMsOf(aJob), *aInputs.mObservedCores)
                : milliseconds(0);
  return std::max(kOrderTime, aInputs.mAnswerTime * kWaysOfOrder) + untilLast;
}

AdmissionDecision
ExpectedEndAdmission::Decide(const DispatchJob& aJob,
                             const AdmissionInputs& aInputs) const
{
  const Backlog& backlog = aInputs.mBacklog;
  AdmissionDecision decision;
  decision.mCoreMsAhead = backlog.mCoreMsAhead;
  decision.mCores = aInputs.mObservedCores.value_or(
    backlog.mUsableCores * Admission::kUsableCoreFraction);
  const milliseconds recovery =
    aInputs.mRecoveryEndsBy
      ? std::max(
          milliseconds(0),
          duration_cast<milliseconds>(*aInputs.mRecoveryEndsBy - aInputs.mNow))
      : milliseconds(0);
  const auto queueTime = [&](double aCoreMs) {
    const milliseconds longest = Rounded(FloatMilliseconds::max());
    return decision.mCores > 0 ? recovery + TimeFor(aCoreMs, decision.mCores)
                               : longest;
  };
  const TimePoint latest = LatestStartInTime(aJob);
  decision.mSlack = duration_cast<milliseconds>(latest - aInputs.mNow);
  decision.mQueueTime = queueTime(backlog.mCoreMsAhead);
  const FloatMilliseconds jittered =
    FloatMilliseconds(queueTime(backlog.mCoreMsWaiting)) *
    (1 + aInputs.mJitter);
  decision.mRetryDelay = std::clamp(
    Rounded(jittered), Admission::kMinRetryDelay, Admission::kMaxRetryDelay);
  // While a new leader recovers, its workers are not counted yet.
  if (recovery.count() > 0) {
    decision.mQueueTime = recovery;
    decision.mRetryDelay =
      recovery +
      Rounded(FloatMilliseconds(Admission::kMinRetryDelay) * aInputs.mJitter);
  }
  const bool isAccepted = aInputs.mHasRoom || aJob.mMayHaveRun;
  if (isAccepted || aInputs.mNow + decision.mQueueTime <= latest) {
    return decision;
  }
  const milliseconds lateQueueTime =
    recovery.count() > 0 ? recovery : queueTime(backlog.mCoreMsWaiting);
  // A stored job has no caller who waits, and would wait without a limit.
  const bool isOfUse =
    !aJob.mIsStored && aInputs.mNow + lateQueueTime <= LatestUsefulStart(aJob);
  decision.mVerdict =
    isOfUse ? AdmissionVerdict::AcceptLate : AdmissionVerdict::Refuse;
  return decision;
}

DispatchJob::TimePoint
ExpectedEndAdmission::WaitLimit(const DispatchJob& aJob) const
{
  if (aJob.MayBeRefused()) {
    return aJob.mIsLate ? LatestUsefulStart(aJob) : LatestStartInTime(aJob);
  }
  return aJob.mIsLate ? Admission::GiveUpTime(aJob)
                      : LatestTimelyContinuation(aJob);
}

AdmissionVerdict
ExpectedEndAdmission::OnWaitLimit(const DispatchJob& aJob, TimePoint aNow) const
{
  if (!aJob.MayBeRefused()) {
    return aJob.mIsLate ? AdmissionVerdict::GiveUp
                        : AdmissionVerdict::AcceptLate;
  }
  const bool isOfUse = !aJob.mIsLate && aNow <= LatestUsefulStart(aJob);
  return isOfUse ? AdmissionVerdict::AcceptLate : AdmissionVerdict::Refuse;
}

std::unique_ptr<AdmissionStrategy>
MakeAdmissionStrategy(AdmissionPolicy aPolicy)
{
  if (aPolicy == AdmissionPolicy::ExpectedEnd) {
    return std::make_unique<ExpectedEndAdmission>();
  }
  return std::make_unique<FixedAdmission>();
}

}

#include "Bench/LoadGenerator.h"

#include <algorithm>
#include <utility>

#include "Base/Error.h"
#include "Filters/RequestFields.h"

namespace almondspoke::bench {

namespace {

using Microseconds = std::chrono::microseconds;

/** Extra time after the timeout of a request in which its timeout response may
 * still arrive. */
constexpr std::chrono::milliseconds kResponseGracePeriod{ 2000 };
constexpr std::string_view kWorkField = "Standin-Work-Ms";
constexpr const char* kOutstandingLimitReached = "bench-outstanding-limit";
constexpr const char* kNotConnected = "instance-unreachable";
constexpr const char* kNoAnswer = "no-answer";

bool
IsSuccess(int aStatus)
{
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

void
ReadError(const HttpResponse& aResponse, RequestEnd& aEnd)
{
  const std::optional<Error> error = ErrorFromJson(aResponse.mBody);
  if (!error) {
    aEnd.mError = "status-" + std::to_string(aResponse.mStatus);
    return;
  }
  aEnd.mError = std::string(error->Traits().mName);
  aEnd.mRan = error->Traits().mRan;
}

}

LoadGenerator::Stream::Stream(const Experiment& aExperiment,
                              const StreamSettings& aSettings,
                              std::uint64_t aSeed,
                              asio::io_context& aContext)
  : mSettings(aSettings)
  , mArrivals(aSettings, aSeed)
  , mNext(mArrivals.Next())
  , mTimer(aContext)
  , mStatistics(aExperiment.mWarmUp, aExperiment.mDuration)
{
}

LoadGenerator::LoadGenerator(const Experiment& aExperiment,
                             asio::io_context& aContext,
                             HttpClient& aClient,
                             const Clock& aClock,
                             StartLogAudit& aAudit,
                             Microseconds aRoundTrip,
                             std::string aKeyPrefix)
  : mExperiment(aExperiment)
  , mContext(aContext)
  , mClient(aClient)
  , mClock(aClock)
  , mAudit(aAudit)
  , mRoundTrip(aRoundTrip)
  , mKeyPrefix(std::move(aKeyPrefix))
  , mTargets(aContext, aClient, aClock, aExperiment.mTargets)
{
  std::seed_seq seeds{ aExperiment.mSeed };
  std::vector<std::uint32_t> streamSeeds(aExperiment.mStreams.size());
  seeds.generate(streamSeeds.begin(), streamSeeds.end());
  for (std::size_t i = 0; i < aExperiment.mStreams.size(); ++i) {
    mStreams.push_back(std::make_unique<Stream>(
      aExperiment, aExperiment.mStreams[i], streamSeeds[i], aContext));
  }
}

void
LoadGenerator::Start()
{
  mStart = mClock.MonotonicNow();
  mStreamsInProgress = mStreams.size();
  mTargets.Start();
  for (const auto& stream : mStreams) {
    ScheduleNextSend(*stream);
  }
}

bool
LoadGenerator::IsFinished() const
{
  return mStreamsInProgress == 0 && mOutstanding == 0;
}

std::vector<StreamCounts>
LoadGenerator::Counts() const
{
  std::vector<StreamCounts> counts;
  for (const auto& stream : mStreams) {
    counts.push_back(stream->mStatistics.Counts());
  }
  return counts;
}

Histogram
LoadGenerator::SendLag() const
{
  const std::lock_guard<std::mutex> lock(mLagMutex);
  return mSendLag;
}

bool
LoadGenerator::HasEnded(const Stream& aStream) const
{
  const auto stop =
    std::min(mExperiment.mDuration,
             aStream.mSettings.mStop.value_or(mExperiment.mDuration));
  return aStream.mNext.mTime >= stop;
}

void
LoadGenerator::ScheduleNextSend(Stream& aStream)
{
  if (HasEnded(aStream)) {
    --mStreamsInProgress;
    return;
  }
  aStream.mTimer.expires_at(mStart + aStream.mNext.mTime);
  aStream.mTimer.async_wait([this, &aStream](const asio::error_code& aError) {
    if (!aError) {
      SendDue(aStream);
    }
  });
}

void
LoadGenerator::SendDue(Stream& aStream)
{
  while (!HasEnded(aStream) &&
         mStart + aStream.mNext.mTime <= mClock.MonotonicNow()) {
    StartRequest(aStream);
    aStream.mNext = aStream.mArrivals.Next();
  }
  ScheduleNextSend(aStream);
}

void
LoadGenerator::StartRequest(Stream& aStream)
{
  aStream.mStatistics.RecordArrival(aStream.mNext.mTime);
  auto request = std::make_shared<Request>();
  request->mStream = &aStream;
  request->mArrival = aStream.mNext;
  request->mSequence = aStream.mSequence++;
  if (mOutstanding >= kMaxOutstanding) {
    RequestEnd end;
    end.mArrival = request->mArrival.mTime;
    end.mError = kOutstandingLimitReached;
    end.mRan = Ran::No;
    aStream.mStatistics.RecordEnd(end);
    return;
  }
  ++mOutstanding;
  {
    const auto lag = std::chrono::duration_cast<Microseconds>(
      mClock.MonotonicNow() - mStart - request->mArrival.mTime);
    const std::lock_guard<std::mutex> lock(mLagMutex);
    mSendLag.Record(static_cast<std::uint64_t>(lag.count()));
  }
  if (request->mArrival.mIsCancelled) {
    request->mCancelTimer = std::make_unique<asio::steady_timer>(mContext);
  }
  Send(request);
  if (request->mArrival.mIsCancelled) {
    ScheduleCancellation(request);
  }
}

void
LoadGenerator::Send(const RequestPtr& aRequest)
{
  aRequest->mTarget = mTargets.Next();
  ++aRequest->mAttempts;
  aRequest->mAttempt = mClient.Start(
    AttemptOf(*aRequest), [this, aRequest](const AttemptResult& aResult) {
      OnAttemptResult(aRequest, aResult);
    });
}

void
LoadGenerator::ScheduleCancellation(const RequestPtr& aRequest)
{
  aRequest->mCancelTimer->expires_at(mStart + aRequest->mArrival.mTime +
                                     aRequest->mStream->mSettings.mCancelAfter);
  aRequest->mCancelTimer->async_wait([this, aRequest](const asio::error_code&) {
    aRequest->mIsCancelled = true;
    mClient.Cancel(aRequest->mAttempt);
  });
}

HttpAttempt
LoadGenerator::AttemptOf(const Request& aRequest) const
{
  const StreamSettings& settings = aRequest.mStream->mSettings;
  HttpAttempt attempt;
  attempt.mAddress = aRequest.mTarget;
  attempt.mTarget =
    std::string(kServicesPrefix) + settings.mService + "/" + settings.mName;
  const auto add = [&attempt](std::string_view aName, std::string aValue) {
    attempt.mFields.push_back({ std::string(aName), std::move(aValue) });
  };
  add(kKindField, settings.mKind);
  add(kUrgencyField, settings.mUrgency);
  add(kTimeoutField, std::to_string(settings.mTimeout.count()));
  add(kWorkField, std::to_string(aRequest.mArrival.mRunTime.count()));
  if (!settings.mTeam.empty()) {
    add(kTeamField, settings.mTeam);
  }
  if (settings.mRepetition == Repetition::Idempotent) {
    add(kIdempotentField, "true");
  }
  if (settings.mRepetition == Repetition::Keyed) {
    add(kIdempotencyKeyField,
        mKeyPrefix + settings.mName + '-' + std::to_string(aRequest.mSequence));
  }
  attempt.mBody = std::make_shared<const std::string>("{}");
  attempt.mDeadline =
    std::max(mStart + aRequest.mArrival.mTime, mClock.MonotonicNow()) +
    settings.mTimeout + kResponseGracePeriod;
  attempt.mMaxConnections = kMaxOutstanding;
  return attempt;
}

void
LoadGenerator::OnAttemptResult(const RequestPtr& aRequest,
                               const AttemptResult& aResult)
{
  if (aResult.mOutcome == TransferOutcome::NotSent && !aRequest->mIsCancelled &&
      aRequest->mAttempts < mTargets.Size()) {
    mTargets.MarkUnready(aRequest->mTarget);
    ++mFailovers;
    Send(aRequest);
    return;
  }
  const RequestEnd end = MakeRequestEnd(*aRequest, aResult);
  aRequest->mStream->mStatistics.RecordEnd(end);
  const std::string* id = FindField(aResult.mResponse.mFields, kRequestIdField);
  if (!end.mIsCompleted && end.mRan == Ran::No && id != nullptr) {
    mAudit.RecordNotRun(*id);
  }
  --mOutstanding;
}

RequestEnd
LoadGenerator::MakeRequestEnd(const Request& aRequest,
                              const AttemptResult& aResult)
{
  RequestEnd end;
  end.mArrival = aRequest.mArrival.mTime;
  end.mLatency = std::chrono::duration_cast<Microseconds>(
    mClock.MonotonicNow() - mStart - end.mArrival);
  end.mIdeal = aRequest.mArrival.mRunTime + mRoundTrip;
  switch (aResult.mOutcome) {
    case TransferOutcome::Answered:
    case TransferOutcome::RefusedNotRun:
      end.mIsCompleted = IsSuccess(aResult.mResponse.mStatus);
      if (!end.mIsCompleted) {
        ReadError(aResult.mResponse, end);
      }
      return end;
    case TransferOutcome::NotSent:
      end.mIsCancelled = aRequest.mIsCancelled;
      end.mError = kNotConnected;
      end.mRan = Ran::No;
      return end;
    case TransferOutcome::MayHaveRun:
      end.mIsCancelled = aRequest.mIsCancelled;
      end.mError = kNoAnswer;
      return end;
  }
  return end;
}

}

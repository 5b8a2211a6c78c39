#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "FilterFakes.h"
#include "Filters/AnswerFilter.h"
#include "Filters/ForwardFilter.h"
#include "Filters/QueueFilter.h"
#include "Filters/StartCheckFilter.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

AttemptResult
ResultOf(TransferOutcome aOutcome, ErrorKind aKind = ErrorKind::Internal)
{
  AttemptResult result;
  result.mOutcome = aOutcome;
  result.mErrorKind = aKind;
  return result;
}

}

TEST_CASE("Queue filter: submits the request and passes attempts on")
{
  FilterCase one;
  one.mContext->mKind = "quote";
  one.mContext->mTeam = "north";
  one.mContext->mUrgency = kUrgencyFirst;
  FakeScheduler scheduler;
  FakeDecisions decisions;
  QueueFilter filter(scheduler, decisions);
  filter.Apply(one.mContext, one.Next());
  REQUIRE(scheduler.mRequest);
  CHECK(scheduler.mRequest->mRequestId == "r1");
  CHECK(scheduler.mRequest->mService == "booking");
  CHECK(scheduler.mRequest->mKind == "quote");
  CHECK(scheduler.mRequest->mTeam == "north");
  CHECK(scheduler.mRequest->mUrgency == kUrgencyFirst);
  CHECK(scheduler.mRequest->mDeadline == one.mContext->mDeadline);
  CHECK(one.mPassed == 0);
  scheduler.mDispatch(7, { "e1", "127.0.0.1:1", 64, 1, {} });
  scheduler.mDispatch(7, { "e2", "127.0.0.1:2", 64, 2, {} });
  CHECK(one.mPassed == 2);
  CHECK(one.mContext->mAttempt.mEndpoint == "e2");
}

TEST_CASE("Queue filter: refusals are answered, and recorded only by the "
          "scheduler")
{
  FakeScheduler scheduler;
  FakeDecisions decisions;
  QueueFilter filter(scheduler, decisions);
  FilterCase atOnce;
  scheduler.mRefusal = Error(ErrorKind::QueueFull, "full");
  filter.Apply(atOnce.mContext, atOnce.Next());
  CHECK(atOnce.AnsweredKind() == ErrorKind::QueueFull);

  FilterCase later;
  scheduler.mRefusal.reset();
  filter.Apply(later.mContext, later.Next());
  scheduler.mRefuse(Error(ErrorKind::DeadlineExpiredInQueue, "late"));
  CHECK(later.AnsweredKind() == ErrorKind::DeadlineExpiredInQueue);
  CHECK(decisions.mDecisions.empty());
}

TEST_CASE("Queue filter: cancels waiting work if the caller disconnects")
{
  FakeScheduler scheduler;
  FakeDecisions decisions;
  QueueFilter filter(scheduler, decisions);
  FilterCase waiting;
  waiting.mContext->WatchCallerConnection();
  filter.Apply(waiting.mContext, waiting.Next());
  waiting.mExchange->LeaveAsCaller();
  CHECK(scheduler.mCancelled);
  CHECK(waiting.AnsweredKind() == ErrorKind::CallerGone);
  CHECK(decisions.mDecisions.size() == 1);

  FilterCase goneBefore;
  goneBefore.mContext->WatchCallerConnection();
  goneBefore.mExchange->LeaveAsCaller();
  scheduler.mCancelled = false;
  filter.Apply(goneBefore.mContext, goneBefore.Next());
  CHECK(scheduler.mCancelled);

  FilterCase sent;
  sent.mContext->WatchCallerConnection();
  filter.Apply(sent.mContext, sent.Next());
  scheduler.mWaiting = false;
  sent.mExchange->LeaveAsCaller();
  CHECK_FALSE(sent.mExchange->mResponse);
}

TEST_CASE("Start check filter: an attempt that may not start is not sent")
{
  asio::io_context io;
  FakeScheduler scheduler;
  const auto run = [&](FilterCase& aCase) {
    StartCheckFilter filter(io, aCase.mClock, scheduler);
    aCase.mContext->mTicket = FakeScheduler::kTicket;
    aCase.mContext->mAttempt.mDeadline = aCase.mContext->mDeadline;
    filter.Apply(aCase.mContext, aCase.Next());
    io.restart();
    io.run();
  };
  FilterCase allowed;
  run(allowed);
  CHECK(allowed.mPassed == 1);
  CHECK(scheduler.mReports.empty());

  FilterCase late;
  late.mClock.Advance(std::chrono::seconds(10));
  run(late);
  CHECK(late.AnsweredKind() == ErrorKind::DeadlineExpiredInQueue);

  FilterCase gone;
  gone.mContext->WatchCallerConnection();
  gone.mExchange->LeaveAsCaller();
  run(gone);
  CHECK(gone.AnsweredKind() == ErrorKind::CallerGone);

  FilterCase leaseLost;
  const auto claim = std::make_shared<FakeClaim>();
  claim->mStartError = Error(ErrorKind::LeaseExpired, "lost");
  leaseLost.mContext->mClaim = claim;
  run(leaseLost);
  CHECK(leaseLost.AnsweredKind() == ErrorKind::LeaseExpired);

  CHECK(late.mPassed + gone.mPassed + leaseLost.mPassed == 0);
  REQUIRE(scheduler.mReports.size() == 3);
  for (const AttemptReport& report : scheduler.mReports) {
    CHECK(report.mAbandoned);
  }
}

TEST_CASE("Forward filter: sends the attempt and reports its result")
{
  FilterCase one;
  FakeHttpClient client;
  FakeScheduler scheduler;
  ForwardFilter filter(one.mClock, client, scheduler);
  one.mContext->mTarget = "/quote";
  one.mContext->mForwardFields = { { "X", "1" } };
  one.mContext->mTicket = FakeScheduler::kTicket;
  one.mContext->mAttempt = {
    "e1", "127.0.0.1:1", 64, 1, one.mContext->mDeadline
  };
  filter.Apply(one.mContext, one.Next());
  REQUIRE(client.mAttempts.size() == 1);
  CHECK(client.mAttempts[0].mAddress == "127.0.0.1:1");
  CHECK(client.mAttempts[0].mTarget == "/quote");
  CHECK(client.mAttempts[0].mFields[0].mName == "X");
  CHECK(*client.mAttempts[0].mBody == "work");
  CHECK(client.mAttempts[0].mMaxConnections == 64);
  one.mClock.Advance(std::chrono::milliseconds(5));
  AttemptResult result = ResultOf(TransferOutcome::Answered);
  result.mResponse.mStatus = 503;
  client.mDone[0](result);
  CHECK(one.mPassed == 1);
  REQUIRE(scheduler.mReports.size() == 1);
  CHECK(scheduler.mFinished == FakeScheduler::kTicket);
  CHECK(scheduler.mReports[0].mStatus == 503);
  CHECK(scheduler.mReports[0].mElapsed == std::chrono::milliseconds(5));
}

TEST_CASE("Forward filter: only idempotent work reuses a connection")
{
  for (const bool idempotent : { false, true }) {
    FilterCase one;
    FakeHttpClient client;
    FakeScheduler scheduler;
    ForwardFilter filter(one.mClock, client, scheduler);
    one.mContext->mIdempotent = idempotent;
    filter.Apply(one.mContext, one.Next());
    CHECK(client.mAttempts[0].mUseNewConnection == !idempotent);
  }
}

TEST_CASE("Forward filter: an attempt is stopped only while it is the latest")
{
  for (const bool idempotent : { false, true }) {
    FilterCase one;
    FakeHttpClient client;
    FakeScheduler scheduler;
    FakeDecisions decisions;
    QueueFilter queue(scheduler, decisions);
    ForwardFilter forward(one.mClock, client, scheduler);
    one.mContext->mIdempotent = idempotent;
    queue.Apply(one.mContext, [&](RequestContextPtr aContext) {
      forward.Apply(std::move(aContext), one.Next());
    });
    scheduler.mDispatch(7, { "e1", "127.0.0.1:1", 64, 1, {} });
    scheduler.mDispatch(7, { "e2", "127.0.0.1:2", 64, 2, {} });
    scheduler.mRequest->mStop(1);
    CHECK(client.mCancelled == 0);
    scheduler.mRequest->mStop(2);
    CHECK(client.mCancelled == (idempotent ? 2 : 0));
  }
}

TEST_CASE("Forward filter: the scheduler decides on a retry, and the context "
          "keeps that the work may have run")
{
  FilterCase one;
  FakeHttpClient client;
  FakeScheduler scheduler;
  ForwardFilter filter(one.mClock, client, scheduler);
  filter.Apply(one.mContext, one.Next());
  scheduler.mRetryNext = true;
  client.mDone[0](
    ResultOf(TransferOutcome::MayHaveRun, ErrorKind::ConnectionLost));
  CHECK(one.mPassed == 0);
  CHECK(one.mContext->mMayHaveRun);
  filter.Apply(one.mContext, one.Next());
  client.mDone[1](
    ResultOf(TransferOutcome::NotSent, ErrorKind::EndpointUnreachable));
  CHECK(one.mPassed == 1);
  FakeDecisions decisions;
  AnswerFilter answer(decisions);
  answer.Apply(one.mContext, one.Next());
  CHECK(one.AnsweredKind() == ErrorKind::OutcomeUnknown);
}

TEST_CASE("Answer filter: maps attempt outcomes to answers")
{
  struct Row
  {
    AttemptResult mResult;
    ErrorKind mKind;
  };
  const std::vector<Row> rows = {
    { ResultOf(TransferOutcome::RefusedNotRun), ErrorKind::EndpointRefused },
    { ResultOf(TransferOutcome::NotSent, ErrorKind::EndpointUnreachable),
      ErrorKind::EndpointUnreachable },
    { ResultOf(TransferOutcome::MayHaveRun, ErrorKind::ConnectionLost),
      ErrorKind::ConnectionLost },
    { ResultOf(TransferOutcome::MayHaveRun, ErrorKind::EndpointTimeout),
      ErrorKind::EndpointTimeout },
  };
  for (const Row& row : rows) {
    FilterCase one;
    FakeDecisions decisions;
    AnswerFilter filter(decisions);
    one.mContext->mResult = row.mResult;
    filter.Apply(one.mContext, one.Next());
    CHECK(one.AnsweredKind() == row.mKind);
    CHECK(decisions.mDecisions.size() == 1);
  }
}

TEST_CASE("Answer filter: passes on the endpoint's answer and fields")
{
  FilterCase one;
  FakeDecisions decisions;
  AnswerFilter filter(decisions);
  one.mContext->mResult = ResultOf(TransferOutcome::Answered);
  one.mContext->mResult.mResponse = {
    418, { { "X", "1" }, { "Connection", "close" } }, std::string("\0\xff", 2)
  };
  filter.Apply(one.mContext, one.Next());
  REQUIRE(one.mExchange->mResponse);
  const HttpResponse& response = *one.mExchange->mResponse;
  CHECK(response.mStatus == 418);
  CHECK(response.mBody == std::string("\0\xff", 2));
  CHECK(FindField(response.mFields, "Connection") == nullptr);
  CHECK(*FindField(response.mFields, "Almondspoke-Request-Id") == "r1");
}

TEST_CASE("Request context: only the first answer counts, and a request that "
          "is dropped is answered")
{
  FilterCase one;
  one.mContext->Answer(HttpResponse{ 200, {}, "first" }, Ran::Yes);
  one.mContext->Fail(Error(ErrorKind::Internal, "second"));
  CHECK(one.mExchange->mResponse->mBody == "first");

  FilterCase dropped;
  dropped.mContext.reset();
  CHECK(dropped.AnsweredKind() == ErrorKind::Internal);
}

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "FilterFakes.h"
#include "Filters/DeduplicateFilter.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

struct Fixture
{
  Fixture()
  {
    mOne.mContext->mKey = "zagreb:1";
    mWon.mClaim = mClaim;
    mClaims.mResults = { mWon };
  }

  void Apply() { mFilter.Apply(mOne.mContext, mOne.Next()); }

  asio::io_context mIo;
  FilterCase mOne;
  FakeClaims mClaims;
  FakeDecisions mDecisions;
  std::shared_ptr<FakeClaim> mClaim = std::make_shared<FakeClaim>();
  ClaimResult mWon;
  DeduplicateFilter mFilter{ mIo, mOne.mClock, mClaims, mDecisions };
};

}

TEST_CASE("Deduplicate filter: claims only keyed work that is not idempotent")
{
  Fixture keyed;
  keyed.Apply();
  CHECK(keyed.mClaims.mKeys.size() == 1);
  CHECK(keyed.mOne.mPassed == 1);

  Fixture idempotent;
  idempotent.mOne.mContext->mIdempotent = true;
  idempotent.Apply();
  CHECK(idempotent.mClaims.mKeys.empty());
  CHECK(idempotent.mOne.mPassed == 1);

  Fixture keyless;
  keyless.mOne.mContext->mKey.reset();
  keyless.Apply();
  CHECK(keyless.mClaims.mKeys.empty());
  CHECK(keyless.mOne.mPassed == 1);
}

TEST_CASE("Deduplicate filter: an answer is recorded, whether it is known "
          "to have run or not")
{
  for (const Ran ran : { Ran::Yes, Ran::Unknown }) {
    Fixture fixture;
    fixture.Apply();
    HttpResponse response;
    response.mBody = "done";
    fixture.mOne.mContext->Answer(response, ran);
    REQUIRE(fixture.mClaim->mRecorded);
    CHECK(fixture.mClaim->mRecorded->mBody == "done");
    CHECK_FALSE(fixture.mClaim->mReleased);
  }
}

TEST_CASE("Deduplicate filter: a claim whose work did not run is released")
{
  Fixture fixture;
  fixture.Apply();
  fixture.mOne.mContext->Fail(Error(ErrorKind::QueueFull, "full"));
  CHECK(fixture.mClaim->mReleased);
  CHECK_FALSE(fixture.mClaim->mRecorded);
}

TEST_CASE("Deduplicate filter: after an attempt that may have run, a later "
          "refusal is recorded as unknown")
{
  Fixture fixture;
  fixture.Apply();
  fixture.mOne.mContext->mMayHaveRun = true;
  fixture.mOne.mContext->Fail(Error(ErrorKind::QueueFull, "full"));
  CHECK_FALSE(fixture.mClaim->mReleased);
  REQUIRE(fixture.mClaim->mRecorded);
  CHECK(fixture.mOne.AnsweredKind() == ErrorKind::OutcomeUnknown);
}

TEST_CASE(
  "Deduplicate filter: returns a recorded answer without running the work")
{
  Fixture fixture;
  ClaimResult answered;
  answered.mState = ClaimResult::State::Answered;
  answered.mAnswer = HttpResponse{ 201, {}, "earlier" };
  fixture.mClaims.mResults = { answered };
  fixture.Apply();
  CHECK(fixture.mOne.mPassed == 0);
  REQUIRE(fixture.mOne.mExchange->mResponse);
  CHECK(fixture.mOne.mExchange->mResponse->mStatus == 201);
  CHECK(fixture.mOne.mExchange->mResponse->mBody == "earlier");
  CHECK(fixture.mDecisions.mDecisions.size() == 1);
}

TEST_CASE("Deduplicate filter: waits for a request in progress")
{
  Fixture fixture;
  ClaimResult inProgress;
  inProgress.mState = ClaimResult::State::InProgress;
  ClaimResult answered;
  answered.mState = ClaimResult::State::Answered;
  answered.mAnswer = HttpResponse{ 200, {}, "of the first" };
  fixture.mClaims.mResults = { inProgress, inProgress, answered };
  fixture.Apply();
  fixture.mIo.run();
  CHECK(fixture.mClaims.mKeys.size() == 3);
  CHECK(fixture.mOne.mPassed == 0);
  CHECK(fixture.mOne.mExchange->mResponse->mBody == "of the first");
}

TEST_CASE("Deduplicate filter: a wait that times out ends as outcome unknown")
{
  Fixture fixture;
  ClaimResult inProgress;
  inProgress.mState = ClaimResult::State::InProgress;
  fixture.mClaims.mResults = { inProgress };
  fixture.mOne.mContext->mDeclaredTimeout = std::chrono::milliseconds(100);
  fixture.mOne.mClock.Advance(std::chrono::milliseconds(100));
  fixture.Apply();
  CHECK(fixture.mOne.AnsweredKind() == ErrorKind::OutcomeUnknown);
}

TEST_CASE("Deduplicate filter: an error of the claim is returned to the caller")
{
  Fixture fixture;
  fixture.mClaims.mError = Error(ErrorKind::NoQuorum, "cut off");
  fixture.Apply();
  CHECK(fixture.mOne.AnsweredKind() == ErrorKind::NoQuorum);
  CHECK(fixture.mOne.mPassed == 0);
}

TEST_CASE("Deduplicate filter: the hash covers body, service and path")
{
  Fixture fixture;
  fixture.Apply();
  FilterCase otherBody({}, "other");
  otherBody.mContext->mKey = "zagreb:1";
  fixture.mFilter.Apply(otherBody.mContext, otherBody.Next());
  FilterCase otherPath;
  otherPath.mContext->mKey = "zagreb:1";
  otherPath.mContext->mTarget = "/other";
  fixture.mFilter.Apply(otherPath.mContext, otherPath.Next());
  const auto& hashes = fixture.mClaims.mHashes;
  CHECK(hashes[0] != hashes[1]);
  CHECK(hashes[0] != hashes[2]);
}

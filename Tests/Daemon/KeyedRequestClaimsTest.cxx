#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Daemon/KeyedRequestClaims.h"
#include "Jobs/ClaimService.h"
#include "Jobs/FakeSubmissionGroup.h"
#include "Jobs/HomeDataCentres.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

struct Fixture
{
  Fixture() { mLease.Tick(); }

  Result<ClaimResult> Ask(const std::string& aKey,
                          std::uint64_t aHash,
                          void (KeyedRequestClaims::*aHow)(
                            const std::string&,
                            std::uint64_t,
                            RequestClaims::Done) = &KeyedRequestClaims::Claim)
  {
    std::optional<Result<ClaimResult>> result;
    (mRequests.*aHow)(aKey, aHash, [&result](Result<ClaimResult> aResult) {
      result = std::move(aResult);
    });
    REQUIRE(result);
    return *result;
  }

  const HomeDataCentres mHomes{ "zagreb", { "zagreb" } };
  std::uint64_t mNextRandom = 1;
  ManualClock mClock;
  FakeSubmissionGroup mGroup{ mClock };
  ExecutorLease mLease{ "a", mGroup, mClock, {}, [this] {
                         return ++mNextRandom;
                       } };
  ClaimService mClaims{ { { "zagreb", { &mGroup, &mLease } } },
                        [this] { return ++mNextRandom; } };
  KeyedRequestClaims mRequests{ mHomes, mClaims };
};

}

TEST_CASE(
  "Keyed requests: one claim wins, others wait, and the answer is stored")
{
  Fixture fixture;
  const auto won = fixture.Ask("k", 1);
  REQUIRE(won.value().mState == ClaimResult::State::Won);
  CHECK(won.value().mClaim->CheckStart());
  CHECK(fixture.Ask("k", 1).value().mState == ClaimResult::State::InProgress);
  CHECK(fixture.Ask("k", 1, &KeyedRequestClaims::RetryClaim).value().mState ==
        ClaimResult::State::InProgress);
  CHECK(fixture.Ask("k", 2).error().Kind() == ErrorKind::KeyConflict);

  bool recorded = false;
  const std::string body("a\0b", 3);
  won.value().mClaim->RecordAnswer(
    HttpResponse{ 201, { { "Content-Type", "text/plain" } }, body },
    [&recorded] { recorded = true; });
  CHECK(recorded);
  CHECK(fixture.mRequests.RecordsInProgress() == 0);
  const auto later = fixture.Ask("k", 1, &KeyedRequestClaims::RetryClaim);
  REQUIRE(later.value().mState == ClaimResult::State::Answered);
  CHECK(later.value().mAnswer->mStatus == 201);
  CHECK(later.value().mAnswer->mBody == body);
  CHECK(later.value().mAnswer->mFields.at(0).mValue == "text/plain");

  const auto released = fixture.Ask("r", 1);
  released.value().mClaim->Release();
  CHECK(fixture.Ask("r", 2).value().mState == ClaimResult::State::Won);
}

TEST_CASE("Keyed requests: a repeated claim wins a released key, and conflicts "
          "with the answer of another body")
{
  Fixture fixture;
  fixture.Ask("k", 1).value().mClaim->Release();
  const auto other = fixture.Ask("k", 2);
  other.value().mClaim->RecordAnswer(HttpResponse{ 200, {}, "other" }, [] {});
  CHECK(fixture.Ask("k", 1, &KeyedRequestClaims::RetryClaim).error().Kind() ==
        ErrorKind::KeyConflict);
  fixture.Ask("r", 1).value().mClaim->Release();
  CHECK(fixture.Ask("r", 1, &KeyedRequestClaims::RetryClaim).value().mState ==
        ClaimResult::State::Won);
}

TEST_CASE("Keyed requests: no attempt starts after the lease has expired")
{
  Fixture fixture;
  const auto won = fixture.Ask("k", 1);
  fixture.mClock.Advance(std::chrono::seconds(10));
  CHECK(won.value().mClaim->CheckStart().error().Kind() ==
        ErrorKind::LeaseExpired);
}

TEST_CASE(
  "Keyed requests: a claim can outlive the objects that it was made from")
{
  std::shared_ptr<RequestClaim> claim;
  {
    Fixture fixture;
    claim = fixture.Ask("k", 1).value().mClaim;
  }
  CHECK_FALSE(claim->CheckStart());
  claim->Release();
  bool done = false;
  claim->RecordAnswer(HttpResponse(), [&done] { done = true; });
  CHECK(done);
}

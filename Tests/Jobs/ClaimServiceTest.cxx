#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "FakeSubmissionGroup.h"
#include "Jobs/ClaimService.h"
#include "Jobs/HomeDataCentres.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using Network = FakeSubmissionGroup::Network;

namespace {

const HomeDataCentres kHomes("zagreb", { "zagreb" });

struct Instance
{
  Instance(const InstanceName& aName,
           FakeSubmissionGroup& aGroup,
           const Clock& aClock,
           std::uint64_t aSeed)
    : mNextRandom(aSeed)
    , mLease(aName, aGroup, aClock, {}, [this] { return ++mNextRandom; })
    , mClaims({ { "zagreb", { &aGroup, &mLease } } },
              [this] { return ++mNextRandom; })
  {
    mLease.Tick();
  }

  Result<ClaimStatus> Claim(const std::string& aKey, std::uint64_t aBody = 7)
  {
    std::optional<Result<ClaimStatus>> result;
    mClaims.Claim(
      SubmissionKey::Parse(aKey, kHomes).value(),
      aBody,
      WorkKind::Request,
      [&result](Result<ClaimStatus> aResult) { result = std::move(aResult); });
    REQUIRE(result);
    return *result;
  }

  std::optional<ErrorKind> Record(const ClaimTicket& aTicket,
                                  const std::string& aAnswer)
  {
    std::optional<ErrorKind> kind;
    mClaims.RecordAnswer(
      aTicket, aAnswer, [&kind](const Result<void>& aResult) {
        if (!aResult) {
          kind = aResult.error().Kind();
        }
      });
    return kind;
  }

  std::uint64_t mNextRandom;
  ExecutorLease mLease;
  ClaimService mClaims;
};

struct Fixture
{
  ManualClock mClock;
  FakeSubmissionGroup mGroup{ mClock };
  Instance mA{ "a", mGroup, mClock, 1000 };
  Instance mB{ "b", mGroup, mClock, 2000 };
};

}

TEST_CASE(
  "Claim service: a resubmission at any instance returns the state of the "
  "first submission")
{
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  REQUIRE(won);
  REQUIRE(won.value().mState == ClaimStatus::State::Won);
  for (Instance* instance : { &fixture.mA, &fixture.mB }) {
    const auto during = instance->Claim("zagreb:1");
    REQUIRE(during);
    CHECK(during.value().mState == ClaimStatus::State::InProgress);
    CHECK(during.value().mExecutor == "a");
  }
  CHECK_FALSE(fixture.mA.Record(won.value().mTicket, "answer"));
  for (Instance* instance : { &fixture.mA, &fixture.mB }) {
    const auto after = instance->Claim("zagreb:1");
    REQUIRE(after);
    CHECK(after.value().mState == ClaimStatus::State::Answered);
    CHECK(after.value().mAnswer == "answer");
  }
  CHECK(fixture.mB.Claim("zagreb:1", 8).error().Kind() ==
        ErrorKind::KeyConflict);
}

TEST_CASE("Claim service: a key is won once at most despite network faults")
{
  struct Row
  {
    Network mNetwork;
    ErrorKind mKind;
    std::size_t mPendingCommands;
  };
  const auto row = GENERATE(values<Row>({
    { Network::Refuses, ErrorKind::KeyStateUnknown, 0 },
    { Network::LosesAnswers, ErrorKind::OutcomeUnknown, 1 },
    { Network::LosesCommands, ErrorKind::OutcomeUnknown, 1 },
  }));
  Fixture fixture;
  fixture.mGroup.mNetwork = row.mNetwork;
  const auto failed = fixture.mA.Claim("zagreb:1");
  REQUIRE_FALSE(failed);
  CHECK(failed.error().Kind() == row.mKind);
  CHECK(failed.error().Traits().mRan == Ran::Unknown);
  CHECK(fixture.mA.mClaims.PendingCommandCount() == row.mPendingCommands);
  fixture.mGroup.mNetwork = Network::Works;
  fixture.mA.mClaims.Tick();
  CHECK(fixture.mA.mClaims.PendingCommandCount() == 0);
  // Nothing started, so one instance can claim the key again.
  CHECK(fixture.mB.Claim("zagreb:1").value().mState == ClaimStatus::State::Won);
  CHECK(fixture.mA.Claim("zagreb:1").value().mState ==
        ClaimStatus::State::InProgress);
}

TEST_CASE("Claim service: recording an answer is retried until it is durable")
{
  const auto network =
    GENERATE(Network::Refuses, Network::LosesAnswers, Network::LosesCommands);
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  fixture.mGroup.mNetwork = network;
  CHECK(fixture.mA.Record(won.value().mTicket, "answer"));
  fixture.mA.mClaims.Tick();
  CHECK(fixture.mA.mClaims.PendingCommandCount() == 1);
  fixture.mGroup.mNetwork = Network::Works;
  fixture.mA.mClaims.Tick();
  CHECK(fixture.mA.mClaims.PendingCommandCount() == 0);
  CHECK(fixture.mB.Claim("zagreb:1").value().mAnswer == "answer");
}

TEST_CASE(
  "Claim service: after an executor loss every claim returns ExecutorLost")
{
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  const ClaimTicket ticket = won.value().mTicket;
  ExecutorLostCommand lost;
  lost.mExecutor = ticket.mExecutor;
  fixture.mGroup.Propose(Encode(lost), [](const Result<std::string>&) {});

  CHECK(fixture.mA.Record(ticket, "late answer") == ErrorKind::ExecutorLost);
  CHECK(fixture.mA.mClaims.PendingCommandCount() == 0);
  for (Instance* instance : { &fixture.mA, &fixture.mB, &fixture.mA }) {
    const auto status = instance->Claim("zagreb:1");
    REQUIRE_FALSE(status);
    CHECK(status.error().Kind() == ErrorKind::ExecutorLost);
    CHECK(status.error().Traits().mRan == Ran::Unknown);
  }
}

TEST_CASE("Claim service: recorded answers are returned without a lease")
{
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  fixture.mA.Record(won.value().mTicket, "answer");
  fixture.mClock.Advance(ExecutorLeaseSettings().mIdleDuration);
  CHECK(fixture.mB.Claim("zagreb:1").value().mAnswer == "answer");
  CHECK(fixture.mB.Claim("zagreb:2").error().Kind() == ErrorKind::LeaseExpired);
  CHECK(fixture.mA.mClaims.CheckStart(won.value().mTicket).error().Kind() ==
        ErrorKind::LeaseExpired);
}

TEST_CASE("Claim service: a claim before the first lease fails with NotReady")
{
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  fixture.mA.Record(won.value().mTicket, "answer");
  fixture.mGroup.mNetwork = Network::LosesCommands;
  Instance started("c", fixture.mGroup, fixture.mClock, 3000);
  fixture.mGroup.mNetwork = Network::Works;
  const auto early = started.Claim("zagreb:2");
  REQUIRE_FALSE(early);
  CHECK(early.error().Kind() == ErrorKind::NotReady);
  CHECK(early.error().Traits().mRan == Ran::No);
  CHECK(early.error().RetryAfter());
  CHECK(started.Claim("zagreb:1").value().mAnswer == "answer");

  fixture.mClock.Advance(std::chrono::seconds(2));
  started.mLease.Tick();
  CHECK(started.Claim("zagreb:2").value().mState == ClaimStatus::State::Won);
}

TEST_CASE("Claim service: an answer too large for the journal is not stored")
{
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  CHECK_FALSE(
    fixture.mA.Record(won.value().mTicket, std::string(16 << 20, 'x')));
  const auto later = fixture.mB.Claim("zagreb:1");
  REQUIRE_FALSE(later);
  CHECK(later.error().Kind() == ErrorKind::AnswerNotKept);
  CHECK(later.error().Traits().mRan == Ran::Yes);
}

TEST_CASE("Claim service: while the group is unavailable an earlier run of the "
          "key is reported as unknown")
{
  Fixture fixture;
  const auto won = fixture.mA.Claim("zagreb:1");
  REQUIRE(won);
  const auto refusal =
    GENERATE(Network::Refuses, Network::LosesAnswers, Network::LosesCommands);
  fixture.mGroup.mNetwork = refusal;
  // The work of the first claim may still be running.
  const auto again = fixture.mB.Claim("zagreb:1");
  REQUIRE_FALSE(again);
  CHECK(again.error().Traits().mRan == Ran::Unknown);

  std::optional<Error> shown;
  fixture.mB.mClaims.Lookup(
    SubmissionKey::Parse("zagreb:1", kHomes).value(),
    [&shown](const Result<ClaimStatus>& aStatus) { shown = aStatus.error(); });
  REQUIRE(shown);
  CHECK(shown->Kind() == ErrorKind::KeyStateUnknown);
  CHECK(shown->Traits().mRan == Ran::Unknown);
  CHECK(shown->Message().find("home zagreb") != std::string::npos);
}

TEST_CASE(
  "Claim service: after every kind of claim end the lease is renewed rarely "
  "again")
{
  struct Row
  {
    Network mNetworkAtClaim;
    Network mNetworkAtEnd;
    bool mIsRecorded;
  };
  const auto row = GENERATE(values<Row>({
    { Network::Works, Network::Works, true },
    { Network::Works, Network::Works, false },
    { Network::Works, Network::LosesAnswers, true },
    { Network::Works, Network::LosesCommands, false },
    { Network::Refuses, Network::Works, false },
    { Network::LosesAnswers, Network::Works, false },
  }));
  Fixture fixture;
  fixture.mGroup.mNetwork = row.mNetworkAtClaim;
  const auto claimed = fixture.mA.Claim("zagreb:1");
  fixture.mGroup.mNetwork = row.mNetworkAtEnd;
  if (claimed && row.mIsRecorded) {
    fixture.mA.Record(claimed.value().mTicket, "answer");
  } else if (claimed) {
    fixture.mA.mClaims.Release(claimed.value().mTicket);
  }
  fixture.mGroup.mNetwork = Network::Works;
  fixture.mA.mClaims.Tick();
  CHECK(fixture.mGroup.mState.Executors().front().mOpenClaims == 0);
  const auto renewals = [&fixture] {
    const int before = fixture.mGroup.mRenewals;
    fixture.mClock.Advance(ExecutorLeaseSettings().mRenewalPeriod);
    fixture.mA.mLease.Tick();
    return fixture.mGroup.mRenewals - before;
  };
  // The first renewal may follow a failed call; the next is due only after the
  // idle renewal period.
  renewals();
  CHECK(renewals() == 0);
  REQUIRE(fixture.mA.Claim("zagreb:2"));
  CHECK(renewals() == 1);
  CHECK(renewals() == 1);
}

TEST_CASE(
  "Claim service: a claim refused for a lost epoch causes a new registration")
{
  Fixture fixture;
  ExecutorLostCommand lost;
  lost.mExecutor = *fixture.mA.mLease.CurrentEpoch();
  fixture.mGroup.Propose(Encode(lost), [](const Result<std::string>&) {});
  CHECK(fixture.mA.Claim("zagreb:1").error().Kind() == ErrorKind::LeaseExpired);
  fixture.mA.mLease.Tick();
  CHECK(fixture.mA.Claim("zagreb:1"));
}

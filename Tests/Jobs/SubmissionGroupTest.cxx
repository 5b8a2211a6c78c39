#include <chrono>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Jobs/ClaimService.h"
#include "Jobs/ExecutorLease.h"
#include "Jobs/LocalSubmissionGroup.h"
#include "Jobs/PeerSubmissionGroup.h"
#include "Jobs/SubmissionClockAdvancer.h"
#include "Jobs/SubmissionStateMachine.h"
#include "JobsFixture.h"
#include "Support/FakeReplicator.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;

namespace {

/** \brief Two members of the submission group of zagreb (z1, z2) and one
 * instance of the data centre sisak (s1). */
struct Fixture
{
  ManualClock mClock;
  SubmissionStateMachine mState;
  FakeReplicator mReplicator{ mState };
  ExecutorLeaseGranter mGranter{ mReplicator, mState, mClock, {} };
  FakePeerRpc::Network mNetwork;
  FakePeerRpc mMemberRpc{ "z1", mNetwork };
  FakePeerRpc mOtherMemberRpc{ "z2", mNetwork };
  FakePeerRpc mRemoteRpc{ "s1", mNetwork };
  LocalSubmissionGroup mMember{ "zagreb",
                                mReplicator,
                                mState,
                                mGranter,
                                mMemberRpc };
  LocalSubmissionGroup mOtherMember{ "zagreb",
                                     mReplicator,
                                     mState,
                                     mGranter,
                                     mOtherMemberRpc };
  FakeInstanceView mInstances{ "s1" };
  PeerSubmissionGroup mPeerGroup{ "zagreb", mRemoteRpc, mInstances };
  std::uint64_t mNextRandom = 0;
  ExecutorLease mLease{ "s1", mPeerGroup, mClock, {}, [this] {
                         return ++mNextRandom;
                       } };
  ClaimService mClaims{ { { "zagreb", { &mPeerGroup, &mLease } } },
                        [this] { return ++mNextRandom; } };
  const HomeDataCentres mHomes{ "sisak", { "zagreb" } };

  Fixture() { mInstances.mLive = { "z1", "z2" }; }

  Result<ClaimStatus> Claim()
  {
    std::optional<Result<ClaimStatus>> result;
    mClaims.Claim(
      SubmissionKey::Parse("zagreb:1", mHomes).value(),
      7,
      WorkKind::Request,
      [&result](Result<ClaimStatus> aResult) { result = std::move(aResult); });
    REQUIRE(result);
    return *result;
  }
};

}

TEST_CASE("Submission group: an instance of another data centre claims a key")
{
  Fixture fixture;
  fixture.mLease.Tick();
  REQUIRE(fixture.mLease.CurrentEpoch());
  const auto won = fixture.Claim();
  REQUIRE(won);
  CHECK(won.value().mState == ClaimStatus::State::Won);
  fixture.mClaims.RecordAnswer(
    won.value().mTicket, "answer", [](const Result<void>& aResult) {
      CHECK(aResult);
    });
  CHECK(fixture.Claim().value().mAnswer == "answer");
  std::string found;
  fixture.mClaims.Lookup(
    SubmissionKey::Parse("zagreb:1", fixture.mHomes).value(),
    [&found](const Result<ClaimStatus>& aResult) {
      found = aResult.value().mAnswer;
    });
  CHECK(found == "answer");
}

TEST_CASE("Submission group: a call is retried at the next member")
{
  struct Row
  {
    std::optional<ErrorKind> mFailureOfZ1;
    std::optional<ErrorKind> mFailureOfZ2;
    std::optional<ErrorKind> mExpected;
  };
  const auto row = GENERATE(values<Row>({
    { ErrorKind::PeerUnreachable, std::nullopt, std::nullopt },
    { std::nullopt, ErrorKind::PeerUnreachable, std::nullopt },
    { ErrorKind::PeerTimeout, std::nullopt, std::nullopt },
    { ErrorKind::NotLeader, ErrorKind::NoQuorum, ErrorKind::KeyStateUnknown },
    { ErrorKind::PeerUnreachable,
      ErrorKind::PeerUnreachable,
      ErrorKind::KeyStateUnknown },
    { ErrorKind::PeerTimeout,
      ErrorKind::PeerUnreachable,
      ErrorKind::OutcomeUnknown },
    { ErrorKind::PeerUnreachable,
      ErrorKind::PeerTimeout,
      ErrorKind::OutcomeUnknown },
  }));
  Fixture fixture;
  fixture.mLease.Tick();
  if (row.mFailureOfZ1) {
    fixture.mRemoteRpc.mFailures.emplace("z1", *row.mFailureOfZ1);
  }
  if (row.mFailureOfZ2) {
    fixture.mRemoteRpc.mFailures.emplace("z2", *row.mFailureOfZ2);
  }
  const auto result = fixture.Claim();
  if (!row.mExpected) {
    CHECK(result);
    return;
  }
  REQUIRE_FALSE(result);
  CHECK(result.error().Kind() == *row.mExpected);
  CHECK(result.error().Message().find("zagreb") != std::string::npos);
}

TEST_CASE("Submission group: the error names the home if no member is live")
{
  Fixture fixture;
  fixture.mInstances.mLive.clear();
  const auto result = fixture.Claim();
  REQUIRE_FALSE(result);
  CHECK(result.error().Kind() == ErrorKind::KeyStateUnknown);
  CHECK(result.error().Message().find("zagreb") != std::string::npos);
}

TEST_CASE("Submission group: a member forwards renewals to the leader")
{
  Fixture fixture;
  fixture.mLease.Tick();
  const auto epoch = *fixture.mLease.CurrentEpoch();
  const auto renew = [&fixture, epoch] {
    std::optional<Result<LeaseGrant>> result;
    fixture.mMember.RenewLease(
      "s1", epoch, [&result](Result<LeaseGrant> aResult) {
        result = std::move(aResult);
      });
    return *result;
  };
  CHECK(renew().value().mDuration == 3000ms);
  fixture.mReplicator.mLeader = false;
  CHECK(renew().error().Kind() == ErrorKind::NoQuorum);
  // z2 is not the leader either, and does not forward the request again.
  fixture.mReplicator.mLeaderName = "z2";
  const int calls = fixture.mOtherMemberRpc.mCalls;
  CHECK(renew().error().Kind() == ErrorKind::NotLeader);
  CHECK(fixture.mOtherMemberRpc.mCalls == calls);
}

TEST_CASE("Submission clock: only monotonic time of the leader is counted")
{
  Fixture fixture;
  SubmissionLimits limits;
  limits.mRetentionMs = 60'000;
  SubmissionClockAdvancer clock(
    fixture.mReplicator, fixture.mClock, limits, 10s);
  fixture.mLease.Tick();
  const auto won = fixture.Claim();
  fixture.mClaims.RecordAnswer(
    won.value().mTicket, "answer", [](const Result<void>&) {});
  const auto run = [&](std::chrono::seconds aTime) {
    for (auto passed = 0s; passed < aTime; passed += 1s) {
      fixture.mClock.Advance(1s);
      clock.Tick();
    }
  };
  clock.Tick();
  run(50s);
  fixture.mClock.SetWall(Clock::Wall(std::chrono::hours(24 * 365 * 90)));
  run(9s);
  fixture.mReplicator.mLeader = false;
  run(1000s);
  fixture.mReplicator.mLeader = true;
  run(9s);
  CHECK(fixture.Claim());
  run(20s);
  const auto expired = fixture.Claim();
  REQUIRE_FALSE(expired);
  CHECK(expired.error().Kind() == ErrorKind::KeyExpired);
}

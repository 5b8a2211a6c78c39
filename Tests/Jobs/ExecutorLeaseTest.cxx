#include <chrono>

#include <catch2/catch.hpp>

#include "FakeSubmissionGroup.h"
#include "Jobs/ExecutorLease.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  ManualClock mClock;
  ExecutorLeaseSettings mSettings;
  FakeSubmissionGroup mGroup{ mClock, mSettings };
  std::uint64_t mNextRandom = 100;
  ExecutorLease mLease{ "a", mGroup, mClock, mSettings, [this] {
                         return ++mNextRandom;
                       } };

  /** Claims a key that stays open, and returns the epoch. */
  ExecutorEpoch OpenClaim()
  {
    const ExecutorEpoch epoch = *mLease.CurrentEpoch();
    ClaimCommand command;
    command.mKey.mLow = ++mNextRandom;
    command.mExecutor = epoch;
    const Clock::Monotonic sentAt = mLease.BeginClaim();
    mGroup.Propose(Encode(command),
                   [this, epoch, sentAt](const Result<std::string>&) {
                     mLease.OnClaimWon(epoch, sentAt);
                   });
    return epoch;
  }

  ExecutorEpoch AcquireLeaseAndClaim()
  {
    mLease.Tick();
    return OpenClaim();
  }

  std::chrono::milliseconds Remaining(ExecutorEpoch aEpoch) const
  {
    return mLease.CheckStart(aEpoch).value().mRemaining;
  }

  /** Advances the clock in small steps. The granter ticks at each step, the
   * holder only if aIsHolderRunning. */
  void RunFor(std::chrono::milliseconds aTime, bool aIsHolderRunning)
  {
    constexpr auto kStep = 50ms;
    for (auto passed = 0ms; passed < aTime; passed += kStep) {
      mClock.Advance(kStep);
      mGroup.mGranter.Tick();
      if (aIsHolderRunning) {
        mLease.Tick();
      }
    }
  }
};

}

TEST_CASE("Executor lease: it is held while it is renewed")
{
  Fixture fixture;
  CHECK_FALSE(fixture.mLease.CurrentEpoch());
  fixture.mLease.Tick();
  REQUIRE(fixture.mLease.CurrentEpoch());
  const ExecutorEpoch epoch = *fixture.mLease.CurrentEpoch();
  fixture.RunFor(60s, true);
  REQUIRE(fixture.mLease.CurrentEpoch());
  CHECK(*fixture.mLease.CurrentEpoch() == epoch);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
}

TEST_CASE("Executor lease: it is renewed once per renewal period")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  const auto before = fixture.Remaining(epoch);
  fixture.mClock.Advance(fixture.mSettings.mRenewalPeriod - 1ms);
  fixture.mLease.Tick();
  CHECK(fixture.Remaining(epoch) < before);
  fixture.mClock.Advance(1ms);
  fixture.mLease.Tick();
  CHECK(fixture.Remaining(epoch) == before);
}

TEST_CASE(
  "Executor lease: a suspended holder gets no permits before it is declared "
  "lost")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  fixture.mGroup.mGranter.Tick();
  const auto margin = fixture.mSettings.mExpiryMargin;
  fixture.RunFor(fixture.mSettings.mDuration - margin - 50ms, false);
  CHECK(fixture.mLease.CheckStart(epoch));
  fixture.RunFor(50ms, false);
  // The lease ends at the holder one full margin before it ends at the granter.
  CHECK_FALSE(fixture.mLease.CheckStart(epoch));
  CHECK(fixture.mGroup.mState.IsLive(epoch));
  fixture.RunFor(margin - 50ms, false);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
  fixture.RunFor(100ms, false);
  CHECK_FALSE(fixture.mGroup.mState.IsLive(epoch));

  // When the holder resumes, the old epoch stays refused and it registers a new
  // one.
  CHECK(fixture.mLease.CheckStart(epoch).error().Kind() ==
        ErrorKind::LeaseExpired);
  fixture.mLease.Tick();
  fixture.mLease.Tick();
  REQUIRE(fixture.mLease.CurrentEpoch());
  CHECK(*fixture.mLease.CurrentEpoch() > epoch);
  CHECK_FALSE(fixture.mLease.CheckStart(epoch));
}

TEST_CASE("Executor lease: a permit ends before the lease does")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  fixture.RunFor(2s, false);
  const auto permit = fixture.mLease.CheckStart(epoch);
  REQUIRE(permit);
  // The holder may pause between the check and the send. The worker refuses a
  // start after mRemaining, which ends at least one margin before the lease
  // ends at the granter.
  CHECK(permit.value().mRemaining + fixture.mSettings.mExpiryMargin + 2s <=
        fixture.mSettings.mDuration);
}

TEST_CASE("Executor lease: failed renewals do not extend it")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  const auto full = fixture.Remaining(epoch);
  fixture.mGroup.mNetwork = FakeSubmissionGroup::Network::Refuses;
  fixture.RunFor(1s, true);
  CHECK(fixture.Remaining(epoch) == full - 1s);
  fixture.RunFor(2s, true);
  CHECK_FALSE(fixture.mLease.CheckStart(epoch));
}

TEST_CASE(
  "Executor lease: an expired lease that was not declared lost can be renewed")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  fixture.mClock.Advance(fixture.mSettings.mIdleDuration);
  CHECK_FALSE(fixture.mLease.CurrentEpoch());
  CHECK_FALSE(fixture.mLease.CheckStart(epoch));
  fixture.mLease.Tick();
  REQUIRE(fixture.mLease.CurrentEpoch());
  CHECK(*fixture.mLease.CurrentEpoch() == epoch);
  CHECK(fixture.mLease.CheckStart(epoch));
}

TEST_CASE("Executor lease: a new leader waits for one full lease")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  fixture.RunFor(2s, true);
  fixture.RunFor(2000ms, false);
  fixture.mGroup.mReplicator.mTerm = 2;
  fixture.mGroup.mGranter.Tick();
  fixture.RunFor(fixture.mSettings.mDuration - 100ms, false);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
  fixture.RunFor(200ms, false);
  CHECK_FALSE(fixture.mGroup.mState.IsLive(epoch));
}

TEST_CASE(
  "Executor lease: only the leader grants renewals and declares epochs lost")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  fixture.mGroup.mReplicator.mLeader = false;
  CHECK(fixture.mGroup.mGranter.Renew(epoch).error().Kind() ==
        ErrorKind::NotLeader);
  fixture.RunFor(10s, false);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
}

TEST_CASE(
  "Executor lease: it counts from the time at which the renewal was sent")
{
  Fixture fixture;
  const ExecutorEpoch epoch = fixture.AcquireLeaseAndClaim();
  fixture.mClock.Advance(fixture.mSettings.mRenewalPeriod);
  fixture.mGroup.mNetwork = FakeSubmissionGroup::Network::Holds;
  fixture.mLease.Tick();
  fixture.mClock.Advance(2s);
  fixture.mGroup.ReleaseHeld();
  CHECK(fixture.Remaining(epoch) ==
        fixture.mSettings.mDuration - fixture.mSettings.mExpiryMargin - 2s);
}

TEST_CASE(
  "Executor lease: without open claims it is renewed once per idle period")
{
  Fixture fixture;
  fixture.mLease.Tick();
  fixture.mGroup.mRenewals = 0;
  fixture.RunFor(60s, true);
  CHECK(fixture.mGroup.mRenewals == 6);
  // The first claim after an idle period renews the active lease.
  fixture.RunFor(9s, true);
  const ExecutorEpoch epoch = fixture.OpenClaim();
  CHECK(fixture.Remaining(epoch) ==
        fixture.mSettings.mDuration - fixture.mSettings.mExpiryMargin);
  fixture.RunFor(700ms, true);
  CHECK(fixture.mGroup.mRenewals == 6);
  fixture.RunFor(60s, true);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
  CHECK(fixture.mLease.CheckStart(epoch));
  CHECK(fixture.mGroup.mRenewals >= 86);
}

TEST_CASE(
  "Executor lease: a stopped holder with open claims is declared lost sooner")
{
  struct Row
  {
    std::chrono::milliseconds mTimeBefore;
    bool mHasClaim;
    bool mHasAnswer;
    bool mIsNewLeader;
    std::chrono::milliseconds mLostAfter;
  };
  const auto row = GENERATE(values<Row>({
    { 0ms, false, false, false, 30s },
    { 0ms, true, false, false, 3s },
    { 9s, true, false, false, 3s },
    { 0ms, true, true, false, 30s },
    { 25s, true, false, true, 3s },
    { 25s, false, false, true, 30s },
  }));
  Fixture fixture;
  fixture.mLease.Tick();
  fixture.mGroup.mGranter.Tick();
  const ExecutorEpoch epoch = *fixture.mLease.CurrentEpoch();
  fixture.RunFor(row.mTimeBefore, true);
  if (row.mHasClaim) {
    fixture.OpenClaim();
  }
  if (row.mHasAnswer) {
    RecordAnswerCommand command;
    command.mKey.mLow = fixture.mNextRandom;
    command.mExecutor = epoch;
    fixture.mGroup.Propose(Encode(command), [](const Result<std::string>&) {});
  }
  fixture.mGroup.mReplicator.mTerm += row.mIsNewLeader ? 1 : 0;
  fixture.mGroup.mGranter.Tick();
  // The last renewal may be up to one idle renewal period ago.
  const auto renewed =
    row.mHasClaim || row.mIsNewLeader ? 0ms : row.mTimeBefore % 10s;
  fixture.RunFor(row.mLostAfter - renewed - 50ms, false);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
  CHECK_FALSE(fixture.mLease.CheckStart(epoch));
  fixture.RunFor(100ms, false);
  CHECK_FALSE(fixture.mGroup.mState.IsLive(epoch));
}

TEST_CASE("Executor lease: it is renewed while a claim is unanswered")
{
  Fixture fixture;
  fixture.mLease.Tick();
  const ExecutorEpoch epoch = *fixture.mLease.CurrentEpoch();
  ClaimCommand command;
  command.mExecutor = epoch;
  const Clock::Monotonic sentAt = fixture.mLease.BeginClaim();
  fixture.mGroup.Propose(Encode(command), [](const Result<std::string>&) {});
  fixture.RunFor(8s, true);
  fixture.mLease.OnClaimWon(epoch, sentAt);
  CHECK(fixture.mGroup.mState.IsLive(epoch));
  CHECK(fixture.mLease.CheckStart(epoch));
}

TEST_CASE(
  "Executor lease: the idle lease ends early if the group is unavailable")
{
  Fixture fixture;
  fixture.mLease.Tick();
  const ExecutorEpoch epoch = *fixture.mLease.CurrentEpoch();
  fixture.mGroup.mNetwork = FakeSubmissionGroup::Network::Refuses;
  fixture.RunFor(fixture.mSettings.mIdleRenewalPeriod, true);
  CHECK(fixture.mLease.CurrentEpoch());
  fixture.RunFor(fixture.mSettings.mDuration, true);
  CHECK_FALSE(fixture.mLease.CurrentEpoch());
  fixture.mGroup.mNetwork = FakeSubmissionGroup::Network::Works;
  fixture.RunFor(fixture.mSettings.mRenewalPeriod, true);
  CHECK(fixture.mLease.CurrentEpoch() == epoch);
}

TEST_CASE("Executor lease: without an idle duration it is renewed every period")
{
  Fixture fixture;
  fixture.mSettings.mIdleDuration = 0ms;
  FakeSubmissionGroup group{ fixture.mClock, fixture.mSettings };
  ExecutorLease lease{ "b", group, fixture.mClock, ExecutorLeaseSettings(), [] {
                        return 1;
                      } };
  lease.Tick();
  const ExecutorEpoch epoch = *lease.CurrentEpoch();
  lease.OnClaimWon(epoch, fixture.mClock.MonotonicNow() + 1s);
  CHECK(lease.CheckStart(epoch).value().mRemaining == 2500ms);
  fixture.mClock.Advance(fixture.mSettings.mRenewalPeriod);
  lease.Tick();
  CHECK(group.mRenewals == 2);
}

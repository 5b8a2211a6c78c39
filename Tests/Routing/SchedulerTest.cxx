#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Routing/SchedulerFixture.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::SchedulerFixture;

TEST_CASE("Scheduler: work starts while slots are free and then waits")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 2);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
  }
  REQUIRE(fixture.mDispatched.size() == 2);
  CHECK(fixture.mDispatched[0].mEndpoint == "e1");
  CHECK(fixture.mDispatched[0].mAddress == "127.0.0.1:1");
  CHECK(fixture.Complete(fixture.mDispatched[0].mId).mNext ==
        Completion::Final);
  CHECK(fixture.mDispatched.size() == 3);
  CHECK(fixture.mScheduler.Outstanding() == 2);
}

TEST_CASE("Scheduler: orders work by urgency, then by deadline")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 1);
  const WorkId first = fixture.Submit(SchedulerFixture::Item()).value();
  const WorkId late =
    fixture.Submit(SchedulerFixture::Item("quote", 3), 9s).value();
  const WorkId early =
    fixture.Submit(SchedulerFixture::Item("quote", 3), 8s).value();
  const WorkId urgent =
    fixture.Submit(SchedulerFixture::Item("quote", 0), 10s).value();
  std::vector<WorkId> order;
  for (std::size_t i = 0; i < 4; ++i) {
    REQUIRE(fixture.mDispatched.size() == i + 1);
    order.push_back(fixture.mDispatched[i].mId);
    fixture.Complete(order.back());
  }
  CHECK(order == std::vector<WorkId>{ first, urgent, early, late });
}

TEST_CASE("Scheduler: work past its deadline never reaches an endpoint")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 1);
  const WorkId first = fixture.Submit(SchedulerFixture::Item()).value();
  REQUIRE(fixture.Submit(SchedulerFixture::Item(), 500ms).has_value());
  fixture.Advance(501ms);
  CHECK(fixture.mRefused ==
        std::vector<ErrorKind>{ ErrorKind::DeadlineExpiredInQueue });
  CHECK(fixture.mDecisions.mDecisions.back().mChoice ==
        "deadline-expired-in-queue");
  fixture.Complete(first);
  CHECK(fixture.mDispatched.size() == 1);
  CHECK(fixture.mScheduler.Outstanding() == 0);
}

TEST_CASE("Scheduler: work that expires between two ticks is not sent")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 1);
  const WorkId first = fixture.Submit(SchedulerFixture::Item()).value();
  REQUIRE(fixture.Submit(SchedulerFixture::Item(), 500ms).has_value());
  fixture.mClock.Advance(501ms);
  fixture.Complete(first);
  CHECK(fixture.mDispatched.size() == 1);
  fixture.mScheduler.Tick();
  CHECK(fixture.mRefused.size() == 1);
}

TEST_CASE("Scheduler: work that would exceed its deadline is not started")
{
  struct Row
  {
    std::chrono::milliseconds mDeadlineAfter;
    std::chrono::milliseconds mWaited;
    bool mIsStarted;
  };
  // The estimated run times have a median of 100 ms; every fifth is 800 ms.
  for (const Row& row : { Row{ 2000ms, 900ms, true },
                          Row{ 2000ms, 1700ms, false },
                          Row{ 400ms, 0ms, true },
                          Row{ 1000ms, 300ms, true },
                          Row{ 1000ms, 750ms, false } }) {
    SchedulerFixture fixture;
    fixture.AddEndpoint("e1", 1);
    for (int i = 0; i < 500; ++i) {
      const WorkId id = fixture.Submit(SchedulerFixture::Item()).value();
      fixture.Complete(
        id, AttemptOutcome::Succeeded, i % 5 == 0 ? 800ms : 100ms);
    }
    const std::size_t before = fixture.mDispatched.size();
    const WorkId first = fixture.Submit(SchedulerFixture::Item()).value();
    REQUIRE(fixture.mDispatched.size() == before + 1);
    if (row.mWaited == 0ms) {
      fixture.Complete(first, AttemptOutcome::Succeeded, 800ms);
    }
    const auto waiting =
      fixture.Submit(SchedulerFixture::Item(), row.mDeadlineAfter);
    REQUIRE(waiting.has_value());
    fixture.mClock.Advance(row.mWaited);
    if (row.mWaited > 0ms) {
      fixture.Complete(first, AttemptOutcome::Succeeded, 800ms);
    }
    CHECK(fixture.mDispatched.size() == before + (row.mIsStarted ? 2 : 1));
    CHECK(fixture.mRefused.size() == (row.mIsStarted ? 0 : 1));
  }
}

TEST_CASE("Scheduler: cancellation reports whether the work may have run")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 1);
  fixture.AddEndpoint("e2", 1);
  const WorkId running = fixture.Submit(SchedulerFixture::Item()).value();
  const WorkId failed = fixture.Submit(SchedulerFixture::Item()).value();
  const WorkId waiting = fixture.Submit(SchedulerFixture::Item()).value();
  CHECK(fixture.mScheduler.Cancel(waiting) == Cancellation::NotStarted);
  CHECK(fixture.mScheduler.Cancel(waiting) == Cancellation::Unknown);
  CHECK(fixture.mScheduler.Cancel(running) == Cancellation::Running);
  CHECK(fixture.Complete(failed, AttemptOutcome::Failed).mNext ==
        Completion::Retrying);
  CHECK(fixture.mScheduler.Cancel(failed) == Cancellation::MayHaveRun);
  fixture.Complete(running, AttemptOutcome::Abandoned);
  CHECK(fixture.mScheduler.Outstanding() == 0);
  CHECK(fixture.mDispatched.size() == 2);
  CHECK(fixture.mRefused.empty());
}

TEST_CASE("Scheduler: retries depend on the outcome and on idempotence")
{
  struct Row
  {
    AttemptOutcome mOutcome;
    bool mIdempotent;
    bool mIsNeverRepeated;
    Completion mExpected;
  };
  const Row row = GENERATE(values<Row>({
    { AttemptOutcome::Succeeded, true, false, Completion::Final },
    { AttemptOutcome::Refused, false, false, Completion::Retrying },
    { AttemptOutcome::Refused, false, true, Completion::Retrying },
    { AttemptOutcome::Unreachable, false, false, Completion::Retrying },
    { AttemptOutcome::Failed, true, false, Completion::Retrying },
    { AttemptOutcome::Failed, false, false, Completion::Final },
    { AttemptOutcome::Failed, true, true, Completion::Final },
    { AttemptOutcome::TimedOut, true, false, Completion::Retrying },
    { AttemptOutcome::TimedOut, false, false, Completion::Final },
    { AttemptOutcome::ConnectionLost, true, false, Completion::Retrying },
    { AttemptOutcome::ConnectionLost, false, false, Completion::Final },
    { AttemptOutcome::Abandoned, true, false, Completion::Final },
  }));
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1");
  fixture.AddEndpoint("e2");
  RoutingRules rules;
  rules.mVersion = 1;
  rules.mKinds["quote"].mIsNeverRepeated = row.mIsNeverRepeated;
  fixture.mScheduler.ApplyRules(rules);
  WorkItem item = SchedulerFixture::Item();
  item.mIdempotent = row.mIdempotent;
  const WorkId id = fixture.Submit(item).value();
  CAPTURE(OutcomeTraitsOf(row.mOutcome).mName, row.mIdempotent);
  CHECK(fixture.Complete(id, row.mOutcome).mNext == row.mExpected);
  fixture.Advance(300ms);
  const bool repeated = row.mExpected == Completion::Retrying;
  REQUIRE(fixture.mDispatched.size() == (repeated ? 2 : 1));
  if (repeated) {
    CHECK(fixture.mDispatched[0].mEndpoint != fixture.mDispatched[1].mEndpoint);
    CHECK(fixture.mDispatched[1].mAttempt == 2);
  }
}

TEST_CASE("Scheduler: an error accounts for earlier attempts that may have run")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1");
  fixture.AddEndpoint("e2");
  const WorkId id = fixture.Submit(SchedulerFixture::Item()).value();
  REQUIRE(fixture.Complete(id, AttemptOutcome::TimedOut).mNext ==
          Completion::Retrying);
  fixture.Advance(300ms);

  SECTION("the second endpoint refuses")
  {
    const CompletionResult end = fixture.Complete(id, AttemptOutcome::Refused);
    REQUIRE(end.mNext == Completion::Final);
    REQUIRE(end.mError);
    CHECK(end.mError->Traits().mRan == Ran::Unknown);
  }
  SECTION("the deadline passes while it waits for a third endpoint")
  {
    fixture.AddEndpoint("e3");
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
    if (fixture.Complete(id, AttemptOutcome::Refused).mNext ==
        Completion::Retrying) {
      fixture.Advance(11s);
      REQUIRE_FALSE(fixture.mRefused.empty());
      for (const ErrorKind kind : fixture.mRefused) {
        CHECK(ErrorTraitsOf(kind).mRan == Ran::Unknown);
      }
    }
  }
}

TEST_CASE("Scheduler: retries stay within the budget")
{
  SchedulerSettings settings;
  settings.mEjection.mMaxEjectedShare = 0;
  SchedulerFixture fixture(settings);
  for (int i = 0; i < 20; ++i) {
    fixture.AddEndpoint("e" + std::to_string(i), 8);
  }
  constexpr int kSubmitted = 1000;
  std::size_t handled = 0;
  for (int i = 0; i < kSubmitted; ++i) {
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
    while (handled < fixture.mDispatched.size()) {
      fixture.Complete(fixture.mDispatched[handled++].mId,
                       AttemptOutcome::Refused);
    }
    fixture.Advance(1ms);
  }
  const double attempts = static_cast<double>(fixture.mDispatched.size());
  CHECK(attempts >= kSubmitted * 1.05);
  CHECK(attempts <= kSubmitted * 1.15);
}

TEST_CASE("Scheduler: an endpoint that always fails gets few attempts")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 12; ++i) {
    fixture.AddEndpoint("e" + std::to_string(i), 8);
  }
  std::vector<Dispatch> running;
  std::size_t attemptsAtFaulty = 0;
  std::size_t handled = 0;
  for (int i = 0; i < 400; ++i) {
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
    while (handled < fixture.mDispatched.size()) {
      const Dispatch dispatch = fixture.mDispatched[handled++];
      if (dispatch.mEndpoint == "e3") {
        ++attemptsAtFaulty;
        fixture.Complete(dispatch.mId, AttemptOutcome::Failed, 1ms);
      } else {
        running.push_back(dispatch);
      }
    }
    if (running.size() > 40) {
      fixture.Complete(running.front().mId);
      running.erase(running.begin());
    }
  }
  CHECK(attemptsAtFaulty >= 1);
  CHECK(attemptsAtFaulty <= 5);
}

TEST_CASE("Scheduler: no endpoint stays ejected if the whole fleet fails")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.AddEndpoint("e" + std::to_string(i), 8);
  }
  std::size_t handled = 0;
  for (int i = 0; i < 500; ++i) {
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
    while (handled < fixture.mDispatched.size()) {
      fixture.Complete(fixture.mDispatched[handled++].mId,
                       AttemptOutcome::Failed);
    }
    fixture.Advance(5ms);
  }
  CHECK(fixture.mScheduler.Status()[0].mEjectedEndpoints == 0);
}

TEST_CASE("Scheduler: a team stays within its quota without blocking others")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 8);
  RoutingRules rules;
  rules.mVersion = 1;
  rules.mTeamSlots["north"] = 2;
  fixture.mScheduler.ApplyRules(rules);
  WorkItem north = SchedulerFixture::Item();
  north.mTeam = "north";
  WorkItem south = SchedulerFixture::Item();
  south.mTeam = "south";
  std::vector<WorkId> northIds;
  northIds.reserve(32);
  for (int i = 0; i < 32; ++i) {
    northIds.push_back(fixture.Submit(north).value());
  }
  CHECK(fixture.mDispatched.size() == 2);
  const auto refused = fixture.Submit(north);
  REQUIRE(refused.has_error());
  CHECK(refused.error().Kind() == ErrorKind::QuotaExceeded);
  REQUIRE(fixture.Submit(south).has_value());
  CHECK(fixture.mDispatched.size() == 3);
  fixture.Complete(northIds[0]);
  CHECK(fixture.mDispatched.size() == 4);
}

TEST_CASE("Scheduler: a removed endpoint gets no more work")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 1);
  fixture.AddEndpoint("e2", 1);
  const WorkId first = fixture.Submit(SchedulerFixture::Item()).value();
  const EndpointName used = fixture.mDispatched[0].mEndpoint;
  fixture.RemoveEndpoint(used);
  REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
  REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
  REQUIRE(fixture.mDispatched.size() == 2);
  CHECK(fixture.mDispatched[1].mEndpoint != used);
  CHECK(fixture.Complete(first).mNext == Completion::Final);
  CHECK(fixture.mDispatched.size() == 2);
}

TEST_CASE("Scheduler: a stalled attempt is stopped and retried")
{
  struct Row
  {
    const char* mName;
    bool mIsIdempotent;
    std::size_t mEndpoints;
    std::chrono::milliseconds mDeadlineAfter;
    std::chrono::milliseconds mElapsedTime;
    bool mHasBudget;
    bool mIsStopped;
  };
  // The estimated 95th percentile of the run times is 400 ms.
  for (const Row& row : std::vector<Row>{
         { "stalled", true, 2, 10s, 2300ms, true, true },
         { "long but not stalled", true, 2, 10s, 1700ms, true, false },
         { "not idempotent", false, 2, 10s, 2300ms, true, false },
         { "no other endpoint", true, 1, 10s, 2300ms, true, false },
         { "no time for another attempt",
           true,
           2,
           2200ms,
           2100ms,
           true,
           false },
         { "retry budget used up", true, 2, 10s, 2300ms, false, false } }) {
    SchedulerSettings settings;
    settings.mRetries.mMinTokensPerSecond = 0;
    settings.mRetries.mTokensPerFirstAttempt = row.mHasBudget ? 0.1 : 0;
    SchedulerFixture fixture(settings);
    for (std::size_t i = 0; i < row.mEndpoints; ++i) {
      fixture.AddEndpoint("e" + std::to_string(i), 1);
    }
    for (int i = 0; i < 500; ++i) {
      const WorkId id = fixture.Submit(SchedulerFixture::Item()).value();
      fixture.Complete(id, AttemptOutcome::Succeeded, 400ms);
    }
    fixture.mDispatched.clear();
    WorkItem item = SchedulerFixture::Item();
    item.mIdempotent = row.mIsIdempotent;
    const WorkId id = fixture.Submit(item, row.mDeadlineAfter).value();
    fixture.Advance(row.mElapsedTime);
    CAPTURE(row.mName);
    CHECK(fixture.mStopped.size() == (row.mIsStopped ? 1 : 0));
    CHECK(fixture.mScheduler.Status()[0].mStoppedAttempts ==
          fixture.mStopped.size());
    if (!row.mIsStopped) {
      continue;
    }
    CHECK(fixture.Complete(id, AttemptOutcome::ConnectionLost).mNext ==
          Completion::Retrying);
    fixture.Advance(200ms);
    REQUIRE(fixture.mDispatched.size() == 2);
    CHECK(fixture.mDispatched[0].mEndpoint != fixture.mDispatched[1].mEndpoint);
    // The second attempt is not stopped; it may use all the remaining time.
    fixture.Advance(5s);
    CHECK(fixture.mStopped.size() == 1);
    fixture.Complete(id);
    CHECK(fixture.mScheduler.Outstanding() == 0);
  }
}

TEST_CASE("Scheduler: refusals have the right error kind")
{
  SchedulerFixture fixture;
  const auto unknown = fixture.Submit(SchedulerFixture::Item());
  REQUIRE(unknown.has_error());
  CHECK(unknown.error().Kind() == ErrorKind::UnknownService);
  fixture.AddEndpoint("e1");
  fixture.RemoveEndpoint("e1");
  const auto empty = fixture.Submit(SchedulerFixture::Item());
  REQUIRE(empty.has_error());
  CHECK(empty.error().Kind() == ErrorKind::NoEndpoint);
  CHECK(empty.error().RetryAfter());
  fixture.AddEndpoint("e1");
  const auto late = fixture.Submit(SchedulerFixture::Item(), 50ms);
  REQUIRE(late.has_error());
  CHECK(late.error().Kind() == ErrorKind::DeadlineUnreachable);
  CHECK(late.error().RetryAfter());
  CHECK(fixture.mDispatched.empty());
  REQUIRE(fixture.mDecisions.mDecisions.size() == 3);
  CHECK(fixture.mDecisions.mDecisions[0].mChoice == "unknown-service");
  CHECK(fixture.mDecisions.mDecisions[1].mChoice == "no-endpoint");
  CHECK(fixture.mDecisions.mDecisions[2].mChoice == "deadline-unreachable");
}

TEST_CASE("Scheduler: services beyond the maximum are refused and logged")
{
  SchedulerSettings settings;
  settings.mMaxServices = 0;
  SchedulerFixture fixture(settings);
  fixture.AddEndpoint("e1");
  const auto refused = fixture.Submit(SchedulerFixture::Item());
  REQUIRE(refused.has_error());
  CHECK(refused.error().Kind() == ErrorKind::UnknownService);
  REQUIRE(fixture.mDecisions.mDecisions.size() == 2);
  CHECK(fixture.mDecisions.mDecisions[0].mChoice == "ignore");
  CHECK(fixture.mDecisions.mDecisions[1].mChoice == "unknown-service");
}

TEST_CASE("Scheduler: removing an endpoint removes its demand")
{
  testing::ManualClock clock;
  testing::FakeDecisionSink decisions;
  SlotHolder slots(clock, { "i1", "dc1", 1 }, SlotHolder::Mode::Leased);
  Scheduler scheduler(clock, slots, decisions, {});
  EndpointChange change;
  change.mEndpoint.mAnnouncement.mName = "e1";
  change.mEndpoint.mAnnouncement.mService = "booking";
  change.mEndpoint.mAnnouncement.mSlots = 8;
  scheduler.Apply(change);
  WorkItem item = SchedulerFixture::Item();
  item.mDeadline = clock.MonotonicNow() + 10s;
  REQUIRE(scheduler.Submit(
    item, [](const Dispatch&) {}, [](const Error&) {}));
  scheduler.Tick();
  const auto pool = slots.Pool({ PoolType::EndpointSlots, "e1" });
  CHECK(pool->Wanted() == 1);
  change.mKind = EndpointChange::Kind::Removed;
  scheduler.Apply(change);
  CHECK(pool->Wanted() == 0);
}

TEST_CASE("Scheduler: each start is logged with candidates and reason")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1");
  fixture.AddEndpoint("e2");
  WorkItem item = SchedulerFixture::Item();
  item.mRequestId = "r1";
  REQUIRE(fixture.Submit(item).has_value());
  REQUIRE(fixture.mDecisions.mDecisions.size() == 1);
  const Decision& decision = fixture.mDecisions.mDecisions[0];
  CHECK(decision.mRequestId == "r1");
  CHECK(decision.mStage == "pick");
  CHECK(decision.mCandidates.size() == 2);
  CHECK(decision.mChoice == fixture.mDispatched[0].mEndpoint);
  CHECK_FALSE(decision.mReason.empty());
}

TEST_CASE("Scheduler: a kind that fills the queue is evicted for other kinds")
{
  SchedulerSettings settings;
  settings.mQueue.mMaxLength = 100;
  SchedulerFixture fixture(settings);
  fixture.AddEndpoint("e1", 1);
  int flooded = 0;
  for (int i = 0; i < 1000; ++i) {
    flooded +=
      fixture.Submit(SchedulerFixture::Item("quote", 0), 1h).has_value() ? 1
                                                                         : 0;
  }
  CHECK(flooded == 101);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted +=
      fixture.Submit(SchedulerFixture::Item("confirmation", 5), 1h).has_value()
        ? 1
        : 0;
  }
  CHECK(admitted == 50);
  CHECK(fixture.mRefused == std::vector<ErrorKind>(50, ErrorKind::QueueFull));
  CHECK(fixture.mScheduler.Outstanding() == 101);
}

TEST_CASE("Scheduler: every strategy completes all work and handles slots as "
          "declared")
{
  const StrategyTraits& traits =
    AllStrategies()[GENERATE(range(std::size_t{ 0 }, std::size_t{ 5 }))];
  CAPTURE(traits.mName);
  SchedulerSettings settings;
  settings.mStrategy = traits.mStrategy;
  SchedulerFixture fixture(settings);
  fixture.AddEndpoint("e1", 2);
  fixture.AddEndpoint("e2", 2);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
  }
  CHECK(fixture.mDispatched.size() == (traits.mRespectsSlots ? 4 : 10));
  for (std::size_t i = 0; i < fixture.mDispatched.size(); ++i) {
    fixture.Complete(fixture.mDispatched[i].mId);
  }
  CHECK(fixture.mDispatched.size() == 10);
  CHECK(fixture.mScheduler.Outstanding() == 0);
  CHECK(ValueOf(kRoutingStrategyNames, traits.mName) == traits.mStrategy);
}

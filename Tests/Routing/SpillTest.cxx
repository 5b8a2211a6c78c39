#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Routing/SchedulerFixture.h"
#include "Routing/SpillPolicy.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::SchedulerFixture;

namespace {

WorkItem
SpilledItem(const KindName& aKind = "quote")
{
  WorkItem item = SchedulerFixture::Item(aKind);
  item.mIsSpilled = true;
  return item;
}

/** Submits 100 pieces of spilled work. Returns how many started; all others
 * must be refused with the right error. */
std::size_t
SubmitSpilledWork(SchedulerFixture& aFixture, const KindName& aKind = "quote")
{
  const std::size_t before = aFixture.mDispatched.size();
  for (int i = 0; i < 100; ++i) {
    const Result<WorkId> id = aFixture.Submit(SpilledItem(aKind));
    if (id.has_error()) {
      CHECK(id.error().Kind() == ErrorKind::KindCeilingReached);
      CHECK(id.error().Traits().mRan == Ran::No);
    }
  }
  return aFixture.mDispatched.size() - before;
}

}

TEST_CASE("SpillPolicy: chooses the near instance with the most room that can "
          "answer in time")
{
  const std::vector<SpillCandidate> candidates = {
    { "riga-1", "riga", "a:1", 2000us, 1 },
    { "riga-2", "riga", "a:2", 3000us, 5 },
    { "sisak-1", "sisak", "a:3", 1500us, 0 },
    { "split-1", "split", "a:4", 90000us, 50 },
  };
  struct Row
  {
    std::chrono::microseconds mTimeLeft;
    std::vector<InstanceName> mTried;
    std::string mChoice;
  };
  for (const Row& row : {
         Row{ 1s, {}, "riga-2" },
         Row{ 1s, { "riga-2" }, "riga-1" },
         Row{ 1s, { "riga-1", "riga-2" }, "split-1" },
         Row{ 50ms, { "riga-1", "riga-2" }, "" },
         Row{ 2500us, {}, "riga-1" },
         Row{ 2000us, {}, "" },
         Row{ 1s, { "riga-1", "riga-2", "split-1" }, "" },
       }) {
    const SpillChoice choice =
      SpillPolicy().Choose(candidates, row.mTimeLeft, row.mTried);
    const std::string name =
      choice.mTarget ? candidates[*choice.mTarget].mInstance : "";
    CHECK(name == row.mChoice);
    CHECK_FALSE(choice.mReason.empty());
  }
}

TEST_CASE("Spilled work: starts in at most a tenth of the slots, outside the "
          "reserves and the free quarter, while no local work waits")
{
  struct Row
  {
    std::uint32_t mSlots;
    double mReserve;
    double mCeiling;
    int mLocalWork;
    std::size_t mStarted;
  };
  // mReserve applies to quotes, the kind of the spilled work. mCeiling applies
  // to previews, the local work.
  for (const Row& row : { Row{ 40, 0, 1, 0, 4 },
                          Row{ 40, 0, 1, 28, 2 },
                          Row{ 40, 0, 1, 30, 0 },
                          Row{ 40, 0, 1, 40, 0 },
                          Row{ 40, 0.5, 1, 0, 4 },
                          Row{ 40, 0.5, 1, 18, 2 },
                          Row{ 40, 1.0, 1, 0, 0 },
                          Row{ 4, 0, 1, 0, 1 },
                          Row{ 40, 0, 1, 41, 0 },
                          Row{ 40, 0, 0.4, 16, 4 },
                          Row{ 40, 0, 0.4, 17, 0 } }) {
    SchedulerFixture fixture;
    fixture.AddEndpoint("e1", row.mSlots);
    RoutingRules rules;
    rules.mVersion = 1;
    rules.mKinds["quote"].mReserve = row.mReserve;
    rules.mKinds["preview"].mCeiling = row.mCeiling;
    fixture.mScheduler.ApplyRules(rules);
    for (int i = 0; i < row.mLocalWork; ++i) {
      REQUIRE(fixture.Submit(SchedulerFixture::Item("preview")).has_value());
    }
    CAPTURE(row.mSlots, row.mReserve, row.mLocalWork);
    CHECK(fixture.mScheduler.SpillRoom("booking") == row.mStarted);
    CHECK(SubmitSpilledWork(fixture) == row.mStarted);
    CHECK(fixture.mScheduler.SpillRoom("booking") == 0);
    CHECK(fixture.mRefused.empty());
  }
}

TEST_CASE("Spilled work: leaves local work its slots and reserves")
{
  SchedulerFixture fixture;
  fixture.AddEndpoint("e1", 40);
  RoutingRules rules;
  rules.mVersion = 1;
  rules.mKinds["quote"].mReserve = 0.5;
  fixture.mScheduler.ApplyRules(rules);
  CHECK(SubmitSpilledWork(fixture, "preview") + SubmitSpilledWork(fixture) ==
        4);
  for (int i = 0; i < 36; ++i) {
    REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
  }
  CHECK(fixture.mDispatched.size() == 40);
  // Waiting local work gets the slots that spilled work releases.
  REQUIRE(fixture.Submit(SchedulerFixture::Item()).has_value());
  fixture.Complete(fixture.mDispatched[0].mId);
  CHECK(fixture.mDispatched.size() == 41);
  CHECK(SubmitSpilledWork(fixture) == 0);
}

TEST_CASE("Spilled work: is attempted once and never waits")
{
  SchedulerFixture fixture;
  CHECK(fixture.Submit(SpilledItem()).error().Kind() ==
        ErrorKind::UnknownService);
  CHECK_FALSE(fixture.mScheduler.HasEndpoint("booking"));
  fixture.AddEndpoint("e1", 20);
  fixture.AddEndpoint("e2", 20);
  CHECK(fixture.mScheduler.HasEndpoint("booking"));
  const WorkId id = fixture.Submit(SpilledItem()).value();
  CHECK(fixture.Complete(id, AttemptOutcome::Unreachable).mNext ==
        Completion::Final);
  RoutingRules rules;
  rules.mVersion = 1;
  rules.mTeamSlots["north"] = 1;
  fixture.mScheduler.ApplyRules(rules);
  WorkItem item = SpilledItem();
  item.mTeam = "north";
  CHECK(fixture.Submit(item).has_value());
  CHECK(fixture.Submit(item).error().Kind() == ErrorKind::KindCeilingReached);
  CHECK(fixture.mScheduler.Outstanding() == 1);
  fixture.RemoveEndpoint("e1");
  fixture.RemoveEndpoint("e2");
  CHECK_FALSE(fixture.mScheduler.HasEndpoint("booking"));
}

// Each kind of evidence against each phase of a run, and out-of-date evidence.
#include <catch2/catch.hpp>

#include "Dispatch/ListOrders.h"
#include "Dispatch/RunLedger.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using std::chrono::milliseconds;

namespace {

using TimePoint = Clock::Monotonic;

constexpr RunNumber kRun = 3;
/** Lists that were requested by orders up to this one prove nothing. */
constexpr std::uint64_t kIgnoredOrder = 5;
const TaskId kTask{ "job", 0, 0, 0 };
const TimePoint kStart{ std::chrono::hours(1) };

/** \brief A worker with one run, and the ledger. */
struct LedgerFixture
{
  explicit LedgerFixture(TrackedRun aRun = {})
    : mWorker(1, ReportOf(), kStart, milliseconds(1000))
  {
    mWorker.GrantLease(kStart);
    aRun.mNumber = kRun;
    aRun.mIgnoreHoldsUpTo = kIgnoredOrder;
    mWorker.Add(kTask, aRun);
  }

  static WorkerReport ReportOf()
  {
    WorkerReport report;
    report.mBoot = { "w0", 1 };
    return report;
  }
  bool Conclude(const RunEvidence& aEvidence)
  {
    return mLedger.Conclude(mWorker, { kTask, kRun }, aEvidence).has_value();
  }
  ListEntry List(RunNumber aRun,
                 std::uint64_t aOrder,
                 WorkerTime aClock = 1000,
                 std::uint32_t aPercent = 0)
  {
    ActiveRun listed;
    listed.mRun = { kTask, aRun };
    listed.mPercent = aPercent;
    return mLedger.OnListed(mWorker, listed, aOrder, aClock, kStart);
  }

  RunLedger mLedger;
  WorkerSession mWorker;
};

TrackedRun
InPhase(RunPhase aPhase, bool aIsLocated)
{
  TrackedRun run;
  run.mPhase = aPhase;
  run.mIsLocated = aIsLocated;
  return run;
}

TrackedRun
Confirmed()
{
  TrackedRun run = InPhase(RunPhase::Stopping, true);
  run.mStopConfirmed = true;
  return run;
}

TrackedRun
Inherited()
{
  TrackedRun run = InPhase(RunPhase::Unconfirmed, false);
  run.mIsInherited = true;
  return run;
}

/** \brief A run and which evidence shows that it is over. */
struct PhaseRow
{
  const char* mName;
  TrackedRun mRun;
  bool mIsOverIfNotListed;
  bool mIsOverWithItsBoot;
  bool mIsOverIfRefused;
};

std::vector<PhaseRow>
PhaseRows()
{
  return {
    { "starting", InPhase(RunPhase::Starting, false), false, false, true },
    { "running", InPhase(RunPhase::Running, true), true, true, false },
    { "answered by another boot",
      InPhase(RunPhase::Running, false),
      true,
      false,
      true },
    { "unconfirmed",
      InPhase(RunPhase::Unconfirmed, false),
      false,
      false,
      true },
    { "stopping", InPhase(RunPhase::Stopping, true), false, true, false },
    { "stop confirmed", Confirmed(), true, true, false },
    { "inherited", Inherited(), true, false, true },
  };
}

}

TEST_CASE("Run ledger: each kind of evidence against each phase of a run")
{
  constexpr std::uint64_t kLater = kIgnoredOrder + 1;
  const TimePoint expired = kStart + milliseconds(1100);
  for (const PhaseRow& row : PhaseRows()) {
    INFO(row.mName);
    const auto isOver = [&](const RunEvidence& aEvidence) {
      return LedgerFixture(row.mRun).Conclude(aEvidence);
    };
    CHECK(isOver(RunEvidence::EndListed()));
    CHECK(isOver(RunEvidence::NotListed(kLater, true)) ==
          row.mIsOverIfNotListed);
    CHECK_FALSE(isOver(RunEvidence::NotListed(kLater, false)));
    CHECK_FALSE(isOver(RunEvidence::NotListed(kIgnoredOrder, true)));
    CHECK(isOver(RunEvidence::LeaseExpired(expired)));
    CHECK_FALSE(isOver(RunEvidence::LeaseExpired(kStart + milliseconds(1000))));
    CHECK(isOver(RunEvidence::BootOver(false)));
    CHECK(isOver(RunEvidence::BootOver(true)) == row.mIsOverWithItsBoot);
    for (const auto& [outcome, name] : kOrderOutcomeNames) {
      INFO(name);
      const bool isRefusal =
        outcome != OrderOutcome::Done && outcome != OrderOutcome::OtherBoot &&
        outcome != OrderOutcome::Unknown && outcome != OrderOutcome::Failed;
      CHECK(isOver(RunEvidence::StartRefused(outcome)) ==
            (isRefusal && row.mIsOverIfRefused));
    }
  }
}

TEST_CASE("Run ledger: evidence about another run of the task shows nothing")
{
  LedgerFixture fixture(InPhase(RunPhase::Running, true));
  for (const RunNumber other : { kRun - 1, kRun + 1 }) {
    CHECK_FALSE(fixture.mLedger.Conclude(
      fixture.mWorker, { kTask, other }, RunEvidence::EndListed()));
    CHECK_FALSE(fixture.mLedger.Conclude(
      fixture.mWorker, { kTask, other }, RunEvidence::BootOver(false)));
  }
  CHECK(fixture.mWorker.Runs().size() == 1);
}

// Guards against runs that a list brings back which is older than their end.
TEST_CASE("Run ledger: a list that was requested before a run was found over "
          "does not bring it back")
{
  LedgerFixture fixture(InPhase(RunPhase::Running, true));
  fixture.mWorker.mLists.OnSent(8);
  fixture.mWorker.mLists.OnSent(9);
  REQUIRE(fixture.Conclude(RunEvidence::EndListed()));
  fixture.mWorker.mLists.OnSent(10);
  CHECK(fixture.List(kRun, 8) == ListEntry::OutOfDate);
  CHECK(fixture.List(kRun, 9) == ListEntry::OutOfDate);
  CHECK(fixture.mWorker.Runs().empty());
  CHECK(fixture.mLedger.Counters().mEntriesOutOfDate == 2);
  CHECK(fixture.List(kRun, 10) == ListEntry::Found);
}

TEST_CASE("Run ledger: an end of a run that was not tracked makes older lists "
          "out of date")
{
  LedgerFixture fixture;
  fixture.mWorker.mLists.OnSent(8);
  const RunId other{ { "other", 0, 0, 0 }, 1 };
  CHECK_FALSE(
    fixture.mLedger.Conclude(fixture.mWorker, other, RunEvidence::EndListed()));
  ActiveRun listed;
  listed.mRun = other;
  CHECK(fixture.mLedger.OnListed(fixture.mWorker, listed, 8, 1000, kStart) ==
        ListEntry::OutOfDate);
}

TEST_CASE("Run ledger: an older list does not set the progress of a run back")
{
  LedgerFixture fixture;
  CHECK(fixture.List(kRun, 9, 2000, 50) == ListEntry::Begun);
  CHECK(fixture.List(kRun, 8, 1900, 20) == ListEntry::Known);
  CHECK(fixture.mWorker.Find(kTask)->mPercent == 50);
  CHECK(fixture.mWorker.Find(kTask)->mProgressClock == 2000);
}

TEST_CASE("Run ledger: found runs are known until they are claimed or over")
{
  LedgerFixture fixture;
  CHECK(fixture.List(kRun - 1, 8) == ListEntry::OutOfDate);
  CHECK(fixture.List(kRun + 1, 8) == ListEntry::Found);
  CHECK(fixture.mWorker.Runs().size() == 1);
  CHECK(fixture.mLedger.FoundRunsOf(kTask) == std::vector<WorkerId>{ "w0" });
  CHECK(fixture.mLedger.FoundRunsOf("job").size() == 1);
  CHECK(fixture.mLedger.FoundRunsOf("jo").empty());
  SECTION("claimed")
  {
    fixture.mLedger.Claim(kTask, "w0");
    CHECK(fixture.mWorker.Runs().size() == 1);
  }
  SECTION("over")
  {
    CHECK(fixture.mLedger.Conclude(
      fixture.mWorker, { kTask, kRun + 1 }, RunEvidence::EndListed()));
  }
  CHECK(fixture.mLedger.FoundRunsOf(kTask).empty());
}

TEST_CASE("List orders: what was found over is kept while an older list may "
          "arrive")
{
  ListOrders lists;
  const RunId run{ kTask, kRun };
  lists.NoteOver(run);
  CHECK(lists.NotedRuns() == 0);
  lists.OnSent(1);
  lists.OnSent(2);
  lists.NoteOver(run);
  lists.OnSent(3);
  lists.OnEnded(1);
  CHECK(lists.IsOutOfDate(run, 2));
  CHECK_FALSE(lists.IsOutOfDate(run, 3));
  CHECK_FALSE(lists.IsOutOfDate({ kTask, kRun + 1 }, 2));
  lists.NoteOver(run);
  lists.OnEnded(2);
  CHECK(lists.IsOutOfDate(run, 3));
  lists.OnEnded(3);
  CHECK(lists.IsOutOfDate(run, 3));
  lists.OnSent(4);
  lists.OnEnded(4);
  lists.OnSent(5);
  lists.OnEnded(5);
  CHECK(lists.NotedRuns() == 0);
}

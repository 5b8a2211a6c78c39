#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Base/DecisionLog.h"
#include "Daemon/DaemonMetrics.h"
#include "Daemon/MakeRoutingRules.h"
#include "Daemon/RoutingMetrics.h"
#include "Daemon/RoutingScheduler.h"
#include "Membership/EndpointTable.h"
#include "Rules/RuleSet.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

SchedulerSettings
QueueOfTwo()
{
  SchedulerSettings settings;
  settings.mQueue.mMaxLength = 2;
  return settings;
}

struct Fixture
{
  void Announce(const std::string& aName, std::uint32_t aSlots)
  {
    EndpointAnnouncement announcement;
    announcement.mName = aName;
    announcement.mService = "s";
    announcement.mAddress = "127.0.0.1:1";
    announcement.mSlots = aSlots;
    announcement.mConnections = 7;
    announcement.mTimeToLive = std::chrono::hours(1);
    REQUIRE(mTable.Announce(announcement).has_value());
  }

  Result<RequestScheduler::Ticket> Submit(
    const std::string& aId,
    bool aIdempotent = false,
    UrgencyLevel aUrgency = kUrgencyNormal,
    const std::string& aKind = "k")
  {
    ScheduledRequest request;
    request.mRequestId = aId;
    request.mService = "s";
    request.mKind = aKind;
    request.mTeam = "t";
    request.mIdempotent = aIdempotent;
    request.mUrgency = aUrgency;
    request.mDeadline = mClock.MonotonicNow() + std::chrono::seconds(1);
    return mScheduler.Submit(
      request,
      [this, aId](RequestScheduler::Ticket, const ScheduledAttempt& aAttempt) {
        CHECK(aAttempt.mAddress == "127.0.0.1:1");
        CHECK(aAttempt.mMaxConnections == 7);
        mSent.push_back(aId + '@' + aAttempt.mEndpoint);
      },
      [this, aId](const Error& aError) {
        mRefused.push_back(aId + ' ' + std::string(aError.Traits().mName));
      });
  }

  void Apply(RulesVersion aVersion, const std::string& aText)
  {
    const auto rules = RuleSet::FromText(aVersion, aText);
    REQUIRE(rules.has_value());
    mScheduler.ApplyRules(MakeRoutingRules(*rules.value()));
  }

  /** Advances the clock beyond the longest retry backoff. */
  void PassBackoff()
  {
    mClock.Advance(std::chrono::milliseconds(200));
    mScheduler.Tick();
  }

  std::size_t DecisionsOf(const std::string& aId, const std::string& aStage)
  {
    const std::vector<Decision> found = mDecisions.Find(aId);
    return static_cast<std::size_t>(
      std::count_if(found.begin(), found.end(), [&](const Decision& aDecision) {
        return aDecision.mStage == aStage;
      }));
  }

  static AttemptReport Report(TransferOutcome aOutcome, int aStatus = 200)
  {
    AttemptReport report;
    report.mOutcome = aOutcome;
    report.mStatus = aStatus;
    report.mElapsed = std::chrono::milliseconds(10);
    return report;
  }

  ManualClock mClock;
  EndpointTable mTable{ mClock, {}, "zagreb", 1 };
  DecisionLog mDecisions{ mClock, 1000 };
  SlotHolder mSlots{ mClock,
                     { "zagreb-1", "zagreb", 1 },
                     SlotHolder::Mode::Local };
  RoutingScheduler mScheduler{ mClock,
                               mTable,
                               mSlots,
                               mDecisions,
                               QueueOfTwo() };
  std::vector<std::string> mSent;
  std::vector<std::string> mRefused;
};

}

TEST_CASE(
  "Routing scheduler: respects the slots and sends urgent requests first")
{
  Fixture fixture;
  fixture.Announce("e", 1);
  const auto first = fixture.Submit("a");
  CHECK(fixture.Submit("b").has_value());
  CHECK(fixture.Submit("c", false, kUrgencyFirst).has_value());
  CHECK(fixture.Submit("d").error().Kind() == ErrorKind::QueueFull);
  CHECK(fixture.mSent == std::vector<std::string>{ "a@e" });
  CHECK_FALSE(fixture.mScheduler.Finish(
    first.value(), Fixture::Report(TransferOutcome::Answered)));
  CHECK(fixture.mSent == std::vector<std::string>{ "a@e", "c@e" });
  CHECK(fixture.DecisionsOf("a", "pick") == 1);
  CHECK(fixture.DecisionsOf("d", "admit") == 1);
}

TEST_CASE(
  "Routing scheduler: the outcome decides on a retry, which goes to another "
  "endpoint")
{
  struct Row
  {
    TransferOutcome mOutcome;
    int mStatus;
    bool mIdempotent;
    bool mRetried;
  };
  for (const Row& row :
       std::vector<Row>{ { TransferOutcome::Answered, 200, true, false },
                         { TransferOutcome::Answered, 404, true, false },
                         { TransferOutcome::Answered, 500, true, false },
                         { TransferOutcome::RefusedNotRun, 503, false, true },
                         { TransferOutcome::NotSent, 0, false, true },
                         { TransferOutcome::MayHaveRun, 0, false, false },
                         { TransferOutcome::MayHaveRun, 0, true, true } }) {
    CAPTURE(static_cast<int>(row.mOutcome), row.mStatus, row.mIdempotent);
    Fixture fixture;
    fixture.Announce("e", 2);
    fixture.Announce("f", 1);
    const auto ticket = fixture.Submit("a", row.mIdempotent);
    const AttemptReport report = Fixture::Report(row.mOutcome, row.mStatus);
    CHECK(fixture.mScheduler.Finish(ticket.value(), report) == row.mRetried);
    fixture.PassBackoff();
    REQUIRE(fixture.mSent.size() == (row.mRetried ? 2 : 1));
    CHECK(fixture.DecisionsOf("a", "retry") == (row.mRetried ? 1 : 0));
    if (row.mRetried) {
      CHECK(fixture.mSent[0] != fixture.mSent[1]);
      CHECK_FALSE(fixture.mScheduler.Finish(ticket.value(), report));
    }
  }
}

TEST_CASE("Routing scheduler: an abandoned attempt is not retried")
{
  Fixture fixture;
  fixture.Announce("e", 1);
  fixture.Announce("f", 1);
  const auto ticket = fixture.Submit("a", true);
  AttemptReport report = Fixture::Report(TransferOutcome::NotSent);
  report.mAbandoned = true;
  CHECK_FALSE(fixture.mScheduler.Finish(ticket.value(), report));
  fixture.PassBackoff();
  CHECK(fixture.mSent.size() == 1);
}

TEST_CASE("Routing scheduler: cancelled and expired requests are not sent")
{
  Fixture fixture;
  CHECK(fixture.Submit("n").error().Kind() == ErrorKind::UnknownService);
  fixture.Announce("e", 1);
  const auto running = fixture.Submit("a");
  const auto withdrawn = fixture.Submit("b");
  CHECK(fixture.Submit("c").has_value());
  CHECK(fixture.mScheduler.Cancel(withdrawn.value()));
  CHECK_FALSE(fixture.mScheduler.Cancel(withdrawn.value()));
  CHECK_FALSE(fixture.mScheduler.Cancel(running.value()));
  fixture.mClock.Advance(std::chrono::seconds(1));
  fixture.mScheduler.Tick();
  CHECK(fixture.mRefused ==
        std::vector<std::string>{ "c deadline-expired-in-queue" });
  fixture.mScheduler.Finish(running.value(),
                            Fixture::Report(TransferOutcome::Answered));
  CHECK(fixture.mSent.size() == 1);
}

TEST_CASE("Routing scheduler: waiting kinds of equal urgency are served by "
          "weight")
{
  struct Row
  {
    const char* mRules;
    int mLeastTurns;
    int mMostTurns;
  };
  const Row row = GENERATE(values<Row>({
    { "weight m 1 # asked by a\n", 19, 21 },
    // A kind accumulates no credit while none of its requests waits. With a
    // single request waiting at a time, a kind of weight 3 therefore gets less
    // than three quarters of the dispatches.
    { "weight m 3 # asked by a\n", 26, 31 },
  }));
  Fixture fixture;
  fixture.Announce("e", 1);
  fixture.Apply(1, row.mRules);
  std::map<std::string, RequestScheduler::Ticket> waiting;
  const auto submit = [&](const std::string& aKind) {
    waiting[aKind] =
      fixture.Submit(aKind, false, kUrgencyNormal, aKind).value();
  };
  RequestScheduler::Ticket running = fixture.Submit("first").value();
  submit("k");
  submit("m");
  int turns = 0;
  for (int i = 0; i < 40; ++i) {
    fixture.mScheduler.Finish(running,
                              Fixture::Report(TransferOutcome::Answered));
    const std::string kind = fixture.mSent.back().substr(0, 1);
    turns += kind == "m" ? 1 : 0;
    running = waiting[kind];
    submit(kind);
  }
  CAPTURE(row.mRules);
  CHECK(turns >= row.mLeastTurns);
  CHECK(turns <= row.mMostTurns);
}

TEST_CASE("Routing scheduler: a waiting retry can be cancelled")
{
  Fixture fixture;
  fixture.Announce("e", 1);
  fixture.Announce("f", 1);
  const auto ticket = fixture.Submit("a");
  CHECK(fixture.mScheduler.Finish(ticket.value(),
                                  Fixture::Report(TransferOutcome::NotSent)));
  CHECK(fixture.mScheduler.Cancel(ticket.value()));
  fixture.PassBackoff();
  CHECK(fixture.mSent.size() == 1);
  CHECK(fixture.mRefused.empty());
}

TEST_CASE(
  "Routing scheduler: uses endpoints announced before its construction, "
  "but none that has left")
{
  Fixture fixture;
  fixture.Announce("e", 1);
  RoutingScheduler later(fixture.mClock,
                         fixture.mTable,
                         fixture.mSlots,
                         fixture.mDecisions,
                         QueueOfTwo());
  CHECK(later.Status().size() == 1);
  REQUIRE(fixture.mTable.Leave("e", 0).has_value());
  CHECK(fixture.Submit("a").error().Kind() == ErrorKind::NoEndpoint);
  CHECK(fixture.mSent.empty());
}

TEST_CASE("Routing scheduler: an endpoint that answers with server errors is "
          "ejected")
{
  Fixture fixture;
  for (const char* name : { "e", "f", "g", "h" }) {
    fixture.Announce(name, 8);
  }
  for (int i = 0; i < 200; ++i) {
    const auto ticket = fixture.Submit("a");
    const bool fails = fixture.mSent.back() == "a@e";
    fixture.mScheduler.Finish(
      ticket.value(),
      Fixture::Report(TransferOutcome::Answered, fails ? 500 : 200));
    fixture.mClock.Advance(std::chrono::milliseconds(10));
    fixture.mScheduler.Tick();
  }
  CHECK(fixture.mScheduler.Status().at(0).mEjectedEndpoints == 1);
}

TEST_CASE("Routing metrics: values of services, kinds and endpoints")
{
  Fixture fixture;
  fixture.Announce("e", 1);
  CHECK(fixture.Submit("a").has_value());
  CHECK(fixture.Submit("b").has_value());
  CHECK(fixture.Submit("c").has_value());
  CHECK(fixture.Submit("d").has_error());
  RoutingMetrics routing("zagreb-1", fixture.mScheduler);
  DaemonMetrics metrics("zagreb-1");
  metrics.AddCollectable(routing);
  const std::string text = metrics.Text();
  const std::string service = "{instance=\"zagreb-1\",service=\"s\"";
  for (const std::string& line :
       { "almondspoke_service_slots" + service + "} 1\n",
         "almondspoke_service_retries_denied_total" + service + "} 0\n",
         "almondspoke_kind_waiting" + service + ",kind=\"k\"} 2\n",
         "almondspoke_kind_dispatched_total" + service + ",kind=\"k\"} 1\n",
         "almondspoke_kind_refused_total" + service + ",kind=\"k\"} 1\n",
         "almondspoke_endpoint_slots_in_use" + service + ",endpoint=\"e\"} 1\n",
         std::string("# TYPE almondspoke_kind_refused_total counter\n") }) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("Routing scheduler: applies the current rules")
{
  Fixture fixture;
  fixture.Announce("e", 4);
  fixture.Announce("f", 4);
  fixture.Apply(2,
                "never-repeat k           # asked by a\n"
                "quota        t  1 slots  # asked by b\n");
  const auto first = fixture.Submit("a", true);
  const auto second = fixture.Submit("b", true);
  CHECK(fixture.mSent.size() == 1);
  CHECK_FALSE(fixture.mScheduler.Finish(
    first.value(), Fixture::Report(TransferOutcome::MayHaveRun)));
  CHECK(fixture.mSent.size() == 2);
  // An older version is ignored.
  fixture.Apply(1, "idempotent k # asked by a\n");
  CHECK_FALSE(fixture.mScheduler.Finish(
    second.value(), Fixture::Report(TransferOutcome::MayHaveRun)));
  fixture.Apply(3, "retry k 0 # asked by c\n");
  const auto third = fixture.Submit("c", true);
  CHECK_FALSE(fixture.mScheduler.Finish(
    third.value(), Fixture::Report(TransferOutcome::NotSent)));
  fixture.Apply(4, "retry k 1 # asked by c\n");
  const auto fourth = fixture.Submit("d", true);
  CHECK(fixture.mScheduler.Finish(fourth.value(),
                                  Fixture::Report(TransferOutcome::NotSent)));
  fixture.PassBackoff();
  CHECK_FALSE(fixture.mScheduler.Finish(
    fourth.value(), Fixture::Report(TransferOutcome::NotSent)));
}

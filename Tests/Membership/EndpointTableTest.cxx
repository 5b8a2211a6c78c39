#include <catch2/catch.hpp>

#include "Membership/EndpointTable.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

EndpointAnnouncement
Runner(const EndpointName& aName,
       std::uint64_t aIncarnation = 1,
       const std::string& aAddress = "127.0.0.1:9000")
{
  EndpointAnnouncement announcement;
  announcement.mName = aName;
  announcement.mService = "booking";
  announcement.mAddress = aAddress;
  announcement.mSlots = 8;
  announcement.mConnections = 64;
  announcement.mTimeToLive = seconds(3);
  announcement.mIncarnation = aIncarnation;
  return announcement;
}

/** Two endpoint tables of one data centre that exchange their messages. */
struct TablePair
{
  testing::ManualClock mClock;
  EndpointTable mFirst{ mClock, {}, "zagreb", 1 };
  EndpointTable mSecond{ mClock, {}, "zagreb", 2 };

  void TickBoth()
  {
    mClock.Advance(milliseconds(50));
    Deliver("first", mFirst, mSecond, "second");
    Deliver("second", mSecond, mFirst, "first");
  }

  void RunFor(milliseconds aDuration)
  {
    for (milliseconds passed{ 0 }; passed < aDuration;
         passed += milliseconds(50)) {
      TickBoth();
    }
  }

private:
  static void Deliver(const InstanceName& aFromName,
                      EndpointTable& aFrom,
                      EndpointTable& aTo,
                      const InstanceName& aToName)
  {
    for (const EndpointMessage& message : aFrom.Tick()) {
      const auto decoded =
        DecodeEndpointMessage(EncodeEndpointMessage(message));
      REQUIRE(decoded.has_value());
      const auto answer = aTo.OnMessage(aFromName, decoded.value());
      if (answer) {
        const auto sync = aFrom.OnMessage(aToName, *answer);
        REQUIRE(sync);
        aTo.OnMessage(aFromName, *sync);
      }
    }
  }
};

}

TEST_CASE("EndpointTable: an announcement reaches other instances within 1 s")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(milliseconds(100));
  REQUIRE(tables.mSecond.EndpointsOf("booking").size() == 1);
  CHECK(tables.mSecond.EndpointsOf("booking")[0].mAnnouncement.mSlots == 8);
}

TEST_CASE("EndpointTable: heartbeats at one instance renew the lease at others")
{
  TablePair tables;
  for (int second = 0; second < 20; ++second) {
    REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
    tables.RunFor(seconds(1));
    REQUIRE(tables.mSecond.EndpointsOf("booking").size() == 1);
  }
  tables.RunFor(seconds(5));
  CHECK(tables.mFirst.AllEndpoints().empty());
  CHECK(tables.mSecond.AllEndpoints().empty());
}

TEST_CASE("EndpointTable: heartbeats at alternating instances renew the lease")
{
  TablePair tables;
  for (int second = 0; second < 20; ++second) {
    EndpointTable& table = second % 2 == 0 ? tables.mFirst : tables.mSecond;
    REQUIRE(table.Announce(Runner("r1")).has_value());
    tables.RunFor(seconds(1));
    CHECK(tables.mFirst.EndpointsOf("booking").size() == 1);
    CHECK(tables.mSecond.EndpointsOf("booking").size() == 1);
  }
}

TEST_CASE("EndpointTable: a leaving endpoint is unavailable at all instances")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(milliseconds(100));
  REQUIRE(tables.mSecond.Leave("r1", 1).has_value());
  CHECK(tables.mSecond.EndpointsOf("booking").empty());
  tables.RunFor(milliseconds(100));
  CHECK(tables.mFirst.EndpointsOf("booking").empty());

  SECTION("its late heartbeats do not bring it back")
  {
    REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
    CHECK(tables.mFirst.EndpointsOf("booking").empty());
    tables.RunFor(seconds(5));
    CHECK(tables.mFirst.Announce(Runner("r1")).error().Kind() ==
          ErrorKind::StaleIncarnation);
    CHECK(tables.mFirst.EndpointsOf("booking").empty());
  }
  SECTION("its next life does")
  {
    REQUIRE(tables.mFirst.Announce(Runner("r1", 2)).has_value());
    tables.RunFor(milliseconds(100));
    CHECK(tables.mSecond.EndpointsOf("booking").size() == 1);
  }
}

TEST_CASE("EndpointTable: heartbeats do not renew a leaving endpoint's lease")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(milliseconds(100));
  REQUIRE(tables.mFirst.Leave("r1", 1).has_value());
  for (int second = 0; second < 4; ++second) {
    static_cast<void>(tables.mFirst.Announce(Runner("r1")));
    tables.RunFor(seconds(1));
  }
  CHECK(tables.mFirst.AllEndpoints().empty());
  CHECK(tables.mSecond.AllEndpoints().empty());
}

TEST_CASE("EndpointTable: Leave with incarnation zero matches any start")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1", 5)).has_value());
  CHECK(tables.mFirst.Leave("r1", 4).error().Kind() ==
        ErrorKind::StaleIncarnation);
  CHECK(tables.mFirst.Leave("r1", 0).has_value());
  CHECK(tables.mFirst.EndpointsOf("booking").empty());
  CHECK(tables.mFirst.Leave("none", 0).error().Kind() == ErrorKind::NotFound);
}

TEST_CASE("EndpointTable: an expired endpoint is hidden before the next tick")
{
  testing::ManualClock clock;
  EndpointTable table(clock, {}, "zagreb", 1);
  REQUIRE(table.Announce(Runner("r1")).has_value());
  clock.Advance(seconds(3));
  CHECK(table.EndpointsOf("booking").empty());
  table.Tick();
  CHECK(table.AllEndpoints().empty());
}

TEST_CASE("EndpointTable: the higher incarnation wins in any order of arrival")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1", 5, "127.0.0.1:5")).has_value());
  CHECK(tables.mFirst.Announce(Runner("r1", 4, "127.0.0.1:9")).error().Kind() ==
        ErrorKind::StaleIncarnation);
  CHECK(tables.mFirst.Announce(Runner("r1", 5, "127.0.0.1:6")).error().Kind() ==
        ErrorKind::StaleIncarnation);
  // The other instance received the older incarnation first.
  REQUIRE(tables.mSecond.Announce(Runner("r1", 4, "127.0.0.1:9")).has_value());
  for (const EndpointMessage& message : tables.mSecond.Tick()) {
    tables.mFirst.OnMessage("second", message);
  }
  tables.RunFor(milliseconds(200));
  CHECK(tables.mFirst.EndpointsOf("booking")[0].mAnnouncement.mAddress ==
        "127.0.0.1:5");
  CHECK(tables.mSecond.EndpointsOf("booking")[0].mAnnouncement.mAddress ==
        "127.0.0.1:5");
}

TEST_CASE("EndpointTable: tables converge if one incarnation has two addresses")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1", 1, "127.0.0.1:5")).has_value());
  REQUIRE(tables.mSecond.Announce(Runner("r1", 1, "127.0.0.1:6")).has_value());
  tables.RunFor(milliseconds(200));
  CHECK(tables.mFirst.EndpointsOf("booking")[0].mAnnouncement.mAddress ==
        tables.mSecond.EndpointsOf("booking")[0].mAnnouncement.mAddress);
}

TEST_CASE("EndpointTable: the number of endpoints is limited")
{
  testing::ManualClock clock;
  EndpointTableOptions options;
  options.mMaxEndpoints = 2;
  EndpointTable table(clock, options, "zagreb", 1);
  REQUIRE(table.Announce(Runner("r1")).has_value());
  REQUIRE(table.Announce(Runner("r2")).has_value());
  CHECK(table.Announce(Runner("r3")).error().Kind() ==
        ErrorKind::TooManyEndpoints);
  CHECK(table.Announce(Runner("r1")).has_value());
}

TEST_CASE("EndpointTable: a restarted instance receives all entries")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(milliseconds(100));
  EndpointTable restarted(tables.mClock, {}, "zagreb", 3);
  const auto sync = tables.mFirst.OnMessage("second", restarted.SyncRequest());
  REQUIRE(sync);
  restarted.OnMessage("first", *sync);
  CHECK(restarted.EndpointsOf("booking").size() == 1);
}

TEST_CASE("EndpointTable: a renewal with an unknown id triggers a sync request")
{
  TablePair tables;
  const EndpointMessage renewal{
    EndpointMessageKind::Renewals, 9, {}, { 1, 2 }
  };
  const auto answer = tables.mSecond.OnMessage("first", renewal);
  REQUIRE(answer);
  CHECK(answer->mKind == EndpointMessageKind::SyncRequest);
  CHECK_FALSE(tables.mSecond.OnMessage("first", renewal));
}

TEST_CASE("EndpointTable: a pause of the own process expires no lease")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(milliseconds(100));
  tables.mClock.Advance(seconds(30));
  tables.mFirst.Tick();
  CHECK(tables.mFirst.AllEndpoints().size() == 1);
  tables.RunFor(seconds(5));
  CHECK(tables.mFirst.AllEndpoints().empty());
}

TEST_CASE("EndpointTable: an older usage report does not replace a newer one")
{
  TablePair tables;
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  REQUIRE(tables.mFirst.ReportUsage("r1", { 2.0, 100, 0, 2000 }).has_value());
  REQUIRE(tables.mFirst.ReportUsage("r1", { 9.0, 900, 0, 1000 }).has_value());
  tables.RunFor(milliseconds(100));
  const auto endpoints = tables.mSecond.EndpointsOf("booking");
  REQUIRE(endpoints.size() == 1);
  REQUIRE(endpoints[0].mUsage);
  CHECK(endpoints[0].mUsage->mCoresUsed == 2.0);
  CHECK(tables.mFirst.ReportUsage("none", {}).error().Kind() ==
        ErrorKind::NotFound);
}

TEST_CASE("EndpointTable: observers see each change once and in order")
{
  TablePair tables;
  std::vector<EndpointChange::Kind> kinds;
  tables.mSecond.Observe([&kinds](const EndpointChange& aChange) {
    kinds.push_back(aChange.mKind);
  });
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(seconds(1));
  REQUIRE(tables.mFirst.Announce(Runner("r1")).has_value());
  tables.RunFor(seconds(1));
  REQUIRE(tables.mFirst.Leave("r1", 1).has_value());
  tables.RunFor(seconds(5));
  using Kind = EndpointChange::Kind;
  CHECK(kinds ==
        std::vector<Kind>{ Kind::Added, Kind::Leaving, Kind::Removed });
}

TEST_CASE("EndpointTable: a restart replaces a leaving endpoint, and both "
          "expire")
{
  testing::ManualClock clock;
  EndpointTableOptions options;
  options.mMaxEndpoints = 2;
  EndpointTable table(clock, options, "zagreb", 1);
  std::string changes;
  table.Observe([&](const EndpointChange& aChange) {
    changes += "AULR"[static_cast<int>(aChange.mKind)];
  });
  CHECK(table.Announce(Runner("e", 2, "127.0.0.1:2")).has_value());
  CHECK(table.Announce(Runner("e", 1, "127.0.0.1:1")).error().Kind() ==
        ErrorKind::StaleIncarnation);
  CHECK(table.EndpointsOf("booking")[0].mAnnouncement.mAddress ==
        "127.0.0.1:2");
  CHECK(table.Announce(Runner("f", 1, "127.0.0.1:3")).has_value());
  CHECK(table.Announce(Runner("g", 1, "127.0.0.1:4")).error().Kind() ==
        ErrorKind::TooManyEndpoints);
  CHECK(table.Leave("e", 0).has_value());
  CHECK(table.Announce(Runner("e", 3, "127.0.0.1:5")).has_value());
  CHECK(table.EndpointsOf("booking").size() == 2);
  clock.Advance(seconds(3));
  CHECK(table.EndpointsOf("booking").empty());
  table.Tick();
  CHECK(table.AllEndpoints().empty());
  CHECK(changes == "AALURR");
}

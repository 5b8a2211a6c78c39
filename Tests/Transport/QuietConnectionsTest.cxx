#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "Transport/QuietConnections.h"

using namespace almondspoke::detail;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMaxConnections = 8;
const QuietConnections::Time kStart{ seconds(100) };

/** Fills all places; of these, one is to be kept free. */
void
Fill(QuietConnections& aQuiet)
{
  for (std::uint64_t i = 1; i <= kMaxConnections; ++i) {
    aQuiet.Add(i, {}, kStart);
  }
}

}

// Guards against silent clients that keep others in the listen queue.
TEST_CASE("Quiet connections: the quietest makes place")
{
  QuietConnections quiet(kMaxConnections);
  Fill(quiet);
  quiet.MakePlaces(kStart);
  CHECK(quiet.Displaced() == 0); // All are new.
  quiet.MakePlaces(kStart + seconds(2));
  CHECK(quiet.Displaced() == 1);
  quiet.MakePlaces(kStart + seconds(3));
  CHECK(quiet.Displaced() == 1); // It is being closed.
  quiet.Remove(1);
  quiet.Add(kMaxConnections + 1, {}, kStart + seconds(3));
  quiet.MakePlaces(kStart + seconds(3));
  CHECK(quiet.Displaced() == 2);
}

// Guards against lost answers of callers who wait for them.
TEST_CASE("Quiet connections: one whose caller waits is kept")
{
  QuietConnections quiet(kMaxConnections);
  Fill(quiet);
  for (std::uint64_t i = 1; i <= kMaxConnections; ++i) {
    quiet.BeginRequest(i);
  }
  quiet.MakePlaces(kStart + seconds(60));
  CHECK(quiet.Displaced() == 0);
  quiet.EndRequest(4, kStart + seconds(60));
  quiet.MakePlaces(kStart + seconds(60));
  CHECK(quiet.Displaced() == 0); // Its caller may send the next request.
  quiet.MakePlaces(kStart + seconds(62));
  CHECK(quiet.Displaced() == 1);
}

// Guards against a request that is lost since it arrives during the close.
TEST_CASE("Quiet connections: a request that arrives in time ends the close")
{
  QuietConnections quiet(kMaxConnections);
  Fill(quiet);
  quiet.MakePlaces(kStart + seconds(2));
  quiet.BeginRequest(1);
  quiet.MakePlaces(kStart + seconds(2));
  CHECK(quiet.Displaced() == 2); // Another one makes place.
  quiet.EndRequest(1, kStart + seconds(3));
  quiet.MakePlaces(kStart + seconds(9));
  CHECK(quiet.Displaced() == 2);
}

// Guards against a request that has been read and is lost with its connection.
TEST_CASE("Quiet connections: a request that is read keeps its connection")
{
  const auto connection = std::make_shared<ConnectionState>();
  const auto request = std::make_shared<ArrivingRequest>(
    std::make_shared<RequestMemory>(),
    connection,
    std::make_shared<ArrivalLimits>(almondspoke::RequestLimits{}));
  std::vector<ArrivingRequest::Task> posted;
  int cancels = 0;
  request->Attach(
    [&posted](ArrivingRequest::Task aTask) {
      posted.push_back(std::move(aTask));
    },
    [&cancels] { ++cancels; });
  request->Displace();
  request->Begin();
  SECTION("it arrives completely, and is answered at once")
  {
    request->Finish();
    request->ContinueDisplacement();
    REQUIRE(posted.size() == 1);
    posted.front()();
    CHECK(cancels == 0);
    CHECK_FALSE(request->TakeDisplacement());
  }
  SECTION("it does not arrive completely")
  {
    request->ContinueDisplacement();
    REQUIRE(posted.size() == 2);
    posted.back()();
    CHECK(cancels == 1);
    CHECK(request->TakeDisplacement());
  }
  SECTION("another one waits to be answered")
  {
    REQUIRE(connection->BeginRequest());
    posted.front()();
    CHECK(cancels == 0);
  }
}

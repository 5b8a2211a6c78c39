#include <catch2/catch.hpp>

#include "Base/DecisionLog.h"
#include "Support/ManualClock.h"

using namespace almondspoke;

TEST_CASE(
  "DecisionLog: Find returns the decisions about a request, oldest first")
{
  const testing::ManualClock clock;
  DecisionLog log(clock, 1600);
  log.Record({ "r1", "admit", {}, "queue", "within ceiling", 0 });
  log.Record({ "r2", "admit", {}, "queue", "within ceiling", 0 });
  log.Record({ "r1", "pick", { "a", "b" }, "b", "most free slots", 0 });

  const auto found = log.Find("r1");
  REQUIRE(found.size() == 2);
  CHECK(found[0].mStage == "admit");
  CHECK(found[1].mChoice == "b");
  CHECK(found[1].mWallMilliseconds > 0);
}

TEST_CASE("DecisionLog: a full shard discards the oldest decision")
{
  const testing::ManualClock clock;
  DecisionLog log(clock, 16);
  for (int i = 0; i < 1000; ++i) {
    log.Record({ "same", "pick", {}, std::to_string(i), "test", 0 });
  }
  const auto found = log.Find("same");
  REQUIRE(found.size() == 1);
  CHECK(found[0].mChoice == "999");
}

TEST_CASE("DecisionLog: values with special characters are quoted on one line")
{
  const Decision decision{ "a\nb", "pick", { "x", "y" }, "x y", "\"q\"", 0 };
  CHECK(FormatDecision(decision) ==
        "decision=pick id=\"a?b\" candidates=x,y choice=\"x y\" "
        "reason=\"\\\"q\\\"\"");
}

// When a slow run is stopped: both sides of each bound.
#include <catch2/catch.hpp>

#include "Dispatch/StragglerRule.h"

using namespace almondspoke::dispatch;
using namespace std::chrono_literals;
using Verdict = StragglerRule::Verdict;

namespace {

struct RuleCase
{
  const char* mName;
  StragglerRule::Run mRun;
  Verdict mVerdict;
};

}

// Guards against stops that only discard work: of runs that are slow like their
// worker, and of tasks that are long wherever they run.
TEST_CASE("Straggler rule: stops a run only if a new start ends earlier")
{
  const std::vector<RuleCase> cases = {
    // Observed, percent, since the report, expected here, elsewhere, gains.
    { "too early", { 179ms, 5, 0ms, 100ms, 100ms, 1 }, Verdict::NotSlow },
    { "observed enough", { 180ms, 5, 0ms, 100ms, 100ms, 1 }, Verdict::Stop },
    { "3 times", { 180ms, 60, 0ms, 100ms, 100ms, 1 }, Verdict::NotSlow },
    { "more, near its end",
      { 180ms, 59, 0ms, 100ms, 100ms, 1 },
      Verdict::NoGain },
    { "slow worker", { 300ms, 40, 0ms, 250ms, 100ms, 1 }, Verdict::NotSlow },
    { "done", { 900ms, 100, 0ms, 100ms, 100ms, 1 }, Verdict::NotSlow },
    { "remains 200", { 200ms, 50, 0ms, 100ms, 100ms, 1 }, Verdict::NoGain },
    { "remains 203", { 203ms, 50, 0ms, 100ms, 100ms, 1 }, Verdict::Stop },
    { "old report", { 203ms, 50, 5ms, 100ms, 100ms, 1 }, Verdict::NoGain },
    { "faster elsewhere",
      { 700ms, 47, 0ms, 500ms, 300ms, 1 },
      Verdict::NotSlow },
    { "much slower", { 700ms, 40, 0ms, 500ms, 300ms, 1 }, Verdict::Stop },
    { "long tasks", { 200ms, 25, 0ms, 100ms, 100ms, 0 }, Verdict::NoGain },
    { "half of them", { 200ms, 25, 0ms, 100ms, 100ms, 0.5 }, Verdict::NoGain },
    { "few of them", { 200ms, 25, 0ms, 100ms, 100ms, 0.8 }, Verdict::Stop },
    { "no progress", { 2000ms, 0, 0ms, 100ms, 100ms, 0.5 }, Verdict::Stop },
  };
  for (const RuleCase& row : cases) {
    INFO(row.mName);
    CHECK(StragglerRule::Judge(row.mRun) == row.mVerdict);
  }
}

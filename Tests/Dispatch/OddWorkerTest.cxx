// Reports of workers that do not exist must not disturb those that do.
#include <catch2/catch.hpp>

#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

namespace {

WorkerReport
StoredOddReport()
{
  WorkerReport odd = ScriptedLeader::ReportOf("odd");
  odd.mAddress = "10.0.0.1:99999";
  return odd;
}

}

TEST_CASE("Odd workers: a worker is registered once it has answered")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHold();
  leader.mCoordinator.OnReport(ScriptedLeader::ReportOf("w1"));
  leader.Run(milliseconds(20));
  CHECK(leader.mStored.empty());
  REQUIRE(leader.mOrders.mHolds.size() == 1);
  leader.AnswerHold();
  CHECK(leader.mStored.size() == 1);
  CHECK_FALSE(leader.mCoordinator.Workers().at("w1").IsUsable());
  leader.CompleteStores();
  CHECK(leader.mCoordinator.Workers().at("w1").IsUsable());
}

TEST_CASE("Odd workers: a new leader does not wait for one that never answered")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.mCoordinator.OnReport(ScriptedLeader::ReportOf("never"));
  leader.AnswerHold();
  CHECK(leader.mCoordinator.IsRecoveryComplete());
}

TEST_CASE("Odd workers: an entry of an earlier version is not used, and the "
          "leases of its runs are awaited")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0"), StoredOddReport() });
  CHECK(leader.mCoordinator.Workers().count("odd") == 0);
  CHECK(leader.mStored.size() == 1);
  leader.AnswerHold();
  CHECK_FALSE(leader.mCoordinator.IsRecoveryComplete());
  leader.Run(milliseconds(1100));
  CHECK(leader.mCoordinator.IsRecoveryComplete());
}

TEST_CASE("Odd workers: made-up ids push no good worker out and are bounded")
{
  constexpr std::size_t kMadeUpIds = 100'000;
  constexpr std::size_t kBound = 2001;
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0") });
  leader.AnswerHold();
  for (std::size_t i = 0; i < kMadeUpIds; ++i) {
    leader.mCoordinator.OnReport(
      ScriptedLeader::ReportOf("made-up-" + std::to_string(i)));
  }
  CHECK(leader.mCoordinator.Workers().size() <= kBound);
  CHECK(leader.mStored.empty());
  leader.Submit("job", 1, 8000);
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  CHECK(leader.mOrders.mStarts.front().mOrder.mTarget.mBoot.mId == "w0");
}

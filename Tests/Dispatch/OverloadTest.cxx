// A leader that is behind refuses new work and goes on with the rest.
#include <catch2/catch.hpp>

#include "Dispatch/OverloadDetector.h"
#include "Dispatch/ScriptedLeader.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::ScriptedLeader;
using std::chrono::milliseconds;

TEST_CASE("Overload: begins with lasting delay only and ends with a short one")
{
  struct Row
  {
    const char* mName;
    std::vector<int> mDelays;
    Overload mState;
  };
  const std::vector<Row> rows = {
    { "on time", { 0, 2, 5 }, Overload::None },
    { "one pause of seconds", { 0, 8000, 3 }, Overload::None },
    { "a pause right now", { 0, 8000 }, Overload::None },
    { "behind", { 0, 120, 130 }, Overload::Partial },
    { "far behind", { 0, 220, 300 }, Overload::Full },
    { "further behind", { 120, 130, 230, 260 }, Overload::Full },
    { "a little better", { 220, 300, 90 }, Overload::Full },
    { "over", { 220, 300, 90, 20 }, Overload::None },
  };
  for (const Row& row : rows) {
    INFO(row.mName);
    OverloadDetector detector;
    for (const int delay : row.mDelays) {
      detector.Observe(milliseconds(delay));
    }
    CHECK(NameOf(detector.State()) == NameOf(row.mState));
  }
}

TEST_CASE("Overload: new work is refused in order of urgency, with a true "
          "answer")
{
  ScriptedLeader leader;
  leader.Begin({ ScriptedLeader::ReportOf("w0", 64'000) });
  leader.AnswerHold();
  leader.Submit("before", 1, 8000);
  REQUIRE(leader.mOrders.mStarts.size() == 1);
  const auto refused = [&] {
    const auto reply = leader.mReplies.find(leader.mLastCall);
    return reply != leader.mReplies.end() &&
           reply->second.mKind == JobReplyKind::Refused &&
           reply->second.mRetryAfterMs > 0;
  };
  leader.mCoordinator.ObserveDelay(milliseconds(120));
  leader.mCoordinator.ObserveDelay(milliseconds(120));
  leader.Submit("patient", 1, 8000, "patient");
  CHECK(refused());
  leader.Submit("urgent", 1, 8000);
  CHECK_FALSE(refused());
  leader.mCoordinator.ObserveDelay(milliseconds(400));
  leader.mCoordinator.ObserveDelay(milliseconds(400));
  const std::size_t starts = leader.mOrders.mStarts.size();
  leader.Submit("late", 1, 8000);
  CHECK(refused());
  CHECK(leader.mOrders.mStarts.size() == starts);

  SECTION("a job that is known is not refused")
  {
    leader.Submit("before", 1, 8000);
    CHECK_FALSE(refused());
  }
  SECTION("a job that an earlier leader may have run is not refused")
  {
    leader.Submit("resent", 1, 8000, "urgent", 1);
    CHECK_FALSE(refused());
  }
  SECTION("control work goes on: a drained worker gets nothing more")
  {
    WorkerReport drained = ScriptedLeader::ReportOf("w0", 64'000);
    drained.mDraining = true;
    drained.mSequence = 2;
    leader.mCoordinator.OnReport(drained);
    CHECK_FALSE(leader.mCoordinator.Workers().at("w0").IsUsable());
  }
  SECTION("work is taken again once the leader has caught up")
  {
    leader.mCoordinator.ObserveDelay(milliseconds(5));
    leader.Submit("after", 1, 8000);
    CHECK_FALSE(refused());
  }
}

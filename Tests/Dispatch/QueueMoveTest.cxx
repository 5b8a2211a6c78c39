// A change of the manifest reaches jobs that were accepted before it.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"

using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kMilliCores = 20'000;
constexpr milliseconds kTaskTime{ 200 };

/** \brief A worker of the pool in which the queues begin, and two of another.
 */
class MovingQueue : public DispatchFixture
{
public:
  MovingQueue()
  {
    AddWorkers(3, kMilliCores);
    mReports[1].mPool = "other";
    mReports[2].mPool = "other";
    ChangeManifest([](Manifest& aManifest) {
      aManifest.mPools.push_back({ "other", false, 64 });
    });
    StartLeader();
    Run(milliseconds(100));
  }

  void MoveTo(const std::string& aPool)
  {
    ChangeManifest([&](Manifest& aManifest) {
      for (Queue& queue : aManifest.mQueues) {
        queue.mPool = aPool;
      }
    });
  }
  void EmptyOldPool()
  {
    mReports[0].mDraining = true;
    ReportAll();
  }

  /** A job of three steps, one task each, that takes a whole worker. */
  JobCall ThreeSteps(const std::string& aId, bool aStored)
  {
    JobCall call = CallOf("patient", aId, 1, kMilliCores, aStored);
    call.mWaitMs = 20'000;
    call.mJob.mSteps.front().mEstimateMs = kTaskTime.count();
    for (std::uint32_t step = 1; step < 3; ++step) {
      call.mJob.mSteps.push_back(call.mJob.mSteps.front());
      call.mJob.mSteps.back().mDependsOn = { step - 1 };
    }
    return call;
  }
  JobState StateOf(const std::string& aId)
  {
    JobCall query;
    query.mHost = "desk";
    query.mPath = "/patient/" + aId;
    return ReplyTo(Call(query)).value().mState;
  }
};

}

// Guards against accepted jobs that are never finished (review/12): their queue
// has moved to another pool, and the workers of the old one leave.
TEST_CASE(
  "Queue move: accepted jobs go on in the pool that their queue has now")
{
  MovingQueue fixture;
  const bool stored = GENERATE(true, false);
  CAPTURE(stored);
  fixture.Submit(fixture.ThreeSteps("j1", stored), kTaskTime);
  fixture.Run(milliseconds(50));
  REQUIRE(fixture.mFleet.RunningOn("w0") == 1);
  // Has not started, since the pool has no room for it.
  fixture.Submit(fixture.ThreeSteps("j2", true), kTaskTime);
  fixture.Run(milliseconds(50));
  SECTION("the queue moves")
  {
    fixture.MoveTo("other");
  }
  SECTION("it moves there, back and there again")
  {
    fixture.MoveTo("other");
    fixture.Run(milliseconds(20));
    fixture.MoveTo("pool");
    fixture.Run(milliseconds(20));
    fixture.MoveTo("other");
  }
  SECTION("it moves and gets another name")
  {
    fixture.ChangeManifest([](Manifest& aManifest) {
      aManifest.mQueues[1].mName = "renamed";
      aManifest.mQueues[1].mPool = "other";
    });
  }
  SECTION("it moves before a run is lost with its worker")
  {
    fixture.MoveTo("other");
    fixture.mFleet.Crash("w0");
  }
  if (stored) {
    SECTION("it moves and the leader is lost")
    {
      fixture.MoveTo("other");
      fixture.StartLeader();
    }
    SECTION("the leader is lost and it moves while the next one recovers")
    {
      fixture.StartLeader();
      fixture.MoveTo("other");
    }
  }
  fixture.EmptyOldPool();
  fixture.Run(milliseconds(4000));
  CHECK(fixture.StateOf("j1") == JobState::Completed);
  CHECK(fixture.StateOf("j2") == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

// Guards against jobs that are dropped with their queue: they were accepted.
TEST_CASE("Queue move: jobs of a dropped queue go on in its last pool")
{
  MovingQueue fixture;
  fixture.Submit(fixture.ThreeSteps("j1", true), kTaskTime);
  fixture.Run(milliseconds(50));
  fixture.ChangeManifest(
    [](Manifest& aManifest) { aManifest.mQueues.pop_back(); });
  SECTION("under the same leader") {}
  SECTION("under the next one")
  {
    fixture.StartLeader();
  }
  fixture.Run(milliseconds(3000));
  CHECK(fixture.mFleet.StartsOf("j1") == 3);
  CHECK(fixture.mGroup.mState.mJobs.at("j1").mState == JobState::Completed);
  CHECK(fixture.mFleet.Errors().empty());
}

// Guards against an order of urgency that an operator has changed and that jobs
// which wait don't follow.
TEST_CASE("Queue move: jobs that wait follow a change of their priority")
{
  MovingQueue fixture;
  fixture.Submit(fixture.ThreeSteps("first", true), kTaskTime);
  fixture.Run(milliseconds(50));
  JobCall urgent = fixture.CallOf("urgent", "urgent", 1, kMilliCores, true);
  urgent.mJob.mSteps.front().mEstimateMs = 5000;
  fixture.Submit(urgent, milliseconds(100));
  fixture.Submit(fixture.CallOf("patient", "patient", 1, kMilliCores, true),
                 milliseconds(100));
  fixture.ChangeManifest([](Manifest& aManifest) {
    aManifest.mQueues[0].mPriority = 2;
    aManifest.mQueues[1].mPriority = 0;
  });
  fixture.Run(milliseconds(260));
  CHECK(fixture.mFleet.StartsOf("patient") == 1);
  CHECK(fixture.mFleet.StartsOf("urgent") == 0);
}

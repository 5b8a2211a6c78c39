#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "Routing/SchedulerFixture.h"
#include "Routing/SlotAllocator.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::FakeDecisionSink;
using almondspoke::testing::ManualClock;
using almondspoke::testing::SchedulerFixture;

namespace {

/** \brief An instance whose scheduler gets its slots from a grantor. */
struct Instance
{
  Instance(const ManualClock& aClock,
           const InstanceName& aName,
           FakeDecisionSink& aDecisions)
    : mClock(aClock)
    , mSlots(aClock, { aName, "dc1", 1 }, SlotHolder::Mode::Leased)
    , mScheduler(aClock, mSlots, aDecisions, {})
  {
    EndpointChange change;
    change.mEndpoint.mAnnouncement.mName = "e1";
    change.mEndpoint.mAnnouncement.mService = "booking";
    change.mEndpoint.mAnnouncement.mSlots = 8;
    mScheduler.Apply(change);
  }

  void Submit(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      WorkItem item = SchedulerFixture::Item();
      item.mDeadline = mClock.MonotonicNow() + 1h;
      const auto id = mScheduler.Submit(
        item,
        [this](const Dispatch& aDispatch) {
          mRunning.push_back(aDispatch.mId);
        },
        [](const Error&) {});
      REQUIRE(id.has_value());
    }
  }

  void CompleteOne()
  {
    const WorkId id = mRunning.front();
    mRunning.erase(mRunning.begin());
    mScheduler.Complete(id, AttemptOutcome::Succeeded, 100ms);
  }

  const ManualClock& mClock;
  SlotHolder mSlots;
  Scheduler mScheduler;
  std::vector<WorkId> mRunning;
};

/** \brief Two instances and a grantor with eight slots. */
class LeasedCluster
{
public:
  LeasedCluster()
    : mGrantor(mClock, 1, {})
    , mLeft(mClock, "i1", mDecisions)
    , mRight(mClock, "i2", mDecisions)
  {
    mGrantor.SetCapacity({ PoolType::EndpointSlots, "e1" }, 8);
    mClock.Advance(3s);
  }

  /** Advances the clock, ticks the schedulers and sends the requests that are
   * due. */
  void Step()
  {
    mClock.Advance(5ms);
    for (Instance* instance : { &mLeft, &mRight }) {
      instance->mScheduler.Tick();
      if (instance->mSlots.IsRequestDue()) {
        Deliver(mGrantor.Handle(instance->mSlots.BuildRequest()));
      }
    }
    CHECK(mLeft.mRunning.size() + mRight.mRunning.size() <= 8);
  }

  void Deliver(const std::vector<SlotReply>& aReplies)
  {
    for (const SlotReply& reply : aReplies) {
      for (Instance* instance : { &mLeft, &mRight }) {
        instance->mSlots.Apply(reply);
        instance->mScheduler.Tick();
      }
    }
  }

  ManualClock mClock;
  FakeDecisionSink mDecisions;
  SlotAllocator mGrantor;
  Instance mLeft;
  Instance mRight;
};

}

TEST_CASE("Scheduler with leases: slots move to the instance with waiting work")
{
  LeasedCluster cluster;
  cluster.mLeft.Submit(100);
  for (int i = 0; i < 6; ++i) {
    cluster.Step();
  }
  CHECK(cluster.mLeft.mRunning.size() == 8);

  cluster.mRight.Submit(100);
  for (int i = 0; i < 40; ++i) {
    cluster.Step();
    cluster.mLeft.CompleteOne();
  }
  for (int i = 0; i < 6; ++i) {
    cluster.Step();
  }
  CHECK(cluster.mLeft.mRunning.size() == 4);
  CHECK(cluster.mRight.mRunning.size() == 4);
}

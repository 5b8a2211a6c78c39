#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "Routing/Scheduler.h"

using namespace almondspoke;
using namespace std::chrono_literals;

namespace {

class CountingSink : public DecisionSink
{
public:
  void Record(Decision) override { ++mCount; }

  std::atomic<std::uint64_t> mCount{ 0 };
};

EndpointChange
Change(EndpointChange::Kind aKind, const EndpointName& aName)
{
  EndpointChange change;
  change.mKind = aKind;
  change.mEndpoint.mAnnouncement.mName = aName;
  change.mEndpoint.mAnnouncement.mService = "booking";
  change.mEndpoint.mAnnouncement.mSlots = 2;
  return change;
}

/** \brief A scheduler that several threads use, with counters of accepted and
 * ended work. */
class Traffic
{
public:
  Traffic()
    : mSlots(mClock, { "i1", "dc1", 1 }, SlotHolder::Mode::Local)
    , mScheduler(mClock, mSlots, mSink, {})
  {
    for (int i = 0; i < 4; ++i) {
      mScheduler.Apply(
        Change(EndpointChange::Kind::Added, "e" + std::to_string(i)));
    }
  }

  void SubmitSome(unsigned aSeed)
  {
    constexpr int kItems = 3000;
    std::mt19937 random(aSeed);
    for (int i = 0; i < kItems; ++i) {
      WorkItem item;
      item.mService = "booking";
      item.mKind = i % 2 == 0 ? "quote" : "preview";
      item.mIdempotent = true;
      item.mDeadline = mClock.MonotonicNow() + 1h;
      const auto id = mScheduler.Submit(
        item,
        [this](const Dispatch& aDispatch) { Push(aDispatch.mId); },
        [this](const Error&) { ++mEnded; });
      if (id.has_error()) {
        continue;
      }
      ++mAccepted;
      if (random() % 4 == 0) {
        const Cancellation cancelled = mScheduler.Cancel(id.value());
        if (cancelled == Cancellation::NotStarted ||
            cancelled == Cancellation::MayHaveRun) {
          ++mEnded;
        }
      }
      CompleteOne(random);
    }
  }

  bool CompleteOne(std::mt19937& aRandom)
  {
    WorkId id = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mRunning.empty()) {
        return false;
      }
      id = mRunning.back();
      mRunning.pop_back();
    }
    const AttemptOutcome outcome =
      aRandom() % 10 == 0 ? AttemptOutcome::Refused : AttemptOutcome::Succeeded;
    if (mScheduler.Complete(id, outcome, 1ms).mNext == Completion::Final) {
      ++mEnded;
    }
    return true;
  }

  SystemClock mClock;
  CountingSink mSink;
  SlotHolder mSlots;
  Scheduler mScheduler;
  std::atomic<std::uint64_t> mAccepted{ 0 };
  std::atomic<std::uint64_t> mEnded{ 0 };

private:
  void Push(WorkId aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRunning.push_back(aId);
  }

  std::mutex mMutex;
  std::vector<WorkId> mRunning;
};

}

TEST_CASE("Scheduler with threads: all accepted work ends exactly once")
{
  Traffic traffic;
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (unsigned seed = 1; seed <= 4; ++seed) {
    threads.emplace_back([&traffic, seed] { traffic.SubmitSome(seed); });
  }
  std::thread changes([&] {
    while (!isOver) {
      traffic.mScheduler.Apply(Change(EndpointChange::Kind::Removed, "e0"));
      traffic.mScheduler.Tick();
      traffic.mScheduler.Apply(Change(EndpointChange::Kind::Added, "e0"));
      (void)traffic.mScheduler.Status();
    }
  });
  for (std::thread& thread : threads) {
    thread.join();
  }
  isOver = true;
  changes.join();
  std::mt19937 random(1);
  while (traffic.mScheduler.Outstanding() > 0) {
    traffic.mScheduler.Tick();
    traffic.CompleteOne(random);
  }
  CHECK(traffic.mAccepted > 0);
  CHECK(traffic.mEnded == traffic.mAccepted);
  CHECK(traffic.mSink.mCount > 0);
}

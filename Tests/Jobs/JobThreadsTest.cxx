#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "JobsFixture.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

/** \brief A submission group that serializes commands from several threads. */
class LockedGroup : public FakeSubmissionGroup
{
public:
  using FakeSubmissionGroup::FakeSubmissionGroup;

  void Propose(std::string aCommand, Replicator::Done aDone) override
  {
    std::string response;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      response = mState.Apply(++mIndex, aCommand);
    }
    aDone(std::move(response));
  }

private:
  std::mutex mMutex;
  LogIndex mIndex = 0;
};

/** \brief A TaskSender that answers every task from a separate thread. */
class ThreadedSender : public TaskSender
{
public:
  ThreadedSender()
    : mThread([this] { Run(); })
  {
  }

  ~ThreadedSender() override
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopping = true;
    }
    mChanged.notify_one();
    mThread.join();
  }

  void Start(TaskAttempt aAttempt, Done aDone) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mStarts[aAttempt.mAttemptId];
    mTasks.push_back(std::move(aDone));
    mChanged.notify_one();
  }

  void Stop(const EndpointName&, const std::string&) override {}
  void Checkpoint(const EndpointName&, const std::string&) override {}
  void Throttle(const EndpointName&, const std::string&) override {}

  int MaxStarts()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    int most = 0;
    for (const auto& [attempt, starts] : mStarts) {
      most = std::max(most, starts);
    }
    return most;
  }

private:
  void Run()
  {
    std::unique_lock<std::mutex> lock(mMutex);
    while (!mStopping || !mTasks.empty()) {
      mChanged.wait(lock, [this] { return mStopping || !mTasks.empty(); });
      if (mTasks.empty()) {
        return;
      }
      const Done done = std::move(mTasks.front());
      mTasks.pop_front();
      lock.unlock();
      done(FakeTaskSender::Answered(200, "done"));
      lock.lock();
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, int> mStarts;
  std::deque<Done> mTasks;
  bool mStopping = false;
  std::thread mThread;
};

/** \brief A DecisionSink that discards the decisions. */
class NullSink : public DecisionSink
{
public:
  void Record(Decision /*aDecision*/) override {}
};

}

TEST_CASE("Jobs: concurrent submissions and cancellations are all answered and "
          "start no task twice")
{
  constexpr int kThreads = 4;
  constexpr int kJobs = 200;
  const SystemClock clock;
  ExecutorLeaseSettings leases;
  leases.mDuration = std::chrono::hours(1);
  const HomeDataCentres homes("zagreb", { "zagreb" });
  LockedGroup group(clock, leases);
  FakeEndpointView endpoints;
  endpoints.Add("w1", "r1", { 4, 1000, 0 });
  endpoints.Add("w2", "r2", { 4, 1000, 0 });
  std::atomic<std::uint64_t> nextRandom{ 0 };
  const auto random = [&nextRandom] { return ++nextRandom; };
  ExecutorLease lease("a", group, clock, leases, random);
  lease.Tick();
  ClaimService claims({ { "zagreb", { &group, &lease } } }, random);
  ThreadedSender sender;
  NullSink decisions;
  const JobSettings settings;
  const FakeInstanceView instances("a");
  SlotHolder slots(clock, instances.Self(), SlotHolder::Mode::Local);
  JobRunner runner({ clock,
                     claims,
                     sender,
                     endpoints,
                     decisions,
                     slots,
                     [](const JobRequest&) { return 0; },
                     [] { return std::size_t{ 1 }; } },
                   settings,
                   1);
  FakePeerRpc::Network network;
  FakePeerRpc rpc("a", network);
  JobController controller(
    clock, homes, claims, runner, instances, rpc, settings);

  // Two threads submit each job, and also cancel some of the jobs.
  std::atomic<int> answers{ 0 };
  std::atomic<int> cancellations{ 0 };
  const auto submitAll = [&](int aThread) {
    for (int job = 0; job < kJobs; ++job) {
      const std::string key =
        "zagreb:" + std::to_string(job / 2 * 2 + aThread % 2);
      controller.Submit(key,
                        JobBody(5),
                        std::chrono::milliseconds(1000),
                        [&answers](const JobAnswer&) { ++answers; });
      if (job % 7 == 0) {
        ++cancellations;
        controller.Cancel(key, [&answers](const JobAnswer&) { ++answers; });
      }
      runner.Tick();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back(submitAll, thread);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto expected = [&] { return kThreads * kJobs + cancellations; };
  for (int round = 0; round < 60'000; ++round) {
    if (controller.IsIdle() && answers == expected()) {
      break;
    }
    runner.Tick();
    controller.Tick();
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  CHECK(controller.IsIdle());
  CHECK(answers == expected());
  CHECK(sender.MaxStarts() == 1);
  CHECK(runner.AllocatedSlots() == 0);
}

// Measures the routing policy: the cost of its calls on this machine, and the
// response times that its queue gives under a synthetic load on a virtual
// clock. Usage: measure_routing [cost|policy|all]
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "Routing/Scheduler.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace std::chrono_literals;

namespace {

constexpr int kEndpoints = 12;
constexpr std::uint32_t kSlotsOfEndpoint = 8;
constexpr double kRoundTripSeconds = 0.001;
constexpr unsigned kSeed = 7;

/** \brief Drops all decisions. */
class NullSink : public DecisionSink
{
public:
  void Record(Decision) override {}
};

EndpointChange
Announce(const EndpointName& aName, const ServiceName& aService)
{
  EndpointChange change;
  change.mEndpoint.mAnnouncement.mName = aName;
  change.mEndpoint.mAnnouncement.mService = aService;
  change.mEndpoint.mAnnouncement.mAddress = "127.0.0.1:1";
  change.mEndpoint.mAnnouncement.mSlots = kSlotsOfEndpoint;
  return change;
}

WorkItem
Item(const ServiceName& aService, Clock::Monotonic aDeadline)
{
  WorkItem item;
  item.mRequestId = "0123456789abcdef";
  item.mService = aService;
  item.mKind = "quote";
  item.mIdempotent = true;
  item.mDeadline = aDeadline;
  return item;
}

// ---- cost of calls -------------------------------------------------------

constexpr int kCalls = 200000;

/** \brief A scheduler on the machine's clock with one service a thread. */
struct CostBench
{
  explicit CostBench(int aServices)
    : mSlots(mClock, { "i1", "dc1", 1 }, SlotHolder::Mode::Local)
    , mScheduler(mClock, mSlots, mSink, {})
  {
    for (int service = 0; service < aServices; ++service) {
      for (int i = 0; i < kEndpoints; ++i) {
        const std::string name =
          "e" + std::to_string(service) + "-" + std::to_string(i);
        mScheduler.Apply(Announce(name, "s" + std::to_string(service)));
      }
    }
  }

  SystemClock mClock;
  NullSink mSink;
  SlotHolder mSlots;
  Scheduler mScheduler;
};

double
Nanoseconds(std::chrono::steady_clock::time_point aStart, int aCalls)
{
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - aStart;
  return elapsed.count() / aCalls;
}

void
SubmitAndComplete(CostBench& aBench, const ServiceName& aService)
{
  std::vector<WorkId> dispatched;
  const auto deadline = aBench.mClock.MonotonicNow() + 1h;
  for (int i = 0; i < kCalls; ++i) {
    (void)aBench.mScheduler.Submit(
      Item(aService, deadline),
      [&](const Dispatch& aDispatch) { dispatched.push_back(aDispatch.mId); },
      [](const Error&) {});
    if (!dispatched.empty()) {
      aBench.mScheduler.Complete(
        dispatched.back(), AttemptOutcome::Succeeded, 100ms);
      dispatched.pop_back();
    }
  }
}

void
MeasurePairs(int aThreads, int aServices)
{
  CostBench bench(aServices);
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aThreads));
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < aThreads; ++i) {
    threads.emplace_back([&bench, i, aServices] {
      SubmitAndComplete(bench, "s" + std::to_string(i % aServices));
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double each = Nanoseconds(start, kCalls * aThreads);
  std::printf("submit+complete, %d thread(s), %d service(s): %7.0f ns, "
              "%8.0f pairs/s\n",
              aThreads,
              aServices,
              each,
              1e9 / each);
}

void
MeasureQueue()
{
  CostBench bench(1);
  constexpr int kWaiting = 15000;
  const auto deadline = bench.mClock.MonotonicNow() + 1h;
  const auto submit = [&] {
    return bench.mScheduler.Submit(
      Item("s0", deadline), [](const Dispatch&) {}, [](const Error&) {});
  };
  for (std::uint32_t i = 0; i < kEndpoints * kSlotsOfEndpoint; ++i) {
    (void)submit();
  }
  std::vector<WorkId> ids;
  ids.reserve(kWaiting);
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kWaiting; ++i) {
    ids.push_back(submit().value());
  }
  std::printf("submit to a full fleet:  %7.0f ns\n",
              Nanoseconds(start, kWaiting));
  start = std::chrono::steady_clock::now();
  for (const WorkId id : ids) {
    bench.mScheduler.Cancel(id);
  }
  std::printf("cancel:                  %7.0f ns\n",
              Nanoseconds(start, kWaiting));
  while (submit().has_value()) {
  }
  start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    (void)submit();
  }
  std::printf("refuse:                  %7.0f ns\n",
              Nanoseconds(start, kCalls));
}

void
MeasureCost()
{
  MeasurePairs(1, 1);
  MeasurePairs(4, 1);
  MeasurePairs(4, 4);
  MeasureQueue();
}

// ---- quality of the policy -----------------------------------------------

/** \brief Load of one kind, as a share of the capacity of all slots. */
struct KindLoad
{
  const char* mKind;
  UrgencyLevel mUrgency;
  double mLoad;
};

struct Experiment
{
  const char* mName;
  std::vector<KindLoad> mKinds;
  /** Factor by which the first endpoint is slower. */
  double mSlowFactor = 1;
  /** True if the second endpoint fails everything within a millisecond. */
  bool mIsOneFailing = false;
};

struct KindResult
{
  std::uint64_t mSubmitted = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mAttempts = 0;
  std::vector<double> mRatios;
};

double
RunTime(std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> unit(0, 1);
  if (unit(aRandom) < 0.01) {
    return 2 + 3 * unit(aRandom);
  }
  return 0.05 * std::pow(20.0, unit(aRandom));
}

// Mean of RunTime().
constexpr double kMeanSeconds = 0.99 * 0.31713 + 0.01 * 3.5;

RoutingRules
Rules()
{
  RoutingRules rules;
  rules.mVersion = 1;
  rules.mKinds["quote"] = { 0.25, 0.6, 1, std::nullopt, false };
  rules.mKinds["confirmation"] = { 0.25, 0.6, 1, std::nullopt, false };
  rules.mKinds["preview"] = { 0, 0.4, 1, std::nullopt, false };
  return rules;
}

/** \brief Drives one Scheduler over 96 slots on a virtual clock. Endpoints
 * queue what is sent beyond their slots. */
class PolicyRun
{
public:
  PolicyRun(RoutingStrategy aStrategy, const Experiment& aExperiment)
    : mExperiment(aExperiment)
    , mRandom(kSeed)
    , mSlots(mClock, { "i1", "dc1", 1 }, SlotHolder::Mode::Local)
    , mScheduler(mClock, mSlots, mSink, SettingsFor(aStrategy))
    , mStart(mClock.MonotonicNow())
  {
    mScheduler.ApplyRules(Rules());
    for (int i = 0; i < kEndpoints; ++i) {
      mScheduler.Apply(Announce("e" + std::to_string(i), "booking"));
    }
  }

  std::map<std::string, KindResult> Run(double aSeconds)
  {
    for (std::size_t i = 0; i < mExperiment.mKinds.size(); ++i) {
      ScheduleArrival(i, 0);
    }
    Schedule(0, { EventType::Tick, 0, 0 });
    while (!mEvents.empty() && mEvents.begin()->first < aSeconds) {
      const auto [time, event] = *mEvents.begin();
      mEvents.erase(mEvents.begin());
      AdvanceTo(time);
      Handle(event);
    }
    return mResults;
  }

private:
  enum class EventType
  {
    Arrival,
    End,
    Tick
  };

  struct Event
  {
    EventType mType;
    std::size_t mKind;
    WorkId mId;
  };

  struct Task
  {
    std::size_t mKind = 0;
    double mArrival = 0;
    double mRunTime = 0;
    double mStart = 0;
    EndpointName mEndpoint;
    bool mIsFailing = false;
  };

  struct Runner
  {
    std::uint32_t mRunning = 0;
    std::deque<WorkId> mWaiting;
  };

  static SchedulerSettings SettingsFor(RoutingStrategy aStrategy)
  {
    SchedulerSettings settings;
    settings.mStrategy = aStrategy;
    settings.mQueue.mMaxLength = 2000;
    return settings;
  }

  double Now() const
  {
    return std::chrono::duration<double>(mClock.MonotonicNow() - mStart)
      .count();
  }

  void AdvanceTo(double aTime)
  {
    const double by = std::max(aTime - Now(), 0.0);
    mClock.Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(by)));
  }

  void Schedule(double aTime, Event aEvent) { mEvents.emplace(aTime, aEvent); }

  void ScheduleArrival(std::size_t aKind, double aNow)
  {
    const double load = mExperiment.mKinds[aKind].mLoad;
    if (load <= 0) {
      return;
    }
    const double rate = load * kEndpoints * kSlotsOfEndpoint / kMeanSeconds;
    std::exponential_distribution<double> gap(rate);
    Schedule(aNow + gap(mRandom), { EventType::Arrival, aKind, 0 });
  }

  void Handle(const Event& aEvent)
  {
    constexpr double kTickSeconds = 0.005;
    switch (aEvent.mType) {
      case EventType::Arrival:
        Arrive(aEvent.mKind);
        ScheduleArrival(aEvent.mKind, Now());
        break;
      case EventType::End:
        End(aEvent.mId);
        break;
      case EventType::Tick:
        mScheduler.Tick();
        Schedule(Now() + kTickSeconds, aEvent);
        break;
    }
    StartDispatched();
  }

  void Arrive(std::size_t aKind)
  {
    const KindLoad& load = mExperiment.mKinds[aKind];
    WorkItem item = Item("booking", mClock.MonotonicNow() + 10s);
    item.mRequestId.clear();
    item.mKind = load.mKind;
    item.mUrgency = load.mUrgency;
    Task task;
    task.mKind = aKind;
    task.mArrival = Now();
    task.mRunTime = RunTime(mRandom);
    ++mResults[load.mKind].mSubmitted;
    const auto submitted = mScheduler.Submit(
      item,
      [this, task](const Dispatch& aDispatch) {
        Task started = task;
        started.mEndpoint = aDispatch.mEndpoint;
        mTasks[aDispatch.mId] = started;
        mDispatched.emplace_back(aDispatch.mId, aDispatch.mEndpoint);
      },
      [](const Error&) {});
    (void)submitted;
  }

  void StartDispatched()
  {
    for (const auto& [id, endpoint] : mDispatched) {
      Runner& runner = mRunners[endpoint];
      if (runner.mRunning < kSlotsOfEndpoint) {
        Start(id, runner);
      } else {
        runner.mWaiting.push_back(id);
      }
    }
    mDispatched.clear();
  }

  void Start(WorkId aId, Runner& aRunner)
  {
    ++aRunner.mRunning;
    Task& task = mTasks[aId];
    task.mStart = Now();
    task.mIsFailing = mExperiment.mIsOneFailing && task.mEndpoint == "e1";
    const double factor =
      task.mEndpoint == "e0" ? mExperiment.mSlowFactor : 1.0;
    const double runTime = task.mIsFailing ? 0 : factor * task.mRunTime;
    ++mResults[mExperiment.mKinds[task.mKind].mKind].mAttempts;
    Schedule(Now() + runTime + kRoundTripSeconds,
             { EventType::End, task.mKind, aId });
  }

  void End(WorkId aId)
  {
    const Task task = mTasks[aId];
    const double elapsed = Now() - task.mStart;
    mScheduler.Complete(
      aId,
      task.mIsFailing ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
      std::chrono::microseconds(static_cast<std::int64_t>(elapsed * 1e6)));
    if (!task.mIsFailing) {
      KindResult& result = mResults[mExperiment.mKinds[task.mKind].mKind];
      ++result.mCompleted;
      result.mRatios.push_back((Now() - task.mArrival) /
                               (task.mRunTime + kRoundTripSeconds));
    }
    Runner& runner = mRunners[task.mEndpoint];
    --runner.mRunning;
    if (!runner.mWaiting.empty()) {
      const WorkId next = runner.mWaiting.front();
      runner.mWaiting.pop_front();
      Start(next, runner);
    }
  }

  const Experiment mExperiment;
  std::mt19937_64 mRandom;
  testing::ManualClock mClock;
  NullSink mSink;
  SlotHolder mSlots;
  Scheduler mScheduler;
  const Clock::Monotonic mStart;
  std::multimap<double, Event> mEvents;
  std::map<WorkId, Task> mTasks;
  std::map<EndpointName, Runner> mRunners;
  std::vector<std::pair<WorkId, EndpointName>> mDispatched;
  std::map<std::string, KindResult> mResults;
};

double
Quantile(std::vector<double>& aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

std::vector<Experiment>
Experiments()
{
  const auto mix = [](const char* aName, double aLoad) {
    return Experiment{ aName,
                       { { "quote", 0, 0.3 * aLoad },
                         { "confirmation", 1, 0.3 * aLoad },
                         { "preview", 3, 0.4 * aLoad } },
                       1,
                       false };
  };
  const auto flood = [](const char* aName, double aQuote, double aPreview) {
    return Experiment{ aName,
                       { { "quote", 0, aQuote },
                         { "confirmation", 1, 0.2 },
                         { "preview", 3, aPreview } },
                       1,
                       false };
  };
  Experiment slow = mix("slow, 70%", 0.7);
  slow.mSlowFactor = 3;
  Experiment slowAndFull = mix("slow, 90%", 0.9);
  slowAndFull.mSlowFactor = 3;
  Experiment failing = mix("failing, 70%", 0.7);
  failing.mIsOneFailing = true;
  return { slow,
           slowAndFull,
           failing,
           mix("load 50%", 0.5),
           mix("load 80%", 0.8),
           mix("load 95%", 0.95),
           mix("load 110%", 1.1),
           flood("no flood", 0.2, 0.1),
           flood("previews 3x", 0.2, 3),
           flood("previews 10x", 0.2, 10),
           flood("quotes 3x", 3, 0.1),
           flood("quotes 10x", 10, 0.1) };
}

void
MeasurePolicy()
{
  constexpr double kSeconds = 200;
  std::printf("%-14s %-13s %-13s %8s %8s %8s %9s %9s\n",
              "experiment",
              "strategy",
              "kind",
              "median",
              "p99",
              "p99.9",
              "completed",
              "attempts");
  for (const Experiment& experiment : Experiments()) {
    for (const StrategyTraits& strategy : AllStrategies()) {
      PolicyRun run(strategy.mStrategy, experiment);
      for (auto& [kind, result] : run.Run(kSeconds)) {
        std::printf("%-14s %-13s %-13s %8.2f %8.2f %8.2f %8.1f%% %9.4f\n",
                    experiment.mName,
                    std::string(strategy.mName).c_str(),
                    kind.c_str(),
                    Quantile(result.mRatios, 0.5),
                    Quantile(result.mRatios, 0.99),
                    Quantile(result.mRatios, 0.999),
                    100.0 * static_cast<double>(result.mCompleted) /
                      static_cast<double>(result.mSubmitted),
                    static_cast<double>(result.mAttempts) /
                      static_cast<double>(result.mCompleted));
      }
    }
  }
}

}

int
main(int aCount, char** aArguments)
{
  const std::string_view what = aCount > 1 ? aArguments[1] : "all";
  const bool isAll = what == "all";
  if (!isAll && what != "cost" && what != "policy") {
    std::fprintf(stderr,
                 "measure_routing: unknown argument '%s' (allowed: cost, "
                 "policy, all)\n",
                 aArguments[1]);
    return 2;
  }
  if (isAll || what == "cost") {
    MeasureCost();
  }
  if (isAll || what == "policy") {
    MeasurePolicy();
  }
  return 0;
}

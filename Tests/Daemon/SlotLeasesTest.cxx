#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "Base/MessagePack.h"
#include "Daemon/MakeRoutingRules.h"
#include "Daemon/SlotLeases.h"
#include "Membership/EndpointTable.h"
#include "Routing/SlotHolder.h"
#include "Routing/SlotMessages.h"
#include "Rules/RuleSet.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::ManualClock;

namespace {

const PoolId kRunnerPool{ PoolType::EndpointSlots, "e1" };
const PoolId kTeamPool{ PoolType::TeamSlots, "north" };
constexpr std::uint32_t kSlots = 8;
constexpr auto kTickInterval = 5ms;
constexpr auto kLeaseDuration = 3000ms;
constexpr auto kInFlightGrace = 1000ms;
constexpr auto kFallbackDelay = 4000ms;

/** \brief Delivers the queued frames in order when Pump() is called. */
class ManualNetwork
{
public:
  class Transport : public PeerTransport
  {
  public:
    Transport(ManualNetwork& aNetwork, InstanceName aName)
      : mNetwork(aNetwork)
      , mName(std::move(aName))
    {
    }
    void Send(const InstanceName& aTo, PeerFrame aFrame) override
    {
      mNetwork.mFrames.push_back({ mName, aTo, std::move(aFrame) });
    }
    void Subscribe(PeerChannel aChannel, Handler aHandler) override
    {
      REQUIRE(aChannel == PeerChannel::SlotLeases);
      mNetwork.mHandlers[mName] = std::move(aHandler);
    }

  private:
    ManualNetwork& mNetwork;
    const InstanceName mName;
  };

  void Pump()
  {
    while (!mFrames.empty()) {
      const Sent sent = std::move(mFrames.front());
      mFrames.pop_front();
      const auto handler = mHandlers.find(sent.mTo);
      if (handler != mHandlers.end() && mIsolated.count(sent.mFrom) == 0 &&
          mIsolated.count(sent.mTo) == 0) {
        handler->second(sent.mFrom, sent.mFrame);
      }
    }
  }

  std::set<InstanceName> mIsolated;
  std::map<InstanceName, PeerTransport::Handler> mHandlers;

private:
  struct Sent
  {
    InstanceName mFrom;
    InstanceName mTo;
    PeerFrame mFrame;
  };
  std::deque<Sent> mFrames;
};

/** \brief One instance with its slot holder and slot leases. */
struct Instance
{
  Instance(ManualClock& aClock,
           ManualNetwork& aNetwork,
           const InstanceName& aName,
           std::uint64_t aIncarnation)
    : mName(aName)
    , mTransport(aNetwork, aName)
    , mTable(aClock, {}, "dc1", 1)
    , mHolder(aClock, { aName, "dc1", aIncarnation }, SlotHolder::Mode::Leased)
    , mPool(mHolder.Pool(kRunnerPool))
    , mTeamPool(mHolder.Pool(kTeamPool))
    , mLeases({ aClock,
                { aName, "dc1", aIncarnation },
                mTransport,
                mTable,
                mHolder,
                { "i0", "i1" },
                [this] { return mGrantor; },
                [this] { return mSharers; },
                [this] { ++mChanges; } })
  {
    Announce(kSlots);
  }

  void Announce(std::uint32_t aSlots)
  {
    EndpointAnnouncement announcement;
    announcement.mName = "e1";
    announcement.mService = "s";
    announcement.mAddress = "127.0.0.1:1";
    announcement.mSlots = aSlots;
    announcement.mTimeToLive = std::chrono::hours(1);
    REQUIRE(mTable.Announce(announcement).has_value());
    mHolder.SetCapacity(kRunnerPool, aSlots);
  }

  std::uint32_t Usable() const
  {
    return mHolder.IsLeaseValid() ? mPool->Granted() : 0;
  }

  const InstanceName mName;
  ManualNetwork::Transport mTransport;
  EndpointTable mTable;
  SlotHolder mHolder;
  std::shared_ptr<SlotPool> mPool;
  std::shared_ptr<SlotPool> mTeamPool;
  std::optional<SlotGrantor> mGrantor;
  std::uint32_t mSharers = 3;
  int mChanges = 0;
  SlotLeases mLeases;
  bool mIsWorking = true;
};

/** \brief Three instances that start as many attempts as they may on one runner
 * of 8 slots. */
class Cluster
{
public:
  explicit Cluster(std::chrono::milliseconds aMaxRunTime, unsigned aSeed = 1)
    : mMaxRunTime(aMaxRunTime)
    , mRandom(aSeed)
  {
    for (int i = 0; i < 3; ++i) {
      Start(i);
    }
  }

  /** Starts or restarts an instance; the attempts that it had sent before
   * continue. */
  void Start(int aIndex)
  {
    Stop(aIndex);
    const InstanceName name = "i" + std::to_string(aIndex);
    mInstances[aIndex] =
      std::make_unique<Instance>(mClock, mNetwork, name, ++mIncarnation);
    Instance& instance = *mInstances[aIndex];
    instance.mHolder.AddWanted(kRunnerPool, kSlots);
    instance.mHolder.AddWanted(kTeamPool, kSlots);
    SetViews();
  }

  /** Stops an instance; the runner continues the attempts that it had sent. */
  void Stop(int aIndex)
  {
    mNetwork.mHandlers.erase("i" + std::to_string(aIndex));
    mInstances.erase(aIndex);
    for (Attempt& attempt : mRunning) {
      attempt.mIsOrphaned = attempt.mIsOrphaned || attempt.mInstance == aIndex;
    }
  }

  /** Makes an instance the leader of the next term; with -1 there is no
   * leader. */
  void Elect(int aLeader)
  {
    mLeader = aLeader;
    mTerm += aLeader >= 0 ? 1 : 0;
    SetViews();
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (auto passed = 0ms; passed < aTime; passed += kTickInterval) {
      Step();
    }
  }

  void Isolate(int aIndex)
  {
    mNetwork.mIsolated.insert("i" + std::to_string(aIndex));
  }
  void Reconnect() { mNetwork.mIsolated.clear(); }

  std::uint32_t Usable() const
  {
    std::uint32_t usable = 0;
    for (const auto& [index, instance] : mInstances) {
      usable += instance->Usable();
    }
    return usable;
  }

  ManualClock mClock;
  ManualNetwork mNetwork;
  std::map<int, std::unique_ptr<Instance>> mInstances;
  /** Maximum numbers of attempts at the runner and of usable slots. */
  std::size_t mMostRunning = 0;
  std::uint32_t mMostUsable = 0;
  std::uint64_t mStarts = 0;
  /** Index of the instance that does not know the leader; -1 for none. */
  int mIndexWithoutReplica = -1;

private:
  struct Attempt
  {
    int mInstance;
    Clock::Monotonic mEnd;
    bool mIsOrphaned = false;
  };

  void SetViews()
  {
    for (const auto& [index, instance] : mInstances) {
      instance->mGrantor = std::nullopt;
      if (mLeader >= 0 && index != mIndexWithoutReplica) {
        instance->mGrantor =
          SlotGrantor{ "i" + std::to_string(mLeader), mTerm, index == mLeader };
      }
    }
  }

  void EndAttempts()
  {
    const auto now = mClock.MonotonicNow();
    for (auto attempt = mRunning.begin(); attempt != mRunning.end();) {
      if (attempt->mEnd > now) {
        ++attempt;
        continue;
      }
      if (!attempt->mIsOrphaned) {
        Instance& instance = *mInstances.at(attempt->mInstance);
        if (instance.mPool->Release()) {
          instance.mHolder.RecordReturnedSlot(kRunnerPool);
        }
      }
      attempt = mRunning.erase(attempt);
    }
  }

  void StartAttempts(int aIndex, Instance& aInstance)
  {
    const auto now = mClock.MonotonicNow();
    while (aInstance.mIsWorking && aInstance.mPool->TryAcquire(now)) {
      std::uniform_int_distribution<std::int64_t> runTime(50,
                                                          mMaxRunTime.count());
      mRunning.push_back(
        { aIndex, now + std::chrono::milliseconds(runTime(mRandom)) });
      ++mStarts;
    }
  }

  void Step()
  {
    mClock.Advance(kTickInterval);
    EndAttempts();
    for (const auto& [index, instance] : mInstances) {
      instance->mLeases.Tick();
    }
    mNetwork.Pump();
    for (const auto& [index, instance] : mInstances) {
      StartAttempts(index, *instance);
    }
    mMostRunning = std::max(mMostRunning, mRunning.size());
    mMostUsable = std::max(mMostUsable, Usable());
  }

  const std::chrono::milliseconds mMaxRunTime;
  std::mt19937 mRandom;
  std::uint64_t mIncarnation = 0;
  int mLeader = -1;
  Term mTerm = 0;
  std::vector<Attempt> mRunning;
};

}

TEST_CASE("Slot leases: holders find the grantor and use all 8 slots")
{
  Cluster cluster(1000ms);
  cluster.Run(500ms);
  CHECK(cluster.mStarts == 0);
  cluster.Elect(0);
  cluster.Run(kLeaseDuration - 100ms);
  CHECK(cluster.mStarts == 0);
  cluster.Run(2s);
  CHECK(cluster.Usable() == kSlots);
  CHECK(cluster.mMostRunning == kSlots);
  for (const auto& [index, instance] : cluster.mInstances) {
    CHECK(instance->Usable() >= 2);
    CHECK(instance->mChanges > 0);
  }
}

TEST_CASE("Slot leases: an instance without a replica finds each grantor")
{
  Cluster cluster(1000ms);
  cluster.mIndexWithoutReplica = 2;
  for (const int leader : { 0, 1, 0 }) {
    cluster.Elect(leader);
    cluster.Run(kLeaseDuration + kInFlightGrace + 2s);
    CHECK(cluster.mInstances.at(2)->Usable() >= 2);
    CHECK(cluster.Usable() == kSlots);
  }
  cluster.Stop(0);
  cluster.Elect(1);
  cluster.Run(kLeaseDuration + kInFlightGrace + 2s);
  CHECK(cluster.mInstances.at(2)->Usable() >= 3);
  CHECK(cluster.mMostRunning == kSlots);
}

TEST_CASE("Slot leases: slots follow demand between instances")
{
  Cluster cluster(300ms);
  cluster.Elect(1);
  cluster.Run(kLeaseDuration + 1s);
  for (const int index : { 0, 1 }) {
    Instance& instance = *cluster.mInstances.at(index);
    instance.mIsWorking = false;
    instance.mHolder.AddWanted(kRunnerPool, -static_cast<int>(kSlots));
  }
  cluster.Run(2s);
  CHECK(cluster.mInstances.at(2)->mPool->InUse() == kSlots);
  CHECK(cluster.mMostRunning == kSlots);
}

TEST_CASE("Slot leases: the runner never gets more attempts than its slots")
{
  struct Row
  {
    std::string mName;
    void (*mDisturb)(Cluster& aCluster, int aRound);
  };
  const std::vector<Row> rows = {
    { "the grantor changes",
      [](Cluster& aCluster, int aRound) { aCluster.Elect(aRound % 3); } },
    { "no grantor for a while, then another",
      [](Cluster& aCluster, int aRound) {
        aCluster.Elect(-1);
        aCluster.Run(std::chrono::milliseconds(aRound * 500));
        aCluster.Elect(aRound % 3);
      } },
    { "an instance dies and restarts",
      [](Cluster& aCluster, int aRound) {
        aCluster.Stop(1 + aRound % 2);
        aCluster.Run(std::chrono::milliseconds(aRound * 700));
        aCluster.Start(1 + aRound % 2);
      } },
    { "the grantor dies and another is elected",
      [](Cluster& aCluster, int aRound) {
        aCluster.Stop(aRound % 3);
        aCluster.Run(std::chrono::milliseconds(aRound * 300));
        aCluster.Elect((aRound + 1) % 3);
        aCluster.Run(1s);
        aCluster.Start(aRound % 3);
      } },
    { "instances lose their connections repeatedly",
      [](Cluster& aCluster, int aRound) {
        for (int i = 0; i < 20; ++i) {
          aCluster.Isolate(i % 3);
          aCluster.Run(std::chrono::milliseconds(100 + 37 * aRound));
          aCluster.Reconnect();
          aCluster.Run(50ms);
        }
      } },
    { "an instance is cut off for longer than a lease",
      [](Cluster& aCluster, int aRound) {
        aCluster.Isolate(aRound % 3);
        aCluster.Run(kLeaseDuration + kInFlightGrace + 500ms);
        aCluster.Reconnect();
      } },
  };
  for (const Row& row : rows) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      CAPTURE(row.mName, seed);
      Cluster cluster(1000ms, seed);
      cluster.Elect(0);
      cluster.Run(kLeaseDuration + 1s);
      for (int round = 1; round <= 6; ++round) {
        row.mDisturb(cluster, round);
        cluster.Run(2s);
      }
      REQUIRE(cluster.mMostUsable <= kSlots);
      REQUIRE(cluster.mMostRunning <= kSlots);
      cluster.Run(kLeaseDuration + kInFlightGrace + 3s);
      CHECK(cluster.Usable() == kSlots);
      CHECK(cluster.mMostRunning == kSlots);
    }
  }
}

TEST_CASE("Slot leases: without a grantor each instance uses its share")
{
  Cluster cluster(1000ms);
  cluster.Elect(0);
  cluster.Run(kLeaseDuration + 1s);
  cluster.Elect(-1);
  // The last renewal was up to one second ago.
  cluster.Run(kLeaseDuration * 9 / 10 - 1s + kFallbackDelay - 100ms);
  CHECK(cluster.Usable() == 0);
  cluster.Run(1s + 300ms);
  for (const auto& [index, instance] : cluster.mInstances) {
    CHECK(instance->Usable() == 2);
    CHECK(instance->mPool->InUse() == 2);
  }
  // A new grantor takes these shares into account before it grants any slot.
  cluster.Elect(1);
  cluster.Run(kLeaseDuration + 2s);
  CHECK(cluster.Usable() == kSlots);
  CHECK(cluster.mMostRunning == kSlots);
}

TEST_CASE("Slot leases: the only instance that has not left uses all slots")
{
  Cluster cluster(1000ms);
  cluster.Elect(0);
  cluster.Run(kLeaseDuration + 1s);
  cluster.Stop(0);
  cluster.Stop(1);
  cluster.Elect(-1);
  Instance& last = *cluster.mInstances.at(2);
  last.mSharers = 1;
  cluster.Run(500ms);
  CHECK(last.Usable() == kSlots);
  // Another one starts, and the two elect a grantor.
  last.mSharers = 2;
  cluster.Start(1);
  cluster.Elect(1);
  cluster.Run(kLeaseDuration + 2s);
  CHECK(cluster.Usable() == kSlots);
  CHECK(cluster.mInstances.at(1)->Usable() == kSlots / 2);
  CHECK(last.Usable() == kSlots / 2);
}

TEST_CASE(
  "Slot leases: an instance isolated from the grantor exceeds the slots "
  "by at most its share")
{
  for (const int cutOff : { 0, 2 }) {
    CAPTURE(cutOff);
    Cluster cluster(1000ms);
    cluster.Elect(0);
    cluster.Run(kLeaseDuration + 1s);
    cluster.Isolate(cutOff);
    if (cutOff == 0) {
      cluster.Elect(1);
    }
    cluster.Run(kLeaseDuration + kFallbackDelay + 2s);
    CHECK(cluster.mInstances.at(cutOff)->Usable() == 2);
    CHECK(cluster.mMostRunning <= kSlots + 2);
    cluster.Reconnect();
    cluster.Run(kLeaseDuration + 2s);
    cluster.mMostRunning = 0;
    cluster.Run(2s);
    CHECK(cluster.Usable() == kSlots);
    CHECK(cluster.mMostRunning == kSlots);
  }
}

TEST_CASE("Slot leases: the slots of a failed instance are reused after its "
          "lease and the grace period for its attempts")
{
  Cluster cluster(1000ms);
  cluster.Elect(0);
  cluster.Run(kLeaseDuration + 1s);
  cluster.Stop(2);
  cluster.Run(kLeaseDuration - 1s);
  CHECK(cluster.Usable() < kSlots);
  cluster.Run(kInFlightGrace + 1s + 200ms);
  CHECK(cluster.Usable() == kSlots);
  CHECK(cluster.mMostRunning == kSlots);
}

TEST_CASE("Slot leases: attempts longer than the grace period exceed the slots "
          "by at most the number that the failed instance had in use")
{
  Cluster cluster(10000ms);
  cluster.Elect(0);
  cluster.Run(kLeaseDuration + 1s);
  const std::uint32_t lost = cluster.mInstances.at(2)->mPool->InUse();
  cluster.Stop(2);
  cluster.Run(kLeaseDuration + kInFlightGrace + 1s);
  CHECK(cluster.mMostUsable <= kSlots);
  CHECK(cluster.mMostRunning <= kSlots + lost);
}

TEST_CASE("Slot leases: quotas of teams and changed endpoints reach all "
          "instances")
{
  Cluster cluster(1000ms);
  const auto apply = [&](RulesVersion aVersion, const std::string& aText) {
    const auto rules = RuleSet::FromText(aVersion, aText);
    REQUIRE(rules.has_value());
    for (const auto& [index, instance] : cluster.mInstances) {
      instance->mLeases.ApplyRules(MakeRoutingRules(*rules.value()));
    }
  };
  const auto teamSlots = [&] {
    std::uint32_t slots = 0;
    for (const auto& [index, instance] : cluster.mInstances) {
      slots += instance->mTeamPool->Granted();
    }
    return slots;
  };
  apply(2, "quota north 5 slots # asked by the crew lead\n");
  cluster.Elect(0);
  cluster.Run(kLeaseDuration + 1s);
  CHECK(teamSlots() == 5);
  apply(1, "quota north 3 slots # an older version\n");
  cluster.Run(1s);
  CHECK(teamSlots() == 5);
  apply(3, "quota north 2 slots # asked by the crew lead\n");
  cluster.Run(2s);
  CHECK(teamSlots() == 2);
  apply(4, "quota south 2 slots # asked by the crew lead\n");
  cluster.Run(2s);
  CHECK(teamSlots() == 0);

  for (const auto& [index, instance] : cluster.mInstances) {
    instance->Announce(kSlots / 2);
  }
  cluster.Run(3s);
  CHECK(cluster.Usable() == kSlots / 2);
  for (const auto& [index, instance] : cluster.mInstances) {
    REQUIRE(instance->mTable.Leave("e1", 0).has_value());
  }
  cluster.Run(3s);
  CHECK(cluster.Usable() == 0);
}

TEST_CASE("Slot leases: malformed and forged frames are ignored")
{
  Cluster cluster(1000ms);
  cluster.Elect(0);
  cluster.Run(kLeaseDuration + 1s);
  const auto& handler = cluster.mNetwork.mHandlers.at("i0");
  for (const std::string& payload :
       { std::string(), std::string("\xc1"), std::string(1000, '\x91') }) {
    handler("i1", { PeerChannel::SlotLeases, 0, payload });
  }
  // A request of a newer incarnation would end the lease of i1, but i9 may not
  // send one in the name of i1.
  SlotHolder later(
    cluster.mClock, { "i1", "dc1", 1000 }, SlotHolder::Mode::Leased);
  const std::pair<SlotRequest, std::optional<SlotReply>> forged{
    later.BuildRequest(), std::nullopt
  };
  handler("i9", { PeerChannel::SlotLeases, 0, PackMessage(forged) });
  cluster.Run(kLeaseDuration + 1s);
  CHECK(cluster.mInstances.at(1)->Usable() > 0);
  CHECK(cluster.mMostUsable == kSlots);
}

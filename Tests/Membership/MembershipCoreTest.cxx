#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "Membership/MembershipCore.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kTickPeriod{ 50 };

/** In-memory network between cores that can cut links, lose messages and pause
 * instances. */
class SimulatedNetwork
{
public:
  explicit SimulatedNetwork(int aInstances, std::uint32_t aSeed = 1)
    : mRandom(aSeed)
  {
    for (int i = 0; i < aInstances; ++i) {
      mSeeds.push_back({ "i" + std::to_string(i), "zagreb", 0 });
    }
    for (const InstanceIdentity& seed : mSeeds) {
      Restart(seed.mName);
    }
  }

  void Restart(const InstanceName& aName)
  {
    mCores[aName] =
      std::make_unique<MembershipCore>(MembershipOptions(),
                                       InstanceIdentity{ aName, "zagreb", 0 },
                                       mSeeds,
                                       mRandom());
  }

  void Stop(const InstanceName& aName) { mCores.erase(aName); }

  MembershipCore& Core(const InstanceName& aName) { return *mCores.at(aName); }

  void RunFor(milliseconds aDuration)
  {
    for (milliseconds passed{ 0 }; passed < aDuration; passed += kTickPeriod) {
      mClock.Advance(kTickPeriod);
      for (auto& [name, core] : mCores) {
        if (mPaused.count(name) == 0) {
          core->Tick(mClock.MonotonicNow());
        }
      }
      DeliverAll();
    }
  }

  InstanceHealth HealthAt(const InstanceName& aObserver,
                          const InstanceName& aSubject)
  {
    for (const InstanceStatus& status : Core(aObserver).Instances()) {
      if (status.mIdentity.mName == aSubject) {
        return status.mHealth;
      }
    }
    FAIL("no record of " << aSubject);
    return InstanceHealth::Dead;
  }

  /** True if all other cores report this health for the subject. */
  bool AllReport(const InstanceName& aSubject, InstanceHealth aHealth)
  {
    for (auto& [name, core] : mCores) {
      if (name != aSubject && HealthAt(name, aSubject) != aHealth) {
        return false;
      }
    }
    return true;
  }

  bool AllAlive()
  {
    for (auto& [name, core] : mCores) {
      if (!AllReport(name, InstanceHealth::Alive)) {
        return false;
      }
    }
    return true;
  }

  std::function<bool(const InstanceName&, const InstanceName&)> mIsLinkCut =
    [](const InstanceName&, const InstanceName&) { return false; };
  std::set<InstanceName> mPaused;
  double mLossProbability = 0;
  std::size_t mMessageCount = 0;
  std::size_t mByteCount = 0;

private:
  void DeliverAll()
  {
    for (int round = 0; round < 4; ++round) {
      for (auto& [from, core] : mCores) {
        if (mPaused.count(from) != 0) {
          continue;
        }
        for (const auto& message : core->TakeOutgoing()) {
          Deliver(from, message);
        }
      }
    }
  }

  void Deliver(const InstanceName& aFrom,
               const OutgoingMembershipMessage& aMessage)
  {
    ++mMessageCount;
    const std::string bytes = EncodeMembershipMessage(aMessage.mMessage);
    mByteCount += bytes.size();
    const bool lost = std::bernoulli_distribution(mLossProbability)(mRandom);
    const auto receiver = mCores.find(aMessage.mTo);
    if (lost || receiver == mCores.end() || mIsLinkCut(aFrom, aMessage.mTo) ||
        mPaused.count(aMessage.mTo) != 0) {
      return;
    }
    const auto decoded = DecodeMembershipMessage(bytes);
    REQUIRE(decoded.has_value());
    receiver->second->OnMessage(aFrom, decoded.value(), mClock.MonotonicNow());
  }

  testing::ManualClock mClock;
  std::minstd_rand mRandom;
  std::vector<InstanceIdentity> mSeeds;
  std::map<InstanceName, std::unique_ptr<MembershipCore>> mCores;
};

}

TEST_CASE("Membership: instances detect start, failure and restart of a member")
{
  for (const int size : { 2, 9, 45 }) {
    SimulatedNetwork network(size);
    network.RunFor(seconds(5));
    CHECK(network.AllAlive());

    network.Stop("i1");
    network.RunFor(seconds(15));
    CHECK(network.AllReport("i1", InstanceHealth::Dead));

    network.Restart("i1");
    network.RunFor(seconds(5));
    CHECK(network.AllAlive());
  }
}

TEST_CASE("Membership: no live instance is declared dead due to lost messages")
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork network(9, seed);
    network.RunFor(seconds(5));
    network.mLossProbability = 0.1;
    network.RunFor(seconds(30));
    for (int i = 0; i < 9; ++i) {
      CHECK_FALSE(
        network.AllReport("i" + std::to_string(i), InstanceHealth::Dead));
    }
    network.mLossProbability = 0;
    network.RunFor(seconds(5));
    CHECK(network.AllAlive());
  }
}

TEST_CASE("Membership: indirect probes cover a link cut in one direction")
{
  SimulatedNetwork network(5);
  network.RunFor(seconds(5));
  network.mIsLinkCut = [](const InstanceName& aFrom, const InstanceName& aTo) {
    return aFrom == "i1" && aTo == "i0";
  };
  for (int step = 0; step < 400; ++step) {
    network.RunFor(kTickPeriod);
    REQUIRE(network.HealthAt("i0", "i1") == InstanceHealth::Alive);
  }
}

TEST_CASE("Membership: the sides of a partition reconnect after it heals")
{
  SimulatedNetwork network(9);
  network.RunFor(seconds(5));
  const auto side = [](const InstanceName& aName) { return aName < "i4"; };
  network.mIsLinkCut = [side](const InstanceName& aFrom,
                              const InstanceName& aTo) {
    return side(aFrom) != side(aTo);
  };
  network.RunFor(std::chrono::minutes(10));
  CHECK(network.HealthAt("i0", "i8") == InstanceHealth::Dead);
  CHECK(network.HealthAt("i8", "i0") == InstanceHealth::Dead);
  CHECK(network.HealthAt("i0", "i3") == InstanceHealth::Alive);

  network.mIsLinkCut = [](const InstanceName&, const InstanceName&) {
    return false;
  };
  network.RunFor(seconds(4));
  CHECK(network.AllAlive());
}

TEST_CASE("Membership: a paused instance suspects no other instance")
{
  SimulatedNetwork network(4);
  network.RunFor(seconds(5));
  // A probe is in progress when the pause begins.
  network.mIsLinkCut = [](const InstanceName&, const InstanceName& aTo) {
    return aTo == "i0";
  };
  network.RunFor(milliseconds(400));
  network.mPaused = { "i0" };
  network.RunFor(seconds(10));
  CHECK(network.AllReport("i0", InstanceHealth::Dead));
  network.mPaused.clear();
  network.mIsLinkCut = [](const InstanceName&, const InstanceName&) {
    return false;
  };
  network.RunFor(kTickPeriod);
  for (const InstanceName other : { "i1", "i2", "i3" }) {
    CHECK(network.HealthAt("i0", other) == InstanceHealth::Alive);
  }
  network.RunFor(seconds(4));
  CHECK(network.AllAlive());
}

TEST_CASE("Membership: attribute changes and departure reach all instances")
{
  SimulatedNetwork network(9);
  network.RunFor(seconds(5));
  network.Core("i3").SetDraining(true);
  network.Core("i3").SetRulesVersion(17);
  network.RunFor(seconds(3));
  for (const InstanceStatus& status : network.Core("i8").Instances()) {
    CHECK(status.mDraining == (status.mIdentity.mName == "i3"));
    CHECK(status.mRulesVersion == (status.mIdentity.mName == "i3" ? 17U : 0U));
  }
  network.Core("i3").Leave();
  network.RunFor(seconds(3));
  CHECK(network.AllReport("i3", InstanceHealth::Left));
  network.Restart("i3");
  network.RunFor(seconds(3));
  CHECK(network.AllAlive());
}

TEST_CASE("Membership: messages per instance do not grow with instance count")
{
  const auto messagesPerInstance = [](int aSize) {
    SimulatedNetwork network(aSize);
    network.RunFor(seconds(20));
    network.mMessageCount = 0;
    network.RunFor(seconds(60));
    return static_cast<double>(network.mMessageCount) / aSize;
  };
  CHECK(messagesPerInstance(45) < 1.2 * messagesPerInstance(5));
}

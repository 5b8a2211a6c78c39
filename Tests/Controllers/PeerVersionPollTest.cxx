#include <list>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Controllers/PeerVersionPoll.h"
#include "Support/FakePeerRpc.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using almondspoke::testing::FakePeerRpc;
using almondspoke::testing::ManualClock;

namespace {

constexpr const char* kText = "reserve deposit 5% # desk\n";

enum class RpcBehaviour
{
  Answers,
  Silent,
  Damaged
};

struct Peer
{
  const char* mDataCentre;
  RulesVersion mServed;
  bool mHasConfirmedVersion = true;
  RulesVersion mHighestKnownVersion = 0;
  RpcBehaviour mRpcBehaviour = RpcBehaviour::Answers;
  InstanceHealth mHealth = InstanceHealth::Alive;
};

struct Instance
{
  Instance(const Clock& aClock, std::string aName, std::string aDataCentre)
    : mIdentity{ std::move(aName), std::move(aDataCentre), 1 }
    , mPublisher(aClock)
    , mPoll(mRpc, mPublisher, aClock, mIdentity)
  {
  }

  InstanceIdentity mIdentity;
  FakePeerRpc mRpc;
  RulesPublisher mPublisher;
  PeerVersionPoll mPoll;
};

/** \brief A restarted instance in the data centre zagreb, and its peers. */
class Installation
{
public:
  explicit Installation(const std::vector<Peer>& aPeers)
  {
    for (const Peer& peer : aPeers) {
      const std::string name = "peer-" + std::to_string(mPeers.size());
      Instance& instance =
        mPeers.emplace_back(mClock, name, std::string(peer.mDataCentre));
      mInstances.push_back({ instance.mIdentity, peer.mHealth });
      if (peer.mServed > 0) {
        instance.mPublisher.OnConfiguration({ peer.mServed, kText });
      }
      if (peer.mHasConfirmedVersion) {
        instance.mPublisher.ConfirmHighestKnownVersion();
      }
      instance.mPublisher.RecordKnownVersion(peer.mHighestKnownVersion);
      if (peer.mRpcBehaviour == RpcBehaviour::Damaged) {
        instance.mRpc.mHandlers["configuration.known-version"] =
          [](const auto&, const auto&, const auto& aDone) {
            aDone(std::string("damaged"));
          };
      }
      if (peer.mRpcBehaviour != RpcBehaviour::Silent) {
        mRestarted.mRpc.mPeers[name] = &instance.mRpc;
      }
    }
    mInstances.push_back({ mRestarted.mIdentity, InstanceHealth::Alive });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kTick{ 100 };
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime;
         passed += kTick) {
      mRestarted.mPoll.Tick(mInstances);
      mClock.Advance(kTick);
    }
  }

  /** Returns the lowest served version at which the restarted instance is
   * ready. */
  std::optional<RulesVersion> LowestReadyVersion(RulesVersion aHighestVersion)
  {
    for (RulesVersion version = 0; version <= aHighestVersion; ++version) {
      (void)mRestarted.mPublisher.OnPeerConfiguration({ version, kText });
      if (mRestarted.mPublisher.IsReady()) {
        return version;
      }
    }
    return std::nullopt;
  }

  ManualClock mClock;
  std::list<Instance> mPeers;
  Instance mRestarted{ mClock, "restarted", "zagreb" };
  std::vector<InstanceStatus> mInstances;
};

}

TEST_CASE(
  "Peer version poll: version that a restarted instance needs to be ready")
{
  constexpr RulesVersion kHighestVersion = 9;
  const std::optional<RulesVersion> never;
  struct Row
  {
    const char* mName;
    std::vector<Peer> mPeers;
    std::optional<RulesVersion> mReadyVersionAtFirst;
    std::optional<RulesVersion> mReadyVersionAfterTimeout;
  };
  const Peer silent{ "zagreb", 5, true, 0, RpcBehaviour::Silent };
  const Peer remoteSilent{ "riga", 5, true, 0, RpcBehaviour::Silent };
  const Peer dead{
    "zagreb", 5, true, 0, RpcBehaviour::Silent, InstanceHealth::Dead
  };
  const Peer back{
    "zagreb", 5, true, 0, RpcBehaviour::Answers, InstanceHealth::Dead
  };
  const Peer suspected{
    "zagreb", 5, true, 0, RpcBehaviour::Silent, InstanceHealth::Suspected
  };
  for (const Row& row : {
         Row{ "no rules exist", { { "zagreb", 0 } }, 0, 0 },
         Row{
           "one peer is behind", { { "zagreb", 4 }, { "zagreb", 5 } }, 5, 5 },
         Row{ "peer in another data centre is ahead",
              { { "zagreb", 4 }, { "riga", 5 } },
              5,
              5 },
         Row{ "one peer knows a higher version",
              { { "zagreb", 4, true, 6 } },
              6,
              6 },
         Row{ "peer that also restarted knows a higher version",
              { { "zagreb", 4 }, { "zagreb", 0, false, 6 } },
              6,
              6 },
         Row{ "no peer has a confirmed version",
              { { "zagreb", 4, false } },
              never,
              never },
         Row{ "peer in the same data centre does not answer",
              { { "zagreb", 4 }, silent },
              never,
              never },
         Row{ "peer in the same data centre is suspected",
              { { "zagreb", 4 }, suspected },
              never,
              never },
         Row{
           "an answer cannot be decoded",
           { { "zagreb", 4 }, { "zagreb", 5, true, 0, RpcBehaviour::Damaged } },
           never,
           never },
         Row{ "peer in another data centre does not answer",
              { { "zagreb", 4 }, remoteSilent },
              never,
              4 },
         Row{ "one peer is dead", { { "zagreb", 4 }, dead }, 4, 4 },
         Row{ "peer considered dead answers", { { "zagreb", 4 }, back }, 5, 5 },
         Row{ "all peers are dead", { dead, back }, never, never },
       }) {
    INFO(row.mName);
    Installation soon(row.mPeers);
    soon.RunFor(PeerVersionPoll::kGroupTimeout * 2);
    CHECK(soon.LowestReadyVersion(kHighestVersion) == row.mReadyVersionAtFirst);
    Installation later(row.mPeers);
    later.RunFor(PeerVersionPoll::kRemotePeerTimeout +
                 PeerVersionPoll::kGroupTimeout);
    CHECK(later.LowestReadyVersion(kHighestVersion) ==
          row.mReadyVersionAfterTimeout);
  }
}

TEST_CASE(
  "Peer version poll: the group has time to answer before peers are polled")
{
  Installation installation({ { "zagreb", 4 } });
  installation.RunFor(PeerVersionPoll::kGroupTimeout);
  CHECK(installation.mRestarted.mRpc.mCalls == 0);
  CHECK_FALSE(installation.LowestReadyVersion(4));
  // The group timeout starts again after a time without any live peer.
  installation.mInstances.front().mHealth = InstanceHealth::Dead;
  installation.RunFor(PeerVersionPoll::kGroupTimeout);
  installation.mInstances.front().mHealth = InstanceHealth::Alive;
  installation.RunFor(PeerVersionPoll::kGroupTimeout);
  CHECK(installation.mRestarted.mRpc.mCalls == 0);
  installation.RunFor(PeerVersionPoll::kGroupTimeout);
  CHECK(installation.mRestarted.mRpc.mCalls > 0);
  CHECK(installation.mRestarted.mPublisher.IsReady());
}

TEST_CASE("Peer version poll: a round waits for its last answer")
{
  Installation installation({ { "zagreb", 4 } });
  installation.mRestarted.mRpc.mHold = true;
  installation.RunFor(PeerVersionPoll::kRemotePeerTimeout);
  CHECK(installation.mRestarted.mRpc.mCalls == 1);
  CHECK_FALSE(installation.LowestReadyVersion(4));
  installation.mRestarted.mRpc.mHold = false;
  installation.mRestarted.mRpc.mHeld(Error(ErrorKind::PeerTimeout, "late"));
  installation.RunFor(PeerVersionPoll::kRoundInterval * 2);
  CHECK(installation.mRestarted.mRpc.mCalls == 2);
  CHECK(installation.mRestarted.mPublisher.IsReady());
}

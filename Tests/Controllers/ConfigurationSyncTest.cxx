#include <string>

#include <catch2/catch.hpp>

#include "Controllers/Configuration.h"
#include "Controllers/ConfigurationSync.h"
#include "Support/FakePeerRpc.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using almondspoke::testing::FakePeerRpc;
using almondspoke::testing::ManualClock;

namespace {

constexpr const char* kText = "reserve deposit 5% # desk\n";

struct Instance
{
  explicit Instance(const Clock& aClock)
    : mPublisher(aClock)
    , mSync(mRpc, mPublisher)
  {
  }

  FakePeerRpc mRpc;
  RulesPublisher mPublisher;
  ConfigurationSync mSync;
};

}

TEST_CASE("Configuration sync: a restarted instance serves the rules of a peer "
          "and is ready once the version is confirmed")
{
  ManualClock clock;
  Instance peer(clock);
  peer.mPublisher.OnConfiguration({ 4, kText });
  peer.mPublisher.ConfirmHighestKnownVersion();
  Instance restarted(clock);
  restarted.mRpc.mPeer = &peer.mRpc;
  CHECK_FALSE(restarted.mPublisher.IsReady());
  restarted.mSync.OnPeerVersion("peer", 4);
  CHECK(restarted.mPublisher.ServedVersion() == 4);
  CHECK_FALSE(restarted.mPublisher.IsReady());
  restarted.mPublisher.ConfirmHighestKnownVersion();
  CHECK(restarted.mPublisher.IsReady());
  CHECK(restarted.mPublisher.Current()->HasKind("deposit"));
  // Nothing more to fetch.
  restarted.mSync.OnPeerVersion("peer", 4);
  CHECK(restarted.mRpc.mCalls == 1);
}

TEST_CASE("Configuration sync: rules from a peer that is behind do not make a "
          "restarted instance ready")
{
  ManualClock clock;
  Instance behind(clock);
  behind.mPublisher.OnConfiguration({ 4, kText });
  behind.mPublisher.ConfirmHighestKnownVersion();
  // The instance served version 5 before its restart; the peer has not received
  // version 5 yet.
  Instance restarted(clock);
  restarted.mRpc.mPeer = &behind.mRpc;
  restarted.mSync.OnPeerVersion("behind", 4);
  CHECK(restarted.mPublisher.ServedVersion() == 4);
  CHECK_FALSE(restarted.mPublisher.IsVersionConfirmed());
  CHECK_FALSE(restarted.mPublisher.IsReady());
}

TEST_CASE(
  "Configuration sync: rules are not fetched from a peer that is not ready")
{
  ManualClock clock;
  Instance peer(clock);
  peer.mPublisher.OnConfiguration({ 4, kText });
  Instance restarted(clock);
  restarted.mRpc.mPeer = &peer.mRpc;
  restarted.mSync.OnPeerVersion("peer", 4);
  // The version is confirmed, but the grace period applies only after the
  // instance was ready once.
  restarted.mPublisher.ConfirmHighestKnownVersion();
  CHECK_FALSE(restarted.mPublisher.IsReady());
  CHECK(restarted.mPublisher.ServedVersion() == 0);
  peer.mPublisher.ConfirmHighestKnownVersion();
  restarted.mSync.OnPeerVersion("peer", 4);
  CHECK(restarted.mPublisher.IsReady());
}

TEST_CASE(
  "Configuration sync: one fetch at a time, with a retry after a failure")
{
  ManualClock clock;
  Instance instance(clock);
  instance.mRpc.mHold = true;
  instance.mSync.OnPeerVersion("a", 3);
  instance.mSync.OnPeerVersion("b", 3);
  CHECK(instance.mRpc.mCalls == 1);
  instance.mRpc.mHeld(Error(ErrorKind::PeerTimeout, "no answer"));
  instance.mSync.OnPeerVersion("b", 3);
  CHECK(instance.mRpc.mCalls == 2);
  instance.mRpc.mHeld(std::string("damaged"));
  CHECK_FALSE(instance.mPublisher.IsReady());
}

TEST_CASE("Configuration sync: an older response does not lower the version")
{
  ManualClock clock;
  Instance instance(clock);
  instance.mPublisher.OnConfiguration({ 5, kText });
  instance.mRpc.mHold = true;
  instance.mSync.OnPeerVersion("a", 6);
  instance.mRpc.mHeld(EncodeRulesText({ 2, "" }));
  CHECK(instance.mPublisher.ServedVersion() == 5);
}

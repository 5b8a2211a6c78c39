#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "Controllers/RulesPublisher.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using almondspoke::testing::ManualClock;

namespace {

constexpr const char* kText = "reserve deposit 5% # desk\n";

}

TEST_CASE("Rules publisher: an older version from a snapshot is never served")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  publisher.ConfirmHighestKnownVersion();
  publisher.OnConfiguration({ 5, kText });
  REQUIRE(publisher.IsReady());

  publisher.OnConfiguration({ 3, "" });
  CHECK(publisher.ServedVersion() == 5);
  CHECK(publisher.Current()->HasKind("deposit"));
  CHECK_FALSE(publisher.IsReady());

  publisher.OnConfiguration({ 4, "" });
  CHECK(publisher.ServedVersion() == 5);
  CHECK_FALSE(publisher.IsReady());

  publisher.OnConfiguration({ 5, kText });
  CHECK(publisher.IsReady());
}

TEST_CASE("Rules publisher: not ready until the version is confirmed")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  CHECK_FALSE(publisher.IsReady());
  publisher.OnConfiguration({ 2, kText });
  CHECK(publisher.ServedVersion() == 2);
  CHECK_FALSE(publisher.IsReady());
  publisher.ConfirmHighestKnownVersion();
  CHECK(publisher.IsReady());
}

TEST_CASE("Rules publisher: no grace period before the first readiness")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  publisher.OnConfiguration({ 4, kText });
  publisher.RecordKnownVersion(5);
  publisher.ConfirmHighestKnownVersion();
  CHECK_FALSE(publisher.IsVersionConfirmed());
  CHECK_FALSE(publisher.IsReady());
  // A restarted instance that cannot parse the current version is not ready.
  publisher.OnConfiguration({ 5, "a rule of a later release # office\n" });
  CHECK_FALSE(publisher.IsVersionConfirmed());
  publisher.OnConfiguration({ 6, kText });
  CHECK(publisher.IsReady());
}

TEST_CASE(
  "Rules publisher: not ready after the grace period of a newer version")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  publisher.ConfirmHighestKnownVersion();
  publisher.OnConfiguration({ 2, kText });
  publisher.RecordKnownVersion(3);
  CHECK(publisher.IsBehind());
  CHECK(publisher.IsReady());
  clock.Advance(RulesPublisher::kBehindGracePeriod);
  CHECK(publisher.IsReady());
  clock.Advance(std::chrono::milliseconds(1));
  CHECK_FALSE(publisher.IsReady());
  // An even newer version does not restart the grace period.
  publisher.RecordKnownVersion(4);
  CHECK_FALSE(publisher.IsReady());
  publisher.OnConfiguration({ 4, kText });
  CHECK(publisher.IsReady());
  CHECK_FALSE(publisher.IsBehind());
}

TEST_CASE("Rules publisher: an agreed text that cannot be parsed is not served")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  publisher.ConfirmHighestKnownVersion();
  publisher.OnConfiguration({ 1, kText });
  publisher.OnConfiguration({ 2, "a rule of a later release # office\n" });
  CHECK(publisher.ServedVersion() == 1);
  CHECK(publisher.IsBehind());
  clock.Advance(RulesPublisher::kBehindGracePeriod + std::chrono::seconds(1));
  CHECK_FALSE(publisher.IsReady());
}

TEST_CASE("Rules publisher: a snapshot held by a reader does not change")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  publisher.OnConfiguration({ 1, kText });
  const auto snapshot = publisher.Current();
  publisher.OnConfiguration({ 2, "" });
  CHECK(snapshot->Version() == 1);
  CHECK(snapshot->HasKind("deposit"));
  CHECK_FALSE(publisher.Current()->HasKind("deposit"));
}

TEST_CASE("Rules publisher: the version never decreases for a reader")
{
  constexpr RulesVersion kVersions = 300;
  // The group's texts take longer to parse than the peer's, so that parsing an
  // older version can finish after a newer one.
  std::string longText;
  for (int index = 0; index < 2000; ++index) {
    longText += "idempotent kind-" + std::to_string(index) + " # office\n";
  }
  ManualClock clock;
  RulesPublisher publisher(clock);
  std::atomic<int> decreases{ 0 };
  std::atomic<int> running{ 2 };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int reader = 0; reader < 2; ++reader) {
    threads.emplace_back([&publisher, &decreases, &running] {
      RulesVersion last = 0;
      while (running > 0) {
        const RulesVersion version = publisher.ServedVersion();
        decreases += version < last ? 1 : 0;
        last = version;
        std::this_thread::sleep_for(std::chrono::microseconds(20));
      }
    });
  }
  threads.emplace_back([&publisher, &running, &longText] {
    for (RulesVersion version = 1; version <= kVersions; version += 10) {
      publisher.OnConfiguration({ version, longText });
    }
    --running;
  });
  threads.emplace_back([&publisher, &running] {
    while (publisher.ServedVersion() == 0) {
      std::this_thread::yield();
    }
    for (RulesVersion version = 2; version <= kVersions; ++version) {
      (void)publisher.OnPeerConfiguration({ version, kText });
    }
    --running;
  });
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(decreases == 0);
  CHECK(publisher.ServedVersion() == kVersions);
  // Versions from peers do not confirm the version.
  CHECK_FALSE(publisher.IsReady());
  publisher.ConfirmHighestKnownVersion();
  CHECK(publisher.IsReady());
}

#include <csignal>

#include <catch2/catch.hpp>

#include "Processes/Installation.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

constexpr int kRequests = 4;

// Drains an instance with requests of several seconds in progress.
void
CheckDrain(Installation& aInstallation, int aInstance)
{
  INFO("instance " << aInstance);
  const long startedBefore = aInstallation.Started();
  std::vector<std::future<AttemptResult>> pending;
  pending.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    pending.push_back(aInstallation.Begin(
      aInstance, "/slow?workMs=3000", "body " + std::to_string(i)));
  }
  REQUIRE(Eventually(
    [&] { return aInstallation.Started() == startedBefore + kRequests; }));

  aInstallation.Instance(aInstance).Signal(SIGTERM);
  CHECK(
    Eventually([&] { return aInstallation.Get(aInstance, "/readyz") == 503; }));
  // The load balancer has not noticed yet: requests still arrive and are
  // served.
  CHECK(aInstallation.Get(aInstance, "/healthz") == 200);
  CHECK(aInstallation.Post(aInstance, "/quick", "late").mBody == "late");

  for (int i = 0; i < kRequests; ++i) {
    const AttemptResult result = pending[i].get();
    CHECK(result.mOutcome == TransferOutcome::Answered);
    CHECK(result.mResponse.mStatus == 200);
    CHECK(result.mResponse.mBody == "body " + std::to_string(i));
  }
  CHECK(aInstallation.Instance(aInstance).Wait() == 0);
  CHECK(aInstallation.Get(aInstance, "/healthz") == 0);
}

}

TEST_CASE("Drain: no request is aborted, neither when the second of three "
          "instances drains nor when the last one does")
{
  Installation installation(3, "[drain]\nbalancer-delay = 1s\n");
  installation.AddStandIn("runner-1");
  installation.AddStandIn("runner-2");
  REQUIRE(installation.AllReady());
  CheckDrain(installation, 1);
  CHECK(installation.Post(0, "/quick", "first").mBody == "first");
  CHECK(installation.Post(2, "/quick", "third").mBody == "third");
  CheckDrain(installation, 0);
  CheckDrain(installation, 2);
}

TEST_CASE("Drain: a request that arrives when its connection is about to be "
          "closed is not silently lost")
{
  Installation installation(1, "[drain]\nbalancer-delay = 1s\n");
  installation.AddStandIn("runner-1");
  REQUIRE(installation.AllReady());
  installation.Instance(0).Signal(SIGTERM);
  REQUIRE(Eventually([&] { return installation.Get(0, "/readyz") == 503; }));
  int answered = 0;
  while (installation.Instance(0).IsRunning()) {
    const AttemptResult result = installation.Begin(0, "/quick", "x").get();
    answered += result.mOutcome == TransferOutcome::Answered ? 1 : 0;
    // Without an answer, the connection was refused or closed before the
    // request was read.
    if (result.mOutcome == TransferOutcome::Answered) {
      CHECK(result.mResponse.mStatus == 200);
    }
  }
  CHECK(answered > 0);
  CHECK(installation.Started() == answered);
}

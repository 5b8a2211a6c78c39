#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Processes/SubmissionInstallation.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

using Installation = SubmissionInstallation;
using Pending = std::vector<std::future<AttemptResult>>;

/** Instances of a data centre. */
const std::vector<int> kZagreb = { 0, 1, 2 };
const std::vector<int> kRiga = { 3, 4 };

constexpr std::uint32_t kSlots = 40;
/** A tenth of the slots that each of riga's two instances holds. */
constexpr long kSpilledSlots = 4;

Pending
BeginRequests(Installation& aInstallation,
              const std::vector<int>& aInstances,
              int aCount,
              const std::string& aTarget)
{
  Pending pending;
  for (int i = 0; i < aCount; ++i) {
    const int instance =
      aInstances[static_cast<std::size_t>(i) % aInstances.size()];
    pending.push_back(aInstallation.BeginRequest(instance, aTarget, {}));
  }
  return pending;
}

bool
WaitUntilSpilling(Installation& aInstallation)
{
  return Eventually([&] {
    for (const int instance : kZagreb) {
      if (aInstallation.BeginRequest(instance, "/x", {})
            .get()
            .mResponse.mStatus != 200) {
        return false;
      }
    }
    return true;
  });
}

}

TEST_CASE("Spill: a service with endpoints in the other data centre only is "
          "served, and a key's work starts once although resubmitted in both")
{
  Installation installation;
  installation.AddRunner("riga", kSlots);
  REQUIRE(installation.WaitUntilReady());
  REQUIRE(WaitUntilSpilling(installation));
  CHECK(installation.Metric(0, "spill_sent") >= 1);
  const long before = installation.Started();
  CHECK(installation.Request(0, "zagreb:1", "deposit").mBody == "deposit");
  for (const int instance : { 1, 2, 3, 4 }) {
    CHECK(installation.Request(instance, "zagreb:1", "deposit").mBody ==
          "deposit");
  }
  Pending during;
  for (const int instance : { 0, 3, 1, 4, 2 }) {
    during.push_back(installation.BeginRequest(
      instance, "/x?workMs=300", { { "Idempotency-Key", "zagreb:2" } }));
  }
  for (auto& one : during) {
    CHECK(one.get().mResponse.mBody == "work");
  }
  CHECK(installation.Started() - before == 2);
}

TEST_CASE(
  "Spill: a large amount of spilled work leaves slots for the other data "
  "centre's own requests")
{
  constexpr int kFlood = 150;
  constexpr int kOwn = 36;
  const auto inUse = [](Installation& aOf) {
    return aOf.Metric(3, "service_slots_in_use") +
           aOf.Metric(4, "service_slots_in_use");
  };
  Installation installation;
  installation.AddRunner("riga", kSlots);
  REQUIRE(installation.WaitUntilReady());
  REQUIRE(WaitUntilSpilling(installation));
  const long before = installation.Started();
  Pending flood =
    BeginRequests(installation, kZagreb, kFlood, "/x?workMs=6000");
  REQUIRE(Eventually([&] { return installation.Started() > before; }));
  Pending own = BeginRequests(installation, kRiga, kOwn, "/x?workMs=2000");
  CHECK(Eventually([&] { return inUse(installation) >= kOwn; }));
  for (auto& one : own) {
    CHECK(one.get().mResponse.mStatus == 200);
  }
  int served = 0;
  for (auto& one : flood) {
    const HttpResponse response = one.get().mResponse;
    if (response.mStatus == 200) {
      ++served;
      continue;
    }
    CHECK(Installation::ErrorOf(response) == "unknown-service no");
  }
  CHECK(served >= 1);
  CHECK(served <= kSpilledSlots);
  CHECK(installation.Started() - before == kOwn + served);
}

TEST_CASE(
  "Spill: during a network partition a request without a local endpoint "
  "is refused as not run, and can be submitted again afterwards")
{
  Installation installation;
  installation.AddRunner("riga", kSlots);
  REQUIRE(installation.WaitUntilReady());
  REQUIRE(WaitUntilSpilling(installation));
  installation.SetCut(true);
  REQUIRE(Eventually([&] {
    return Installation::ErrorOf(
             installation.BeginRequest(0, "/x", {}).get().mResponse) ==
           "unknown-service no";
  }));
  const long before = installation.Started();
  CHECK(Installation::ErrorOf(installation.Request(0, "zagreb:1", "deposit")) ==
        "unknown-service no");
  CHECK(installation.Started() == before);
  installation.SetCut(false);
  REQUIRE(installation.WaitUntilReady());
  CHECK(Eventually([&] {
    return installation.Request(0, "zagreb:1", "deposit").mBody == "deposit";
  }));
  CHECK(installation.Started() - before == 1);
}

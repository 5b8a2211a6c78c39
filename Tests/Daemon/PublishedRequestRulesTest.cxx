#include <catch2/catch.hpp>

#include "Daemon/PublishedRequestRules.h"
#include "Daemon/UnconfiguredGroup.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

/** \brief A kind of work and its expected policy under kRules. */
struct Row
{
  const char* mKind;
  std::optional<UrgencyLevel> mUrgency;
  std::optional<std::chrono::milliseconds> mTimeout;
  RepeatRule mRepeat;
};

const std::vector<Row> kRows = {
  { "quote", kUrgencyFirst, std::nullopt, RepeatRule::ByCaller },
  { "report", kUrgencyLast, std::chrono::seconds(2), RepeatRule::Allowed },
  { "deposit", std::nullopt, std::nullopt, RepeatRule::Never },
  { "other", std::nullopt, std::nullopt, RepeatRule::ByCaller },
};

const char* const kRules = "urgency quote first # asked by ana\n"
                           "urgency report last # asked by ana\n"
                           "timeout report 2s # asked by ana\n"
                           "idempotent report # asked by ana\n"
                           "never-repeat deposit # asked by ivo\n";

}

TEST_CASE("Request rules: each kind gets the policy of the published rules")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  const PublishedRequestRules rules(publisher, clock);
  CHECK(rules.PolicyOf("quote").mRulesVersion == 0);
  publisher.OnConfiguration({ 7, kRules });
  for (const Row& row : kRows) {
    INFO(row.mKind);
    const RequestPolicy policy = rules.PolicyOf(row.mKind);
    CHECK(policy.mRulesVersion == 7);
    CHECK(policy.mUrgency == row.mUrgency);
    CHECK(policy.mTimeout == row.mTimeout);
    CHECK(policy.mRepeat == row.mRepeat);
  }
}

TEST_CASE("Request rules: stay known after the first confirmation")
{
  ManualClock clock;
  RulesPublisher publisher(clock);
  const PublishedRequestRules rules(publisher, clock);
  publisher.OnConfiguration({ 1, kRules });
  CHECK_FALSE(rules.AreKnown());
  publisher.ConfirmHighestKnownVersion();
  CHECK(rules.AreKnown());
  // A newer version is overdue: the instance is not ready, but the last known
  // rules still apply.
  publisher.RecordKnownVersion(2);
  clock.Advance(RulesPublisher::kBehindGracePeriod + std::chrono::seconds(1));
  CHECK_FALSE(publisher.IsReady());
  CHECK(rules.AreKnown());
}

TEST_CASE("Unconfigured group: barriers succeed, proposals fail with NoQuorum")
{
  UnconfiguredGroup group("configuration");
  bool held = false;
  group.Barrier([&](const Result<void>& aResult) { held = bool(aResult); });
  CHECK(held);
  std::optional<ErrorKind> refusal;
  group.Propose("change", [&](const Result<std::string>& aResult) {
    refusal = aResult.error().Kind();
  });
  CHECK(refusal == ErrorKind::NoQuorum);
  CHECK_FALSE(group.Leader());
}

#include <chrono>

#include <catch2/catch.hpp>

#include "Rules/RuleSet.h"
#include "Support/TextFile.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::ReadTextFile;

namespace {

// 2026-12-04 00:00:00 UTC, a Friday in winter.
const Clock::Wall kMidnight{ std::chrono::seconds(1796342400) };

}

TEST_CASE("Rule set: looks up the rules of kinds and teams")
{
  const auto result = RuleSet::FromText(7, ReadTextFile("Cases/Valid.rules"));
  REQUIRE(result);
  const RuleSet& rules = *result.value();
  CHECK(rules.Version() == 7);

  const KindRules& quote = rules.Kind("quote");
  CHECK(quote.UrgencyAt(kMidnight + 5h + 59min) == Urgency::Last);
  CHECK(quote.UrgencyAt(kMidnight + 6h) == Urgency::First);
  CHECK(quote.UrgencyAt(kMidnight + 17h + 59min) == Urgency::First);
  CHECK(quote.UrgencyAt(kMidnight + 18h) == Urgency::Last);
  CHECK(quote.mHasUrgency);
  CHECK_FALSE(rules.Kind("deposit").mHasUrgency);
  CHECK(quote.mRepeat == Repeat::Allowed);
  CHECK(quote.mRetries == 2u);

  CHECK(rules.Kind("deposit").mRepeat == Repeat::Never);
  CHECK(rules.Kind("confirmation").mReserve == Approx(0.25));
  CHECK(rules.Kind("preview").mCeiling == Approx(0.40));
  CHECK(rules.Kind("route-check").mTimeout == 2000ms);
  CHECK(rules.Team("team-north").mQuotaSlots == 64u);
  CHECK(rules.Kind("confirmation").mWeight == 3);
}

TEST_CASE("Rule set: a kind or team without rules has the defaults")
{
  const auto result = RuleSet::FromText(1, "reserve deposit 5% # desk\n");
  REQUIRE(result);
  const RuleSet& rules = *result.value();
  CHECK_FALSE(rules.HasKind("quote"));
  CHECK(rules.HasKind("deposit"));
  CHECK_FALSE(rules.HasTeam("deposit"));
  const KindRules& kind = rules.Kind("quote");
  CHECK(kind.UrgencyAt(kMidnight) == Urgency::Normal);
  CHECK(kind.mRepeat == Repeat::ByCaller);
  CHECK(kind.mReserve == 0);
  CHECK(kind.mCeiling == 1);
  CHECK_FALSE(kind.mTimeout);
  CHECK_FALSE(rules.Team("team-south").mQuotaSlots);
  CHECK(kind.mWeight == 1);
}

TEST_CASE("Rule set: invalid text gives one error that lists all errors")
{
  const auto result =
    RuleSet::FromText(1, "urgent quote first # a\nreserve quote 0% # b\n");
  REQUIRE_FALSE(result);
  CHECK(result.error().Kind() == ErrorKind::InvalidRules);
  CHECK(result.error().Message().find("line 1, column 1") == 0);
  CHECK(result.error().Message().find("\nline 2, column 15") !=
        std::string::npos);
}

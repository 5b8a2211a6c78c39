#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Rules/RuleDiff.h"
#include "Rules/RuleExplainer.h"
#include "Rules/RuleParser.h"
#include "Support/TextFile.h"

using namespace almondspoke;
using almondspoke::testing::ReadTextFile;

namespace {

std::vector<std::string>
Diff(const char* aBefore, const char* aAfter)
{
  return RuleDiff::Format(RuleDiff::Compare(RuleParser::Parse(aBefore).mRules,
                                            RuleParser::Parse(aAfter).mRules));
}

using Lines = std::vector<std::string>;

}

TEST_CASE(
  "Rules explained: one sentence for each rule and one for the defaults")
{
  const auto rules = RuleSet::FromText(1, ReadTextFile("Cases/Valid.rules"));
  REQUIRE(rules);
  std::string actual;
  for (const std::string& sentence : RuleExplainer::Explain(*rules.value())) {
    actual += sentence + "\n";
  }
  CHECK(actual == ReadTextFile("Cases/Explanation.expected"));
}

TEST_CASE("Rules explained: one kind with rules and one without")
{
  const auto rules = RuleSet::FromText(1, ReadTextFile("Cases/Valid.rules"));
  REQUIRE(rules);
  CHECK(RuleExplainer::Explain(*rules.value(), "quote").size() == 4);
  const Lines other = RuleExplainer::Explain(*rules.value(), "invoice");
  REQUIRE(other.size() == 1);
  CHECK(other[0].find("invoice is served with normal urgency") == 0);
}

TEST_CASE("Rules compared: order and whitespace are ignored")
{
  CHECK(Diff("reserve a 5% # x\ntimeout a 60s # y\n",
             "timeout  a  1m # y\n\n# note\nreserve a 5%   # x\n")
          .empty());
}

TEST_CASE("Rules compared: new, removed and changed rules")
{
  CHECK(Diff("reserve a 5% # x\nceiling b 50% # x\n"
             "urgency c first 07:00-19:00 UTC # x\n",
             "reserve a 6% # x\nquota t 4 slots # x\n"
             "urgency c first 07:00-18:00 UTC # x\n") ==
        Lines{ "- reserve a 5% # x",
               "+ reserve a 6% # x",
               "- ceiling b 50% # x",
               "- urgency c first 07:00-19:00 UTC # x",
               "+ quota t 4 slots # x",
               "+ urgency c first 07:00-18:00 UTC # x" });
  CHECK(Diff("reserve a 5% # x\n", "reserve a 5% # y\n") ==
        Lines{ "- reserve a 5% # x", "+ reserve a 5% # y" });
}

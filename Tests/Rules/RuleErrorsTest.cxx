#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Rules/RuleParser.h"
#include "Support/TextFile.h"

using namespace almondspoke;
using almondspoke::testing::ReadTextFile;

TEST_CASE("Rules file: errors have a line, a column and the allowed values")
{
  const char* name = GENERATE(
    "Syntax", "Values", "Windows", "Contradictions", "Comments", "Encoding");
  CAPTURE(name);
  const std::string path = std::string("Cases/") + name;
  const ParsedRules parsed = RuleParser::Parse(ReadTextFile(path + ".rules"));
  CHECK(FormatErrors(parsed.mErrors) + "\n" ==
        ReadTextFile(path + ".expected"));
}

TEST_CASE("Rules file: a valid file is parsed and formatted in normalised form")
{
  const ParsedRules parsed =
    RuleParser::Parse(ReadTextFile("Cases/Valid.rules"));
  CHECK(FormatErrors(parsed.mErrors).empty());
  std::string actual;
  for (const Rule& rule : parsed.mRules) {
    actual += std::to_string(rule.mLine) + ": " + FormatRule(rule) + " # " +
              rule.mComment + "\n";
  }
  CHECK(actual == ReadTextFile("Cases/Valid.expected"));
}

TEST_CASE("Rules file: an empty file and one with only comments have no rules")
{
  for (const char* text : { "", "\n", "\r\n", "# nothing yet\n", "  \t\n" }) {
    const ParsedRules parsed = RuleParser::Parse(text);
    CHECK(parsed.mErrors.empty());
    CHECK(parsed.mRules.empty());
  }
}

TEST_CASE("Rules file: size, line length and number of rules are limited")
{
  const std::string line = "idempotent k # office\n";
  const std::string longLine = std::string(kMaxRuleLineBytes + 1, 'x') + "\n";
  const ParsedRules tooLong = RuleParser::Parse(line + longLine);
  REQUIRE(tooLong.mErrors.size() == 1);
  CHECK(tooLong.mErrors[0].ToString() ==
        "line 2, column 1025: the line has 1025 bytes (allowed: at most 1024 "
        "bytes)");

  const ParsedRules tooBig =
    RuleParser::Parse(std::string(kMaxRulesBytes + 1, '\n'));
  REQUIRE(tooBig.mErrors.size() == 1);
  CHECK(tooBig.mErrors[0].mProblem == "the rules have 2097153 bytes");

  std::string many;
  for (std::size_t index = 0; index <= kMaxRules; ++index) {
    many += "idempotent k" + std::to_string(index) + " # office\n";
  }
  const ParsedRules tooMany = RuleParser::Parse(many);
  REQUIRE(tooMany.mErrors.size() == 1);
  CHECK(tooMany.mErrors[0].ToString() ==
        "line 20001, column 1: too many rules (allowed: at most 20000 rules)");
}

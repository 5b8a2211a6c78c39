#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "Rules/RuleDiff.h"
#include "Rules/RuleExplainer.h"
#include "Rules/RuleParser.h"
#include "Rules/RuleSet.h"

using namespace almondspoke;

namespace {

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

// Checks that the position of each error lies in the text or directly after the
// end of its line.
void
CheckErrors(const ParsedRules& aParsed, std::size_t aSize)
{
  for (const RuleError& error : aParsed.mErrors) {
    Require(error.mLine >= 1 && error.mColumn >= 1);
    Require(static_cast<std::size_t>(error.mColumn) <= aSize + 1);
    Require(!error.mProblem.empty() && !error.mAllowed.empty());
  }
}

// Checks that the normal form of the rules parses to the same rules.
void
CheckNormalForm(const ParsedRules& aParsed)
{
  std::string normal;
  for (const Rule& rule : aParsed.mRules) {
    normal += FormatRule(rule) + " # " + rule.mComment + "\n";
  }
  const ParsedRules again = RuleParser::Parse(normal);
  Require(again.mErrors.empty());
  Require(RuleDiff::Compare(aParsed.mRules, again.mRules).empty());
}

}

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  ParsedRules parsed = RuleParser::Parse(text);
  CheckErrors(parsed, aSize);
  if (parsed.mErrors.empty()) {
    CheckNormalForm(parsed);
    const RuleSet rules(1, std::move(parsed.mRules));
    Require(RuleExplainer::Explain(rules).size() == rules.Rules().size() + 1);
    for (const std::string_view kind : rules.KindNames()) {
      Require(rules.HasKind(kind));
      rules.Kind(kind).UrgencyAt(Clock::Wall{});
    }
  }
  return 0;
}

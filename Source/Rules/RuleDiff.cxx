#include "Rules/RuleDiff.h"

#include <unordered_map>
#include <unordered_set>

namespace almondspoke {

namespace {

// Returns what a rule sets, without the value. Two rules with the same identity
// are versions of the same rule.
std::string
IdentityOf(const Rule& aRule)
{
  std::string identity(NameOf(kDirectiveNames, aRule.mDirective));
  identity += ' ' + aRule.mSubject;
  const auto* urgency = std::get_if<UrgencySetting>(&aRule.mValue);
  if (urgency != nullptr && urgency->mWindow) {
    identity += ' ' + urgency->mWindow->ToString();
  }
  return identity;
}

std::string
WithComment(const Rule& aRule)
{
  return FormatRule(aRule) + " # " + aRule.mComment;
}

}

std::vector<RuleChange>
RuleDiff::Compare(const std::vector<Rule>& aBefore,
                  const std::vector<Rule>& aAfter)
{
  std::unordered_map<std::string, const Rule*> after;
  for (const Rule& rule : aAfter) {
    after.emplace(IdentityOf(rule), &rule);
  }
  std::vector<RuleChange> changes;
  std::unordered_set<std::string> known;
  for (const Rule& rule : aBefore) {
    std::string identity = IdentityOf(rule);
    const auto found = after.find(identity);
    if (found == after.end()) {
      changes.push_back({ rule, std::nullopt });
    } else if (WithComment(rule) != WithComment(*found->second)) {
      changes.push_back({ rule, *found->second });
    }
    known.insert(std::move(identity));
  }
  for (const Rule& rule : aAfter) {
    if (known.count(IdentityOf(rule)) == 0) {
      changes.push_back({ std::nullopt, rule });
    }
  }
  return changes;
}

std::vector<std::string>
RuleDiff::Format(const std::vector<RuleChange>& aChanges)
{
  std::vector<std::string> lines;
  for (const RuleChange& change : aChanges) {
    if (change.mBefore) {
      lines.push_back("- " + WithComment(*change.mBefore));
    }
    if (change.mAfter) {
      lines.push_back("+ " + WithComment(*change.mAfter));
    }
  }
  return lines;
}

}

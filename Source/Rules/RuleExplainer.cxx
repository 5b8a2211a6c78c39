#include "Rules/RuleExplainer.h"

#include <fmt/format.h>

namespace almondspoke {

namespace {

using Sentence = std::string (*)(const Rule& aRule);

std::string
OrderOf(Urgency aUrgency)
{
  switch (aUrgency) {
    case Urgency::First:
      return "before all less urgent work";
    case Urgency::Normal:
      return "after work that is served first, before work that is served last";
    case Urgency::Last:
      return "after all more urgent work";
  }
  return "";
}

std::string
ExplainUrgency(const Rule& aRule)
{
  const auto& setting = std::get<UrgencySetting>(aRule.mValue);
  const std::string order = OrderOf(setting.mUrgency);
  if (setting.mWindow) {
    return fmt::format("{} is served {} during {}",
                       aRule.mSubject,
                       order,
                       setting.mWindow->ToString());
  }
  return fmt::format("{} is served {} at all times that its other urgency "
                     "rules do not cover",
                     aRule.mSubject,
                     order);
}

std::string
ExplainNeverRepeat(const Rule& aRule)
{
  return fmt::format("{} runs at most once: if it may have started, it is not "
                     "started again and the caller is told 'unknown'",
                     aRule.mSubject);
}

std::string
ExplainIdempotent(const Rule& aRule)
{
  return fmt::format("{} may be started again when an attempt fails, unless "
                     "the caller forbids it",
                     aRule.mSubject);
}

std::string
ExplainRetry(const Rule& aRule)
{
  return fmt::format("{} is retried at most {} times",
                     aRule.mSubject,
                     std::get<Count>(aRule.mValue).mValue);
}

std::string
ExplainReserve(const Rule& aRule)
{
  return fmt::format(
    "{} goes before all others until it has {}% of the slots, whatever else "
    "floods in; idle ones are kept free but for up to half, which serve other "
    "kinds with a reserve",
    aRule.mSubject,
    std::get<Percentage>(aRule.mValue).mValue);
}

std::string
ExplainCeiling(const Rule& aRule)
{
  return fmt::format("{} takes at most {}% of the slots; work rejected "
                     "because of this limit has not run",
                     aRule.mSubject,
                     std::get<Percentage>(aRule.mValue).mValue);
}

std::string
ExplainQuota(const Rule& aRule)
{
  return fmt::format("team {} takes at most {} slots at a time; work "
                     "rejected because of this limit has not run",
                     aRule.mSubject,
                     std::get<Count>(aRule.mValue).mValue);
}

std::string
ExplainWeight(const Rule& aRule)
{
  return fmt::format(
    "{} is served {} times for each time that a kind of equal urgency "
    "without a weight is served, when both are waiting",
    aRule.mSubject,
    std::get<Count>(aRule.mValue).mValue);
}

std::string
ExplainTimeout(const Rule& aRule)
{
  return fmt::format(
    "{} is answered within {}, unless the caller sets another timeout",
    aRule.mSubject,
    FormatRuleDuration(std::get<std::chrono::milliseconds>(aRule.mValue)));
}

/** \brief Maps a directive to the function that describes its rules. */
struct DirectiveSentence
{
  Directive mDirective;
  Sentence mSentence;
};

constexpr DirectiveSentence kSentences[] = {
  { Directive::Urgency, &ExplainUrgency },
  { Directive::NeverRepeat, &ExplainNeverRepeat },
  { Directive::Idempotent, &ExplainIdempotent },
  { Directive::Retry, &ExplainRetry },
  { Directive::Reserve, &ExplainReserve },
  { Directive::Ceiling, &ExplainCeiling },
  { Directive::Quota, &ExplainQuota },
  { Directive::Weight, &ExplainWeight },
  { Directive::Timeout, &ExplainTimeout },
};

std::string
ExplainRule(const Rule& aRule)
{
  for (const DirectiveSentence& entry : kSentences) {
    if (entry.mDirective == aRule.mDirective) {
      return fmt::format("{}. [line {}: {}]",
                         entry.mSentence(aRule),
                         aRule.mLine,
                         aRule.mComment);
    }
  }
  return "";
}

std::string
ExplainDefaults(std::string_view aSubject)
{
  return fmt::format("{} is served with normal urgency from the slots that are "
                     "not reserved, and is started again only if the caller "
                     "marks it idempotent.",
                     aSubject);
}

}

std::vector<std::string>
RuleExplainer::Explain(const RuleSet& aRules)
{
  std::vector<std::string> sentences;
  sentences.reserve(aRules.Rules().size() + 1);
  for (const Rule& rule : aRules.Rules()) {
    sentences.push_back(ExplainRule(rule));
  }
  sentences.push_back(ExplainDefaults("Any other work"));
  return sentences;
}

std::vector<std::string>
RuleExplainer::Explain(const RuleSet& aRules, std::string_view aName)
{
  std::vector<std::string> sentences;
  for (const Rule& rule : aRules.Rules()) {
    if (rule.mSubject == aName) {
      sentences.push_back(ExplainRule(rule));
    }
  }
  if (sentences.empty()) {
    sentences.push_back(ExplainDefaults(aName));
  }
  return sentences;
}

}

#include "Rules/Rule.h"

#include <fmt/format.h>

namespace almondspoke {

namespace {

/** \brief Formats the value of a rule as it is written after the subject. */
struct ValueFormatter
{
  const Rule& mRule;

  std::string operator()(std::monostate) const { return ""; }

  std::string operator()(const UrgencySetting& aSetting) const
  {
    std::string text = " ";
    text += NameOf(kUrgencyNames, aSetting.mUrgency);
    if (aSetting.mWindow) {
      text += ' ' + aSetting.mWindow->ToString();
    }
    return text;
  }

  std::string operator()(Percentage aPercentage) const
  {
    return fmt::format(" {}%", aPercentage.mValue);
  }

  std::string operator()(Count aCount) const
  {
    const char* unit = mRule.mDirective == Directive::Quota ? " slots" : "";
    return fmt::format(" {}{}", aCount.mValue, unit);
  }

  std::string operator()(std::chrono::milliseconds aDuration) const
  {
    return ' ' + FormatRuleDuration(aDuration);
  }
};

}

std::string
FormatRule(const Rule& aRule)
{
  std::string text(NameOf(kDirectiveNames, aRule.mDirective));
  text += ' ' + aRule.mSubject;
  text += std::visit(ValueFormatter{ aRule }, aRule.mValue);
  return text;
}

std::string
FormatRuleDuration(std::chrono::milliseconds aDuration)
{
  using std::chrono::minutes;
  using std::chrono::seconds;
  if (aDuration % minutes(1) == std::chrono::milliseconds(0)) {
    return fmt::format("{}m", aDuration / minutes(1));
  }
  if (aDuration % seconds(1) == std::chrono::milliseconds(0)) {
    return fmt::format("{}s", aDuration / seconds(1));
  }
  return fmt::format("{}ms", aDuration.count());
}

}

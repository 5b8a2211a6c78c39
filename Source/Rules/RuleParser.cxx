#include "Rules/RuleParser.h"

#include <algorithm>

#include <fmt/format.h>

#include "Rules/RuleChecks.h"
#include "Rules/RuleLine.h"
#include "Rules/RuleLineParser.h"

namespace almondspoke {

namespace {

/** \brief Splits a text into lines, without "\n" or "\r\n". */
class LineReader
{
public:
  explicit LineReader(std::string_view aText)
    : mRest(aText)
  {
  }

  bool Next(std::string_view& aLine)
  {
    if (mRest.empty()) {
      return false;
    }
    const std::size_t end = mRest.find('\n');
    aLine = mRest.substr(0, end);
    mRest.remove_prefix(end == std::string_view::npos ? mRest.size() : end + 1);
    if (!aLine.empty() && aLine.back() == '\r') {
      aLine.remove_suffix(1);
    }
    return true;
  }

private:
  std::string_view mRest;
};

void
ParseLine(std::string_view aLine, int aNumber, ParsedRules& aParsed)
{
  if (aLine.size() > kMaxRuleLineBytes) {
    aParsed.mErrors.push_back(
      { aNumber,
        static_cast<int>(kMaxRuleLineBytes) + 1,
        fmt::format("the line has {} bytes", aLine.size()),
        fmt::format("at most {} bytes", kMaxRuleLineBytes) });
    return;
  }
  if (const int column = FirstInvalidColumn(aLine); column != 0) {
    aParsed.mErrors.push_back({ aNumber,
                                column,
                                "a control character or invalid UTF-8",
                                "text in UTF-8" });
    return;
  }
  const RuleLine line = SplitRuleLine(aLine);
  if (line.mWords.empty()) {
    return;
  }
  RuleLineParser(line, aNumber, aParsed).Run();
}

}

ParsedRules
RuleParser::Parse(std::string_view aText)
{
  ParsedRules parsed;
  if (aText.size() > kMaxRulesBytes) {
    parsed.mErrors.push_back(
      { 1,
        1,
        fmt::format("the rules have {} bytes", aText.size()),
        fmt::format("at most {} bytes", kMaxRulesBytes) });
    return parsed;
  }
  LineReader reader(aText);
  std::string_view line;
  int number = 0;
  while (reader.Next(line)) {
    ++number;
    if (parsed.mRules.size() >= kMaxRules) {
      parsed.mErrors.push_back({ number,
                                 1,
                                 "too many rules",
                                 fmt::format("at most {} rules", kMaxRules) });
      break;
    }
    ParseLine(line, number, parsed);
  }
  CheckRules(parsed.mRules, parsed.mErrors);
  std::stable_sort(parsed.mErrors.begin(),
                   parsed.mErrors.end(),
                   [](const RuleError& aLeft, const RuleError& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return parsed;
}

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Rules/RuleLine.h"
#include "Rules/RuleParser.h"

namespace almondspoke {

/** \brief Parses the words of one line into a rule or reports its errors. */
class RuleLineParser
{
public:
  /** \param aParsed receives the rule or the errors. */
  RuleLineParser(const RuleLine& aLine, int aNumber, ParsedRules& aParsed);

  void Run();

private:
  using ValueParser = bool (RuleLineParser::*)(Rule& aRule);

  /** \brief Syntax of the value of a directive. */
  struct Grammar
  {
    Directive mDirective;
    ValueParser mParseValue;
    const char* mSyntax;
  };

  static const Grammar kGrammars[];

  const Grammar* FindGrammar();
  bool ParseSubject(Rule& aRule);
  bool ParseNoValue(Rule& aRule);
  bool ParseUrgency(Rule& aRule);
  bool ParseRetries(Rule& aRule);
  bool ParsePercentage(Rule& aRule);
  bool ParseSlots(Rule& aRule);
  bool ParseWeight(Rule& aRule);
  bool ParseDuration(Rule& aRule);
  bool ParseWindow(UrgencySetting& aSetting);
  std::optional<std::chrono::minutes> ParseTimeOfDay(const RuleWord& aWord,
                                                     std::size_t aOffset,
                                                     std::string_view aText);
  std::optional<std::uint32_t> ParseCount(const char* aWhat,
                                          std::uint32_t aMinimum,
                                          std::uint32_t aMaximum);

  /** Returns the next word. At the end of the line it reports that aWhat is
   * missing and returns null. */
  const RuleWord* NextWord(const char* aWhat, const std::string& aAllowed);
  void Fail(int aColumn, std::string aProblem, std::string aAllowed);

  const RuleLine& mLine;
  int mLineNumber;
  ParsedRules& mParsed;
  std::size_t mNextWord = 0;
};

}

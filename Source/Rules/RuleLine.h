#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace almondspoke {

/** \brief A word of a line and its start column in bytes. */
struct RuleWord
{
  std::string_view mText;
  int mColumn = 0;
};

/** \brief One line of a rules file, split into words and comment. The views
 * point into the text of the file. */
struct RuleLine
{
  std::vector<RuleWord> mWords;
  /** Text after the comment sign, trimmed. */
  std::string_view mComment;
  bool mHasComment = false;
  /** Column after the last word, at which a missing word is reported. */
  int mEndColumn = 1;
};

/** Splits a line without line break at whitespace and at the first '#'. */
RuleLine
SplitRuleLine(std::string_view aLine);

/** Returns the column of the first byte that is not valid UTF-8 or is a control
 * character other than a tab; zero if there is none. */
int
FirstInvalidColumn(std::string_view aLine);

}
